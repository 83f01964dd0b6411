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
	table      platform.TableService
	bus        peer.Bus
	membership Membership
	clock      clockwork.Clock
	logger     *zap.Logger

	current        atomic.Pointer[tables.Tables]
	freshnessStamp atomic.Pointer[freshnessStamp]
	// lastOutageDecision is the latest decision for the case that the stamp is too old.
	lastOutageDecision atomic.Pointer[outageDecision]
	// versionVerified is set once enough peers have confirmed the version while the
	// table could not be read; a pause clears it.
	versionVerified atomic.Bool
	// nextVerify is the earliest time to ask peers again; only decide uses it.
	nextVerify time.Time
	// highestKnown is the highest version heard of.
	highestKnown atomic.Uint64

	// fetchRequested wakes the goroutine that pulls a wanted version.
	fetchRequested chan struct{}
	// relayQueue are pushes to be passed on.
	relayQueue chan relayJob

	// changeMu serialises adoption and the calls of listeners.
	changeMu sync.Mutex
	// mu guards the fields below.
	mu        sync.Mutex
	rand      *rand.Rand
	listeners []func(*tables.Tables)
}

// freshnessStamp says that at a time the table held no higher version than this
// instance holds.
type freshnessStamp struct {
	readStart time.Time
	// source is the peer that told so; empty for an own read.
	source string
}

// NewReplica returns an adopter that holds the empty configuration. Call it
// before the bus is started and the members run.
func NewReplica(options Options) *Replica {
	r := &Replica{
		table:          options.Table,
		bus:            options.Bus,
		membership:     options.Membership,
		clock:          options.Clock,
		logger:         options.Logger,
		rand:           options.Rand,
		fetchRequested: make(chan struct{}, 1),
		relayQueue:     make(chan relayJob, relayQueueSize),
	}
	if r.clock == nil {
		r.clock = clockwork.NewRealClock()
	}
	if r.logger == nil {
		r.logger = zap.NewNop()
	}
	if r.rand == nil {
		r.rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	r.current.Store(&tables.Tables{})
	r.bus.Handle(methodPush, r.handlePush)
	r.bus.Handle(methodGet, r.handleGet)
	r.bus.Handle(methodVersion, r.handleVersion)
	r.membership.CarryStatus(r.status, r.handleStatus)
	r.membership.Subscribe(membership.RumorConfig, func(rumor membership.Rumor) { r.observeVersion(rumor.Rank) })
	r.membership.OnPause(func(time.Duration) { r.versionVerified.Store(false) })
	return r
}

// Current returns the configuration in force here. It is never nil and must
// not be changed; version 0 has no routes.
func (r *Replica) Current() *tables.Tables { return r.current.Load() }

// OnChange registers a function that is called with each configuration that
// comes into force here, one call at a time and in the order of versions. It
// must return soon. Register before Run.
func (r *Replica) OnChange(listener func(*tables.Tables)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listeners = append(r.listeners, listener)
}

// Run polls, pulls and passes on until ctx ends, and returns why it ended.
func (r *Replica) Run(ctx context.Context) error {
	var wg conc.WaitGroup
	wg.Go(func() { r.runPolls(ctx) })
	wg.Go(func() { r.runFetches(ctx) })
	wg.Go(func() { r.runRelays(ctx) })
	wg.Go(func() { r.runOutageChecks(ctx) })
	wg.Wait()
	return errors.Wrap(ctx.Err(), "configuration")
}

// install brings t into force unless a version at least as high is.
func (r *Replica) install(t *tables.Tables, source string) {
	if !r.replaceCurrent(t) {
		return
	}
	r.logger.Info("configuration adopted", zap.Uint64("version", t.Version), zap.String("source", source))
	r.membership.Publish(membership.Rumor{
		Kind: membership.RumorConfig, Rank: t.Version, Body: []byte(r.bus.Address()),
	})
}

func (r *Replica) replaceCurrent(t *tables.Tables) bool {
	r.changeMu.Lock()
	defer r.changeMu.Unlock()
	if t.Version <= r.current.Load().Version {
		return false
	}
	r.current.Store(t)
	r.mu.Lock()
	listeners := r.listeners
	r.mu.Unlock()
	for _, listener := range listeners {
		listener(t)
	}
	return true
}

// observeVersion notes that a version exists and has it pulled if it is missing here.
func (r *Replica) observeVersion(version uint64) {
	for {
		highest := r.highestKnown.Load()
		if version <= highest {
			break
		}
		if r.highestKnown.CompareAndSwap(highest, version) {
			break
		}
	}
	if version <= r.Current().Version {
		return
	}
	select {
	case r.fetchRequested <- struct{}{}:
	default:
	}
}

// randomDuration returns a random time from least to most.
func (r *Replica) randomDuration(shortest, longest time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return shortest + time.Duration(r.rand.Int64N(int64(longest-shortest)+1))
}

// shuffledPeers returns the members other than this instance in random order.
func (r *Replica) shuffledPeers() []membership.Member {
	view := r.membership.View()
	var peers []membership.Member
	for _, m := range view.Members {
		if m.Name != view.Self.Name {
			peers = append(peers, m)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers
}
