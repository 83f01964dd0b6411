// Package instance wires the parts of one instance together.
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
	// platformTimeout bounds one call to the platform.
	platformTimeout = 2 * time.Second
	// drainNotice is how long an instance that shuts down goes on accepting
	// connections, so that the balancer can see that it is not ready.
	drainNotice = time.Second
)

// Options are what an instance starts from.
type Options struct {
	Settings settings.Settings
	Secrets  settings.Secrets
	Logger   *zap.Logger
	// Seed drives random choices; 0 means a seed of the runtime's.
	Seed uint64
	// DrainNotice replaces the default time between readiness and listeners
	// going away, where there is no balancer.
	DrainNotice time.Duration
}

// Instance is one running instance.
type Instance struct {
	options Options
	logger  *zap.Logger
	clock   clockwork.Clock

	callers *connections
	admins  net.Listener
	bus     *peer.NetBus

	platform  *client.Client
	members   *membership.Membership
	config    *configuration.Adopter
	store     *configuration.Store
	directory *directory.Directory
	suspects  *quarantine.Registry
	moves     *move.Manager
	admission *admission.Controller
	reporter  *reporter.Poller
	shards    *once.Shards
	ledger    *once.Ledger
	claims    *once.Claims
	executor  *executor.Executor
	entry     *entry.Server
	admin     *admin.Server
	metrics   *metrics.Set

	// draining is set while the instance shuts down.
	draining atomic.Bool
	// cancel ends the background work; background waits for its end.
	cancel     context.CancelFunc
	background conc.WaitGroup
}

// Start listens on the addresses of the settings and begins to serve.
func Start(options Options) (*Instance, error) {
	i := &Instance{options: options, logger: options.Logger, clock: clockwork.NewRealClock()}
	if err := i.listen(); err != nil {
		i.closeListeners()
		return nil, err
	}
	i.provision()
	if err := i.bus.Start(); err != nil {
		i.closeListeners()
		return nil, errors.Wrap(err, "listen for instances")
	}
	i.run()
	i.logger.Info("serving", zap.String("instance", options.Settings.Name),
		zap.String("callers", i.callers.Addr().String()), zap.String("admin", i.admins.Addr().String()),
		zap.String("peers", i.bus.Address()))
	return i, nil
}

func (i *Instance) listen() error {
	listen := &i.options.Settings.Listen
	callers, err := net.Listen("tcp", listen.Callers)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	i.callers = trackConnections(callers)
	if i.admins, err = net.Listen("tcp", listen.Admin); err != nil {
		return errors.Wrap(err, "listen for operators")
	}
	i.bus, err = peer.Listen(peer.Options{
		Address: listen.Peers, Secret: i.options.Secrets.PeerSecret, Logger: i.logger,
	})
	return errors.Wrap(err, "listen for instances")
}

func (i *Instance) closeListeners() {
	if i.callers != nil {
		_ = i.callers.Close()
	}
	if i.admins != nil {
		_ = i.admins.Close()
	}
	if i.bus != nil {
		_ = i.bus.Close()
	}
}

// provision builds the parts; none of them works yet.
func (i *Instance) provision() {
	s := &i.options.Settings
	i.metrics = metrics.New(s.Name)
	i.platform = client.New(s.Platform, platformTimeout)
	i.members = membership.New(membership.Options{
		Self: membership.Member{
			Name: s.Name, PeerAddress: i.bus.Address(), CallerAddress: i.callers.Addr().String(),
			FailureDomain: s.FailureDomain,
		},
		Bus: i.bus, Seeds: s.Peers, List: i.platform, Clock: i.clock, Rand: i.random(), Logger: i.logger,
	})
	i.config = configuration.NewAdopter(configuration.Options{
		Table: i.platform, Bus: i.bus, Members: i.members, Clock: i.clock, Rand: i.random(), Logger: i.logger,
	})
	i.store = configuration.NewStore(i.config)
	i.directory = directory.New(directory.Options{
		Current: i.config.Current, List: i.platform, Rumors: i.members, Clock: i.clock, Rand: i.random(), Logger: i.logger,
	})
	i.config.OnAdopt(func(*tables.Tables) {
		i.directory.Refresh()
		i.moves.Refresh()
	})
	i.suspects = quarantine.New(quarantine.Options{Rumors: i.members, Clock: i.clock})
	i.provisionScheduling()
	i.provisionOnce()
	i.provisionServers()
	i.provisionMetrics()
}

// provisionMetrics publishes what the parts count themselves.
func (i *Instance) provisionMetrics() {
	i.metrics.RegisterPart("admission", func() any { return i.admission.Stats() })
	i.metrics.RegisterPart("configuration", func() any { return i.config.Freshness() })
	i.metrics.RegisterPart("membership", func() any { return i.members.Reach() })
	i.metrics.RegisterPart("moves", func() any { return i.moves.Status() })
	i.metrics.RegisterPart("shards_held", func() any { return i.shards.Count() })
	i.metrics.RegisterPart("keys_remembered", func() any { return i.ledger.Count() })
}

// provisionScheduling builds what chooses targets and versions.
func (i *Instance) provisionScheduling() {
	i.moves = move.New(move.Options{
		Viewer: i.members, Bus: i.bus, Rumors: i.members, Table: i.platform, Config: i.config.Current,
		UsableTargets: i.directory.Targets, Clock: i.clock, Rand: i.random(), Logger: i.logger,
	})
	i.admission = admission.New(admission.Options{
		Viewer: i.members, Bus: i.bus, Pools: i.pools, Targets: i.directory.Targets, VersionSelector: i.moves,
		Clock: i.clock, Rand: i.random(), Logger: i.logger,
	})
	i.reporter = reporter.New(reporter.Options{
		Targets: i.engines, OnLoadReport: i.admission.ReportLoad, OnCacheEvents: i.admission.ReportCacheEvents,
		Clock: i.clock, Rand: i.random(), Logger: i.logger,
	})
}

// engines returns the usable targets of all engine pools.
func (i *Instance) engines() []tables.Target {
	var engines []tables.Target
	for _, pool := range i.config.Current().Pools {
		if pool.Kind == tables.KindEngine {
			engines = append(engines, i.directory.Targets(pool.Name)...)
		}
	}
	return engines
}

// provisionOnce builds what makes each request run at most once.
func (i *Instance) provisionOnce() {
	i.shards = once.NewShards(once.ShardOptions{Table: i.platform, Bus: i.bus, Viewer: i.members})
	forwards := once.NewForwards(i.clock, 0)
	i.ledger = once.NewLedger(once.LedgerOptions{
		Shards: i.shards, Forwards: forwards, Bus: i.bus, Viewer: i.members,
		AnswerBytes: int64(i.options.Settings.Limits.StoredResponseBytes),
	})
	i.claims = once.NewClaims(once.ClaimOptions{Platform: i.platform, Bus: i.bus, Viewer: i.members})
	i.executor = executor.New(executor.Options{
		Viewer: i.members, Tables: i.config.Current, Ready: i.config.Admitting, Admission: i.admission,
		Observe: i.moves.Observe, MarkLeaving: i.directory.MarkLeaving, Quarantine: i.suspects,
		Shards: i.shards, Ledger: i.ledger, Forwards: forwards, Claims: i.claims,
		Secret: i.options.Secrets.PeerSecret, Metrics: i.metrics,
	})
}

func (i *Instance) provisionServers() {
	i.entry = entry.New(entry.Options{
		Runner: i.executor, Limits: i.options.Settings.Limits, Logger: i.logger,
		Secret: i.options.Secrets.PeerSecret, Ready: i.ready, Draining: i.draining.Load,
	})
	i.admin = admin.New(admin.Options{
		Token: i.options.Secrets.AdminToken, Applier: i.store, Status: reports{i}, CheckReady: i.ready,
	})
}

// run starts the background work.
func (i *Instance) run() {
	ctx, cancel := context.WithCancel(context.Background())
	i.cancel = cancel
	i.background.Go(func() { _ = i.members.Run(ctx) })
	i.background.Go(func() { _ = i.config.Run(ctx) })
	i.background.Go(func() { _ = i.directory.Run(ctx) })
	i.background.Go(func() { i.moves.Run(ctx) })
	i.background.Go(func() { i.admission.Run(ctx) })
	i.background.Go(func() { i.reporter.Run(ctx) })
	i.background.Go(func() { i.shards.Run(ctx) })
	i.background.Go(func() { i.ledger.Run(ctx) })
	i.background.Go(func() { i.claims.Run(ctx) })
	i.background.Go(func() { i.executor.Run(ctx) })
	i.background.Go(func() { _ = i.entry.Serve(i.callers) })
	i.background.Go(func() { _ = i.admin.Serve(i.admins) })
}

// random returns a source for one part.
func (i *Instance) random() *rand.Rand {
	seed := i.options.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	const stream = 0x9e3779b97f4a7c15
	return rand.New(rand.NewPCG(seed, stream))
}

// ready tells the balancer why it should send no requests, or nil.
func (i *Instance) ready() error {
	if i.draining.Load() {
		return errors.New("shutting down")
	}
	return i.config.Admitting()
}

// CallersURL is the base URL for callers.
func (i *Instance) CallersURL() string { return "http://" + i.callers.Addr().String() }

// AdminURL is the base URL for operators.
func (i *Instance) AdminURL() string { return "http://" + i.admins.Addr().String() }

// PeerAddress is the "ip:port" for other instances.
func (i *Instance) PeerAddress() string { return i.bus.Address() }

// Metrics returns the instance's counters.
func (i *Instance) Metrics() *metrics.Set { return i.metrics }

// ShardsHeld returns the number of shards that this instance keeps.
func (i *Instance) ShardsHeld() int { return i.shards.Count() }
