package configuration

import (
	"context"
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/backoff"
	"github.com/hibiscuspost/hibiscuspost/internal/membership"
)

// Bounds of what an instance may do without a fresh word from the table.
const (
	// MaxStaleness is how long after its acceptance a configuration may be
	// missing on an instance that takes new work.
	MaxStaleness = 8 * time.Second
	// maxAckAge is how old the last answered probe may be for an instance
	// that counts itself in contact with others.
	maxAckAge = 5 * time.Second
	// outageCheckInterval is the time between decisions for an outage, and
	// decisionLifetime how long one holds; a paused process has none.
	outageCheckInterval    = 250 * time.Millisecond
	outageDecisionLifetime = time.Second
	// maxVerifyPeers is how many peers a starting instance asks at most.
	maxVerifyPeers        = 15
	versionRequestTimeout = time.Second
	// maxVerifyInterval is the longest time between such questions.
	maxVerifyInterval = 2 * time.Second
)

// Mode tells on what ground an instance takes new work, or why not.
type Mode string

// The modes.
const (
	// ModeFresh means that the table was read within InForceBound, by this
	// instance or by one that told it.
	ModeFresh Mode = "fresh"
	// ModeTableDown means that nobody heard of has read the table, and that
	// this instance serves since it is in contact with a majority.
	ModeTableDown Mode = "table_down"
	// ModeMayBeBehind means that a newer version may be in force.
	ModeMayBeBehind Mode = "may_be_behind"
	// ModeStarting means that the version in force is not known yet.
	ModeStarting Mode = "starting"
)

// outageDecision is the outcome of the rule for an outage.
type outageDecision struct {
	decidedAt time.Time
	mode      Mode
}

// status implements the local side of membership.CarryStatus.
func (r *Replica) status() membership.Status {
	// The stamp is read before the version, which only rises: the version is
	// at least the one that the stamp vouches for.
	latest := r.freshnessStamp.Load()
	status := membership.Status{Version: r.Current().Version}
	if latest != nil {
		status.TableAge, status.TableKnown = r.clock.Since(latest.readStart), true
	}
	return status
}

// handleStatus takes the status of another instance.
func (r *Replica) handleStatus(received membership.Heard) {
	r.observeVersion(received.Status.Version)
	if received.Status.TableKnown && !received.AsOf.IsZero() {
		r.advanceStamp(received.Status.Version, received.AsOf.Add(-received.Status.TableAge), received.Member.Name)
	}
}

// advanceStamp moves the stamp forward to a time at which the table held no higher
// version than the given one, provided that this one is held here.
func (r *Replica) advanceStamp(version uint64, readStart time.Time, source string) {
	if r.Current().Version < version {
		return
	}
	next := &freshnessStamp{readStart: readStart, source: source}
	for {
		old := r.freshnessStamp.Load()
		if old != nil && !readStart.After(old.readStart) {
			return
		}
		if r.freshnessStamp.CompareAndSwap(old, next) {
			return
		}
	}
}

// CheckAdmission returns nil if this instance may take new work, else ErrStarting
// or ErrMayBeBehind. It takes no lock.
//
// The instance may if its stamp is younger than InForceBound. Otherwise the
// table may be down for all, and then no configuration can be accepted
// either: it may go on while it is in contact with a majority of the members
// known, knows of no higher version, and has learned the version in force from
// the table or from enough peers. Since Store.Apply writes only on an instance
// in contact with a majority, whatever is accepted reaches this majority by
// push and rumour.
func (r *Replica) CheckAdmission() error {
	switch r.admissionMode() {
	case ModeFresh, ModeTableDown:
		return nil
	case ModeStarting:
		return ErrStarting
	default:
		return ErrMayBeBehind
	}
}

func (r *Replica) admissionMode() Mode {
	now := r.clock.Now()
	latest := r.freshnessStamp.Load()
	if latest != nil && now.Sub(latest.readStart) < MaxStaleness {
		return ModeFresh
	}
	if d := r.lastOutageDecision.Load(); d != nil && now.Sub(d.decidedAt) < outageDecisionLifetime {
		return d.mode
	}
	if latest == nil {
		return ModeStarting
	}
	return ModeMayBeBehind
}

// Freshness tells how an instance stands to the table.
type Freshness struct {
	// Version is the one in force here.
	Version uint64
	// Known is set if Age is known.
	Known bool
	// Age is how long ago the table was read that vouches for Version.
	Age time.Duration
	// Source is the peer that told of that read; empty for an own read.
	Source string
	// Mode is the ground for taking or refusing new work.
	Mode Mode
	// MayBeBehind is set unless the table vouches for Version within
	// InForceBound. In ModeTableDown the instance serves nevertheless.
	MayBeBehind bool
}

// Freshness returns the present standing.
func (r *Replica) Freshness() Freshness {
	latest := r.freshnessStamp.Load()
	freshness := Freshness{Version: r.Current().Version, Mode: r.admissionMode()}
	if latest != nil {
		freshness.Known, freshness.Age, freshness.Source = true, r.clock.Since(latest.readStart), latest.source
	}
	freshness.MayBeBehind = freshness.Mode != ModeFresh
	return freshness
}

// runOutageChecks keeps the decision for an outage up to date.
func (r *Replica) runOutageChecks(ctx context.Context) {
	for {
		r.updateOutageDecision(ctx)
		if backoff.Wait(ctx, r.clock, outageCheckInterval) != nil {
			return
		}
	}
}

// updateOutageDecision applies the rule for an outage if the stamp is old.
func (r *Replica) updateOutageDecision(ctx context.Context) {
	now := r.clock.Now()
	latest := r.freshnessStamp.Load()
	if latest != nil && now.Sub(latest.readStart) < MaxStaleness/2 {
		r.versionVerified.Store(true)
		return
	}
	if !r.versionVerified.Load() && !now.Before(r.nextVerify) {
		r.versionVerified.Store(r.verifyVersion(ctx))
		now = r.clock.Now()
		r.nextVerify = now.Add(r.randomDuration(maxVerifyInterval/2, maxVerifyInterval))
	}
	next := &outageDecision{decidedAt: now, mode: ModeTableDown}
	switch {
	case !r.versionVerified.Load() && latest == nil:
		next.mode = ModeStarting
	case !r.versionVerified.Load(), r.highestKnown.Load() > r.Current().Version, !r.hasMajority():
		next.mode = ModeMayBeBehind
	}
	r.lastOutageDecision.Store(next)
}

// hasMajority tells whether this instance hears from a majority of the members
// that it knows.
func (r *Replica) hasMajority() bool {
	reach := r.membership.Reach()
	if reach.Known == 1 {
		return reach.Joined
	}
	return reach.Majority() && r.clock.Since(reach.LastAck) < maxAckAge
}

// verifyVersion asks peers for the version in force. More than half of those asked,
// and of all known members if these are few, must answer that they know it
// from the table or in the same way; the highest version named must be held
// here in the end.
func (r *Replica) verifyVersion(ctx context.Context) bool {
	known := r.membership.Reach().Known
	if known == 1 {
		return false
	}
	sampleSize := min(maxVerifyPeers, known-1)
	peers := r.shuffledPeers()
	peers = peers[:min(sampleSize, len(peers))]
	certainCount := 0
	responses := r.requestVersions(ctx, peers)
	for _, response := range responses {
		r.observeVersion(response.Version)
		if response.Certain {
			certainCount++
		}
	}
	highest := r.highestKnown.Load()
	for _, response := range responses {
		if r.Current().Version < highest && response.Version >= highest {
			r.fetchFrom(ctx, response.address)
		}
	}
	return 2*certainCount > sampleSize && r.Current().Version >= r.highestKnown.Load()
}
