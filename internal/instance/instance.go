// Package instance wires the parts of one instance together.
package instance

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/hibiscuspost/hibiscuspost/internal/admin"
	"github.com/hibiscuspost/hibiscuspost/internal/configuration"
	"github.com/hibiscuspost/hibiscuspost/internal/entry"
	"github.com/hibiscuspost/hibiscuspost/internal/executor"
	"github.com/hibiscuspost/hibiscuspost/internal/metrics"
	"github.com/hibiscuspost/hibiscuspost/internal/platform/client"
	"github.com/hibiscuspost/hibiscuspost/internal/settings"
)

// platformTimeout bounds one call to the platform.
const platformTimeout = 2 * time.Second

// Options are what an instance starts from.
type Options struct {
	Settings settings.Settings
	Secrets  settings.Secrets
	Logger   *zap.Logger
}

// Instance is one running instance.
type Instance struct {
	options  Options
	platform *client.Client
	config   *configuration.Poller
	metrics  *metrics.Set
	entry    *entry.Server
	admin    *admin.Server
	callers  net.Listener
	admins   net.Listener

	// cancel ends the background work; background waits for its end.
	cancel     context.CancelFunc
	background conc.WaitGroup
}

// Start listens on the addresses of the settings and begins to serve.
func Start(options Options) (*Instance, error) {
	i := &Instance{options: options}
	if err := i.listen(); err != nil {
		return nil, err
	}
	i.provision()
	ctx, cancel := context.WithCancel(context.Background())
	i.cancel = cancel
	i.background.Go(func() { i.config.Run(ctx) })
	i.background.Go(func() { _ = i.entry.Serve(i.callers) })
	i.background.Go(func() { _ = i.admin.Serve(i.admins) })
	return i, nil
}

func (i *Instance) listen() error {
	var err error
	i.callers, err = net.Listen("tcp", i.options.Settings.Listen.Callers)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	i.admins, err = net.Listen("tcp", i.options.Settings.Listen.Admin)
	if err != nil {
		_ = i.callers.Close()
		return errors.Wrap(err, "listen for operators")
	}
	return nil
}

// provision builds the parts; none of them works yet.
func (i *Instance) provision() {
	s := &i.options.Settings
	i.platform = client.New(s.Platform, platformTimeout)
	i.config = configuration.NewPoller(i.platform)
	i.metrics = metrics.New(s.Name)
	i.entry = entry.New(entry.Options{
		Runner: executor.New(executor.Options{Tables: i.config.Current, Metrics: i.metrics}),
		Limits: s.Limits,
		Logger: i.options.Logger,
		Ready:  i.ready,
	})
	i.admin = admin.New(admin.Options{
		Token: i.options.Secrets.AdminToken, Applier: i.config, Reports: reports{i}, Ready: i.ready,
	})
}

// ready tells why the instance takes no new work, or nil.
func (i *Instance) ready() error {
	if i.config.Current().Version == 0 {
		return errors.New("no configuration is in force")
	}
	return nil
}

// CallersURL is the base URL for callers.
func (i *Instance) CallersURL() string { return "http://" + i.callers.Addr().String() }

// AdminURL is the base URL for operators.
func (i *Instance) AdminURL() string { return "http://" + i.admins.Addr().String() }

// Shutdown finishes what runs and stops; when the context ends first, what is
// left is cut.
func (i *Instance) Shutdown(ctx context.Context) error {
	err := i.entry.Shutdown(ctx)
	err = errors.CombineErrors(err, i.admin.Shutdown(ctx))
	i.cancel()
	i.background.Wait()
	i.platform.Close()
	i.metrics.Close()
	return err
}

// PeerAddress is the "ip:port" for other instances.
func (i *Instance) PeerAddress() string { return i.options.Settings.Listen.Peers }
