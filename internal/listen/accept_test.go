package listen

import (
	"net"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"
)

// scriptedListener returns scripted errors, and a connection for nil.
type scriptedListener struct {
	net.Listener
	results chan error
}

func (l *scriptedListener) Accept() (net.Conn, error) {
	err, open := <-l.results
	if !open {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: net.ErrClosed}
	}
	if err != nil {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: err}
	}
	conn, _ := net.Pipe()
	return conn, nil
}

func (l *scriptedListener) Close() error { return nil }

// newScripted returns a Listener with scripted results of Accept, and what it logs and counts.
func newScripted(results ...error) (*Listener, *clockwork.FakeClock, *observer.ObservedLogs, *atomic.Uint64) {
	scripted := &scriptedListener{results: make(chan error, len(results))}
	for _, result := range results {
		scripted.results <- result
	}
	close(scripted.results)
	clock, failures := clockwork.NewFakeClock(), &atomic.Uint64{}
	core, logs := observer.New(zap.InfoLevel)
	return NewListener(scripted, ListenerOptions{Server: "callers", Clock: clock, Logger: zap.New(core), Failures: failures}), clock, logs, failures
}

// acceptAll accepts until an error, advancing the clock at each delay.
func acceptAll(t *testing.T, l *Listener, clock *clockwork.FakeClock, delays int) (accepted int, err error) {
	t.Helper()
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			if _, err = l.Accept(); err != nil {
				return
			}
			accepted++
		}
	}()
	for range delays {
		assert.NilError(t, clock.BlockUntilContext(t.Context(), 1))
		clock.Advance(acceptRetryDelay)
	}
	<-done
	return accepted, err
}

func TestAcceptContinuesAfterErrors(t *testing.T) {
	l, clock, logs, failures := newScripted(nil, syscall.EMFILE, syscall.ENFILE, nil, syscall.ENOBUFS, nil, syscall.ENOMEM, syscall.ECONNABORTED, nil)
	accepted, err := acceptAll(t, l, clock, 5)
	assert.ErrorIs(t, err, net.ErrClosed)
	assert.Equal(t, accepted, 4)
	assert.Equal(t, failures.Load(), uint64(5))
	// All of it took less than acceptLogInterval.
	assert.Equal(t, logs.FilterMessage("cannot accept connections; it is tried again").Len(), 1)
	again := logs.FilterMessage("connections accepted again").All()
	assert.Equal(t, len(again), 1)
	assert.Equal(t, again[0].ContextMap()["failures"], uint64(2))
}

func TestAcceptFailuresAreLoggedAtMostOnceASecond(t *testing.T) {
	// Failures and successes alternate.
	const failing = 100
	var results []error
	for range failing {
		results = append(results, syscall.EMFILE, nil)
	}
	l, clock, logs, failures := newScripted(results...)
	accepted, _ := acceptAll(t, l, clock, failing)
	assert.Equal(t, accepted, failing)
	assert.Equal(t, failures.Load(), uint64(failing))
	const seconds = int(failing * acceptRetryDelay / acceptLogInterval)
	assert.Equal(t, logs.FilterMessage("cannot accept connections; it is tried again").Len(), seconds)
	assert.Equal(t, logs.FilterMessage("connections accepted again").Len(), seconds)
}

func TestCloseEndsTheDelayOfAccept(t *testing.T) {
	l, clock, _, _ := newScripted(syscall.EMFILE)
	result := make(chan error)
	go func() {
		_, err := l.Accept()
		result <- err
	}()
	assert.NilError(t, clock.BlockUntilContext(t.Context(), 1))
	assert.NilError(t, l.Close())
	assert.NilError(t, l.Close())
	assert.ErrorIs(t, <-result, net.ErrClosed)
}
