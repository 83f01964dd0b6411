// Package metrics counts the events of an instance and records latency
// histograms by tier and by client account. They are published through
// expvar.
//
// A process publishes one expvar map with an entry (Set) for each instance,
// so that several instances can run in one process.
package metrics

import (
	"encoding/json"
	"expvar"
	"sync"
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

// Names of the counters of an instance.
const (
	RequestsAccepted         = "requests_accepted"
	RequestsAnswered         = "requests_answered"
	RequestsRefusedNotRun    = "requests_refused_not_run"
	RequestsRefusedRanInPart = "requests_refused_ran_in_part"
	RequestsRefusedUnknown   = "requests_refused_unknown"
	RequestsDispatched       = "requests_dispatched"
	RequestsJoined           = "requests_joined"
	RequestsForwarded        = "requests_forwarded"
	StreamsResumed           = "streams_resumed"
	StreamsPreempted         = "streams_preempted"
	CallersDisconnected      = "callers_gone"
	RequestsQuarantined      = "requests_quarantined"
	DispatchesNotSent        = "dispatches_not_sent"
	RequestsHandedOver       = "requests_passed_on_at_shutdown"
)

// published is the expvar map of the process, by instance name.
var published = sync.OnceValue(func() *expvar.Map { return expvar.NewMap("hibiscuspost") })

// Set holds the counters and histograms of one instance.
type Set struct {
	counters expvar.Map
	tiers    [tables.TierCount]*latencies
	accounts *accountLatencies
	instance string

	// mu guards partReaders.
	mu          sync.Mutex
	partReaders map[string]func() any
}

// New returns an empty set and publishes it under the instance's name,
// replacing an older set of that name.
func New(instance string) *Set {
	s := &Set{instance: instance, accounts: newAccountLatencies(MaxAccounts), partReaders: make(map[string]func() any)}
	for i := range s.tiers {
		s.tiers[i] = newLatencies()
	}
	published().Set(instance, expvar.Func(s.snapshot))
	return s
}

// Close removes the set from the expvar map.
func (s *Set) Close() { published().Delete(s.instance) }

// Add increases a counter by n.
func (s *Set) Add(counter string, n int64) { s.counters.Add(counter, n) }

// Count returns the value of a counter, 0 if it was never increased.
func (s *Set) Count(counter string) int64 {
	if v, ok := s.counters.Get(counter).(*expvar.Int); ok {
		return v.Value()
	}
	return 0
}

// Observe records the latencies of one completed request; firstToken is zero
// if there was no first token.
func (s *Set) Observe(tier tables.Tier, account string, firstToken, total time.Duration) {
	s.tiers[tier].record(firstToken, total)
	s.accounts.latenciesOf(account).record(firstToken, total)
}

// RegisterPart adds counters that a part of the instance maintains itself.
// The function read is called for each snapshot and must be safe for
// concurrent use.
func (s *Set) RegisterPart(part string, read func() any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partReaders[part] = read
}

// Snapshot is the published form of a Set.
type Snapshot struct {
	Counters json.RawMessage           `json:"counters"`
	Tiers    []LatencySummary          `json:"tiers"`
	Accounts map[string]LatencySummary `json:"accounts"`
	// Parts holds the values of the registered parts by name.
	Parts map[string]any `json:"parts"`
}

func (s *Set) snapshot() any {
	snapshot := Snapshot{
		Counters: json.RawMessage(s.counters.String()),
		Accounts: s.accounts.summaries(),
		Parts:    s.readParts(),
	}
	for _, tier := range s.tiers {
		snapshot.Tiers = append(snapshot.Tiers, tier.summary())
	}
	return snapshot
}

func (s *Set) readParts() map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	values := make(map[string]any, len(s.partReaders))
	for name, read := range s.partReaders {
		values[name] = read()
	}
	return values
}
