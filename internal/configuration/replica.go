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

// Membership is the part of membership.Membership that this package uses.
type Membership interface {
	membership.Viewer
	membership.Rumors
	// Reach returns how many of the known members are live.
	Reach() membership.Reach
	// PiggybackStatus makes probes carry the configuration's status.
	PiggybackStatus(local func() membership.Status, onStatus func(membership.ReceivedStatus))
	// Statuses returns the last status received from each member.
	Statuses() []membership.LastStatus
	// OnPause registers a function that is called after a pause of this
	// process.
	OnPause(func(gap time.Duration))
}

// Options configure a Replica and its Store.
type Options struct {
	// Table holds the rows.
	Table platform.TableService
	// Bus carries pushes and fetches; NewReplica registers the handlers.
	Bus peer.Bus
	// Membership must not be running yet.
	Membership Membership
	// Clock defaults to the real clock.
	Clock clockwork.Clock
	// Rand randomizes polls and the choice of peers; it defaults to a randomly
	// seeded source.
	Rand *rand.Rand
	// Logger logs state changes; nil discards them.
	Logger *zap.Logger
}

// Replica holds the current configuration of this instance.
type Replica struct {
	table      platform.TableService
	bus        peer.Bus
	membership Membership
	clock      clockwork.Clock
	logger     *zap.Logger

	current        atomic.Pointer[tables.Tables]
	freshnessStamp atomic.Pointer[freshnessStamp]
	// lastOutageDecision applies while the freshness stamp is too old.
	lastOutageDecision atomic.Pointer[outageDecision]
	// versionVerified is true once the version has been confirmed by a recent
	// read of the table or by enough peers. A pause resets it.
	versionVerified atomic.Bool
	// nextVerify is the earliest time of the next verifyVersion call; only
	// updateOutageDecision uses it.
	nextVerify time.Time
	// highestKnown is the highest version reported by any peer or rumor.
	highestKnown atomic.Uint64

	// fetchRequested wakes the goroutine that fetches missing versions.
	fetchRequested chan struct{}
	// relayQueue holds pushes to be relayed.
	relayQueue chan relayJob

	// changeMu serializes changes of current and the calls of listeners.
	changeMu sync.Mutex
	// mu guards the fields below.
	mu        sync.Mutex
	rand      *rand.Rand
	listeners []func(*tables.Tables)
}

// freshnessStamp records that at readStart the table held no higher version
// than this instance holds.
type freshnessStamp struct {
	readStart time.Time
	// source is the peer that reported the read; empty if this instance did it.
	source string
}

// NewReplica returns a replica that holds the empty configuration. Call it
// before the bus is started and the membership runs.
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
	r.membership.PiggybackStatus(r.status, r.handleStatus)
	r.membership.Subscribe(membership.RumorConfig, func(rumor membership.Rumor) { r.observeVersion(rumor.Rank) })
	r.membership.OnPause(func(time.Duration) { r.versionVerified.Store(false) })
	return r
}

// Current returns the current configuration of this instance. It is never nil
// and must not be modified; version 0 has no routes.
func (r *Replica) Current() *tables.Tables { return r.current.Load() }

// OnChange registers a function that is called with each configuration that
// becomes current, one call at a time and in version order. The function must
// not block. Register before Run.
func (r *Replica) OnChange(listener func(*tables.Tables)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listeners = append(r.listeners, listener)
}

// Run polls the table, fetches missing versions and relays pushes until ctx
// ends, and returns the error of ctx.
func (r *Replica) Run(ctx context.Context) error {
	var wg conc.WaitGroup
	wg.Go(func() { r.runPolls(ctx) })
	wg.Go(func() { r.runFetches(ctx) })
	wg.Go(func() { r.runRelays(ctx) })
	wg.Go(func() { r.runOutageChecks(ctx) })
	wg.Wait()
	return errors.Wrap(ctx.Err(), "configuration")
}

// install makes t the current configuration and publishes a rumor of it, unless
// the current version is at least as high.
func (r *Replica) install(t *tables.Tables, source string) {
	if !r.replaceCurrent(t) {
		return
	}
	r.logger.Info("configuration installed", zap.Uint64("version", t.Version), zap.String("source", source))
	r.membership.Publish(membership.Rumor{
		Kind: membership.RumorConfig, Rank: t.Version, Body: []byte(r.bus.Address()),
	})
}

// replaceCurrent makes t current and calls the listeners. It returns false if
// the current version is at least as high.
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

// observeVersion records that a version exists and requests a fetch if it is
// newer than the current one.
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

// randomDuration returns a random duration from shortest to longest, inclusive.
func (r *Replica) randomDuration(shortest, longest time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return shortest + time.Duration(r.rand.Int64N(int64(longest-shortest)+1))
}

// shuffledPeers returns the live members other than this instance in random order.
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
