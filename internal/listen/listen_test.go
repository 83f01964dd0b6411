package listen

import (
	"context"
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"
)

// bindError is the error of a system call of net.Listen.
func bindError(server string, cause syscall.Errno) error {
	return &Error{Server: server, Address: "192.0.2.1:80", Err: &net.OpError{Op: "listen", Net: "tcp", Err: os.NewSyscallError("bind", cause)}}
}

func TestRetryUntilAddressesAreAvailable(t *testing.T) {
	clock := clockwork.NewFakeClock()
	core, logs := observer.New(zap.InfoLevel)
	failures := []error{
		bindError("callers", syscall.EADDRNOTAVAIL), bindError("callers", syscall.EADDRNOTAVAIL),
		errors.Wrap(bindError("metrics", syscall.EADDRINUSE), "wrapped"), bindError("callers", syscall.EADDRINUSE),
	}
	result := make(chan error)
	go func() {
		result <- Retry(t.Context(), clock, zap.New(core), func() error {
			if len(failures) == 0 {
				return nil
			}
			err := failures[0]
			failures = failures[1:]
			return err
		})
	}()
	for range 4 {
		assert.NilError(t, clock.BlockUntilContext(t.Context(), 1))
		clock.Advance(bindRetryInterval)
	}
	assert.NilError(t, <-result)
	waits := make(map[string]any)
	for _, entry := range logs.FilterMessage("address bound").All() {
		waits[entry.ContextMap()["server"].(string)] = entry.ContextMap()["waited"]
	}
	assert.DeepEqual(t, waits, map[string]any{"callers": 4 * bindRetryInterval, "metrics": 2 * bindRetryInterval})
	assert.Equal(t, logs.FilterMessage("address not available; it is tried again").Len(), 2)
	assert.Equal(t, logs.Len(), 4)
}

func TestRetryEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	err := Retry(ctx, clockwork.NewFakeClock(), zap.NewNop(), func() error {
		cancel()
		return bindError("callers", syscall.EADDRINUSE)
	})
	assert.ErrorIs(t, err, context.Canceled)
	assert.ErrorContains(t, err, "address already in use")
}

func TestRetryReturnsOtherErrors(t *testing.T) {
	for _, failure := range []error{bindError("callers", syscall.EACCES), errors.New("a setting is wrong")} {
		err := Retry(t.Context(), clockwork.NewFakeClock(), zap.NewNop(), func() error { return failure })
		assert.ErrorIs(t, err, failure)
	}
}

// A shortage of descriptors or buffers at the moment of the start ended the process with status 4.
func TestRetryWhileDescriptorsOrBuffersAreShort(t *testing.T) {
	for _, cause := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM} {
		clock := clockwork.NewFakeClock()
		result, calls := make(chan error, 1), 0
		go func() {
			result <- Retry(t.Context(), clock, zap.NewNop(), func() error {
				if calls++; calls == 1 {
					return bindError("callers", cause)
				}
				return nil
			})
		}()
		select {
		case err := <-result:
			t.Errorf("%v ends the start: %v", cause, err)
			continue
		case <-awaitSleeper(t, clock):
		}
		clock.Advance(bindRetryInterval)
		assert.NilError(t, <-result)
	}
}

// awaitSleeper returns a channel that is closed once something waits for the clock.
func awaitSleeper(t *testing.T, clock *clockwork.FakeClock) <-chan struct{} {
	waits := make(chan struct{})
	go func() {
		if clock.BlockUntilContext(t.Context(), 1) == nil {
			close(waits)
		}
	}()
	return waits
}

// A host name that did not resolve at the moment of the start ended the process with status 4.
func TestHostNamesMayResolveLater(t *testing.T) {
	for _, cause := range []net.DNSError{{Err: "no such host", IsNotFound: true}, {Err: "server misbehaving", IsTemporary: true}, {Err: "i/o timeout", IsTimeout: true}} {
		assert.Check(t, IsPassing(&Error{Server: "callers", Err: &net.OpError{Op: "listen", Net: "tcp", Err: &cause}}), cause.Err)
	}
	_, err := TCP(t.Context(), "callers", "127.0.0.1:70000")
	assert.Check(t, err != nil && !IsPassing(err), "%v", err)
}
