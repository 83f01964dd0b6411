package membership

import (
	"cmp"
	"slices"
	"time"
)

// rumorLimit bounds the rumours of one kind.
type rumorLimit struct {
	count int
	// lifetime is how long a rumour is kept, for kinds whose rank is the wall
	// clock in milliseconds; zero keeps it until others crowd it out.
	lifetime time.Duration
}

// rumorLimits bounds each kind; other kinds are not taken.
var rumorLimits = map[RumorKind]rumorLimit{
	RumorConfig:        {count: 1},
	RumorRollback:      {count: 1024},
	RumorTargetLeaving: {count: 2048, lifetime: 15 * time.Minute},
	RumorQuarantine:    {count: 4096, lifetime: 24 * time.Hour},
	RumorTableRead:     {count: 512, lifetime: time.Minute},
}

// rumorSet keeps the rumours of each kind by subject.
//
// All instances drop a rumour by its own rank, not by when they received it,
// so that none is brought back by an instance that kept it longer.
type rumorSet map[RumorKind]map[string]Rumor

func newRumorSet() rumorSet {
	set := make(rumorSet)
	for kind := range rumorLimits {
		set[kind] = make(map[string]Rumor)
	}
	return set
}

// add reports whether the rumour is news.
func (s rumorSet) add(r Rumor, now time.Time) bool {
	limit, ok := rumorLimits[r.Kind]
	if !ok || len(r.Body) > MaxRumorBody || limit.expired(r, now) {
		return false
	}
	rumors := s[r.Kind]
	old, exists := rumors[r.Subject]
	if exists && old.Rank >= r.Rank {
		return false
	}
	if !exists && len(rumors) >= limit.count && !s.makeRoom(r, now) {
		return false
	}
	rumors[r.Subject] = r
	return true
}

func (l rumorLimit) expired(r Rumor, now time.Time) bool {
	return l.lifetime > 0 && uint64(now.Add(-l.lifetime).UnixMilli()) > r.Rank
}

// makeRoom drops expired rumours of r's kind, or else the one with the lowest
// rank; it reports false if that is r itself.
func (s rumorSet) makeRoom(r Rumor, now time.Time) bool {
	rumors, limit := s[r.Kind], rumorLimits[r.Kind]
	lowest, full := r, true
	for subject, other := range rumors {
		if limit.expired(other, now) {
			delete(rumors, subject)
			full = false
		} else if lowerRank(other, lowest) {
			lowest = other
		}
	}
	if !full {
		return true
	}
	if lowest.Subject == r.Subject {
		return false
	}
	delete(rumors, lowest.Subject)
	return true
}

// lowerRank orders rumours by rank, then by subject, alike on all instances.
func lowerRank(a, b Rumor) bool {
	return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Subject, b.Subject)) < 0
}

// ofKind returns the rumours of a kind by subject, without expired ones.
func (s rumorSet) ofKind(kind RumorKind, now time.Time) []Rumor {
	var rumors []Rumor
	for subject, r := range s[kind] {
		if rumorLimits[kind].expired(r, now) {
			delete(s[kind], subject)
			continue
		}
		rumors = append(rumors, r)
	}
	slices.SortFunc(rumors, func(a, b Rumor) int { return cmp.Compare(a.Subject, b.Subject) })
	return rumors
}

// Publish implements Rumors.
func (m *Membership) Publish(r Rumor) {
	m.change(func(now time.Time) { m.mergeRumor(r, now) })
	m.requestGossip()
}

// Subscribe implements Rumors.
func (m *Membership) Subscribe(kind RumorKind, subscriber func(Rumor)) {
	m.subscribers[kind] = append(m.subscribers[kind], subscriber)
}

// RumorsOfKind implements Rumors.
func (m *Membership) RumorsOfKind(kind RumorKind) []Rumor {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rumors.ofKind(kind, m.clock.Now())
}

// mergeRumor takes a rumour from whatever source; m.mu is held.
func (m *Membership) mergeRumor(r Rumor, now time.Time) {
	r.Body = slices.Clone(r.Body)
	if !m.rumors.add(r, now) {
		return
	}
	m.gossipQueue.add(rumorKey(r), encode(r), transmitLimit(len(m.records)+1))
	for _, subscriber := range m.subscribers[r.Kind] {
		m.callbacks = append(m.callbacks, func() { subscriber(r) })
	}
}
