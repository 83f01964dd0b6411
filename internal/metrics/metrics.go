// Package metrics counts what an instance does and keeps histograms by tier
// and by client account, published through expvar.
//
// One process publishes one expvar map, in which each instance has an entry,
// so that several instances can share a process.
package metrics

import (
	"encoding/json"
	"expvar"
	"sync"
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

// Counter names of one instance.
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

// published is the process's map of instances.
var published = sync.OnceValue(func() *expvar.Map { return expvar.NewMap("hibiscuspost") })

// Set holds the counters and histograms of one instance.
type Set struct {
	counters expvar.Map
	tiers    [tables.TierCount]*latencies
	accounts *accountLatencies
	instance string

	// mu guards parts.
	mu          sync.Mutex
	partReaders map[string]func() any
}

// New returns an empty set for an instance, publishes it under the instance's
// name and replaces an older one of that name.
func New(instance string) *Set {
	s := &Set{instance: instance, accounts: newAccountLatencies(MaxAccounts), partReaders: make(map[string]func() any)}
	for i := range s.tiers {
		s.tiers[i] = newLatencies()
	}
	published().Set(instance, expvar.Func(s.snapshot))
	return s
}

// Close withdraws the set from the process's map.
func (s *Set) Close() { published().Delete(s.instance) }

// Add raises a counter.
func (s *Set) Add(counter string, n int64) { s.counters.Add(counter, n) }

// Count reads a counter.
func (s *Set) Count(counter string) int64 {
	if v, ok := s.counters.Get(counter).(*expvar.Int); ok {
		return v.Value()
	}
	return 0
}

// Observe records one answered request. FirstToken is zero where there is none.
func (s *Set) Observe(tier tables.Tier, account string, firstToken, total time.Duration) {
	s.tiers[tier].record(firstToken, total)
	s.accounts.latenciesOf(account).record(firstToken, total)
}

// RegisterPart adds what a part of the instance counts itself; read is called at each
// reading and must be safe from any goroutine.
func (s *Set) RegisterPart(part string, read func() any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partReaders[part] = read
}

// Snapshot is the exported form of a set.
type Snapshot struct {
	Counters json.RawMessage           `json:"counters"`
	Tiers    []LatencySummary          `json:"tiers"`
	Accounts map[string]LatencySummary `json:"accounts"`
	// Parts are the counters of the instance's parts, by name.
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
