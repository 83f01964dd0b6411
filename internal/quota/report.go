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
	// Total is the cumulative use since the instance's start.
	Total float64
	// Level is what is left in the instance's bucket.
	Level float64
}

const (
	// reportChangesFor is how long a change is included in reports, so that some
	// messages may be lost.
	reportChangesFor = 700 * time.Millisecond
	// fullReportCycle is the number of reports within which each unchanged
	// account is included once, for instances that have missed all reports of a
	// change.
	fullReportCycle = 10
)

// unknownLevel is the level reported of an account of which only the use is known.
const unknownLevel = math.MaxFloat32

// dueInReport reports whether an account is included in a report.
func (b *bucket) dueInReport(account string, report uint64, now time.Time) bool {
	return now.Sub(b.changedAt) <= reportChangesFor || xxhash.Sum64String(account)%fullReportCycle == report%fullReportCycle
}

// OwnUsage returns this instance's own totals: those of accounts that have
// changed recently, and some of the others in rotation.
func (l *Limiter) OwnUsage() []Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	l.reportCount++
	usages := make([]Usage, 0, len(l.buckets))
	for account, b := range l.buckets {
		if b.rate > 0 && b.dueInReport(account, l.reportCount, now) {
			b.fill(now)
			usages = append(usages, Usage{Account: account, Total: b.taken, Level: b.level})
		}
	}
	return usages
}

// Peer is another instance that reports totals.
type Peer struct {
	// Name identifies the instance; package node passes its peer address.
	Name string
	// Incarnation changes when it restarts.
	Incarnation int64
	// JustStarted is set for a few seconds after its start: it has taken its
	// totals within that time.
	JustStarted bool
	// Instances is the number of instances whose totals it reports.
	Instances int
}

// ApplyAggregate applies the totals of all other instances, as aggregated by one
// of them. They replace the state of individual instances and of other
// aggregators.
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

// AggregateUsage is like OwnUsage, but for the totals of this instance and all
// that report to it, except the recipient.
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
		b.fill(now)
		usage := Usage{Account: account, Total: b.taken + b.takenByPeers, Level: b.level}
		if b.rate == 0 {
			// The level is unknown here and must not lower that of others.
			usage.Level = unknownLevel
		}
		if recipientState != nil {
			usage.Total -= recipientState.counted[account]
		}
		usages = append(usages, usage)
	}
	return usages
}

// ApplyUsage applies another instance's totals.
func (l *Limiter) ApplyUsage(from Peer, usages []Usage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	from.Instances = 1
	l.applyUsage(from, usages)
}

// applyUsage applies totals. The caller holds l.mu.
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
		b.recordReport(u.Level, now)
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

// trackPeer starts to track an instance, or a new incarnation of one. What an
// instance took before is unknown, unless it has started recently or restarted,
// so that its totals began at 0.
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
		b.recordReport(u.Level, now)
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

// bucketByName returns the bucket of an account that another instance reports.
func (l *Limiter) bucketByName(account string) *bucket {
	b := l.buckets[account]
	if b == nil {
		b = &bucket{roundingThreshold: l.random.Float64()}
		l.buckets[account] = b
	}
	return b
}

// lowerLevelAtStartup lowers a level to the one reported by another instance,
// during startupPeriod.
func (l *Limiter) lowerLevelAtStartup(b *bucket, level float64, now time.Time) {
	if now.Sub(l.startedAt) < startupPeriod {
		b.fill(now)
		b.level = math.Min(b.level, level)
	}
}
