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
	of := s[r.Kind]
	old, known := of[r.Subject]
	if known && old.Rank >= r.Rank {
		return false
	}
	if !known && len(of) >= limit.count && !s.makeRoom(r, now) {
		return false
	}
	of[r.Subject] = r
	return true
}

func (l rumorLimit) expired(r Rumor, now time.Time) bool {
	return l.lifetime > 0 && uint64(now.Add(-l.lifetime).UnixMilli()) > r.Rank
}

// makeRoom drops expired rumours of r's kind, or else the one with the lowest
// rank; it reports false if that is r itself.
func (s rumorSet) makeRoom(r Rumor, now time.Time) bool {
	of, limit := s[r.Kind], rumorLimits[r.Kind]
	lowest, full := r, true
	for subject, other := range of {
		if limit.expired(other, now) {
			delete(of, subject)
			full = false
		} else if before(other, lowest) {
			lowest = other
		}
	}
	if !full {
		return true
	}
	if lowest.Subject == r.Subject {
		return false
	}
	delete(of, lowest.Subject)
	return true
}

// before orders rumours by rank, then by subject, alike on all instances.
func before(a, b Rumor) bool {
	return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Subject, b.Subject)) < 0
}

// all returns the rumours of a kind by subject, without expired ones.
func (s rumorSet) all(kind RumorKind, now time.Time) []Rumor {
	var all []Rumor
	for subject, r := range s[kind] {
		if rumorLimits[kind].expired(r, now) {
			delete(s[kind], subject)
			continue
		}
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b Rumor) int { return cmp.Compare(a.Subject, b.Subject) })
	return all
}

// Publish implements Rumors.
func (m *Membership) Publish(r Rumor) {
	m.change(func(now time.Time) { m.mergeRumor(r, now) })
	m.wakeUp()
}

// Subscribe implements Rumors.
func (m *Membership) Subscribe(kind RumorKind, subscriber func(Rumor)) {
	m.subscribers[kind] = append(m.subscribers[kind], subscriber)
}

// RumorsOfKind implements Rumors.
func (m *Membership) RumorsOfKind(kind RumorKind) []Rumor {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rumors.all(kind, m.clock.Now())
}

// mergeRumor takes a rumour from whatever source; m.mu is held.
func (m *Membership) mergeRumor(r Rumor, now time.Time) {
	r.Body = slices.Clone(r.Body)
	if !m.rumors.add(r, now) {
		return
	}
	m.queue.put(rumorKey(r), encode(r), transmits(len(m.records)+1))
	for _, subscriber := range m.subscribers[r.Kind] {
		m.events = append(m.events, func() { subscriber(r) })
	}
}
