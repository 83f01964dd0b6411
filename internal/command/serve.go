package command

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/hibiscuspost/hibiscuspost/internal/eventlog"
	"github.com/hibiscuspost/hibiscuspost/internal/exit"
	"github.com/hibiscuspost/hibiscuspost/internal/instance"
	"github.com/hibiscuspost/hibiscuspost/internal/settings"
	"github.com/hibiscuspost/hibiscuspost/internal/strictjson"
)

// Serve runs one instance until it receives a signal.
type Serve struct {
	Settings string `help:"The settings file." required:"" type:"existingfile"`
}

// Run runs the instance until SIGTERM, SIGINT or the end of ctx, and then
// shuts it down gracefully. A second signal ends the grace period.
func (s *Serve) Run(ctx context.Context) error {
	eventlog.SurviveClosedOutput()
	// Signals are received before the instance serves, so that none ends it
	// without a shutdown.
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	// The settings are read once. SIGHUP also reaches a stopped process when the shell that
	// started its group exits.
	signal.Ignore(syscall.SIGHUP)
	config, err := settings.Load(s.Settings)
	if err != nil {
		return settingsError(err)
	}
	secrets, err := config.LoadSecrets()
	if err != nil {
		return exit.WithCode(exit.BadInput, err)
	}
	// Standard error may block: lines are queued.
	eventLog := eventlog.New(clockwork.NewRealClock(), os.Stderr)
	defer eventLog.Close()
	logger, err := newLogger(config.Log.Level, eventLog)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// Takes the first signal only; shutdown takes the second.
	go func() {
		select {
		case <-signals:
			cancel()
		case <-ctx.Done():
		}
	}()
	inst, err := instance.Start(ctx, instance.Options{Settings: *config, Secrets: secrets, Logger: logger})
	if err != nil && ctx.Err() != nil {
		logger.Info("stopped before the start was complete", zap.Error(err))
		return nil
	}
	if err != nil {
		return exit.WithCode(exit.Unavailable, err)
	}
	<-ctx.Done()
	return shutdown(inst, time.Duration(config.Limits.ShutdownGracePeriod), signals)
}

// shutdown shuts the instance down within the grace period, which a further
// signal ends.
func shutdown(inst *instance.Instance, gracePeriod time.Duration, signals <-chan os.Signal) error {
	ctx, cancel := context.WithTimeout(context.Background(), gracePeriod)
	defer cancel()
	done := make(chan struct{})
	defer close(done)
	go func() {
		select {
		case <-signals:
			cancel()
		case <-done:
		}
	}()
	return inst.Shutdown(ctx)
}

// settingsError adds the exit code for invalid input to errors in a settings
// file and to a missing file.
func settingsError(err error) error {
	var fieldErrors strictjson.FieldErrors
	if errors.As(err, &fieldErrors) || errors.Is(err, os.ErrNotExist) {
		return exit.WithCode(exit.BadInput, err)
	}
	return err
}

// newLogger returns a logger that writes to the log, in the format of zap's production
// configuration.
func newLogger(level string, log *eventlog.Log) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, exit.WithCode(exit.BadInput, err)
	}
	config := zap.NewProductionConfig()
	config.EncoderConfig.EncodeTime = zapcore.ISO8601TimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config.EncoderConfig), log, parsed)
	core = zapcore.NewSamplerWithOptions(core, time.Second, config.Sampling.Initial, config.Sampling.Thereafter)
	return zap.New(core, zap.AddCaller(), zap.AddStacktrace(zapcore.ErrorLevel)), nil
}
