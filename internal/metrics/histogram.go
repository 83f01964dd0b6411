package metrics

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of the histograms.
const (
	// MaxAccounts is how many client accounts are kept apart; the others share
	// one entry.
	MaxAccounts = 64
	// OtherAccounts names the entry that the remaining accounts share.
	OtherAccounts = "(other)"

	minTrackedMicros  = 100
	maxTrackedMicros  = 600_000_000
	significantDigits = 2
	stripeCount       = 4
)

// HistogramSummary gives a histogram's count and percentiles in milliseconds.
type HistogramSummary struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// LatencySummary gives first-token and whole-request times.
type LatencySummary struct {
	FirstToken HistogramSummary `json:"first_token"`
	Total      HistogramSummary `json:"total"`
}

// latencies holds first-token and total times, striped so that requests seldom
// share a lock.
type latencies struct {
	stripes [stripeCount]stripe
}

// stripe is one part of latencies.
type stripe struct {
	// mu guards the histograms; they are made on first use.
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

// accountLatencies keeps the histograms of the first accountLatencies seen, up to a bound.
type accountLatencies struct {
	maxAccounts int
	other       *latencies

	// mu guards byName for writing; readers use RLock.
	mu     sync.RWMutex
	byName map[string]*latencies
}

func newAccountLatencies(maxAccounts int) *accountLatencies {
	return &accountLatencies{maxAccounts: maxAccounts, other: newLatencies(), byName: make(map[string]*latencies)}
}

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
