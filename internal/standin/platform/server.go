// Package platform serves the operator's platform over HTTP for tests,
// demonstrations and measurements: a transactional table service, an object
// store and a lagging instance list.
//
// The state is a platform.Memory, so a check can read the truth beside the
// protocol. Faults are switches that may be set while callers are connected:
// down (503, nothing done), slow (a delay before anything is done), lost
// answers (a write takes effect and its connection is closed without an
// answer) and lag of the instance list.
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

// Options configure a Server; the zero value is usable.
type Options struct {
	// Memory holds the state; nil starts with an empty one.
	Memory *core.Memory
	// Clock times delays and lag; nil means the real clock.
	Clock clockwork.Clock
}

// Server is a running stand-in of the platform. All methods may be called
// from any goroutine.
type Server struct {
	memory *core.Memory
	clock  clockwork.Clock

	down             atomic.Bool
	delayNS          atomic.Int64 // nanoseconds before an operation is carried out
	responsesToDrop  atomic.Int64 // answers to writes still to be lost
	requestCount     atomic.Int64
	bytesTransferred atomic.Uint64

	// instancesMu guards listLag and lists.
	instancesMu     sync.Mutex
	instanceListLag time.Duration
	instanceLists   []timedInstanceList

	// serverMu guards listener and http.
	serverMu   sync.Mutex
	listener   net.Listener
	httpServer *http.Server
	serveGroup conc.WaitGroup
}

// timedInstanceList is the instance list as it was set at a time.
type timedInstanceList struct {
	setAt     time.Time
	instances []core.Listed
}

// New prepares a server; it listens after Start.
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

// Start listens on a loopback port that the system chooses.
func (s *Server) Start() error {
	s.serverMu.Lock()
	defer s.serverMu.Unlock()
	if s.listener != nil {
		return errors.New("stand-in platform: started twice")
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "stand-in platform: listen")
	}
	server := &http.Server{Handler: s}
	s.listener = listener
	s.httpServer = server
	countingListener := &countingListener{Listener: listener, bytesTransferred: &s.bytesTransferred}
	s.serveGroup.Go(func() { _ = server.Serve(countingListener) })
	return nil
}

// URL is the base address, such as "http://127.0.0.1:4711"; empty before Start.
func (s *Server) URL() string {
	s.serverMu.Lock()
	defer s.serverMu.Unlock()
	if s.listener == nil {
		return ""
	}
	return "http://" + s.listener.Addr().String()
}

// Close ends the listener and all connections and waits for the server.
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

// Memory is the state behind the protocol, the ground truth for checks.
func (s *Server) Memory() *core.Memory { return s.memory }

// RequestCount counts the HTTP requests received, also those refused.
func (s *Server) RequestCount() int64 { return s.requestCount.Load() }

// BytesTransferred counts the bytes of requests and answers, headers of HTTP included.
func (s *Server) BytesTransferred() uint64 { return s.bytesTransferred.Load() }

// SetDown makes all calls answer 503 with nothing done, or ends that.
func (s *Server) SetDown(down bool) { s.down.Store(down) }

// SetDelay delays each operation by d before it is carried out.
func (s *Server) SetDelay(delay time.Duration) { s.delayNS.Store(int64(delay)) }

// DropResponses makes the next n writes take effect without an answer: the
// connection is closed in its place. A new call replaces the count.
func (s *Server) DropResponses(n int) { s.responsesToDrop.Store(int64(n)) }

// SetInstanceListLag makes the instance list show its state of d ago.
func (s *Server) SetInstanceListLag(lag time.Duration) {
	s.instancesMu.Lock()
	defer s.instancesMu.Unlock()
	s.instanceListLag = lag
}

// SetInstances replaces the instance list; callers see it after the lag.
func (s *Server) SetInstances(instances []core.Listed) {
	s.memory.SetInstances(instances)
	s.instancesMu.Lock()
	defer s.instancesMu.Unlock()
	s.instanceLists = append(s.instanceLists, timedInstanceList{setAt: s.clock.Now(), instances: append([]core.Listed(nil), instances...)})
}

// delayedInstances returns the newest list that is older than the lag. It reports
// false when SetInstances was never used, so that the memory's list counts.
func (s *Server) delayedInstances() ([]core.Listed, bool) {
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

// takeDroppedResponse takes one lost answer from the count, if any is left.
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
