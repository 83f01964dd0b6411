package target

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

// ServiceOptions configure a Service; zero fields take defaults.
type ServiceOptions struct {
	// Name is used in the log.
	Name string
	// Version is used in the log.
	Version string
	// Latency is the time of one call.
	Latency time.Duration
	// Clock times the latency; nil means the real clock.
	Clock clockwork.Clock
}

// Service is a running stand-in of a plain service. It takes any call, echoes
// its body and logs it. A call runs to its end although its caller goes away.
type Service struct {
	listener
	journal
	options ServiceOptions
	leaving atomic.Bool
	latency atomic.Int64 // nanoseconds
	lost    atomic.Int64 // answers still to be lost
	failing atomic.Int64 // calls still to be answered 500
}

// EchoResponse is the answer to a call of a Service.
type EchoResponse struct {
	// Method and Path (with its query) are those of the call.
	Method string `json:"method"`
	Path   string `json:"path"`
	// Body is the call's body as text.
	Body string `json:"body"`
	// Run is the number of this run at the service, from 1.
	Run int `json:"run"`
}

// NewService prepares a service; it listens after Start.
func NewService(options ServiceOptions) *Service {
	if options.Clock == nil {
		options.Clock = clockwork.NewRealClock()
	}
	s := &Service{options: options}
	s.latency.Store(int64(options.Latency))
	s.handler = http.HandlerFunc(s.serve)
	return s
}

// Start listens on a loopback port that the system chooses.
func (s *Service) Start() error { return s.start() }

// Restart brings a crashed service back on its address.
func (s *Service) Restart() error { return s.start() }

// Crash closes the listener and all connections.
func (s *Service) Crash() { s.stop() }

// Close ends everything and waits for the listener.
func (s *Service) Close() {
	s.stop()
	s.serving.Wait()
}

// SetLeaving makes the service refuse new work with 503 and X-Leaving, or
// ends that.
func (s *Service) SetLeaving(leaving bool) { s.leaving.Store(leaving) }

// SetLatency sets the time of one call.
func (s *Service) SetLatency(d time.Duration) { s.latency.Store(int64(d)) }

// DropResponses makes the next n calls run and break their connection without an
// answer.
func (s *Service) DropResponses(n int) { s.lost.Store(int64(n)) }

// FailRequests makes the next n calls run and answer 500.
func (s *Service) FailRequests(n int) { s.failing.Store(int64(n)) }

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	key := r.Header.Get("Idempotency-Key")
	id := r.Header.Get("X-Request-Id")
	if s.leaving.Load() {
		s.refuse(Refusal{ReceivedAt: s.options.Clock.Now(), RequestID: id, Key: key, StatusCode: http.StatusServiceUnavailable})
		w.Header().Set("X-Leaving", "true")
		writeError(w, http.StatusServiceUnavailable, "leaving")
		return
	}
	index := s.open(Run{
		Target: s.options.Name, RequestID: id, Key: key, Account: r.Header.Get("Hibiscus-Account"),
		Path: r.URL.RequestURI(), Version: s.options.Version, StartedAt: s.options.Clock.Now(),
	})
	s.options.Clock.Sleep(time.Duration(s.latency.Load()))
	if take(&s.failing) {
		s.end(index, StatusFailed, 0, s.options.Clock.Now())
		writeError(w, http.StatusInternalServerError, "failed")
		return
	}
	s.end(index, StatusComplete, 0, s.options.Clock.Now())
	if take(&s.lost) {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, EchoResponse{Method: r.Method, Path: r.URL.RequestURI(), Body: string(body), Run: index + 1})
}

// take counts a switch down and reports whether there was one left.
func take(left *atomic.Int64) bool {
	for {
		n := left.Load()
		if n <= 0 {
			return false
		}
		if left.CompareAndSwap(n, n-1) {
			return true
		}
	}
}
