package node

import (
	"context"
	"encoding/binary"
	"expvar"
	"math/rand/v2"
	"net"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v2"
	"github.com/gofiber/fiber/v2/middleware/adaptor"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/hibiscuspost/hibiscuspost/internal/catalog"
	"github.com/hibiscuspost/hibiscuspost/internal/configsync"
	"github.com/hibiscuspost/hibiscuspost/internal/contain"
	"github.com/hibiscuspost/hibiscuspost/internal/dispatch"
	"github.com/hibiscuspost/hibiscuspost/internal/eventlog"
	"github.com/hibiscuspost/hibiscuspost/internal/gateway"
	"github.com/hibiscuspost/hibiscuspost/internal/listen"
	"github.com/hibiscuspost/hibiscuspost/internal/metrics"
	"github.com/hibiscuspost/hibiscuspost/internal/peer"
	"github.com/hibiscuspost/hibiscuspost/internal/placement"
	"github.com/hibiscuspost/hibiscuspost/internal/process"
	"github.com/hibiscuspost/hibiscuspost/internal/quarantine"
	"github.com/hibiscuspost/hibiscuspost/internal/quota"
	"github.com/hibiscuspost/hibiscuspost/internal/relay"
	"github.com/hibiscuspost/hibiscuspost/internal/rollout"
	"github.com/hibiscuspost/hibiscuspost/internal/routing"
)

const (
	// memoryLimitRatio is the fraction of the instance's memory limit that is
	// set as the runtime's memory limit; the rest is for memory that the runtime
	// does not account for, such as the pages of the program and what the system
	// holds unread of targets' responses, and for what is allocated until a
	// collection has ended.
	memoryLimitRatio = 0.65
	// gcPercent is GOGC, the heap growth that triggers a collection. With less, the
	// small heap of an instance is collected so often that a third of its CPU share is
	// spent on it, and requests queue for the rest.
	gcPercent = 200
	// sweepInterval is the interval at which idle connections are closed and
	// shared budgets are divided anew.
	sweepInterval = 2 * time.Second
	// maxCheckConns bounds the connections for readiness checks, and those for metrics.
	maxCheckConns = 64
	// checkReadTimeout bounds the reading of one of their requests, checkIdleTimeout the time
	// between two.
	checkReadTimeout = 10 * time.Second
	checkIdleTimeout = 2 * time.Minute
)

// Options configure a Node.
type Options struct {
	Settings     Settings
	ControlPlane ControlPlane
	Protocol     gateway.Protocol
	// ReadinessPath is the path of the load balancer's readiness check.
	ReadinessPath string
	Clock         clockwork.Clock
	Logger        *zap.Logger
	// LogDrops counts dropped log lines; if nil, the metric is not published.
	LogDrops DropCounter
	// DialTarget opens connections to targets, DialPeer those to other instances; nil
	// dials them over TCP. SendPeer sends datagrams to other instances; nil uses UDP.
	DialTarget dispatch.DialFunc
	DialPeer   peer.DialFunc
	SendPeer   peer.SendPacketFunc
}

// DropCounter counts dropped log lines; see package eventlog.
type DropCounter interface{ Dropped() uint64 }

// gossipCounters count gossip messages that could not be sent or decoded.
type gossipCounters struct{ SendErrors, DecodeErrors atomic.Uint64 }

// updateCounters count what updates of the configuration cost.
type updateCounters struct {
	// BytesReceived and BytesSent are the sizes of the parts, Referred the requests that
	// were referred to other instances, Failures those that failed.
	BytesReceived, BytesSent, Referred, Failures atomic.Uint64
}

// Node is a running instance.
type Node struct {
	settings     Settings
	controlPlane ControlPlane
	clock        clockwork.Clock
	logger       *zap.Logger
	incarnation  int64

	configuration *catalog.Holder
	declared      declared
	uploads       *configsync.Uploads
	// encoding is held while a configuration is encoded for an instance of an earlier
	// build.
	encoding        sync.Mutex
	placement       *placement.Service
	pool            *dispatch.Pool
	relay           *relay.Server
	quota           *quota.Limiter
	quotaGate       *quotaGate
	peers           *peerTable
	rollouts        *rollout.Controller
	quarantine      *quarantine.Registry
	bus             *peer.NetBus
	callerServer    *gateway.Server
	readinessServer *fiber.App
	// callerAddress and readinessAddress are the addresses in use, with the port
	// that the system chose if the settings give port 0.
	callerAddress, readinessAddress string
	counters                        gossipCounters
	updateCounters                  updateCounters
	requestCounters                 gateway.Counters
	// checksEvicted counts connections for readiness checks and metrics beyond maxCheckConns.
	checksEvicted atomic.Uint64
	// acceptFailures counts connections that could not be accepted.
	acceptFailures *atomic.Uint64
	metrics        *metrics.Set

	// bootTime returns the time since the machine was started, with that for which it was suspended.
	bootTime func() time.Duration
	// startedAt is the origin of lastWatchNanos, startedAtBoot that of uptime.
	startedAt     time.Time
	startedAtBoot time.Duration
	// lastWatchNanos is the time of the last response to this instance's own
	// read or watch of the operator's declarations, in nanoseconds since
	// startedAt; 0 if there was none or the last one failed.
	lastWatchNanos atomic.Int64
	// arrivingNanos is when the response to the current watch began to arrive, as
	// lastWatchNanos; 0 if it has not.
	arrivingNanos atomic.Int64
	// newerConfiguration is signalled when another instance has a newer
	// configuration.
	newerConfiguration chan struct{}
	// newerTargetsAt receives the addresses of instances that have a newer list
	// of targets.
	newerTargetsAt chan string

	// renewedNanos is the time of the last known renewal of all announcements, in
	// nanoseconds since startedAt; 0 if none is known.
	renewedNanos atomic.Int64
	// announceNow is signalled when the announcement must be written at once,
	// because of new verdicts or of lost ones.
	announceNow chan struct{}
	era         storeEra
	evacuations evacuations
	resumption  resumption
	traits      traitsHolder
	cold        coldTargets
	// newerTraitsAt receives the addresses of instances that have newer traits of services.
	newerTraitsAt chan string

	draining atomic.Bool
	// targetsKnown is set once targets are in use, those of a list or of a part of one.
	targetsKnown atomic.Bool
	readiness    readiness
	// lostDependencies is updated by the tasks that call the control plane.
	lostDependencies lostDependencies
	// instanceCount is the number of instances that share the load, including
	// this one.
	instanceCount atomic.Int64
	// memoryBudget is the memory in bytes that the bounds are shares of, 0 if there is no bound.
	memoryBudget atomic.Int64
	// targetByAddress maps target addresses to targets.
	targetByAddress atomic.Pointer[map[string]*catalog.Target]

	// targetsMu guards the fields below.
	targetsMu sync.Mutex
	targets   targetList
	// targetsInUse are the targets that were last put in use. targetsDue is set from a change
	// until the targets have been put in use, which may take several calls after a panic.
	targetsInUse map[catalog.TargetKey]*catalog.Target
	targetsDue   bool

	// rosterMu makes the comparison with the current roster and its replacement
	// one step.
	rosterMu sync.Mutex

	// retryBudgetsMu guards retryBudgets and retryLimits.
	retryBudgetsMu sync.Mutex
	retryBudgets   map[string]*routing.WindowRetryBudget
	retryLimits    gateway.RetryLimits
	// shutdownGrace is the current Settings.ShutdownGrace, in nanoseconds.
	shutdownGrace atomic.Int64

	cancel     context.CancelFunc
	background sync.WaitGroup
}

// Start listens on the addresses of the settings and starts to serve. It waits for addresses
// that are not available yet until ctx ends, which bounds nothing but the start.
func Start(ctx context.Context, options Options) (*Node, error) {
	sockets, err := openSockets(ctx, options)
	if err != nil {
		return nil, err
	}
	n := &Node{
		settings: options.Settings, controlPlane: options.ControlPlane, clock: options.Clock, bootTime: bootTime, logger: options.Logger,
		incarnation:   options.Clock.Now().UnixNano() ^ int64(rand.Uint32()),
		configuration: &catalog.Holder{}, retryBudgets: make(map[string]*routing.WindowRetryBudget),
	}
	n.startedAtBoot = n.bootTime()
	n.startedAt, n.newerTargetsAt, n.newerConfiguration = options.Clock.Now(), make(chan string, 1), make(chan struct{}, 1)
	n.announceNow, n.newerTraitsAt = make(chan struct{}, 1), make(chan string, 1)
	n.uploads = n.newUploads()
	n.targets.holdTime = n.settings.entryExpiry()
	n.retryLimits = options.Settings.Retries
	n.shutdownGrace.Store(int64(options.Settings.ShutdownGrace))
	n.metrics = metrics.New(options.Settings.Name)
	n.instanceCount.Store(1)
	n.targetByAddress.Store(&map[string]*catalog.Target{})
	n.pool = dispatch.NewPool(options.Clock)
	if options.DialTarget != nil {
		n.pool.SetDial(options.DialTarget)
	}
	n.rollouts = rollout.New(options.Clock)
	n.quarantine = quarantine.New(quarantine.Options{
		Clock: options.Clock, Logger: options.Logger, MaxFingerprints: maxSuspects, CountsUnresolved: true, IsLeaving: n.isLeaving,
	})
	n.pool.SetMaxIdle(n.idleConnectionLimit)
	n.quota = quota.New(options.Clock, n.newRandom(), options.Settings.QuotaTolerance, options.Settings.FirstStart)
	n.quotaGate = newQuotaGate(n, n.quota)
	n.acceptFailures = &sockets.acceptFailures
	n.connectPeers(sockets.bus)
	n.divideBudgets()
	n.callerServer = gateway.NewServer(gateway.New(gateway.Options{
		Protocol: options.Protocol, Catalog: n.configuration, Placer: n.placement, Pool: n.pool, Quota: n.quotaGate, Rollouts: n.rollouts, Quarantine: n.quarantine,
		RetryBudget: n.retryBudget, OnMisdirected: n.handleMisdirected, Draining: n.draining.Load, IsBehind: n.peerHasNewerConfiguration, IsEvacuated: n.isEvacuated, EvacuationsLag: n.evacuationsLag, WasPausedSince: n.wasPausedSince, Counters: &n.requestCounters,
		ObserveLatency: n.observeLatency, ClusterView: n.clusterView, FailureDomain: options.Settings.FailureDomain, Clock: options.Clock, Logger: options.Logger,
	}))
	n.SetMemoryLimit(options.Settings.MemoryLimitBytes)
	if err := n.bus.Start(); err != nil {
		sockets.close()
		return nil, errors.Wrap(err, "start to receive from other instances")
	}
	n.publishMetrics(options.LogDrops)
	n.serve(sockets, options.ReadinessPath)
	n.startBackground(sockets.metrics)
	n.logger.Info("instance started",
		zap.String("callers", n.callerAddress), zap.String("peers", n.settings.PeerAddress),
		zap.Int64("incarnation", n.incarnation), zap.Bool("first_start", options.Settings.FirstStart),
		zap.Int64("memory_bytes", options.Settings.MemoryLimitBytes), zap.Int64("memory_budget_bytes", n.memoryBudget.Load()),
		zap.Dict("process", process.StartFields()...))
	return n, nil
}

// CallerAddress returns the "ip:port" on which callers are served.
func (n *Node) CallerAddress() string { return n.callerAddress }

// ReadinessAddress returns the "ip:port" of the readiness check.
func (n *Node) ReadinessAddress() string { return n.readinessAddress }

// PeerAddress returns the "ip:port" for other instances.
func (n *Node) PeerAddress() string { return n.settings.PeerAddress }

// SetMemoryLimit sets the memory limits of the runtime and of bodies from the memory that the settings
// state, 0 if none, or from what the system leaves if that is less. Without either they stay as they
// are. It also sets the GC percentage.
func (n *Node) SetMemoryLimit(statedBytes int64) {
	bytes := process.MemoryBudget(statedBytes)
	n.memoryBudget.Store(bytes)
	if bytes > 0 {
		n.pool.SetMemoryLimit(bytes)
		n.callerServer.SetMemoryLimit(bytes)
		debug.SetMemoryLimit(int64(memoryLimitRatio * float64(bytes)))
	}
	debug.SetGCPercent(gcPercent)
}

// The servers of an instance, by whom they serve.
const (
	serverCallers   = "callers"
	serverReadiness = "readiness checks"
	serverPeers     = "other instances"
	serverMetrics   = "metrics"
)

// sockets are the sockets of an instance before it serves.
type sockets struct {
	callers, readiness net.Listener
	// metrics is nil if the address is not available yet, or none is set.
	metrics net.Listener
	bus     *peer.NetBus
	// acceptFailures counts connections that could not be accepted at any of them.
	acceptFailures atomic.Uint64
}

func (s *sockets) close() {
	for _, l := range []net.Listener{s.callers, s.readiness, s.metrics} {
		if l != nil {
			_ = l.Close()
		}
	}
	if s.bus != nil {
		_ = s.bus.Close()
	}
}

// openSockets opens all sockets or none, so that no connection or message waits at some while
// the instance waits for the address of another. It does not wait for that of the metrics.
func openSockets(ctx context.Context, options Options) (*sockets, error) {
	var opened *sockets
	err := listen.Retry(ctx, options.Clock, options.Logger, func() error {
		s := &sockets{}
		if err := s.open(ctx, options); err != nil {
			s.close()
			return err
		}
		opened = s
		return nil
	})
	if err != nil || options.Settings.MetricsAddress == "" {
		return opened, err
	}
	// serveMetrics tries again, and reports the failure.
	if l, err := listen.TCP(ctx, serverMetrics, options.Settings.MetricsAddress); err == nil {
		opened.metrics = l
	}
	return opened, nil
}

func (s *sockets) open(ctx context.Context, options Options) (err error) {
	settings := &options.Settings
	if s.callers, err = listen.TCP(ctx, serverCallers, settings.CallerAddress); err != nil {
		return err
	}
	if s.readiness, err = listen.TCP(ctx, serverReadiness, settings.ReadinessAddress); err != nil {
		return err
	}
	s.bus, err = peer.Listen(peer.Options{
		Address: settings.PeerAddress, Secret: deploymentSecret(settings.Deployment), Logger: options.Logger, Dial: options.DialPeer, SendPacket: options.SendPeer,
		AcceptFailures: &s.acceptFailures,
	})
	if err != nil {
		return &listen.Error{Server: serverPeers, Address: settings.PeerAddress, Err: err}
	}
	return nil
}

// connectPeers connects the components to other instances. The address of the bus identifies
// this instance from then on.
func (n *Node) connectPeers(bus *peer.NetBus) {
	n.bus = bus
	n.settings.PeerAddress = n.bus.Address()
	n.peers = newPeerTable(n.clock, n.settings.PeerAddress, n.settings.Seeds)
	n.peers.configuration = n.configuration
	if bootTime() > 0 {
		n.peers.uptime = n.uptime
	}
	n.placement = placement.New(placement.Options{
		Self: n.settings.PeerAddress, Clock: n.clock, Draining: n.draining.Load, IsResuming: n.isResuming, PeerAddresses: n.peers.addresses, Random: n.newRandom, Logger: n.logger,
		Send: func(address string, body []byte) error { return n.bus.Send(address, peer.KindPlacement, body) },
	})
	// Gossip is sent as KindCredit; a Node uses that kind for nothing else.
	n.bus.HandleDatagram(peer.KindCredit, n.handleGossip)
	n.bus.HandleDatagram(peer.KindPlacement, n.placement.HandleMessage)
	n.registerCallHandlers()
	n.connectRelay()
}

// serve starts to serve callers and readiness checks.
func (n *Node) serve(s *sockets, readinessPath string) {
	n.callerAddress, n.readinessAddress = s.callers.Addr().String(), s.readiness.Addr().String()
	n.readinessServer = newCheckServer()
	n.readinessServer.Get(readinessPath, n.handleReadiness)
	n.background.Go(func() { n.logServerEnd(serverCallers, n.callerServer.Serve(n.retrying(serverCallers, s.callers))) })
	n.background.Go(func() {
		n.logServerEnd(serverReadiness, n.readinessServer.Listener(n.limited(serverReadiness, s.readiness)))
	})
}

// retrying returns a listener for a server that accepts from l as long as it is open.
func (n *Node) retrying(server string, l net.Listener) net.Listener {
	return listen.NewListener(l, listen.ListenerOptions{Server: server, Clock: n.clock, Logger: n.logger, Failures: n.acceptFailures})
}

// limited is like retrying for a server of few connections.
func (n *Node) limited(server string, l net.Listener) net.Listener {
	return listen.Limit(n.retrying(server, l), maxCheckConns, n.clock, &n.checksEvicted)
}

// newCheckServer returns a server for readiness checks or metrics.
func newCheckServer() *fiber.App {
	return fiber.New(fiber.Config{DisableStartupMessage: true, ReadTimeout: checkReadTimeout, IdleTimeout: checkIdleTimeout})
}

// serveMetrics serves the metrics until ctx ends. l is nil if the address was not available at
// the start.
func (n *Node) serveMetrics(ctx context.Context, l net.Listener) {
	err := listen.Retry(ctx, n.clock, n.logger, func() (err error) {
		if l == nil {
			l, err = listen.TCP(ctx, serverMetrics, n.settings.MetricsAddress)
		}
		return err
	})
	if err != nil {
		if ctx.Err() == nil {
			n.logger.Error("metrics are not served", eventlog.ErrorField(err))
		}
		return
	}
	l = n.limited(serverMetrics, l)
	defer context.AfterFunc(ctx, func() { _ = l.Close() })()
	app := newCheckServer()
	app.Get("/*", adaptor.HTTPHandler(expvar.Handler()))
	n.logServerEnd(serverMetrics, app.Listener(l))
}

// logServerEnd logs why a server stopped, unless the instance is shutting down.
func (n *Node) logServerEnd(name string, err error) {
	if err != nil && !n.draining.Load() {
		n.logger.Error("server stopped unexpectedly", zap.String("server", name), eventlog.ErrorField(err))
	}
}

// deploymentSecret derives the secret with which instances authenticate their
// messages. The platform provides no secret; this one only keeps apart
// deployments that share a network.
func deploymentSecret(deployment string) []byte {
	return []byte("hibiscuspost instances of " + deployment)
}

// startBackground starts the background tasks. metrics is the listener of the metrics, if it is
// open.
func (n *Node) startBackground(metrics net.Listener) {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	for name, task := range map[string]func(context.Context){
		"follow declarations": n.followDeclarations, "follow evacuations": n.followEvacuations, "follow targets": n.followTargets,
		"follow members": n.followMembers, "follow rollouts": n.followRollouts, "follow newer configurations": n.followNewerConfigurations,
		"gossip": n.gossip, "sync with peers": n.syncWithPeers, "sweep idle": n.sweepIdle, "coordinate": n.placement.Run, "renew leases": n.placement.RunClient,
		"maintain roster": n.maintainRoster, "watch crashes": n.watchCrashes, "watch paths": n.pool.WatchPaths,
	} {
		n.background.Go(func() { contain.Repeat(ctx, n.clock, n.logger, name, task) })
	}
	if n.settings.MetricsAddress != "" {
		n.background.Go(func() { n.serveMetrics(ctx, metrics) })
	}
}

// sweepIdle closes idle connections and divides the shared budgets anew, until
// the context ends.
func (n *Node) sweepIdle(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-n.clock.After(sweepInterval):
			n.pool.CloseExpired()
			n.divideBudgets()
		}
	}
}

const (
	// idleConnectionRatio is the fraction of a target's connection limit that
	// idle connections of all instances may take together.
	idleConnectionRatio = 0.5
	// maxIdleConnections bounds an instance's idle connections to one target.
	maxIdleConnections = 16
)

// idleConnectionLimit returns how many idle connections to an address may be
// kept.
func (n *Node) idleConnectionLimit(address string) int {
	target, c := (*n.targetByAddress.Load())[address], n.configuration.Current()
	if c == nil || target == nil {
		return maxIdleConnections
	}
	service := c.Service(target.Service)
	if service.MaxConnections == 0 {
		return maxIdleConnections
	}
	share := idleConnectionRatio * float64(service.MaxConnections) / float64(n.instanceCount.Load())
	return max(1, min(maxIdleConnections, int(share)))
}

// retryBudget returns the retry budget of a service.
func (n *Node) retryBudget(service string) *routing.WindowRetryBudget {
	n.retryBudgetsMu.Lock()
	defer n.retryBudgetsMu.Unlock()
	b := n.retryBudgets[service]
	if b == nil {
		b = routing.NewWindowRetryBudget(n.clock, n.retryLimits.RetryRatio, n.retryLimits.RetrySlack, n.retryLimits.RetryWindow)
		b.SetInstances(int(n.instanceCount.Load()))
		n.retryBudgets[service] = b
	}
	return b
}

// divideBudgets divides the limits that hold for all instances together by the
// number of live instances. During the first peerTimeout after the start it
// counts all known addresses: instances that were started at the same time may
// not have received each other's gossip yet. An instance that does not aggregate
// uses the count of its aggregator; see handleAggregate.
func (n *Node) divideBudgets() {
	knownInstances := len(n.peers.addresses()) + 1
	n.quota.SetInstanceCount(knownInstances)
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
		b.SetInstances(instanceCount)
	}
}

// handleMisdirected closes the idle connections to an address that belongs to
// another target.
func (n *Node) handleMisdirected(target *catalog.Target) {
	n.pool.CloseIdle(target.Address)
	n.logger.Warn("another target has the address", zap.String("target", target.ID),
		zap.String("address", target.Address))
}

// newRandom returns a random source for one component.
func (n *Node) newRandom() *rand.Rand {
	var seed [32]byte
	binary.LittleEndian.PutUint64(seed[:], uint64(n.incarnation))
	binary.LittleEndian.PutUint64(seed[8:], rand.Uint64())
	return rand.New(rand.NewChaCha8(seed))
}

// Reload applies the settings that may change at run time: the limits, and
// additional seed addresses. Time windows and the instance's own addresses stay
// as they were at the start.
func (n *Node) Reload(settings Settings) {
	n.SetMemoryLimit(settings.MemoryLimitBytes)
	n.peers.addAddresses(settings.Seeds)
	n.shutdownGrace.Store(int64(settings.ShutdownGrace))
	n.quota.SetTolerance(settings.QuotaTolerance)
	n.setRetryLimits(settings.Retries)
	n.logger.Info("settings reloaded", zap.Int64("memory_bytes", settings.MemoryLimitBytes),
		zap.Int64("memory_budget_bytes", n.memoryBudget.Load()),
		zap.Duration("grace", settings.ShutdownGrace), zap.Float64("repeat_ratio", settings.Retries.RetryRatio),
		zap.Float64("repeat_slack", settings.Retries.RetrySlack),
		zap.Float64("quota_overrun", settings.QuotaTolerance.Overrun), zap.Int("seeds", len(settings.Seeds)))
}

func (n *Node) setRetryLimits(limits gateway.RetryLimits) {
	n.retryBudgetsMu.Lock()
	defer n.retryBudgetsMu.Unlock()
	n.retryLimits = limits
	for _, b := range n.retryBudgets {
		b.SetLimits(limits.RetryRatio, limits.RetrySlack)
	}
}
