// Package platform implements a test double of the operator's platform over
// HTTP (Server) for tests, demonstrations and benchmarks: a transactional table
// service, an object store and an instance list.
//
// The state is a platform.Memory of internal/platform, which checks read
// directly as the ground truth. Faults can be injected while clients are
// connected: unavailability (status 503, nothing is executed), delay (before a
// request is executed), dropped responses (a write is executed and its connection
// is closed without a response) and a lag of the instance list.
package platform

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"

	core "github.com/hibiscuspost/hibiscuspost/internal/platform"
)

// Options configures a Server. The zero value is usable.
type Options struct {
	// Memory holds the state; nil means a new, empty one.
	Memory *core.Memory
	// Clock is the source of time for delays and lag; nil means the real clock.
	Clock clockwork.Clock
}

// Server is a test double of the platform. Its methods are safe for concurrent
// use.
type Server struct {
	memory *core.Memory
	clock  clockwork.Clock

	down             atomic.Bool
	delayNS          atomic.Int64 // delay before an operation is executed
	responsesToDrop  atomic.Int64 // responses to writes still to be dropped
	requestCount     atomic.Int64
	bytesTransferred atomic.Uint64

	// instancesMu guards instanceListLag and instanceLists.
	instancesMu     sync.Mutex
	instanceListLag time.Duration
	instanceLists   []timedInstanceList

	// serverMu guards listener and httpServer.
	serverMu   sync.Mutex
	listener   net.Listener
	httpServer *http.Server
	serveGroup conc.WaitGroup
}

// timedInstanceList is an instance list with the time at which it was set.
type timedInstanceList struct {
	setAt     time.Time
	instances []core.ListedInstance
}

// New creates a server, which listens once Start is called.
func New(options Options) (*Server, error) {
	s := &Server{memory: options.Memory, clock: options.Clock}
	if s.memory == nil {
		s.memory = core.NewMemory()
	}
	if s.clock == nil {
		s.clock = clockwork.NewRealClock()
	}
	return s, nil
}

// Start listens on a loopback port that the operating system chooses.
func (s *Server) Start() error {
	s.serverMu.Lock()
	defer s.serverMu.Unlock()
	if s.listener != nil {
		return errors.New("stand-in platform: server is already started")
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "stand-in platform: listen")
	}
	server := &http.Server{Handler: s}
	s.listener = listener
	s.httpServer = server
	countedListener := &countingListener{Listener: listener, bytesTransferred: &s.bytesTransferred}
	s.serveGroup.Go(func() { _ = server.Serve(countedListener) })
	return nil
}

// URL returns the base URL, such as "http://127.0.0.1:4711", or "" before Start.
func (s *Server) URL() string {
	s.serverMu.Lock()
	defer s.serverMu.Unlock()
	if s.listener == nil {
		return ""
	}
	return "http://" + s.listener.Addr().String()
}

// Close closes the listener and all connections and waits for the server
// goroutine.
func (s *Server) Close() {
	s.serverMu.Lock()
	server := s.httpServer
	s.serverMu.Unlock()
	if server == nil {
		return
	}
	_ = server.Close()
	s.serveGroup.Wait()
}

// Memory returns the state that the server serves, as ground truth for checks.
func (s *Server) Memory() *core.Memory { return s.memory }

// RequestCount returns the number of HTTP requests received, including refused
// ones.
func (s *Server) RequestCount() int64 { return s.requestCount.Load() }

// BytesTransferred returns the number of bytes of all requests and responses,
// including HTTP headers.
func (s *Server) BytesTransferred() uint64 { return s.bytesTransferred.Load() }

// SetDown sets whether all requests fail with status 503 without being executed.
func (s *Server) SetDown(down bool) { s.down.Store(down) }

// SetDelay sets a delay before each operation is executed.
func (s *Server) SetDelay(delay time.Duration) { s.delayNS.Store(int64(delay)) }

// DropResponses makes the server execute the next n writes and close their
// connections without a response. Each call replaces the remaining count.
func (s *Server) DropResponses(n int) { s.responsesToDrop.Store(int64(n)) }

// SetInstanceListLag makes the server return the instance list of that long ago.
func (s *Server) SetInstanceListLag(lag time.Duration) {
	s.instancesMu.Lock()
	defer s.instancesMu.Unlock()
	s.instanceListLag = lag
}

// SetInstances replaces the instance list, which clients see after the lag.
func (s *Server) SetInstances(instances []core.ListedInstance) {
	s.memory.SetInstances(instances)
	s.instancesMu.Lock()
	defer s.instancesMu.Unlock()
	s.instanceLists = append(s.instanceLists, timedInstanceList{setAt: s.clock.Now(), instances: append([]core.ListedInstance(nil), instances...)})
}

// delayedInstances returns the newest list that is at least as old as the lag. It
// returns false if SetInstances was never called, in which case the list of the
// Memory applies.
func (s *Server) delayedInstances() ([]core.ListedInstance, bool) {
	s.instancesMu.Lock()
	defer s.instancesMu.Unlock()
	if len(s.instanceLists) == 0 {
		return nil, false
	}
	cutoff := s.clock.Now().Add(-s.instanceListLag)
	for i := len(s.instanceLists) - 1; i >= 0; i-- {
		if !s.instanceLists[i].setAt.After(cutoff) {
			return s.instanceLists[i].instances, true
		}
	}
	return nil, true
}

// takeDroppedResponse reports whether a response is to be dropped, and if so
// decrements the remaining count.
func (s *Server) takeDroppedResponse() bool {
	for {
		remaining := s.responsesToDrop.Load()
		if remaining <= 0 {
			return false
		}
		if s.responsesToDrop.CompareAndSwap(remaining, remaining-1) {
			return true
		}
	}
}
