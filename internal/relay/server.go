package relay

import (
	"bytes"
	"context"
	"maps"
	"math/bits"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/hibiscuspost/hibiscuspost/internal/contain"
	"github.com/hibiscuspost/hibiscuspost/internal/eventlog"
)

const (
	// requestTimeout bounds the time until a stream names its target.
	requestTimeout = time.Second
	// targetDialTimeout bounds the connection to the target: several round trips.
	targetDialTimeout = 200 * time.Millisecond
	// maxRelayed bounds the connections that an instance relays at a time.
	maxRelayed = 400
)

// Paths is what an instance knows of its own paths to targets.
type Paths interface {
	// DialDirect connects to a target without another instance.
	DialDirect(ctx context.Context, address string) (net.Conn, error)
	// PathLost reports whether the instance has lost its path to the target, AnyLost that
	// to any target, and MostLost those to most.
	PathLost(address string) bool
	AnyLost() bool
	MostLost() bool
	// HeardOther reports whether anything has been received since then on a direct
	// connection to a target other than the one at the address.
	HeardOther(address string, since time.Time) bool
}

// Server relays connections of other instances to targets.
type Server struct {
	Paths Paths
	// Allows reports whether an address is that of a target.
	Allows func(address string) bool
	// MayBegin, if set, reports whether a request may still be passed on to the target at an
	// address. It may wait.
	MayBegin func(address string) bool
	// Others returns the addresses of up to count targets other than the one at the
	// address, those first that are most likely to be reached.
	Others func(address string, count int) []string
	// Draining reports whether the instance is shutting down.
	Draining func() bool
	Logger   *zap.Logger
	// NotBegun counts the connections that were closed since a request on them could not be
	// passed on any more.
	NotBegun atomic.Uint64
	// Relayed counts the connections relayed so far, Refused those refused since there
	// were maxRelayed, LinksFailed the targets that were not called unreachable since no
	// other was reached either; active are the connections open now.
	Relayed, Refused, LinksFailed atomic.Uint64
	active                        atomic.Int64

	// mu guards clients, the number of streams of each instance.
	mu      sync.Mutex
	clients map[string]int
}

// Clients returns the addresses of the instances with a stream through this one.
func (s *Server) Clients() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.clients))
}

// countClient counts the streams of an instance, which change by delta.
func (s *Server) countClient(from string, delta int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.clients == nil {
		s.clients = make(map[string]int)
	}
	if s.clients[from] += delta; s.clients[from] == 0 {
		delete(s.clients, from)
	}
}

// Active returns the number of connections that are relayed now.
func (s *Server) Active() int64 { return s.active.Load() }

// Serve serves a stream of another instance until it ends.
func (s *Server) Serve(from string, conn net.Conn) {
	s.countClient(from, 1)
	defer s.countClient(from, -1)
	isOneTooMany := s.active.Add(1) > maxRelayed
	defer s.active.Add(-1)
	_ = conn.SetDeadline(time.Now().Add(requestTimeout))
	address, err := readAddress(conn)
	if err != nil {
		s.Logger.Debug("relay request not read", zap.String("peer", from), eventlog.ErrorField(err))
		return
	}
	if isOneTooMany {
		s.countRefused(from)
		if _, err := conn.Write([]byte{byte(statusNoPath)}); err != nil {
			s.Logger.Debug("relay response not sent", zap.String("peer", from), eventlog.ErrorField(err))
		}
		return
	}
	target, outcome := s.connect(from, address)
	if _, err := conn.Write([]byte{byte(outcome)}); err != nil || target == nil {
		if target != nil {
			_ = target.Close()
		}
		return
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		_ = target.Close()
		return
	}
	s.Relayed.Add(1)
	s.copyBoth(conn, target, address)
}

// countRefused counts a stream that is refused for the bound on them.
func (s *Server) countRefused(from string) {
	if count := s.Refused.Add(1); isLogged(count) {
		s.Logger.Warn("too many connections to relay", zap.String("peer", from), zap.Int("limit", maxRelayed), zap.Uint64("so_far", count))
	}
}

// countLinksFailed counts a target that is not called unreachable since this instance has
// reached no other one either.
func (s *Server) countLinksFailed(from, address string) {
	if count := s.LinksFailed.Add(1); isLogged(count) {
		s.Logger.Warn("no target reached, so that none is called unreachable", zap.String("peer", from),
			zap.String("target_address", address), zap.Uint64("so_far", count))
	}
}

// isLogged limits the log lines of a counted event to the first, second, fourth, eighth and
// so on.
func isLogged(count uint64) bool { return bits.OnesCount64(count) == 1 }

// connect connects to a target; the connection is nil unless that succeeds.
func (s *Server) connect(from, address string) (net.Conn, status) {
	if !s.Allows(address) || s.Draining() || s.Paths.PathLost(address) || s.Paths.MostLost() {
		return nil, statusNoPath
	}
	ctx, cancel := context.WithTimeout(context.Background(), targetDialTimeout)
	defer cancel()
	startedAt := time.Now()
	linksWork := s.testLinks(ctx, address, startedAt)
	target, err := s.Paths.DialDirect(ctx, address)
	switch {
	case err == nil:
		return target, statusConnected
	case s.Paths.AnyLost():
		return nil, statusNoPath
	case !linksWork():
		s.countLinksFailed(from, address)
		return nil, statusNoPath
	}
	return nil, statusUnreachable
}

// targetWriter writes to a target. A write that fails takes the reset of the connection from the
// socket, and a read then finds an orderly end.
type targetWriter struct {
	net.Conn
	// mu is held during a write; it guards failed.
	mu     sync.Mutex
	failed bool
}

// Write implements net.Conn.
func (w *targetWriter) Write(data []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	n, err := w.Conn.Write(data)
	w.failed = w.failed || err != nil
	return n, err
}

// awaitWrites ends a write that has to wait for the target, and reports whether all succeeded.
func (w *targetWriter) awaitWrites() bool {
	// It fails on closed connections only, where the write ends by itself.
	_ = w.Conn.SetWriteDeadline(time.Now())
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.failed
}

// heardConn records that bytes have been received.
type heardConn struct {
	net.Conn
	heard *atomic.Bool
}

// Read implements net.Conn.
func (c heardConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if n > 0 {
		c.heard.Store(true)
	}
	return n, err
}

// startsRequest reports whether bytes begin with a method, as a request does. The rest of a body
// may follow bytes of a target that responds early.
func startsRequest(data []byte) bool {
	method, _, ok := bytes.Cut(data[:min(len(data), maxMethodBytes)], []byte(" "))
	return ok && len(method) > 0 && bytes.IndexFunc(method, func(r rune) bool { return r < 'A' || r > 'Z' }) < 0
}

// maxMethodBytes is longer than any usual method and the space after it.
const maxMethodBytes = 16

// copyBoth copies bytes in both directions until either side ends. The first bytes, and those
// that follow bytes of the target, begin a request: requests are not pipelined. It may have
// been held up here, as by a freeze, while the target was evacuated.
func (s *Server) copyBoth(conn, target net.Conn, address string) {
	// After a panic; else it is closed before.
	defer func() { _ = target.Close() }()
	writer := &targetWriter{Conn: target}
	var copies sync.WaitGroup
	var begins atomic.Bool
	begins.Store(true)
	copies.Go(func() {
		defer func() {
			_ = conn.Close()
			_ = target.Close()
		}()
		contain.Run(s.Logger, "copy from a target", func() {
			// The end of either side closes the other, which is all that is done about it.
			_ = copyFromTarget(conn, heardConn{target, &begins}, writer.awaitWrites)
		})
	})
	buffer := make([]byte, frameBytes)
	for {
		n, err := conn.Read(buffer)
		if n > 0 && begins.Swap(false) && startsRequest(buffer[:n]) && s.MayBegin != nil && !s.MayBegin(address) {
			s.NotBegun.Add(1)
			// The requester must not take it for a failure of the target.
			_ = conn.Close()
			_ = target.Close()
			break
		}
		if n > 0 {
			if _, writeErr := writer.Write(buffer[:n]); writeErr != nil {
				// The target may have answered before it closed: that is still copied.
				break
			}
		}
		if err != nil {
			_ = target.Close()
			break
		}
	}
	copies.Wait()
}
