// Package listen opens sockets whose address may not be available yet, and accepts
// connections as long as their listener is open.
package listen

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/hibiscuspost/hibiscuspost/internal/eventlog"
)

// bindRetryInterval is the interval at which Retry tries again.
const bindRetryInterval = 250 * time.Millisecond

// Error is a failure to listen.
type Error struct {
	// Server is what the address is for.
	Server, Address string
	Err             error
}

// Error implements error.
func (e *Error) Error() string { return "listen for " + e.Server + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// addressErrors are those of an address that is in use or not assigned to an interface.
var addressErrors = []error{syscall.EADDRINUSE, syscall.EADDRNOTAVAIL}

// shortageErrors are those of a shortage of descriptors or memory.
var shortageErrors = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM}

// IsShortage reports whether the system is short of descriptors or memory.
func IsShortage(err error) bool { return errors.IsAny(err, shortageErrors...) }

// IsPassing reports whether listening may succeed later without a change of the settings. A host
// name that does not resolve may do so later, whatever the resolver's answer.
func IsPassing(err error) bool {
	var lookupError *net.DNSError
	return IsShortage(err) || errors.IsAny(err, addressErrors...) || errors.As(err, &lookupError)
}

// TCP listens on an address for a server. The context bounds the lookup of a host name. It returns
// an *Error.
func TCP(ctx context.Context, server, address string) (net.Listener, error) {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, &Error{Server: server, Address: address, Err: err}
	}
	return l, nil
}

// Retry calls open until it succeeds. It returns the error of open if that is not passing, and
// that of ctx if it ends before.
// open leaves no socket open when it fails.
func Retry(ctx context.Context, clock clockwork.Clock, logger *zap.Logger, open func() error) error {
	type wait struct {
		failure *Error
		since   time.Time
	}
	waits := make(map[string]wait)
	for {
		err := open()
		if err == nil {
			for _, w := range waits {
				logger.Info("address bound", zap.String("server", w.failure.Server), zap.String("address", w.failure.Address),
					zap.Duration("waited", clock.Since(w.since)))
			}
			return nil
		}
		var failure *Error
		if !errors.As(err, &failure) || !IsPassing(err) {
			return err
		}
		if _, known := waits[failure.Server]; !known {
			waits[failure.Server] = wait{failure, clock.Now()}
			logger.Warn("address not available; it is tried again", zap.String("server", failure.Server),
				zap.String("address", failure.Address), zap.Duration("interval", bindRetryInterval), eventlog.ErrorField(err))
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), err.Error())
		case <-clock.After(bindRetryInterval):
		}
	}
}
