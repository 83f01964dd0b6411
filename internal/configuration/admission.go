package configuration

import (
	"context"
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/backoff"
	"github.com/hibiscuspost/hibiscuspost/internal/membership"
)

// Limits for taking new work without a recent read of the table.
const (
	// MaxStaleness is how long after its acceptance a configuration may be
	// missing on an instance that takes new work.
	MaxStaleness = 8 * time.Second
	// maxAckAge is the maximum age of the last probe acknowledgement or sync
	// response for an instance to count as connected to a majority.
	maxAckAge = 5 * time.Second
	// outageCheckInterval is the time between outage decisions, and
	// outageDecisionLifetime how long one is valid. A decision expires while
	// the process is paused.
	outageCheckInterval    = 250 * time.Millisecond
	outageDecisionLifetime = time.Second
	// maxVerifyPeers is the maximum number of peers that verifyVersion sends
	// requests to.
	maxVerifyPeers        = 15
	versionRequestTimeout = time.Second
	// maxVerifyInterval is the maximum time between calls of verifyVersion; the
	// minimum is half of it.
	maxVerifyInterval = 2 * time.Second
)

// Mode is the reason why an instance takes or refuses new work.
type Mode string

// The modes.
const (
	// ModeFresh means that the current version is confirmed by a read of the
	// table within MaxStaleness, by this instance or by a peer that reported
	// it.
	ModeFresh Mode = "fresh"
	// ModeTableDown means that no such read is known, and that this instance
	// takes work because it is connected to a majority of the known members.
	ModeTableDown Mode = "table_down"
	// ModeMayBeBehind means that a newer version may have been accepted.
	ModeMayBeBehind Mode = "may_be_behind"
	// ModeStarting means that the accepted version is not known yet.
	ModeStarting Mode = "starting"
)

// outageDecision is the admission mode that applies while the freshness stamp
// is older than MaxStaleness.
type outageDecision struct {
	decidedAt time.Time
	mode      Mode
}

// status returns this instance's status for membership.PiggybackStatus.
func (r *Replica) status() membership.Status {
	// The stamp is loaded before the version. Since the version only increases,
	// it is at least the one that the stamp refers to.
	latest := r.freshnessStamp.Load()
	status := membership.Status{Version: r.Current().Version}
	if latest != nil {
		status.TableAge, status.TableAgeKnown = r.clock.Since(latest.readStart), true
	}
	return status
}

// handleStatus processes the status received from another instance.
func (r *Replica) handleStatus(received membership.ReceivedStatus) {
	r.observeVersion(received.Status.Version)
	if received.Status.TableAgeKnown && !received.AsOf.IsZero() {
		r.advanceStamp(received.Status.Version, received.AsOf.Add(-received.Status.TableAge), received.Member.Name)
	}
}

// advanceStamp moves the freshness stamp forward to readStart, the start of a
// read that found the given version in the table. It does nothing if this
// instance does not hold that version yet, or has a later stamp.
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

// CheckAdmission returns nil if this instance may take new work, else
// ErrStarting or ErrMayBeBehind. It takes no lock.
//
// The instance may take new work if its freshness stamp is younger than
// MaxStaleness. Otherwise the table may be down for all instances, and then no
// configuration can be accepted either. In that case the instance may take work
// while it is connected to a majority of the known members, knows of no higher
// version, and has learned the accepted version from the table or from enough
// peers. Since Store.Apply writes only on an instance that is connected to a
// majority, an accepted configuration reaches this majority by push and gossip.
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

// admissionMode returns ModeFresh if the freshness stamp is recent enough, else
// the mode of the last outage decision if that is still valid.
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

// Freshness reports how recently an instance's version was confirmed by a read
// of the table.
type Freshness struct {
	// Version is the current version of this instance.
	Version uint64
	// Known says whether Age and Source are valid.
	Known bool
	// Age is the time since the start of the latest known table read that found
	// no version higher than Version.
	Age time.Duration
	// Source is the peer that reported that read; empty if this instance did
	// it.
	Source string
	// Mode is the reason for taking or refusing new work.
	Mode Mode
	// MayBeBehind is true unless Mode is ModeFresh. In ModeTableDown the
	// instance takes new work nevertheless.
	MayBeBehind bool
}

// Freshness returns the freshness of this instance.
func (r *Replica) Freshness() Freshness {
	latest := r.freshnessStamp.Load()
	freshness := Freshness{Version: r.Current().Version, Mode: r.admissionMode()}
	if latest != nil {
		freshness.Known, freshness.Age, freshness.Source = true, r.clock.Since(latest.readStart), latest.source
	}
	freshness.MayBeBehind = freshness.Mode != ModeFresh
	return freshness
}

// runOutageChecks updates the outage decision periodically until ctx ends.
func (r *Replica) runOutageChecks(ctx context.Context) {
	for {
		r.updateOutageDecision(ctx)
		if backoff.Sleep(ctx, r.clock, outageCheckInterval) != nil {
			return
		}
	}
}

// updateOutageDecision decides on the admission mode for an outage of the table
// if the freshness stamp is at least half of MaxStaleness old.
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

// hasMajority reports whether a majority of the known members is live and this
// instance has received a probe acknowledgement or sync response within
// maxAckAge. An instance that knows no other member has a majority once it has
// joined.
func (r *Replica) hasMajority() bool {
	reach := r.membership.Reach()
	if reach.Known == 1 {
		return reach.Joined
	}
	return reach.Majority() && r.clock.Since(reach.LastAck) < maxAckAge
}

// verifyVersion requests the versions of random peers and reports whether this
// instance holds the accepted one. More than half of min(maxVerifyPeers, known
// peers) must respond that they know the accepted version from the table or by
// the same verification, and this instance must in the end hold the highest
// version that was returned.
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
