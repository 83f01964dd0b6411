package once

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"

	"github.com/hibiscuspost/hibiscuspost/internal/membership"
	"github.com/hibiscuspost/hibiscuspost/internal/peer"
	"github.com/hibiscuspost/hibiscuspost/internal/platform"
)

// stepInterval is the time between two steps, each of which renews the lease if
// due, hands over and takes over shards.
const stepInterval = 500 * time.Millisecond

// ShardOptions are the dependencies of Shards.
type ShardOptions struct {
	Table  platform.TableService
	Bus    peer.Bus
	Viewer membership.Viewer
	// Clock must be monotonic; nil means the real clock.
	Clock clockwork.Clock
}

// Acquisition describes a shard that this instance is about to hold. It is part
// of shardRow.
type Acquisition struct {
	Shard Shard `msgpack:"s"`
	// PreviousHolder is the last holder; its name is empty if there was none.
	PreviousHolder membership.Member `msgpack:"p"`
	// RecordsComplete is set when no records have to be collected: the previous
	// holder has handed its records over to this instance, or there was none.
	RecordsComplete bool `msgpack:"i,omitempty"`
	// Unreplicated is set when the previous holder's records were not
	// replicated to any other instance.
	Unreplicated bool `msgpack:"a,omitempty"`
}

// shardListener is notified of new shards before Holds reports them, and hands
// the records of shards over once Holds no longer does.
type shardListener interface {
	shardsAcquired([]Acquisition)
	// handOverRecords sends the records of shards to their next holder. It
	// returns false if that holder may not have received them. Leaving is set when
	// this instance shuts down.
	handOverRecords(ctx context.Context, to membership.Member, shards []Shard, leaving bool) bool
}

// Shards maintains this instance's lease and the shards that it holds under it.
//
// One row stores the lease; the row of each shard names the lease of its
// holder. A renewal writes the lease row only, so its cost does not depend on
// the number of shards. A successor observes the lease row of a crashed holder
// at one version for the whole TTL of the lease. It then marks that row as
// ended, at that version, in the same transaction that takes the shards: a
// renewal in between makes the transaction fail.
//
// While the table service is down, no shard can be taken. A holder extends its
// lease beyond the TTL as long as every witness named in its lease row
// confirms, at least once within ConfirmTTL, that it has not revoked the lease.
// A successor needs one of those witnesses to revoke the lease, and then waits
// for ConfirmTTL.
type Shards struct {
	options       ShardOptions
	listener      shardListener
	state         atomic.Pointer[leaseState]
	placement     atomic.Pointer[placement]
	keyOwnerHints [ShardCount]atomic.Pointer[membership.Member]
	revocations   *revocations
	sequence      atomic.Uint64

	// mu serializes changes of state.
	mu sync.Mutex
	// stepMu serializes steps and Release, and guards the fields below.
	stepMu        sync.Mutex
	watchedLeases map[string]*watchedLease
	// unresolvedAttempts holds the writes of the lease row whose outcome is
	// unknown, by attempt number.
	unresolvedAttempts map[uint64]leaseAttempt
	// pendingReleases holds the writes that mark the rows of dropped shards as
	// released.
	pendingReleases map[Shard]platform.Write
	// rowCache holds the rows of wanted shards that others hold. A transaction
	// based on a stale row conflicts.
	rowCache  map[Shard]platform.Row
	released  bool
	lastSweep time.Time
}

// leaseState is an immutable snapshot of the lease and of the shards held.
type leaseState struct {
	leaseID string
	// version is the last known version of the lease row; 0 before the first
	// write.
	version platform.Version
	// renewedAt is when the last renewal known to have succeeded was started.
	renewedAt time.Time
	// ttl is the duration of the lease from renewedAt on.
	ttl time.Duration
	// validUntil is when the holder must stop, unless confirmedUntil is later.
	validUntil time.Time
	// confirmedUntil is when the holder must stop according to the last
	// confirmation by all witnesses.
	confirmedUntil time.Time
	// witnesses are those that the lease row may name: those of the last write
	// known to have succeeded and those of writes with an unknown outcome.
	witnesses    []witness
	soleInstance bool
	// shardVersions holds the row version of each shard held.
	shardVersions map[Shard]platform.Version
}

// NewShards returns Shards whose call handlers are registered with the bus.
// Start Run afterwards.
func NewShards(options ShardOptions) *Shards {
	if options.Clock == nil {
		options.Clock = clockwork.NewRealClock()
	}
	s := &Shards{
		options: options, revocations: newRevocations(),
		watchedLeases: make(map[string]*watchedLease), unresolvedAttempts: make(map[uint64]leaseAttempt),
		pendingReleases: make(map[Shard]platform.Write),
		rowCache:        make(map[Shard]platform.Row),
		lastSweep:       options.Clock.Now(),
	}
	s.updatePlacement(options.Viewer.View())
	options.Viewer.OnChange(s.updatePlacement)
	s.state.Store(s.newLeaseState())
	options.Bus.Handle(confirmMethod, s.handleConfirm)
	options.Bus.Handle(revokeMethod, s.handleRevoke)
	return s
}

// updatePlacement computes the owners of all shards in a view, and clears the
// key owner hints.
func (s *Shards) updatePlacement(view *membership.View) {
	s.placement.Store(newPlacement(view))
	for shard := range s.keyOwnerHints {
		s.keyOwnerHints[shard].Store(nil)
	}
}

func (s *Shards) newLeaseState() *leaseState {
	self := s.options.Viewer.View().Self
	id := fmt.Sprintf("%s/%x/%x", self.Name, self.ProcessID(), s.sequence.Add(1))
	return &leaseState{leaseID: id, shardVersions: map[Shard]platform.Version{}}
}

// Run renews the lease, takes shards over and hands them over until ctx ends.
// Call Release before that for a graceful handover.
func (s *Shards) Run(ctx context.Context) {
	var group conc.WaitGroup
	group.Go(func() { s.runPeriodically(ctx, stepInterval, s.Step) })
	group.Go(func() { s.runPeriodically(ctx, ConfirmInterval, s.confirmLease) })
	group.Wait()
}

func (s *Shards) runPeriodically(ctx context.Context, period time.Duration, do func(context.Context)) {
	ticker := s.options.Clock.NewTicker(period)
	defer ticker.Stop()
	for {
		do(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
	}
}

// Holds reports whether this instance is the key owner of the shard now.
func (s *Shards) Holds(shard Shard) bool {
	state := s.state.Load()
	if _, ok := state.shardVersions[shard]; !ok {
		return false
	}
	return state.valid(s.options.Clock.Now())
}

func (s *leaseState) valid(now time.Time) bool {
	return now.Before(s.validUntil) || now.Before(s.confirmedUntil)
}

// Count returns the number of shards held, whether or not the lease is valid.
func (s *Shards) Count() int { return len(s.state.Load().shardVersions) }

// KeyOwnerOf returns the instance that is expected to be the key's owner. The
// result ok is false if this instance is expected to be the owner but does not
// hold the shard now.
func (s *Shards) KeyOwnerOf(key Key) (keyOwner membership.Member, ok bool) {
	shard, placement := key.Shard(), s.placement.Load()
	view := placement.view
	if s.Holds(shard) {
		return view.Self, true
	}
	if hint := s.keyOwnerHints[shard].Load(); hint != nil && inView(view, hint.Name, hint.ProcessID()) {
		return *hint, hint.Name != view.Self.Name
	}
	owner := placement.owners[shard]
	return owner, owner.Name != view.Self.Name
}

// SetKeyOwnerHint records which instance owns the key's shard according to
// another instance. A hint that names this instance clears the previous one.
func (s *Shards) SetKeyOwnerHint(key Key, keyOwner membership.Member) {
	if keyOwner.Name == s.options.Viewer.View().Self.Name {
		s.keyOwnerHints[key.Shard()].Store(nil)
		return
	}
	s.keyOwnerHints[key.Shard()].Store(&keyOwner)
}

// isSoleInstance reports whether the lease row certainly marks the records of
// this instance as unreplicated.
func (s *Shards) isSoleInstance() bool { return s.state.Load().soleInstance }

// updateState replaces the state by a changed copy.
func (s *Shards) updateState(change func(*leaseState)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := *s.state.Load()
	change(&next)
	s.state.Store(&next)
}

// Step performs one round: it renews the lease if due, hands over the shards
// that belong to other instances, and takes those that belong to this one. Run
// calls it.
func (s *Shards) Step(ctx context.Context) {
	s.stepMu.Lock()
	defer s.stepMu.Unlock()
	if s.released {
		return
	}
	s.dropExpiredAttempts()
	if err := s.step(ctx); err != nil {
		// After an outage each lease is observed anew, so that every holder has
		// a full TTL to renew.
		clear(s.watchedLeases)
		clear(s.rowCache)
	}
}

// dropExpiredAttempts removes writes that are too old to extend the lease.
func (s *Shards) dropExpiredAttempts() {
	for id, attempt := range s.unresolvedAttempts {
		if s.options.Clock.Since(attempt.startedAt) > MaxLeaseTTL {
			delete(s.unresolvedAttempts, id)
		}
	}
}

func (s *Shards) step(ctx context.Context) error {
	state := s.state.Load()
	if state.version != 0 && s.options.Clock.Since(state.renewedAt) >= state.ttl/2 {
		if err := s.renew(ctx); err != nil {
			return err
		}
	}
	s.handOverShards(ctx, s.misplacedShards(), false)
	if err := s.releaseRows(ctx); err != nil {
		return err
	}
	if err := s.takeShards(ctx); err != nil {
		return err
	}
	return s.sweepLeases(ctx)
}
