package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Source describes one kind of call within a plan.
type Source struct {
	// Template gives all fields that are not drawn.
	Template Request
	// RequestsPerSecond is the mean number of calls a second.
	RequestsPerSecond float64
	// Start and End bound the arrivals.
	Start, End time.Duration
	// Accounts are drawn by Weights, or evenly without them.
	Accounts []string
	Weights  []float64
	// MinTokens and MaxTokens bound the drawn output length, log-uniform.
	MinTokens, MaxTokens int
	// PromptBytesPerOutputToken is the prompt's length for each output token.
	PromptBytesPerOutputToken int
	// IdempotencyKeyRatio is the share of calls with an idempotency key.
	IdempotencyKeyRatio float64
	// DuplicateRatio is the share of keyed calls that are sent twice at once.
	DuplicateRatio float64
	// StreamRatio is the share of model requests that stream.
	StreamRatio float64
}

// GeneratePlan draws the calls of all sources, in the order of their arrival.
func GeneratePlan(seed uint64, sources []Source) []*Request {
	var calls []*Request
	for i, source := range sources {
		random := rand.New(rand.NewPCG(seed, uint64(i)+1))
		calls = append(calls, source.draw(random, i)...)
	}
	slices.SortStableFunc(calls, func(a, b *Request) int { return int(a.Offset - b.Offset) })
	return calls
}

// draw draws the calls of one source.
func (s *Source) draw(random *rand.Rand, index int) []*Request {
	var calls []*Request
	at := s.Start
	for {
		at += time.Duration(random.ExpFloat64() / s.RequestsPerSecond * float64(time.Second))
		if at >= s.End {
			return calls
		}
		call := s.Template
		call.Offset = at
		call.ID = fmt.Sprintf("%d-%d", index, len(calls))
		s.fill(&call, random)
		calls = append(calls, &call)
	}
}

// fill draws the free fields of one call.
func (s *Source) fill(call *Request, random *rand.Rand) {
	call.Account = s.account(random)
	if random.Float64() < s.IdempotencyKeyRatio {
		call.IdempotencyKey = "key-" + call.ID
		call.SendDuplicate = random.Float64() < s.DuplicateRatio
	}
	if call.Kind == KindService {
		return
	}
	call.Stream = random.Float64() < s.StreamRatio
	call.MaxTokens = LogUniform(random, s.MinTokens, s.MaxTokens)
	if call.Prompt == "" {
		call.Prompt = RandomText(random, max(call.MaxTokens*s.PromptBytesPerOutputToken, 1))
	}
}

func (s *Source) account(random *rand.Rand) string {
	if len(s.Weights) == 0 {
		return s.Accounts[random.IntN(len(s.Accounts))]
	}
	total := 0.0
	for _, weight := range s.Weights {
		total += weight
	}
	left := random.Float64() * total
	for i, weight := range s.Weights {
		left -= weight
		if left < 0 {
			return s.Accounts[i]
		}
	}
	return s.Accounts[len(s.Accounts)-1]
}

// LogUniform draws a whole number whose logarithm is uniform.
func LogUniform(random *rand.Rand, low, high int) int {
	ratio := math.Log(float64(high) / float64(low))
	return int(math.Round(float64(low) * math.Exp(random.Float64()*ratio)))
}

// MeanLogUniform is the mean of LogUniform before rounding.
func MeanLogUniform(low, high int) float64 {
	if low == high {
		return float64(low)
	}
	return float64(high-low) / math.Log(float64(high)/float64(low))
}

// RandomText draws a text of a length in bytes.
func RandomText(random *rand.Rand, length int) string {
	var text strings.Builder
	for text.Len() < length {
		_, _ = fmt.Fprintf(&text, "%016x", random.Uint64())
	}
	return text.String()[:length]
}
