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
	// memoryLimitRatio is the part of the bounded memory that the runtime aims to
	// stay under; the rest is for what it does not count.
	memoryLimitRatio = 0.75
	// gcPercent is how much the heap may grow between two collections:
	// memory costs more than processor time at this size.
	gcPercent = 30
	// sweepInterval is the time between looks for unused connections.
	sweepInterval = 2 * time.Second
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

// gossipCounters are the node's own.
type gossipCounters struct{ SendErrors, DecodeErrors atomic.Uint64 }

// Node is one running instance.
type Node struct {
	settings    Settings
	control     ControlPlane
	clock       clockwork.Clock
	logger      *zap.Logger
	incarnation int64

	configuration   *catalog.Holder
	placement       *placement.Service
	pool            *dispatch.Pool
	quota           *quota.Ledger
	peers           *peerTable
	rollouts        *rollout.Controller
	suspects        *quarantine.Suspects
	bus             *peer.NetBus
	callerServer    *gateway.Server
	readinessServer *fiber.App
	// callerAddress and readinessAddress are those in use.
	callerAddress, readinessAddress string
	counters                        gossipCounters
	requestCounters                 gateway.Counters
	metrics                         *metrics.Set

	// aggregatesSent counts the sums sent to others.
	aggregatesSent atomic.Int64
	// startedAt is the origin of ownWatch.
	startedAt time.Time
	// lastWatchNanos is when this instance's own watch of the operator's declarations
	// was last answered, in nanoseconds since started; 0 if never and after a
	// failure.
	lastWatchNanos atomic.Int64
	// newerConfiguration is signalled when another instance has a newer
	// configuration.
	newerConfiguration chan struct{}
	// newerTargetsAt takes the addresses of instances that know newer targets.
	newerTargetsAt chan string

	draining     atomic.Bool
	targetsKnown atomic.Bool
	// instanceCount counts the instances that share the work, with this one.
	instanceCount atomic.Int64
	// serviceByAddress maps the addresses of targets to their services.
	serviceByAddress atomic.Pointer[map[string]string]

	// targetsMu guards targets.
	targetsMu sync.Mutex
	targets   targetList

	// rosterMu makes taking over a list of coordinators one step.
	rosterMu sync.Mutex

	// retryBudgetsMu guards budgets and repeats.
	retryBudgetsMu sync.Mutex
	retryBudgets   map[string]*routing.WindowBudget
	retryLimits    gateway.Limits
	// shutdownGrace is the settings' Grace as it is now, in nanoseconds.
	shutdownGrace atomic.Int64

	cancel     context.CancelFunc
	background conc.WaitGroup
}

// Start listens on the addresses of the settings and begins to serve.
func Start(options Options) (*Node, error) {
	n := &Node{
		settings: options.Settings, control: options.ControlPlane, clock: options.Clock, logger: options.Logger,
		incarnation:   options.Clock.Now().UnixNano() ^ int64(rand.Uint32()),
		configuration: &catalog.Holder{}, retryBudgets: make(map[string]*routing.WindowBudget),
	}
	n.startedAt, n.newerTargetsAt, n.newerConfiguration = options.Clock.Now(), make(chan string, 1), make(chan struct{}, 1)
	n.retryLimits = options.Settings.Retries
	n.shutdownGrace.Store(int64(options.Settings.ShutdownGrace))
	n.metrics = metrics.New(options.Settings.Name)
	n.instanceCount.Store(1)
	n.serviceByAddress.Store(&map[string]string{})
	n.SetMemoryLimit(options.Settings.MemoryLimitBytes)
	n.pool = dispatch.NewPool(options.Clock)
	n.rollouts = rollout.New(options.Clock)
	n.suspects = quarantine.NewSuspects(options.Clock)
	n.pool.BoundIdle(n.idleConnectionLimit)
	n.quota = quota.New(options.Clock, n.newRandom(), options.Settings.QuotaTolerance, options.Settings.FirstStart)
	if err := n.listenPeers(); err != nil {
		return nil, err
	}
	n.divideBudgets()
	n.callerServer = gateway.NewServer(gateway.New(gateway.Options{
		Protocol: options.Protocol, Catalog: n.configuration, Placer: n.placement, Pool: n.pool, Quota: n.quota, Rollouts: n.rollouts, Suspects: n.suspects,
		Budget: n.retryBudget, Misdirected: n.handleMisdirected, Draining: n.draining.Load, Counters: &n.requestCounters,
		Observe: n.observeLatency, Beliefs: n.clusterView, FailureDomain: options.Settings.FailureDomain, Clock: options.Clock, Logger: options.Logger,
	}))
	if err := n.listenAll(options.ReadinessPath); err != nil {
		return nil, err
	}
	n.publishMetrics(options.LogDrops)
	n.startBackground()
	n.logger.Info("instance started",
		zap.String("callers", n.callerAddress), zap.String("peers", n.settings.PeerAddress),
		zap.Int64("incarnation", n.incarnation), zap.Bool("first_start", options.Settings.FirstStart))
	return n, nil
}

// CallerAddress is the address for callers in use, "ip:port".
func (n *Node) CallerAddress() string { return n.callerAddress }

// ReadinessAddress is the address of the balancer's questions.
func (n *Node) ReadinessAddress() string { return n.readinessAddress }

// PeerAddress is the address for other instances.
func (n *Node) PeerAddress() string { return n.settings.PeerAddress }

// SetMemoryLimit bounds the memory of the process; 0 sets no bound.
func (n *Node) SetMemoryLimit(bytes int64) {
	if bytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitRatio * float64(bytes)))
	}
	debug.SetGCPercent(gcPercent)
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
		Self: n.settings.PeerAddress, Clock: n.clock, Away: n.draining.Load, Others: n.peers.addresses, Random: n.newRandom, Logger: n.logger,
		Send: func(address string, body []byte) error { return n.bus.Send(address, peer.KindPlacement, body) },
	})
	n.bus.HandleDatagram(peer.KindCredit, n.handleGossip)
	n.bus.HandleDatagram(peer.KindPlacement, n.placement.Hear)
	n.registerCallHandlers()
	return nil
}

// listenAll binds the other addresses and begins to serve.
func (n *Node) listenAll(readinessPath string) error {
	if err := n.bus.Start(); err != nil {
		return errors.Wrap(err, "listen for instances")
	}
	callerListener, err := net.Listen("tcp", n.settings.CallerAddress)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	readinessListener, err := net.Listen("tcp", n.settings.ReadinessAddress)
	if err != nil {
		return errors.Wrap(err, "listen for the balancer")
	}
	n.callerAddress, n.readinessAddress = callerListener.Addr().String(), readinessListener.Addr().String()
	n.readinessServer = fiber.New(fiber.Config{DisableStartupMessage: true})
	n.readinessServer.Get(readinessPath, n.handleReadiness)
	n.background.Go(func() { n.logServerEnd("callers", n.callerServer.Serve(callerListener)) })
	n.background.Go(func() { n.logServerEnd("balancer", n.readinessServer.Listener(readinessListener)) })
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
	n.background.Go(func() { n.logServerEnd("metrics", app.Listener(l)) })
	return nil
}

// logServerEnd logs why a server has ended, unless the instance shuts down.
func (n *Node) logServerEnd(name string, err error) {
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

// startBackground starts the background work.
func (n *Node) startBackground() {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	for _, task := range []func(context.Context){
		n.followDeclarations, n.followTargets, n.followMembers, n.gossip, n.syncWithPeers, n.sweepIdle, n.followRollouts, n.placement.Run, n.maintainRoster,
	} {
		n.background.Go(func() { task(ctx) })
	}
}

// sweepIdle closes unused connections until the context ends.
func (n *Node) sweepIdle(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-n.clock.After(sweepInterval):
			n.pool.Sweep()
			n.divideBudgets()
		}
	}
}

// handleReadiness tells the balancer whether to send callers here.
func (n *Node) handleReadiness(c *fiber.Ctx) error {
	if n.draining.Load() || n.configuration.Current() == nil || !n.targetsKnown.Load() {
		return c.SendStatus(http.StatusServiceUnavailable)
	}
	return c.SendStatus(http.StatusOK)
}

const (
	// idleConnectionRatio is the part of a target's connections that all instances
	// together may keep unused.
	idleConnectionRatio = 0.5
	// maxIdleConnections bounds an instance's unused connections to one target.
	maxIdleConnections = 16
)

// idleConnectionLimit returns how many unused connections to an address may be kept.
func (n *Node) idleConnectionLimit(address string) int {
	service, _ := (*n.serviceByAddress.Load())[address]
	c := n.configuration.Current()
	if c == nil || c.Services[service].MaxConnections == 0 {
		return maxIdleConnections
	}
	share := idleConnectionRatio * float64(c.Services[service].MaxConnections) / float64(n.instanceCount.Load())
	return max(1, min(maxIdleConnections, int(share)))
}

// retryBudget returns the service's retryBudget of repeats.
func (n *Node) retryBudget(service string) *routing.WindowBudget {
	n.retryBudgetsMu.Lock()
	defer n.retryBudgetsMu.Unlock()
	b := n.retryBudgets[service]
	if b == nil {
		b = routing.NewWindowBudget(n.clock, n.retryLimits.RepeatRatio, n.retryLimits.RepeatSlack, n.retryLimits.RepeatWindow)
		b.Share(int(n.instanceCount.Load()))
		n.retryBudgets[service] = b
	}
	return b
}

// divideBudgets divides what all instances share among those that are known.
// Shortly after the start that is all whose addresses are: they may have started
// at once, and not have heard each other yet.
func (n *Node) divideBudgets() {
	knownInstances := len(n.peers.addresses()) + 1
	n.quota.Expect(knownInstances)
	instanceCount := int(n.instanceCount.Load())
	if t := n.peers.topology(); !t.aggregated || t.isAggregator {
		instanceCount = len(n.peers.live()) + 1
	}
	if n.clock.Since(n.startedAt) < peerTimeout {
		instanceCount = max(instanceCount, knownInstances)
	}
	n.instanceCount.Store(int64(instanceCount))
	n.retryBudgetsMu.Lock()
	defer n.retryBudgetsMu.Unlock()
	for _, b := range n.retryBudgets {
		b.Share(instanceCount)
	}
}

// handleMisdirected closes the connections to an address that another target has.
func (n *Node) handleMisdirected(target *catalog.Target) {
	n.pool.Forget(target.Address)
	n.logger.Warn("another target has the address", zap.String("target", target.ID),
		zap.String("address", target.Address))
}

// newRandom returns a source for one part.
func (n *Node) newRandom() *rand.Rand {
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
	n.peers.addAddresses(settings.Seeds)
	n.shutdownGrace.Store(int64(settings.ShutdownGrace))
	n.quota.Tolerate(settings.QuotaTolerance)
	n.setRetryLimits(settings.Retries)
	n.logger.Info("settings reloaded", zap.Int64("memory_bytes", settings.MemoryLimitBytes),
		zap.Duration("grace", settings.ShutdownGrace), zap.Float64("repeat_ratio", settings.Retries.RepeatRatio),
		zap.Float64("repeat_slack", settings.Retries.RepeatSlack),
		zap.Float64("quota_overrun", settings.QuotaTolerance.Overrun), zap.Int("seeds", len(settings.Seeds)))
}

func (n *Node) setRetryLimits(limits gateway.Limits) {
	n.retryBudgetsMu.Lock()
	defer n.retryBudgetsMu.Unlock()
	n.retryLimits = limits
	for _, b := range n.retryBudgets {
		b.Limit(limits.RepeatRatio, limits.RepeatSlack)
	}
}
