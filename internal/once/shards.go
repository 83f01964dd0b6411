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

// stepInterval is the pause between looks at which shards to take or pass on.
const stepInterval = 500 * time.Millisecond

// ShardOptions join Shards to the rest of an instance.
type ShardOptions struct {
	Table  platform.TableService
	Bus    peer.Bus
	Viewer membership.Viewer
	// Clock must be monotonic; nil means the real clock.
	Clock clockwork.Clock
}

// Acquisition tells of a shard that this instance is about to hold.
type Acquisition struct {
	Shard Shard `msgpack:"s"`
	// PreviousHolder is the last holder; its name is empty if there was none.
	PreviousHolder membership.Member `msgpack:"p"`
	// RecordsComplete is set when the last holder has passed its records here, or
	// there was none.
	RecordsComplete bool `msgpack:"i,omitempty"`
	// Unreplicated is set when the last holder's records existed nowhere else.
	Unreplicated bool `msgpack:"a,omitempty"`
}

// shardListener is told of changes before they show in Holds (acquired) and
// after (lost).
type shardListener interface {
	shardsAcquired([]Acquisition)
	// handOverRecords gives the records of shards to the member; false means that it
	// may not have got them. Leaving tells that this instance shuts down.
	handOverRecords(ctx context.Context, to membership.Member, shards []Shard, leaving bool) bool
}

// Shards holds this instance's lease and the shards under it.
//
// One row is the instance's lease; each shard's row names the lease of its
// holder. Renewal writes the lease row only, so that its cost does not depend
// on the number of shards. A successor marks the lease row of a dead holder as
// ended, at the version that it watched for a whole LeaseTTL, in the same
// transaction that takes the shards: a renewal in between makes it fail.
//
// While the table service is down nobody can take a shard. A holder goes on
// past its lease as long as every witness named in its lease row says, within
// VouchTTL, that it has not ceded the lease. A successor needs one of those
// witnesses to cede, and then waits out VouchTTL.
type Shards struct {
	options       ShardOptions
	listener      shardListener
	state         atomic.Pointer[leaseState]
	placement     atomic.Pointer[placement]
	keyOwnerHints [ShardCount]atomic.Pointer[membership.Member]
	revocations   *revocations
	sequence      atomic.Uint64

	// mu guards changes of grip.
	mu sync.Mutex
	// stepMu serialises steps; the fields below belong to the present step.
	stepMu        sync.Mutex
	watchedLeases map[string]*watchedLease
	// unresolvedAttempts holds the attempts to write the lease whose answers were lost.
	unresolvedAttempts map[uint64]leaseAttempt
	// pendingReleases holds the writes that free shards already dropped.
	pendingReleases map[Shard]platform.Write
	// rowCache caches the rowCache of wanted shards that others hold. A transaction
	// that builds on an old one conflicts.
	rowCache  map[Shard]platform.Row
	released  bool
	lastSweep time.Time
}

// leaseState is an immutable picture of what this instance holds.
type leaseState struct {
	leaseID string
	// version is the lease row's last version known; 0 before the first write.
	version platform.Version
	// renewedAt is when the last renewal known to have succeeded was begun.
	renewedAt time.Time
	// ttl is the life of the lease from that renewal.
	ttl time.Duration
	// validUntil is when the holder must stop, unless vouched says later.
	validUntil time.Time
	// confirmedUntil is the same by the word of the witnesses.
	confirmedUntil time.Time
	// witnesses are those that the row may name: the last ones known to be
	// written and those of a write with a lost answer.
	witnesses    []witness
	soleInstance bool
	// shardVersions holds the versions of the shardVersions of the shards held.
	shardVersions map[Shard]platform.Version
}

// NewShards registers its call handlers with the bus; start Run after it.
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

// updatePlacement works out the owners of all shards in a view.
func (s *Shards) updatePlacement(view *membership.View) {
	s.placement.Store(newPlacement(view))
	for shard := range s.keyOwnerHints {
		s.keyOwnerHints[shard].Store(nil)
	}
}

func (s *Shards) newLeaseState() *leaseState {
	self := s.options.Viewer.View().Self
	id := fmt.Sprintf("%s/%x/%x", self.Name, self.Process(), s.sequence.Add(1))
	return &leaseState{leaseID: id, shardVersions: map[Shard]platform.Version{}}
}

// Run renews the lease, takes shards over and passes them on until ctx ends.
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

// Holds tells whether this instance is the shard's key owner now.
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

// Count returns the number of shards held.
func (s *Shards) Count() int { return len(s.state.Load().shardVersions) }

// KeyOwnerOf returns the instance that is thought to be the key's owner; ok is
// false when that is this instance but it does not hold the shard now.
func (s *Shards) KeyOwnerOf(key Key) (keyOwner membership.Member, ok bool) {
	shard, placement := key.Shard(), s.placement.Load()
	view := placement.view
	if s.Holds(shard) {
		return view.Self, true
	}
	if hint := s.keyOwnerHints[shard].Load(); hint != nil && inView(view, hint.Name, hint.Process()) {
		return *hint, hint.Name != view.Self.Name
	}
	owner := placement.owners[shard]
	return owner, owner.Name != view.Self.Name
}

// SetKeyOwnerHint notes an instance's word that another is the key's owner.
func (s *Shards) SetKeyOwnerHint(key Key, keyOwner membership.Member) {
	if keyOwner.Name == s.options.Viewer.View().Self.Name {
		s.keyOwnerHints[key.Shard()].Store(nil)
		return
	}
	s.keyOwnerHints[key.Shard()].Store(&keyOwner)
}

// isSoleInstance tells whether the lease row says that nobody else has the records.
func (s *Shards) isSoleInstance() bool { return s.state.Load().soleInstance }

// updateState swaps the grip for a changed copy.
func (s *Shards) updateState(change func(*leaseState)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := *s.state.Load()
	change(&next)
	s.state.Store(&next)
}

// Step does one round: renew when due, pass on shards that belong elsewhere,
// take those that belong here. Run calls it.
func (s *Shards) Step(ctx context.Context) {
	s.stepMu.Lock()
	defer s.stepMu.Unlock()
	if s.released {
		return
	}
	s.dropExpiredAttempts()
	if err := s.step(ctx); err != nil {
		// After an outage every holder gets a full LeaseTTL to renew.
		clear(s.watchedLeases)
		clear(s.rowCache)
	}
}

// dropExpiredAttempts forgets writes that could not extend the lease any more.
func (s *Shards) dropExpiredAttempts() {
	for id, attempt := range s.unresolvedAttempts {
		if s.options.Clock.Since(attempt.started) > MaxLeaseTTL {
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
