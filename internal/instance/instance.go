// Package instance builds one instance from its components, runs it and shuts it
// down.
//
// Start opens the listeners, builds the components and starts their background
// work. Instance.Shutdown drains the instance, and Instance.Kill stops it as a
// crash would.
package instance

import (
	"context"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/hibiscuspost/hibiscuspost/internal/admin"
	"github.com/hibiscuspost/hibiscuspost/internal/admission"
	"github.com/hibiscuspost/hibiscuspost/internal/configuration"
	"github.com/hibiscuspost/hibiscuspost/internal/directory"
	"github.com/hibiscuspost/hibiscuspost/internal/entry"
	"github.com/hibiscuspost/hibiscuspost/internal/executor"
	"github.com/hibiscuspost/hibiscuspost/internal/listen"
	"github.com/hibiscuspost/hibiscuspost/internal/membership"
	"github.com/hibiscuspost/hibiscuspost/internal/metrics"
	"github.com/hibiscuspost/hibiscuspost/internal/move"
	"github.com/hibiscuspost/hibiscuspost/internal/once"
	"github.com/hibiscuspost/hibiscuspost/internal/peer"
	"github.com/hibiscuspost/hibiscuspost/internal/platform/client"
	"github.com/hibiscuspost/hibiscuspost/internal/quarantine"
	"github.com/hibiscuspost/hibiscuspost/internal/reporter"
	"github.com/hibiscuspost/hibiscuspost/internal/settings"
	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

const (
	// platformTimeout is the timeout of one call to the platform.
	platformTimeout = 2 * time.Second
	// defaultDrainDelay is how long an instance that shuts down continues to accept
	// connections, so that the load balancer notices that it is not ready.
	defaultDrainDelay = time.Second
)

// Options holds the settings of an Instance.
type Options struct {
	Settings settings.Settings
	Secrets  settings.Secrets
	Logger   *zap.Logger
	// Seed seeds random choices; 0 means a random seed.
	Seed uint64
	// DrainDelay replaces the default time from the start of a shutdown, when the
	// instance becomes not ready, until the listeners are closed. 0 means the default.
	// A shorter time suits deployments without a load balancer.
	DrainDelay time.Duration
}

// Instance is a running instance.
type Instance struct {
	options Options
	logger  *zap.Logger
	clock   clockwork.Clock

	callerListener *trackedListener
	adminListener  net.Listener
	bus            *peer.NetBus

	platform      *client.Client
	membership    *membership.Membership
	configReplica *configuration.Replica
	configStore   *configuration.Store
	directory     *directory.Directory
	quarantine    *quarantine.Registry
	moves         *move.Manager
	admission     *admission.Controller
	reporter      *reporter.Poller
	shards        *once.Shards
	ledger        *once.Ledger
	claims        *once.Claims
	executor      *executor.Executor
	entry         *entry.Server
	admin         *admin.Server
	metrics       *metrics.Set

	// shuttingDown is true from the start of a shutdown on.
	shuttingDown atomic.Bool
	// cancelBackground ends the background work, whose goroutines background tracks.
	cancelBackground context.CancelFunc
	background       conc.WaitGroup
}

// Start opens the listeners of the settings and starts the instance. It waits for addresses that
// are not available yet until ctx ends, which has no effect on an instance that has started.
func Start(ctx context.Context, options Options) (*Instance, error) {
	i := &Instance{options: options, logger: options.Logger, clock: clockwork.NewRealClock()}
	if err := listen.Retry(ctx, i.clock, i.logger, func() error { return i.listen(ctx) }); err != nil {
		return nil, err
	}
	i.buildComponents()
	if err := i.bus.Start(); err != nil {
		i.closeListeners()
		return nil, errors.Wrap(err, "listen for instances")
	}
	i.startBackground()
	i.logger.Info("serving", zap.String("instance", options.Settings.Name),
		zap.String("callers", i.callerListener.Addr().String()), zap.String("admin", i.adminListener.Addr().String()),
		zap.String("peers", i.bus.Address()))
	return i, nil
}

// listen opens all listeners or none.
func (i *Instance) listen(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			i.closeListeners()
		}
	}()
	addresses := &i.options.Settings.Listen
	listener, err := listen.TCP(ctx, "callers", addresses.Callers)
	if err != nil {
		return err
	}
	i.callerListener = newTrackedListener(i.retrying("callers", listener))
	if listener, err = listen.TCP(ctx, "operators", addresses.Admin); err != nil {
		return err
	}
	i.adminListener = i.retrying("operators", listener)
	i.bus, err = peer.Listen(peer.Options{
		Address: addresses.Peers, Secret: i.options.Secrets.PeerSecret, Logger: i.logger,
	})
	if err != nil {
		return &listen.Error{Server: "instances", Address: addresses.Peers, Err: err}
	}
	return nil
}

// retrying returns a listener for a server that accepts from l as long as it is open.
func (i *Instance) retrying(server string, l net.Listener) net.Listener {
	return listen.NewListener(l, listen.ListenerOptions{Server: server, Clock: i.clock, Logger: i.logger})
}

func (i *Instance) closeListeners() {
	if i.callerListener != nil {
		_ = i.callerListener.Close()
	}
	if i.adminListener != nil {
		_ = i.adminListener.Close()
	}
	if i.bus != nil {
		_ = i.bus.Close()
	}
	i.callerListener, i.adminListener, i.bus = nil, nil, nil
}

// buildComponents builds the components without starting them.
func (i *Instance) buildComponents() {
	s := &i.options.Settings
	i.metrics = metrics.New(s.Name)
	i.platform = client.New(s.Platform, platformTimeout)
	i.membership = membership.New(membership.Options{
		Self: membership.Member{
			Name: s.Name, PeerAddress: i.bus.Address(), CallerAddress: i.callerListener.Addr().String(),
			FailureDomain: s.FailureDomain,
		},
		Bus: i.bus, Seeds: s.Peers, List: i.platform, Clock: i.clock, Rand: i.newRand(), Logger: i.logger,
	})
	i.configReplica = configuration.NewReplica(configuration.Options{
		Table: i.platform, Bus: i.bus, Membership: i.membership, Clock: i.clock, Rand: i.newRand(), Logger: i.logger,
	})
	i.configStore = configuration.NewStore(i.configReplica)
	i.directory = directory.New(directory.Options{
		Config: i.configReplica.Current, List: i.platform, Rumors: i.membership, Clock: i.clock, Rand: i.newRand(), Logger: i.logger,
	})
	i.configReplica.OnChange(func(*tables.Tables) {
		i.directory.Refresh()
		i.moves.Refresh()
	})
	i.quarantine = quarantine.New(quarantine.Options{Rumors: i.membership, Clock: i.clock, AloneSuffices: true})
	i.buildScheduling()
	i.buildExecution()
	i.buildServers()
	i.publishMetrics()
}

// publishMetrics adds the statistics of the components to the metrics.
func (i *Instance) publishMetrics() {
	i.metrics.RegisterPart("admission", func() any { return i.admission.Stats() })
	i.metrics.RegisterPart("configuration", func() any { return i.configReplica.Freshness() })
	i.metrics.RegisterPart("membership", func() any { return i.membership.Reach() })
	i.metrics.RegisterPart("moves", func() any { return i.moves.Status() })
	i.metrics.RegisterPart("shards_held", func() any { return i.shards.Count() })
	i.metrics.RegisterPart("keys_remembered", func() any { return i.ledger.Count() })
}

// buildScheduling builds the components that select versions and targets.
func (i *Instance) buildScheduling() {
	i.moves = move.New(move.Options{
		Viewer: i.membership, Bus: i.bus, Rumors: i.membership, Table: i.platform, Config: i.configReplica.Current,
		UsableTargets: i.directory.Targets, Clock: i.clock, Rand: i.newRand(), Logger: i.logger,
	})
	i.admission = admission.New(admission.Options{
		Viewer: i.membership, Bus: i.bus, Pools: i.poolNames, Targets: i.directory.Targets, VersionSelector: i.moves,
		Clock: i.clock, Rand: i.newRand(), Logger: i.logger,
	})
	i.reporter = reporter.New(reporter.Options{
		Targets: i.engineTargets, OnLoadReport: i.admission.ReportLoad, OnCacheEvents: i.admission.ReportCacheEvents,
		Clock: i.clock, Rand: i.newRand(), Logger: i.logger,
	})
}

// engineTargets returns the usable targets of all engine pools.
func (i *Instance) engineTargets() []tables.Target {
	var engines []tables.Target
	for _, pool := range i.configReplica.Current().Pools {
		if pool.Kind == tables.KindEngine {
			engines = append(engines, i.directory.Targets(pool.Name)...)
		}
	}
	return engines
}

// buildExecution builds the components that execute requests and run each keyed
// request at most once.
func (i *Instance) buildExecution() {
	i.shards = once.NewShards(once.ShardOptions{Table: i.platform, Bus: i.bus, Viewer: i.membership})
	forwards := once.NewForwards(i.clock, 0)
	i.ledger = once.NewLedger(once.LedgerOptions{
		Shards: i.shards, Forwards: forwards, Bus: i.bus, Viewer: i.membership,
		MaxAnswerBytes: int64(i.options.Settings.Limits.StoredResponseBytes),
	})
	i.claims = once.NewClaims(once.ClaimOptions{Platform: i.platform, Bus: i.bus, Viewer: i.membership})
	i.executor = executor.New(executor.Options{
		Viewer: i.membership, Tables: i.configReplica.Current, CheckReady: i.configReplica.CheckAdmission, Admission: i.admission,
		Observe: i.moves.Observe, MarkLeaving: i.directory.MarkLeaving, Quarantine: i.quarantine,
		Shards: i.shards, Ledger: i.ledger, Forwards: forwards, Claims: i.claims,
		Secret: i.options.Secrets.PeerSecret, Metrics: i.metrics,
	})
}

func (i *Instance) buildServers() {
	i.entry = entry.New(entry.Options{
		Runner: i.executor, Limits: i.options.Settings.Limits, Logger: i.logger,
		Secret: i.options.Secrets.PeerSecret, CheckReady: i.readinessError, Draining: i.shuttingDown.Load,
	})
	i.admin = admin.New(admin.Options{
		Token: i.options.Secrets.AdminToken, Applier: i.configStore, Status: statusProvider{i}, CheckReady: i.readinessError,
	})
}

// startBackground starts the goroutines of the components and the servers.
func (i *Instance) startBackground() {
	ctx, cancel := context.WithCancel(context.Background())
	i.cancelBackground = cancel
	i.background.Go(func() { _ = i.membership.Run(ctx) })
	i.background.Go(func() { _ = i.configReplica.Run(ctx) })
	i.background.Go(func() { _ = i.directory.Run(ctx) })
	i.background.Go(func() { i.moves.Run(ctx) })
	i.background.Go(func() { i.admission.Run(ctx) })
	i.background.Go(func() { i.reporter.Run(ctx) })
	i.background.Go(func() { i.shards.Run(ctx) })
	i.background.Go(func() { i.ledger.Run(ctx) })
	i.background.Go(func() { i.claims.Run(ctx) })
	i.background.Go(func() { i.executor.Run(ctx) })
	i.background.Go(func() { _ = i.entry.Serve(i.callerListener) })
	i.background.Go(func() { _ = i.admin.Serve(i.adminListener) })
}

// newRand returns a random source for one component.
func (i *Instance) newRand() *rand.Rand {
	seed := i.options.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	const stream = 0x9e3779b97f4a7c15
	return rand.New(rand.NewPCG(seed, stream))
}

// readinessError returns the reason why the load balancer should send no requests,
// or nil.
func (i *Instance) readinessError() error {
	if i.shuttingDown.Load() {
		return errors.New("shutting down")
	}
	return i.configReplica.CheckAdmission()
}

// CallersURL returns the base URL of the server for callers.
func (i *Instance) CallersURL() string { return "http://" + i.callerListener.Addr().String() }

// AdminURL returns the base URL of the server for operators.
func (i *Instance) AdminURL() string { return "http://" + i.adminListener.Addr().String() }

// PeerAddress returns the "ip:port" at which other instances reach this one.
func (i *Instance) PeerAddress() string { return i.bus.Address() }

// Metrics returns the instance's counters.
func (i *Instance) Metrics() *metrics.Set { return i.metrics }

// ShardsHeld returns the number of shards that this instance holds.
func (i *Instance) ShardsHeld() int { return i.shards.Count() }
