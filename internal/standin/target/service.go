package target

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

// ServiceOptions configures a Service. Zero fields take their defaults.
type ServiceOptions struct {
	// Name is the name of the target in recorded runs.
	Name string
	// Version is the version in recorded runs.
	Version string
	// Latency is the execution time of a request.
	Latency time.Duration
	// Clock is the source of time; nil means the real clock.
	Clock clockwork.Clock
}

// Service is a test double of a plain HTTP service. It accepts any request,
// records it as a run and echoes its body. A request runs to its end even if the
// client disconnects.
type Service struct {
	httpServer
	runLog
	options         ServiceOptions
	leaving         atomic.Bool
	latencyNS       atomic.Int64
	responsesToDrop atomic.Int64 // responses still to be dropped
	requestsToFail  atomic.Int64 // requests still to fail with status 500
}

// EchoResponse is the response body of a Service.
type EchoResponse struct {
	// Method and Path (including the query) are those of the request.
	Method string `json:"method"`
	Path   string `json:"path"`
	// Body is the request body as text.
	Body string `json:"body"`
	// Run is the number of the run at the service, counted from 1.
	Run int `json:"run"`
}

// NewService creates a service, which listens once Start is called.
func NewService(options ServiceOptions) *Service {
	if options.Clock == nil {
		options.Clock = clockwork.NewRealClock()
	}
	s := &Service{options: options}
	s.latencyNS.Store(int64(options.Latency))
	s.handler = http.HandlerFunc(s.handleRequest)
	return s
}

// Start listens on a loopback port that the operating system chooses.
func (s *Service) Start() error { return s.start() }

// Restart restarts a crashed service on its previous address.
func (s *Service) Restart() error { return s.start() }

// Crash closes the listener and all connections.
func (s *Service) Crash() { s.stop() }

// Close closes the listener and all connections and waits for the server
// goroutine.
func (s *Service) Close() {
	s.stop()
	s.serveGroup.Wait()
}

// SetLeaving sets whether the service is being drained: new requests are refused
// with status 503 and the X-Leaving header.
func (s *Service) SetLeaving(leaving bool) { s.leaving.Store(leaving) }

// SetLatency sets the execution time of a request.
func (s *Service) SetLatency(d time.Duration) { s.latencyNS.Store(int64(d)) }

// DropResponses makes the next n requests run and then closes their connections
// without a response.
func (s *Service) DropResponses(n int) { s.responsesToDrop.Store(int64(n)) }

// FailRequests makes the next n requests run and then fail with status 500.
func (s *Service) FailRequests(n int) { s.requestsToFail.Store(int64(n)) }

func (s *Service) handleRequest(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	key := r.Header.Get("Idempotency-Key")
	id := r.Header.Get("X-Request-Id")
	if s.leaving.Load() {
		s.recordRefusal(Refusal{ReceivedAt: s.options.Clock.Now(), RequestID: id, Key: key, StatusCode: http.StatusServiceUnavailable})
		w.Header().Set("X-Leaving", "true")
		writeError(w, http.StatusServiceUnavailable, "leaving")
		return
	}
	runIndex := s.recordStart(Run{
		Target: s.options.Name, RequestID: id, Key: key, Account: r.Header.Get("Hibiscus-Account"),
		Path: r.URL.RequestURI(), Version: s.options.Version, StartedAt: s.options.Clock.Now(),
	})
	s.options.Clock.Sleep(time.Duration(s.latencyNS.Load()))
	if decrementIfPositive(&s.requestsToFail) {
		s.recordEnd(runIndex, StatusFailed, 0, s.options.Clock.Now())
		writeError(w, http.StatusInternalServerError, "failed")
		return
	}
	s.recordEnd(runIndex, StatusComplete, 0, s.options.Clock.Now())
	if decrementIfPositive(&s.responsesToDrop) {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, EchoResponse{Method: r.Method, Path: r.URL.RequestURI(), Body: string(body), Run: runIndex + 1})
}

// decrementIfPositive decrements a positive counter and reports whether it was
// positive.
func decrementIfPositive(counter *atomic.Int64) bool {
	for {
		n := counter.Load()
		if n <= 0 {
			return false
		}
		if counter.CompareAndSwap(n, n-1) {
			return true
		}
	}
}
