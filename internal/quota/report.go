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
	// reportChangesFor is how long a change is told, so that some messages may be lost.
	reportChangesFor = 700 * time.Millisecond
	// fullReportCycle says in how many reports an account is told that has not changed,
	// so that one that has lost all news of a change learns of it.
	fullReportCycle = 10
)

// dueInReport reports whether an account is to be told in a report.
func (b *bucket) dueInReport(account string, report uint64, now time.Time) bool {
	return now.Sub(b.changedAt) <= reportChangesFor || xxhash.Sum64String(account)%fullReportCycle == report%fullReportCycle
}

// OwnUsage returns this instance's own totals, as far as they have changed
// lately, and some of the others in turn.
func (l *Limiter) OwnUsage() []Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	l.reportCount++
	usages := make([]Usage, 0, len(l.buckets))
	for account, b := range l.buckets {
		if b.rate > 0 && b.dueInReport(account, l.reportCount, now) {
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
	l.applyUsage(from, usages)
}

// AggregateUsage returns what Usages does of this instance and of all it hears of,
// without one of them, for whom it is meant.
func (l *Limiter) AggregateUsage(recipient string) []Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	recipientState := l.peers[recipient]
	report := l.reportCount + xxhash.Sum64String(recipient)
	usages := make([]Usage, 0, len(l.buckets))
	for account, b := range l.buckets {
		if !b.dueInReport(account, report, now) {
			continue
		}
		usage := Usage{Account: account, Total: b.taken + b.takenByPeers, Level: b.level}
		if b.rate == 0 {
			// The level is not known here and must not lower others'.
			usage.Level = math.MaxFloat32
		}
		if recipientState != nil {
			usage.Total -= recipientState.counted[account]
		}
		usages = append(usages, usage)
	}
	return usages
}

// ApplyUsage takes another instance's totals.
func (l *Limiter) ApplyUsage(from Peer, usages []Usage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	from.Instances = 1
	l.applyUsage(from, usages)
}

// applyUsage takes totals; l.mu is held.
func (l *Limiter) applyUsage(from Peer, usages []Usage) {
	now := l.clock.Now()
	p := l.peers[from.Name]
	if p == nil || p.incarnation != from.Incarnation {
		l.trackPeer(from, p, usages, now)
		return
	}
	p.instances = from.Instances
	for _, u := range usages {
		delta := u.Total - p.totals[u.Account]
		p.totals[u.Account] = u.Total
		p.counted[u.Account] += delta
		b := l.bucketByName(u.Account)
		b.takenByPeers += delta
		if delta != 0 {
			b.changedAt = now
		}
		if b.rate > 0 {
			b.deduct(delta-p.assumedUse[u.Account], now)
			l.lowerLevelAtStartup(b, u.Level, now)
		}
		delete(p.assumedUse, u.Account)
	}
	p.reportedAt, p.assumedUntil, p.silent = now, now, false
}

// trackPeer starts to follow an instance. What it took before is unknown, but for one
// that has started lately, whose totals began at 0.
func (l *Limiter) trackPeer(from Peer, previous *peerState, usages []Usage, now time.Time) {
	p := &peerState{
		incarnation: from.Incarnation, reportedAt: now, assumedUntil: now, instances: from.Instances,
		totals: make(map[string]float64), assumedUse: make(map[string]float64), counted: make(map[string]float64),
	}
	if previous != nil {
		p.counted = previous.counted
	}
	l.peers[from.Name] = p
	countTotals := previous != nil || from.JustStarted
	for _, u := range usages {
		p.totals[u.Account] = u.Total
		b := l.bucketByName(u.Account)
		if countTotals {
			p.counted[u.Account] += u.Total
			b.takenByPeers += u.Total
			b.changedAt = now
		}
		if b.rate == 0 {
			continue
		}
		if countTotals {
			b.deduct(u.Total, now)
		}
		l.lowerLevelAtStartup(b, u.Level, now)
	}
}

// bucketByName returns the bucket of an account that another instance names.
func (l *Limiter) bucketByName(account string) *bucket {
	b := l.buckets[account]
	if b == nil {
		b = &bucket{roundingThreshold: l.random.Float64()}
		l.buckets[account] = b
	}
	return b
}

// lowerLevelAtStartup lowers a level shortly after the start to what others have heard.
func (l *Limiter) lowerLevelAtStartup(b *bucket, level float64, now time.Time) {
	if now.Sub(l.startedAt) < startupPeriod {
		b.fill(now)
		b.level = math.Min(b.level, level)
	}
}
