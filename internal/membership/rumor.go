package membership

import (
	"cmp"
	"slices"
	"time"
)

// rumorLimit bounds the stored rumors of one kind.
type rumorLimit struct {
	count int
	// lifetime is how long a rumor is kept, for kinds whose rank is the
	// wall-clock time in milliseconds. If it is zero, rumors are kept until
	// they are evicted by ones of higher rank.
	lifetime time.Duration
}

// rumorLimits bounds each kind. Rumors of other kinds are dropped.
var rumorLimits = map[RumorKind]rumorLimit{
	RumorConfig:        {count: 1},
	RumorRollback:      {count: 1024},
	RumorTargetLeaving: {count: 2048, lifetime: 15 * time.Minute},
	RumorQuarantine:    {count: 4096, lifetime: 24 * time.Hour},
	RumorTableRead:     {count: 512, lifetime: time.Minute},
}

// rumorSet stores the rumors of each kind by subject.
//
// A rumor expires by its own rank, not by the time when it was received.
// Otherwise an instance that kept it longer could reintroduce it.
type rumorSet map[RumorKind]map[string]Rumor

func newRumorSet() rumorSet {
	set := make(rumorSet)
	for kind := range rumorLimits {
		set[kind] = make(map[string]Rumor)
	}
	return set
}

// add stores the rumor if it is new or has a higher rank than the stored one,
// and reports whether it did.
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

// makeRoom removes the expired rumors of r's kind, or else the one with the
// lowest rank. It returns false, without removing any, if that is r itself.
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

// lowerRank orders rumors by rank, then by subject, so that all instances evict
// the same ones.
func lowerRank(a, b Rumor) bool {
	return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Subject, b.Subject)) < 0
}

// ofKind returns the rumors of a kind, sorted by subject, and removes expired
// ones.
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

// mergeRumor stores a rumor from any source and disseminates it if it is new;
// m.mu is held.
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
