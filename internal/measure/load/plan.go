package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Source describes one kind of requests within a plan.
type Source struct {
	// Template holds the fields that are not drawn.
	Template Request
	// RequestsPerSecond is the mean arrival rate.
	RequestsPerSecond float64
	// Start and End bound the arrivals, from the start of the plan.
	Start, End time.Duration
	// Accounts are drawn by Weights, or uniformly without them.
	Accounts []string
	Weights  []float64
	// MinTokens and MaxTokens bound the output length, which is log-uniform.
	MinTokens, MaxTokens int
	// PromptBytesPerOutputToken sets the prompt's length from the output length.
	PromptBytesPerOutputToken int
	// IdempotencyKeyRatio is the share of requests with an idempotency key.
	IdempotencyKeyRatio float64
	// DuplicateRatio is the share of requests with an idempotency key that are sent
	// twice concurrently.
	DuplicateRatio float64
	// StreamRatio is the share of model requests with a streamed response.
	StreamRatio float64
}

// GeneratePlan draws the requests of all sources, sorted by arrival. Equal seeds
// and sources give equal plans.
func GeneratePlan(seed uint64, sources []Source) []*Request {
	var requests []*Request
	for i, source := range sources {
		random := rand.New(rand.NewPCG(seed, uint64(i)+1))
		requests = append(requests, source.generate(random, i)...)
	}
	slices.SortStableFunc(requests, func(a, b *Request) int { return int(a.Offset - b.Offset) })
	return requests
}

// generate draws the requests of one source; index makes their IDs unique.
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

// drawFields draws the fields that the template leaves open.
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

// LogUniform draws an integer between low and high whose logarithm is uniformly
// distributed.
func LogUniform(random *rand.Rand, low, high int) int {
	ratio := math.Log(float64(high) / float64(low))
	return int(math.Round(float64(low) * math.Exp(random.Float64()*ratio)))
}

// MeanLogUniform returns the mean of LogUniform before rounding.
func MeanLogUniform(low, high int) float64 {
	if low == high {
		return float64(low)
	}
	return float64(high-low) / math.Log(float64(high)/float64(low))
}

// RandomText returns length bytes of random hexadecimal text.
func RandomText(random *rand.Rand, length int) string {
	var text strings.Builder
	for text.Len() < length {
		_, _ = fmt.Fprintf(&text, "%016x", random.Uint64())
	}
	return text.String()[:length]
}
