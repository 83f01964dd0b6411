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

// shardTick is the pause between looks at which shards to take or pass on.
const shardTick = 500 * time.Millisecond

// ShardOptions join Shards to the rest of an instance.
type ShardOptions struct {
	Table  platform.TableService
	Bus    peer.Bus
	Viewer membership.Viewer
	// Clock must be monotonic; nil means the real clock.
	Clock clockwork.Clock
}

// Acquired tells of a shard that this instance is about to hold.
type Acquired struct {
	Shard Shard `msgpack:"s"`
	// Previous is the last holder; its name is empty if there was none.
	Previous membership.Member `msgpack:"p"`
	// Inherited is set when the last holder has passed its records here, or
	// there was none.
	Inherited bool `msgpack:"i,omitempty"`
	// Alone is set when the last holder's records existed nowhere else.
	Alone bool `msgpack:"a,omitempty"`
}

// shardListener is told of changes before they show in Holds (acquired) and
// after (lost).
type shardListener interface {
	acquired([]Acquired)
	// passOn gives the records of shards to the member; false means that it
	// may not have got them. Leaving tells that this instance shuts down.
	passOn(ctx context.Context, to membership.Member, shards []Shard, leaving bool) bool
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
	options  ShardOptions
	listener shardListener
	grip     atomic.Pointer[grip]
	placed   atomic.Pointer[placement]
	hints    [ShardCount]atomic.Pointer[membership.Member]
	ceded    *cessions
	sequence atomic.Uint64

	// mu guards changes of grip.
	mu sync.Mutex
	// stepMu serialises steps; the fields below belong to the present step.
	stepMu  sync.Mutex
	watched map[string]*watchedLease
	// unknown holds the attempts to write the lease whose answers were lost.
	unknown map[uint64]leaseAttempt
	// unfreed holds the writes that free shards already dropped.
	unfreed map[Shard]platform.Write
	// rows caches the rows of wanted shards that others hold. A transaction
	// that builds on an old one conflicts.
	rows     map[Shard]platform.Row
	released bool
	swept    time.Time
}

// grip is an immutable picture of what this instance holds.
type grip struct {
	lease string
	// version is the lease row's last version known; 0 before the first write.
	version platform.Version
	// renewed is when the last renewal known to have succeeded was begun.
	renewed time.Time
	// ttl is the life of the lease from that renewal.
	ttl time.Duration
	// until is when the holder must stop, unless vouched says later.
	until time.Time
	// vouched is the same by the word of the witnesses.
	vouched time.Time
	// witnesses are those that the row may name: the last ones known to be
	// written and those of a write with a lost answer.
	witnesses []witness
	solo      bool
	// rows holds the versions of the rows of the shards held.
	rows map[Shard]platform.Version
}

// NewShards registers its call handlers with the bus; start Run after it.
func NewShards(options ShardOptions) *Shards {
	if options.Clock == nil {
		options.Clock = clockwork.NewRealClock()
	}
	s := &Shards{
		options: options, ceded: newCessions(),
		watched: make(map[string]*watchedLease), unknown: make(map[uint64]leaseAttempt),
		unfreed: make(map[Shard]platform.Write),
		rows:    make(map[Shard]platform.Row),
		swept:   options.Clock.Now(),
	}
	s.place(options.Viewer.View())
	options.Viewer.OnChange(s.place)
	s.grip.Store(s.newGrip())
	options.Bus.Handle(vouchMethod, s.handleVouch)
	options.Bus.Handle(cedeMethod, s.handleCede)
	return s
}

// place works out the owners of all shards in a view.
func (s *Shards) place(view *membership.View) {
	s.placed.Store(newPlacement(view))
	for shard := range s.hints {
		s.hints[shard].Store(nil)
	}
}

func (s *Shards) newGrip() *grip {
	self := s.options.Viewer.View().Self
	id := fmt.Sprintf("%s/%x/%x", self.Name, self.ProcessID(), s.sequence.Add(1))
	return &grip{lease: id, rows: map[Shard]platform.Version{}}
}

// Run renews the lease, takes shards over and passes them on until ctx ends.
// Call Release before that for a graceful handover.
func (s *Shards) Run(ctx context.Context) {
	var group conc.WaitGroup
	group.Go(func() { s.every(ctx, shardTick, s.Step) })
	group.Go(func() { s.every(ctx, VouchEvery, s.askWitnesses) })
	group.Wait()
}

func (s *Shards) every(ctx context.Context, period time.Duration, do func(context.Context)) {
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
	g := s.grip.Load()
	if _, ok := g.rows[shard]; !ok {
		return false
	}
	return g.valid(s.options.Clock.Now())
}

func (g *grip) valid(now time.Time) bool {
	return now.Before(g.until) || now.Before(g.vouched)
}

// Count returns the number of shards held.
func (s *Shards) Count() int { return len(s.grip.Load().rows) }

// KeyOwnerOf returns the instance that is thought to be the key's owner; ok is
// false when that is this instance but it does not hold the shard now.
func (s *Shards) KeyOwnerOf(key Key) (keyOwner membership.Member, ok bool) {
	shard, placed := key.Shard(), s.placed.Load()
	view := placed.view
	if s.Holds(shard) {
		return view.Self, true
	}
	if hint := s.hints[shard].Load(); hint != nil && present(view, hint.Name, hint.ProcessID()) {
		return *hint, hint.Name != view.Self.Name
	}
	owner := placed.owners[shard]
	return owner, owner.Name != view.Self.Name
}

// Learn notes an instance's word that another is the key's owner.
func (s *Shards) Learn(key Key, keyOwner membership.Member) {
	if keyOwner.Name == s.options.Viewer.View().Self.Name {
		s.hints[key.Shard()].Store(nil)
		return
	}
	s.hints[key.Shard()].Store(&keyOwner)
}

// solo tells whether the lease row says that nobody else has the records.
func (s *Shards) solo() bool { return s.grip.Load().solo }

// update swaps the grip for a changed copy.
func (s *Shards) update(change func(*grip)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := *s.grip.Load()
	change(&next)
	s.grip.Store(&next)
}

// Step does one round: renew when due, pass on shards that belong elsewhere,
// take those that belong here. Run calls it.
func (s *Shards) Step(ctx context.Context) {
	s.stepMu.Lock()
	defer s.stepMu.Unlock()
	if s.released {
		return
	}
	s.dropOldAttempts()
	if err := s.step(ctx); err != nil {
		// After an outage every holder gets a full LeaseTTL to renew.
		clear(s.watched)
		clear(s.rows)
	}
}

// dropOldAttempts forgets writes that could not extend the lease any more.
func (s *Shards) dropOldAttempts() {
	for id, attempt := range s.unknown {
		if s.options.Clock.Since(attempt.started) > LeaseTTL {
			delete(s.unknown, id)
		}
	}
}

func (s *Shards) step(ctx context.Context) error {
	g := s.grip.Load()
	if g.version != 0 && s.options.Clock.Since(g.renewed) >= g.ttl/2 {
		if err := s.renew(ctx); err != nil {
			return err
		}
	}
	s.passOn(ctx, s.misplaced(), false)
	if err := s.free(ctx); err != nil {
		return err
	}
	if err := s.take(ctx); err != nil {
		return err
	}
	return s.sweep(ctx)
}
