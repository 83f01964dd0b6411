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

	down     atomic.Bool
	delay    atomic.Int64 // nanoseconds before an operation is carried out
	lost     atomic.Int64 // answers to writes still to be lost
	requests atomic.Int64
	carried  atomic.Uint64

	// listMu guards listLag and lists.
	listMu  sync.Mutex
	listLag time.Duration
	lists   []datedList

	// netMu guards listener and http.
	netMu    sync.Mutex
	listener net.Listener
	http     *http.Server
	serving  conc.WaitGroup
}

// datedList is the instance list as it was set at a time.
type datedList struct {
	at   time.Time
	list []core.Listed
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
	s.netMu.Lock()
	defer s.netMu.Unlock()
	if s.listener != nil {
		return errors.New("stand-in platform: started twice")
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "stand-in platform: listen")
	}
	server := &http.Server{Handler: s}
	s.listener = listener
	s.http = server
	counted := &countingListener{Listener: listener, carried: &s.carried}
	s.serving.Go(func() { _ = server.Serve(counted) })
	return nil
}

// URL is the base address, such as "http://127.0.0.1:4711"; empty before Start.
func (s *Server) URL() string {
	s.netMu.Lock()
	defer s.netMu.Unlock()
	if s.listener == nil {
		return ""
	}
	return "http://" + s.listener.Addr().String()
}

// Close ends the listener and all connections and waits for the server.
func (s *Server) Close() {
	s.netMu.Lock()
	server := s.http
	s.netMu.Unlock()
	if server == nil {
		return
	}
	_ = server.Close()
	s.serving.Wait()
}

// Memory is the state behind the protocol, the ground truth for checks.
func (s *Server) Memory() *core.Memory { return s.memory }

// RequestCount counts the HTTP requests received, also those refused.
func (s *Server) RequestCount() int64 { return s.requests.Load() }

// BytesTransferred counts the bytes of requests and answers, headers of HTTP included.
func (s *Server) BytesTransferred() uint64 { return s.carried.Load() }

// SetDown makes all calls answer 503 with nothing done, or ends that.
func (s *Server) SetDown(down bool) { s.down.Store(down) }

// SetDelay delays each operation by d before it is carried out.
func (s *Server) SetDelay(d time.Duration) { s.delay.Store(int64(d)) }

// DropResponses makes the next n writes take effect without an answer: the
// connection is closed in its place. A new call replaces the count.
func (s *Server) DropResponses(n int) { s.lost.Store(int64(n)) }

// SetInstanceListLag makes the instance list show its state of d ago.
func (s *Server) SetInstanceListLag(d time.Duration) {
	s.listMu.Lock()
	defer s.listMu.Unlock()
	s.listLag = d
}

// SetInstances replaces the instance list; callers see it after the lag.
func (s *Server) SetInstances(list []core.Listed) {
	s.memory.SetInstances(list)
	s.listMu.Lock()
	defer s.listMu.Unlock()
	s.lists = append(s.lists, datedList{at: s.clock.Now(), list: append([]core.Listed(nil), list...)})
}

// laggedList returns the newest list that is older than the lag. It reports
// false when SetInstances was never used, so that the memory's list counts.
func (s *Server) laggedList() ([]core.Listed, bool) {
	s.listMu.Lock()
	defer s.listMu.Unlock()
	if len(s.lists) == 0 {
		return nil, false
	}
	limit := s.clock.Now().Add(-s.listLag)
	for i := len(s.lists) - 1; i >= 0; i-- {
		if !s.lists[i].at.After(limit) {
			return s.lists[i].list, true
		}
	}
	return nil, true
}

// loseAnswer takes one lost answer from the count, if any is left.
func (s *Server) loseAnswer() bool {
	for {
		left := s.lost.Load()
		if left <= 0 {
			return false
		}
		if s.lost.CompareAndSwap(left, left-1) {
			return true
		}
	}
}
