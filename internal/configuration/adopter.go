package configuration

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/hibiscuspost/hibiscuspost/internal/membership"
	"github.com/hibiscuspost/hibiscuspost/internal/peer"
	"github.com/hibiscuspost/hibiscuspost/internal/platform"
	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

// Membership is what the configuration uses of a membership.
type Membership interface {
	membership.Viewer
	membership.Rumors
	// Reach tells how many of the known members are live here.
	Reach() membership.Reach
	// CarryStatus makes probes carry the configuration's status.
	CarryStatus(local func() membership.Status, heard func(membership.Heard))
	// Statuses returns the last status heard of each member.
	Statuses() []membership.LastStatus
	// OnPause registers a function called after this process was paused.
	OnPause(func(gap time.Duration))
}

// Options describe an Adopter and its Store.
type Options struct {
	// Table holds the rows.
	Table platform.TableService
	// Bus carries pushes and pulls; handlers are registered by NewAdopter.
	Bus peer.Bus
	// Membership is the membership, not yet running.
	Membership Membership
	// Clock is the source of time; nil means the real one.
	Clock clockwork.Clock
	// Rand spreads polls; nil means a seed of the runtime's.
	Rand *rand.Rand
	// Logger takes changes of state; nil discards them.
	Logger *zap.Logger
}

// Replica holds the configuration in force on this instance.
type Replica struct {
	table   platform.TableService
	bus     peer.Bus
	members Membership
	clock   clockwork.Clock
	logger  *zap.Logger

	current atomic.Pointer[tables.Tables]
	stamp   atomic.Pointer[stamp]
	// outage is the latest decision for the case that the stamp is too old.
	outage atomic.Pointer[decision]
	// verified is set once enough peers have confirmed the version while the
	// table could not be read; a pause clears it.
	verified atomic.Bool
	// verifyAt is the earliest time to ask peers again; only decide uses it.
	verifyAt time.Time
	// wanted is the highest version heard of.
	wanted atomic.Uint64

	// fetches wakes the goroutine that pulls a wanted version.
	fetches chan struct{}
	// relays are pushes to be passed on.
	relays chan relayJob

	// adopting serialises adoption and the calls of listeners.
	adopting sync.Mutex
	// mu guards the fields below.
	mu        sync.Mutex
	rand      *rand.Rand
	listeners []func(*tables.Tables)
}

// stamp says that at a time the table held no higher version than this
// instance holds.
type stamp struct {
	at time.Time
	// source is the peer that told so; empty for an own read.
	source string
}

// NewReplica returns an adopter that holds the empty configuration. Call it
// before the bus is started and the members run.
func NewReplica(options Options) *Replica {
	a := &Replica{
		table:   options.Table,
		bus:     options.Bus,
		members: options.Membership,
		clock:   options.Clock,
		logger:  options.Logger,
		rand:    options.Rand,
		fetches: make(chan struct{}, 1),
		relays:  make(chan relayJob, relayBacklog),
	}
	if a.clock == nil {
		a.clock = clockwork.NewRealClock()
	}
	if a.logger == nil {
		a.logger = zap.NewNop()
	}
	if a.rand == nil {
		a.rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	a.current.Store(&tables.Tables{})
	a.bus.Handle(methodPush, a.servePush)
	a.bus.Handle(methodGet, a.serveGet)
	a.bus.Handle(methodVersion, a.serveVersion)
	a.members.CarryStatus(a.status, a.hear)
	a.members.Subscribe(membership.RumorConfig, func(r membership.Rumor) { a.want(r.Rank) })
	a.members.OnPause(func(time.Duration) { a.verified.Store(false) })
	return a
}

// Current returns the configuration in force here. It is never nil and must
// not be changed; version 0 has no routes.
func (a *Replica) Current() *tables.Tables { return a.current.Load() }

// OnChange registers a function that is called with each configuration that
// comes into force here, one call at a time and in the order of versions. It
// must return soon. Register before Run.
func (a *Replica) OnChange(listener func(*tables.Tables)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.listeners = append(a.listeners, listener)
}

// Run polls, pulls and passes on until ctx ends, and returns why it ended.
func (a *Replica) Run(ctx context.Context) error {
	var wg conc.WaitGroup
	wg.Go(func() { a.runPolls(ctx) })
	wg.Go(func() { a.runFetches(ctx) })
	wg.Go(func() { a.runRelays(ctx) })
	wg.Go(func() { a.runOutageDecisions(ctx) })
	wg.Wait()
	return errors.Wrap(ctx.Err(), "configuration")
}

// adopt brings t into force unless a version at least as high is.
func (a *Replica) adopt(t *tables.Tables, source string) {
	if !a.replace(t) {
		return
	}
	a.logger.Info("configuration adopted", zap.Uint64("version", t.Version), zap.String("source", source))
	a.members.Publish(membership.Rumor{
		Kind: membership.RumorConfig, Rank: t.Version, Body: []byte(a.bus.Address()),
	})
}

func (a *Replica) replace(t *tables.Tables) bool {
	a.adopting.Lock()
	defer a.adopting.Unlock()
	if t.Version <= a.current.Load().Version {
		return false
	}
	a.current.Store(t)
	a.mu.Lock()
	listeners := a.listeners
	a.mu.Unlock()
	for _, listener := range listeners {
		listener(t)
	}
	return true
}

// want notes that a version exists and has it pulled if it is missing here.
func (a *Replica) want(version uint64) {
	for {
		old := a.wanted.Load()
		if version <= old {
			break
		}
		if a.wanted.CompareAndSwap(old, version) {
			break
		}
	}
	if version <= a.Current().Version {
		return
	}
	select {
	case a.fetches <- struct{}{}:
	default:
	}
}

// between returns a random time from least to most.
func (a *Replica) between(least, most time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return least + time.Duration(a.rand.Int64N(int64(most-least)+1))
}

// shuffled returns the members other than this instance in random order.
func (a *Replica) shuffled() []membership.Member {
	view := a.members.View()
	var others []membership.Member
	for _, m := range view.Members {
		if m.Name != view.Self.Name {
			others = append(others, m)
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others
}
