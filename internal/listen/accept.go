package listen

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/hibiscuspost/hibiscuspost/internal/eventlog"
)

const (
	// acceptRetryDelay is the delay after a failed accept.
	acceptRetryDelay = 50 * time.Millisecond
	// acceptLogInterval is the least time between two lines about failures.
	acceptLogInterval = time.Second
)

// ListenerOptions configure a Listener.
type ListenerOptions struct {
	// Server is what the listener is for.
	Server string
	Clock  clockwork.Clock
	Logger *zap.Logger
	// Failures counts failed accepts; it may be nil.
	Failures *atomic.Uint64
}

// Listener is a net.Listener whose Accept fails only when it is closed. After other errors, for
// instance for lack of descriptors, it tries again: servers stop for good when Accept fails.
type Listener struct {
	net.Listener
	options   ListenerOptions
	closed    chan struct{}
	closeOnce sync.Once

	// mu guards the fields below.
	mu sync.Mutex
	// failures counts the failed accepts since the last one that succeeded.
	failures   uint64
	lastLineAt time.Time
	// logged is set from a line about failures to the next accept that succeeds.
	logged bool
}

// NewListener returns a Listener that accepts from l.
func NewListener(l net.Listener, options ListenerOptions) *Listener {
	return &Listener{Listener: l, options: options, closed: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err == nil {
			l.succeeded()
			return conn, nil
		}
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		l.failed(err)
		select {
		case <-l.closed:
			return nil, net.ErrClosed
		case <-l.options.Clock.After(acceptRetryDelay):
		}
	}
}

// SyscallConn implements syscall.Conn. The error says that the listener has no descriptor.
func (l *Listener) SyscallConn() (syscall.RawConn, error) {
	conn, ok := l.Listener.(syscall.Conn)
	if !ok {
		return nil, errors.Newf("listener for %s has no descriptor", l.options.Server)
	}
	return conn.SyscallConn()
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

func (l *Listener) succeeded() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.logged {
		l.options.Logger.Info("connections accepted again", zap.String("server", l.options.Server), zap.Uint64("failures", l.failures))
	}
	l.logged, l.failures = false, 0
}

func (l *Listener) failed(err error) {
	if l.options.Failures != nil {
		l.options.Failures.Add(1)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures++
	now := l.options.Clock.Now()
	if l.logged || !l.lastLineAt.IsZero() && now.Sub(l.lastLineAt) < acceptLogInterval {
		return
	}
	l.logged, l.lastLineAt = true, now
	l.options.Logger.Warn("cannot accept connections; it is tried again", zap.String("server", l.options.Server), eventlog.ErrorField(err))
}
