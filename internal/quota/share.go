package quota

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Usage is what one instance has taken from one account.
type Usage struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	Account string
	// Total counts since the instance's start.
	Total float64
	// Level is what the instance takes to be left.
	Level float64
}

const (
	// tellFor is how long a change is told, so that some messages may be lost.
	tellFor = 700 * time.Millisecond
	// tellAgain says in how many reports an account is told that has not changed,
	// so that one that has lost all news of a change learns of it.
	tellAgain = 10
)

// due reports whether an account is to be told in a report.
func (b *bucket) due(account string, turn uint64, now time.Time) bool {
	return now.Sub(b.changed) <= tellFor || xxhash.Sum64String(account)%tellAgain == turn%tellAgain
}

// OwnUsage returns this instance's own totals, as far as they have changed
// lately, and some of the others in turn.
func (l *Limiter) OwnUsage() []Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	l.turn++
	usages := make([]Usage, 0, len(l.buckets))
	for account, b := range l.buckets {
		if b.rate > 0 && b.due(account, l.turn, now) {
			usages = append(usages, Usage{Account: account, Total: b.taken, Level: b.level})
		}
	}
	return usages
}

// Peer is another instance that tells totals.
type Peer struct {
	Name string
	// Incarnation changes when it restarts.
	Incarnation int64
	// JustStarted is set for a few seconds after its start: all that it has taken, it
	// has taken just now.
	JustStarted bool
	// Instances is the number of instances whose totals it tells.
	Instances int
}

// ApplyAggregate takes the totals of all other instances, as summed up by one
// that gathers them. It replaces what is known of single instances, and of
// others that gather.
func (l *Limiter) ApplyAggregate(from Peer, usages []Usage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name := range l.peers {
		if name != from.Name {
			delete(l.peers, name)
		}
	}
	l.hear(from, usages)
}

// AggregateUsage returns what Usages does of this instance and of all it hears of,
// without one of them, for whom it is meant.
func (l *Limiter) AggregateUsage(without string) []Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	own := l.peers[without]
	turn := l.turn + xxhash.Sum64String(without)
	usages := make([]Usage, 0, len(l.buckets))
	for account, b := range l.buckets {
		if !b.due(account, turn, now) {
			continue
		}
		u := Usage{Account: account, Total: b.taken + b.heard, Level: b.level}
		if b.rate == 0 {
			// The level is not known here and must not lower others'.
			u.Level = math.MaxFloat32
		}
		if own != nil {
			u.Total -= own.heard[account]
		}
		usages = append(usages, u)
	}
	return usages
}

// ApplyUsage takes another instance's totals.
func (l *Limiter) ApplyUsage(from Peer, usages []Usage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	from.Instances = 1
	l.hear(from, usages)
}

// hear takes totals; l.mu is held.
func (l *Limiter) hear(from Peer, usages []Usage) {
	now := l.clock.Now()
	m := l.peers[from.Name]
	if m == nil || m.incarnation != from.Incarnation {
		l.join(from, m, usages, now)
		return
	}
	m.stands = from.Instances
	for _, u := range usages {
		delta := u.Total - m.totals[u.Account]
		m.totals[u.Account] = u.Total
		m.heard[u.Account] += delta
		b := l.reported(u.Account)
		b.heard += delta
		if delta != 0 {
			b.changed = now
		}
		if b.rate > 0 {
			b.draw(delta-m.assumed[u.Account], now)
			l.takeOver(b, u.Level, now)
		}
		delete(m.assumed, u.Account)
	}
	m.at, m.charged, m.silent = now, now, false
}

// join starts to follow an instance. What it took before is unknown, but for one
// that has started lately, whose totals began at 0.
func (l *Limiter) join(from Peer, old *member, usages []Usage, now time.Time) {
	m := &member{
		incarnation: from.Incarnation, at: now, charged: now, stands: from.Instances,
		totals: make(map[string]float64), assumed: make(map[string]float64), heard: make(map[string]float64),
	}
	if old != nil {
		m.heard = old.heard
	}
	l.peers[from.Name] = m
	counts := old != nil || from.JustStarted
	for _, u := range usages {
		m.totals[u.Account] = u.Total
		b := l.reported(u.Account)
		if counts {
			m.heard[u.Account] += u.Total
			b.heard += u.Total
			b.changed = now
		}
		if b.rate == 0 {
			continue
		}
		if counts {
			b.draw(u.Total, now)
		}
		l.takeOver(b, u.Level, now)
	}
}

// reported returns the bucket of an account that another instance names.
func (l *Limiter) reported(account string) *bucket {
	b := l.buckets[account]
	if b == nil {
		b = &bucket{rounding: l.random.Float64()}
		l.buckets[account] = b
	}
	return b
}

// takeOver lowers a level shortly after the start to what others have heard.
func (l *Limiter) takeOver(b *bucket, level float64, now time.Time) {
	if now.Sub(l.started) < settleTime {
		b.fill(now)
		b.level = math.Min(b.level, level)
	}
}
