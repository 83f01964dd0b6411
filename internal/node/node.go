package node

import (
	"context"
	"encoding/binary"
	"expvar"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v2"
	"github.com/gofiber/fiber/v2/middleware/adaptor"
	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/hibiscuspost/hibiscuspost/internal/catalog"
	"github.com/hibiscuspost/hibiscuspost/internal/dispatch"
	"github.com/hibiscuspost/hibiscuspost/internal/eventlog"
	"github.com/hibiscuspost/hibiscuspost/internal/gateway"
	"github.com/hibiscuspost/hibiscuspost/internal/metrics"
	"github.com/hibiscuspost/hibiscuspost/internal/peer"
	"github.com/hibiscuspost/hibiscuspost/internal/placement"
	"github.com/hibiscuspost/hibiscuspost/internal/quarantine"
	"github.com/hibiscuspost/hibiscuspost/internal/quota"
	"github.com/hibiscuspost/hibiscuspost/internal/rollout"
	"github.com/hibiscuspost/hibiscuspost/internal/routing"
)

const (
	// memoryShare is the part of the bounded memory that the runtime aims to
	// stay under; the rest is for what it does not count.
	memoryShare = 0.75
	// collectPercent is how much the heap may grow between two collections:
	// memory costs more than processor time at this size.
	collectPercent = 30
	// sweepPeriod is the time between looks for unused connections.
	sweepPeriod = 2 * time.Second
)

// Options are what a Node works with.
type Options struct {
	Settings     Settings
	ControlPlane ControlPlane
	Protocol     gateway.Protocol
	// ReadinessPath is where the balancer asks whether the instance takes
	// requests.
	ReadinessPath string
	Clock         clockwork.Clock
	Logger        *zap.Logger
	// LogDrops counts dropped log lines; nil counts none.
	LogDrops DropCounter
}

// DropCounter is the output of log lines; see package eventlog.
type DropCounter interface{ Dropped() uint64 }

// counters are the node's own.
type counters struct{ SendErrors, DecodeErrors atomic.Uint64 }

// Node is one running instance.
type Node struct {
	settings    Settings
	control     ControlPlane
	clock       clockwork.Clock
	logger      *zap.Logger
	incarnation int64

	holder    *catalog.Holder
	placement *placement.Service
	pool      *dispatch.Pool
	quota     *quota.Ledger
	peers     *peerTable
	rollouts  *rollout.Controller
	suspects  *quarantine.Suspects
	bus       *peer.NetBus
	callers   *gateway.Server
	readiness *fiber.App
	// callersAddress and readyAddress are those in use.
	callersAddress, readyAddress string
	counters                     counters
	served                       gateway.Counters
	metrics                      *metrics.Set

	// gatherTurns counts the sums sent to others.
	gatherTurns atomic.Int64
	// started is the origin of ownWatch.
	started time.Time
	// ownWatch is when this instance's own watch of the operator's declarations
	// was last answered, in nanoseconds since started; 0 if never and after a
	// failure.
	ownWatch atomic.Int64
	// newerDeclared is signalled when another instance has a newer
	// configuration.
	newerDeclared chan struct{}
	// newerTargets takes the addresses of instances that know newer targets.
	newerTargets chan string

	draining     atomic.Bool
	knowsTargets atomic.Bool
	// sharers counts the instances that share the work, with this one.
	sharers atomic.Int64
	// serviceAt maps the addresses of targets to their services.
	serviceAt atomic.Pointer[map[string]string]

	// targetsMu guards targets.
	targetsMu sync.Mutex
	targets   targetList

	// rosterMu makes taking over a list of coordinators one step.
	rosterMu sync.Mutex

	// budgetsMu guards budgets and repeats.
	budgetsMu sync.Mutex
	budgets   map[string]*routing.WindowBudget
	repeats   gateway.Limits
	// grace is the settings' Grace as it is now, in nanoseconds.
	grace atomic.Int64

	cancel     context.CancelFunc
	background conc.WaitGroup
}

// Start listens on the addresses of the settings and begins to serve.
func Start(o Options) (*Node, error) {
	n := &Node{
		settings: o.Settings, control: o.ControlPlane, clock: o.Clock, logger: o.Logger,
		incarnation: o.Clock.Now().UnixNano() ^ int64(rand.Uint32()),
		holder:      &catalog.Holder{}, budgets: make(map[string]*routing.WindowBudget),
	}
	n.started, n.newerTargets, n.newerDeclared = o.Clock.Now(), make(chan string, 1), make(chan struct{}, 1)
	n.repeats = o.Settings.Retries
	n.grace.Store(int64(o.Settings.ShutdownGrace))
	n.metrics = metrics.New(o.Settings.Name)
	n.sharers.Store(1)
	n.serviceAt.Store(&map[string]string{})
	n.SetMemoryLimit(o.Settings.MemoryLimitBytes)
	n.pool = dispatch.NewPool(o.Clock)
	n.rollouts = rollout.New(o.Clock)
	n.suspects = quarantine.NewSuspects(o.Clock)
	n.pool.BoundIdle(n.idleBound)
	n.quota = quota.New(o.Clock, n.random(), o.Settings.QuotaTolerance, o.Settings.FirstStart)
	if err := n.listenPeers(); err != nil {
		return nil, err
	}
	n.shareBudgets()
	n.callers = gateway.NewServer(gateway.New(gateway.Options{
		Protocol: o.Protocol, Catalog: n.holder, Placer: n.placement, Pool: n.pool, Quota: n.quota, Rollouts: n.rollouts, Suspects: n.suspects,
		Budget: n.budget, Misdirected: n.misdirected, Draining: n.draining.Load, Counters: &n.served,
		Observe: n.observe, Beliefs: n.beliefs, FailureDomain: o.Settings.FailureDomain, Clock: o.Clock, Logger: o.Logger,
	}))
	if err := n.listen(o.ReadinessPath); err != nil {
		return nil, err
	}
	n.publish(o.LogDrops)
	n.run()
	n.logger.Info("instance started",
		zap.String("callers", n.callersAddress), zap.String("peers", n.settings.PeerAddress),
		zap.Int64("incarnation", n.incarnation), zap.Bool("first_start", o.Settings.FirstStart))
	return n, nil
}

// CallerAddress is the address for callers in use, "ip:port".
func (n *Node) CallerAddress() string { return n.callersAddress }

// ReadinessAddress is the address of the balancer's questions.
func (n *Node) ReadinessAddress() string { return n.readyAddress }

// PeerAddress is the address for other instances.
func (n *Node) PeerAddress() string { return n.settings.PeerAddress }

// SetMemoryLimit bounds the memory of the process; 0 sets no bound.
func (n *Node) SetMemoryLimit(bytes int64) {
	if bytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(bytes)))
	}
	debug.SetGCPercent(collectPercent)
}

// listenPeers binds the address for other instances, which names this one from
// then on.
func (n *Node) listenPeers() error {
	var err error
	n.bus, err = peer.Listen(peer.Options{
		Address: n.settings.PeerAddress, Secret: deploymentSecret(n.settings.Deployment), Logger: n.logger,
	})
	if err != nil {
		return errors.Wrap(err, "listen for instances")
	}
	n.settings.PeerAddress = n.bus.Address()
	n.peers = newPeerTable(n.clock, n.settings.PeerAddress, n.settings.Seeds)
	n.placement = placement.New(placement.Options{
		Self: n.settings.PeerAddress, Clock: n.clock, Away: n.draining.Load, Others: n.peers.addresses, Random: n.random, Logger: n.logger,
		Send: func(address string, body []byte) error { return n.bus.Send(address, peer.KindPlacement, body) },
	})
	n.bus.HandleDatagram(peer.KindCredit, n.hear)
	n.bus.HandleDatagram(peer.KindPlacement, n.placement.Hear)
	n.handleCalls()
	return nil
}

// listen binds the other addresses and begins to serve.
func (n *Node) listen(readyPath string) error {
	if err := n.bus.Start(); err != nil {
		return errors.Wrap(err, "listen for instances")
	}
	callers, err := net.Listen("tcp", n.settings.CallerAddress)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	ready, err := net.Listen("tcp", n.settings.ReadinessAddress)
	if err != nil {
		return errors.Wrap(err, "listen for the balancer")
	}
	n.callersAddress, n.readyAddress = callers.Addr().String(), ready.Addr().String()
	n.readiness = fiber.New(fiber.Config{DisableStartupMessage: true})
	n.readiness.Get(readyPath, n.ready)
	n.background.Go(func() { n.serve("callers", n.callers.Serve(callers)) })
	n.background.Go(func() { n.serve("balancer", n.readiness.Listener(ready)) })
	return n.listenMetrics()
}

func (n *Node) listenMetrics() error {
	if n.settings.MetricsAddress == "" {
		return nil
	}
	l, err := net.Listen("tcp", n.settings.MetricsAddress)
	if err != nil {
		return errors.Wrap(err, "listen for metrics")
	}
	app := fiber.New(fiber.Config{DisableStartupMessage: true})
	app.Get("/*", adaptor.HTTPHandler(expvar.Handler()))
	n.background.Go(func() { n.serve("metrics", app.Listener(l)) })
	return nil
}

// serve logs why a server has ended, unless the instance shuts down.
func (n *Node) serve(name string, err error) {
	if err != nil && !n.draining.Load() {
		n.logger.Error("server ended", zap.String("server", name), eventlog.Cause(err))
	}
}

// deploymentSecret derives what messages between instances are sealed with.
// The platform hands out no secret; the seal keeps deployments apart that
// share a network.
func deploymentSecret(deployment string) []byte {
	return []byte("hibiscuspost instances of " + deployment)
}

// run starts the background work.
func (n *Node) run() {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	for _, work := range []func(context.Context){
		n.followDeclared, n.followTargets, n.followMembers, n.gossip, n.catchUp, n.sweep, n.followRollouts, n.placement.Run, n.keepRoster,
	} {
		n.background.Go(func() { work(ctx) })
	}
}

// sweep closes unused connections until the context ends.
func (n *Node) sweep(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-n.clock.After(sweepPeriod):
			n.pool.Sweep()
			n.shareBudgets()
		}
	}
}

// ready tells the balancer whether to send callers here.
func (n *Node) ready(c *fiber.Ctx) error {
	if n.draining.Load() || n.holder.Current() == nil || !n.knowsTargets.Load() {
		return c.SendStatus(http.StatusServiceUnavailable)
	}
	return c.SendStatus(http.StatusOK)
}

const (
	// idleShare is the part of a target's connections that all instances
	// together may keep unused.
	idleShare = 0.5
	// maxIdle bounds an instance's unused connections to one target.
	maxIdle = 16
)

// idleBound returns how many unused connections to an address may be kept.
func (n *Node) idleBound(address string) int {
	service, _ := (*n.serviceAt.Load())[address]
	c := n.holder.Current()
	if c == nil || c.Services[service].MaxConnections == 0 {
		return maxIdle
	}
	share := idleShare * float64(c.Services[service].MaxConnections) / float64(n.sharers.Load())
	return max(1, min(maxIdle, int(share)))
}

// budget returns the service's budget of repeats.
func (n *Node) budget(service string) *routing.WindowBudget {
	n.budgetsMu.Lock()
	defer n.budgetsMu.Unlock()
	b := n.budgets[service]
	if b == nil {
		b = routing.NewWindowBudget(n.clock, n.repeats.RepeatRatio, n.repeats.RepeatSlack, n.repeats.RepeatWindow)
		b.Share(int(n.sharers.Load()))
		n.budgets[service] = b
	}
	return b
}

// shareBudgets divides what all instances share among those that are known.
// Shortly after the start that is all whose addresses are: they may have started
// at once, and not have heard each other yet.
func (n *Node) shareBudgets() {
	known := len(n.peers.addresses()) + 1
	n.quota.Expect(known)
	sharers := int(n.sharers.Load())
	if t := n.peers.topology(); !t.gather || t.gathers {
		sharers = len(n.peers.live()) + 1
	}
	if n.clock.Since(n.started) < peerSilence {
		sharers = max(sharers, known)
	}
	n.sharers.Store(int64(sharers))
	n.budgetsMu.Lock()
	defer n.budgetsMu.Unlock()
	for _, b := range n.budgets {
		b.Share(sharers)
	}
}

// misdirected closes the connections to an address that another target has.
func (n *Node) misdirected(target *catalog.Target) {
	n.pool.Forget(target.Address)
	n.logger.Warn("another target has the address", zap.String("target", target.ID),
		zap.String("address", target.Address))
}

// random returns a source for one part.
func (n *Node) random() *rand.Rand {
	var seed [32]byte
	binary.LittleEndian.PutUint64(seed[:], uint64(n.incarnation))
	binary.LittleEndian.PutUint64(seed[8:], rand.Uint64())
	return rand.New(rand.NewChaCha8(seed))
}

// Reload takes over what may change in the settings of a running instance: the
// bounds, and more addresses of other instances. Windows and the instance's own
// addresses stay as they were at the start.
func (n *Node) Reload(settings Settings) {
	n.SetMemoryLimit(settings.MemoryLimitBytes)
	n.peers.introduceAddresses(settings.Seeds)
	n.grace.Store(int64(settings.ShutdownGrace))
	n.quota.Tolerate(settings.QuotaTolerance)
	n.limitRepeats(settings.Retries)
	n.logger.Info("settings reloaded", zap.Int64("memory_bytes", settings.MemoryLimitBytes),
		zap.Duration("grace", settings.ShutdownGrace), zap.Float64("repeat_ratio", settings.Retries.RepeatRatio),
		zap.Float64("repeat_slack", settings.Retries.RepeatSlack),
		zap.Float64("quota_overrun", settings.QuotaTolerance.Overrun), zap.Int("seeds", len(settings.Seeds)))
}

func (n *Node) limitRepeats(limits gateway.Limits) {
	n.budgetsMu.Lock()
	defer n.budgetsMu.Unlock()
	n.repeats = limits
	for _, b := range n.budgets {
		b.Limit(limits.RepeatRatio, limits.RepeatSlack)
	}
}
