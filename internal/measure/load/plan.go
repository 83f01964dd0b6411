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
	var requests []*Request
	for i, source := range sources {
		random := rand.New(rand.NewPCG(seed, uint64(i)+1))
		requests = append(requests, source.generate(random, i)...)
	}
	slices.SortStableFunc(requests, func(a, b *Request) int { return int(a.Offset - b.Offset) })
	return requests
}

// generate draws the calls of one source.
func (s *Source) generate(random *rand.Rand, index int) []*Request {
	var requests []*Request
	offset := s.Start
	for {
		offset += time.Duration(random.ExpFloat64() / s.RequestsPerSecond * float64(time.Second))
		if offset >= s.End {
			return requests
		}
		request := s.Template
		request.Offset = offset
		request.ID = fmt.Sprintf("%d-%d", index, len(requests))
		s.drawFields(&request, random)
		requests = append(requests, &request)
	}
}

// drawFields draws the free fields of one call.
func (s *Source) drawFields(request *Request, random *rand.Rand) {
	request.Account = s.drawAccount(random)
	if random.Float64() < s.IdempotencyKeyRatio {
		request.IdempotencyKey = "key-" + request.ID
		request.SendDuplicate = random.Float64() < s.DuplicateRatio
	}
	if request.Kind == KindService {
		return
	}
	request.Stream = random.Float64() < s.StreamRatio
	request.MaxTokens = LogUniform(random, s.MinTokens, s.MaxTokens)
	if request.Prompt == "" {
		request.Prompt = RandomText(random, max(request.MaxTokens*s.PromptBytesPerOutputToken, 1))
	}
}

func (s *Source) drawAccount(random *rand.Rand) string {
	if len(s.Weights) == 0 {
		return s.Accounts[random.IntN(len(s.Accounts))]
	}
	total := 0.0
	for _, weight := range s.Weights {
		total += weight
	}
	remaining := random.Float64() * total
	for i, weight := range s.Weights {
		remaining -= weight
		if remaining < 0 {
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
