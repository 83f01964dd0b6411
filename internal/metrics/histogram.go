package metrics

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Limits of the histograms.
const (
	// MaxAccounts is the number of client accounts with histograms of their
	// own; all others share one entry.
	MaxAccounts = 64
	// OtherAccounts is the name of the shared entry of the other accounts.
	OtherAccounts = "(other)"

	// Latencies are recorded in microseconds with two significant digits;
	// values outside of the range from 100 us to 600 s are recorded as the
	// nearest end of it.
	minTrackedMicros  = 100
	maxTrackedMicros  = 600_000_000
	significantDigits = 2
	stripeCount       = 4
)

// HistogramSummary holds the count and percentiles of a histogram, in
// milliseconds.
type HistogramSummary struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// LatencySummary summarizes the time to the first token and the total time of
// requests.
type LatencySummary struct {
	FirstToken HistogramSummary `json:"first_token"`
	Total      HistogramSummary `json:"total"`
}

// latencies records first-token and total times. It is striped to reduce lock
// contention between requests.
type latencies struct {
	stripes [stripeCount]stripe
}

// stripe is one part of latencies with its own lock.
type stripe struct {
	// mu guards the histograms, which are allocated on first use.
	mu         sync.Mutex
	firstToken *hdrhistogram.Histogram
	total      *hdrhistogram.Histogram
}

func newLatencies() *latencies { return &latencies{} }

func (l *latencies) record(firstToken, total time.Duration) {
	s := &l.stripes[rand.IntN(stripeCount)]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.total == nil {
		s.total = newHistogram()
		s.firstToken = newHistogram()
	}
	if firstToken > 0 {
		_ = s.firstToken.RecordValue(clampMicros(firstToken))
	}
	_ = s.total.RecordValue(clampMicros(total))
}

func (l *latencies) summary() LatencySummary {
	firstToken, total := newHistogram(), newHistogram()
	for i := range l.stripes {
		s := &l.stripes[i]
		s.mu.Lock()
		if s.total != nil {
			firstToken.Merge(s.firstToken)
			total.Merge(s.total)
		}
		s.mu.Unlock()
	}
	return LatencySummary{FirstToken: summarize(firstToken), Total: summarize(total)}
}

// accountLatencies holds the latencies of the first maxAccounts client
// accounts seen; all further ones share other.
type accountLatencies struct {
	maxAccounts int
	other       *latencies

	// mu guards byName.
	mu     sync.RWMutex
	byName map[string]*latencies
}

func newAccountLatencies(maxAccounts int) *accountLatencies {
	return &accountLatencies{maxAccounts: maxAccounts, other: newLatencies(), byName: make(map[string]*latencies)}
}

// latenciesOf returns the latencies of an account, and adds it if there is
// room.
func (a *accountLatencies) latenciesOf(account string) *latencies {
	a.mu.RLock()
	found := a.byName[account]
	full := len(a.byName) >= a.maxAccounts
	a.mu.RUnlock()
	if found != nil {
		return found
	}
	if full {
		return a.other
	}
	return a.add(account)
}

func (a *accountLatencies) add(account string) *latencies {
	a.mu.Lock()
	defer a.mu.Unlock()
	if found := a.byName[account]; found != nil {
		return found
	}
	if len(a.byName) >= a.maxAccounts {
		return a.other
	}
	added := newLatencies()
	a.byName[account] = added
	return added
}

func (a *accountLatencies) summaries() map[string]LatencySummary {
	a.mu.RLock()
	defer a.mu.RUnlock()
	summaries := make(map[string]LatencySummary, len(a.byName)+1)
	for name, l := range a.byName {
		summaries[name] = l.summary()
	}
	summaries[OtherAccounts] = a.other.summary()
	return summaries
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minTrackedMicros, maxTrackedMicros, significantDigits)
}

func clampMicros(d time.Duration) int64 {
	return min(max(d.Microseconds(), minTrackedMicros), maxTrackedMicros)
}

func summarize(h *hdrhistogram.Histogram) HistogramSummary {
	const microsPerMilli = 1000
	millis := func(micros int64) float64 { return float64(micros) / microsPerMilli }
	return HistogramSummary{
		Count: h.TotalCount(),
		P50:   millis(h.ValueAtQuantile(50)),
		P95:   millis(h.ValueAtQuantile(95)),
		P99:   millis(h.ValueAtQuantile(99)),
		Max:   millis(h.Max()),
	}
}
