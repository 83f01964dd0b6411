package gateway

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/catalog"
	"github.com/hibiscuspost/hibiscuspost/internal/dispatch"
	"github.com/hibiscuspost/hibiscuspost/internal/quarantine"
	"github.com/hibiscuspost/hibiscuspost/internal/rollout"
	"github.com/hibiscuspost/hibiscuspost/internal/schedule"
)

// crashingPlacer grants a place after other attempts of the same request have
// crashed three targets.
type crashingPlacer struct {
	registry    *quarantine.Registry
	fingerprint quarantine.Fingerprint
	ended       schedule.Result
}

func (p *crashingPlacer) Acquire(context.Context, *schedule.Request) (*schedule.Grant, error) {
	for _, target := range []string{"one", "two", "three"} {
		p.registry.Start(p.fingerprint, target, 0).End(quarantine.Broken)
	}
	return schedule.NewGrant(schedule.Grant{Target: &catalog.Target{ID: "four", Address: "127.0.0.1:1"}}, p), nil
}

func (p *crashingPlacer) ResponseStarted(time.Duration)     {}
func (p *crashingPlacer) TokensReceived(int, time.Duration) {}

func (p *crashingPlacer) TermsStated(schedule.Terms) {}
func (p *crashingPlacer) Silent()                    {}
func (p *crashingPlacer) Done(o schedule.Outcome)    { p.ended = o.Result }

// A request was checked only when it arrived. One that was waiting for a place,
// was retried or was resumed reached a target after it had crashed others.
func TestRequestQuarantinedWhileWaitingIsNotSent(t *testing.T) {
	for _, mayHaveRun := range []bool{false, true} {
		clock := clockwork.NewFakeClock()
		placer := &crashingPlacer{
			registry:    quarantine.New(quarantine.Options{Clock: clock, CountsUnresolved: true}),
			fingerprint: quarantine.NewFingerprint("", "/x", nil),
		}
		r := &inflightRequest{
			Gateway: New(Options{
				Clock: clock, Rollouts: rollout.New(clock), Placer: placer, Quarantine: placer.registry,
				Counters: &Counters{}, Logger: zap.NewNop(),
			}),
			request: &Request{ReceivedAt: clock.Now()}, route: &catalog.Route{}, service: &catalog.Service{},
			fingerprint: placer.fingerprint, possibleRuns: map[bool]int{true: 1}[mayHaveRun],
		}
		grant, err := r.place(context.Background())
		assert.Assert(t, grant == nil, "the request would be sent to a fourth target")
		response := r.placementFailed(context.Background(), err)
		assert.Equal(t, placer.ended, schedule.Cancelled)
		assert.Equal(t, response.Reason, reasonQuarantined)
		want := map[bool]int{false: http.StatusServiceUnavailable, true: http.StatusBadGateway}[mayHaveRun]
		assert.Equal(t, response.Status, want)
	}
}

// respondWith returns a response that a target sends and ends with its
// connection.
func respondWith(t *testing.T, header string) *dispatch.PooledResponse {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Read(make([]byte, 1024))
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\n" + header + "\r\nbody"))
		_ = conn.Close()
	}()
	response, err := dispatch.NewPool(clockwork.NewRealClock()).Send(context.Background(), &dispatch.PooledRequest{
		Address: l.Addr().String(), Method: http.MethodGet, URI: "/x", Match: func(http.Header) dispatch.Match { return dispatch.MatchOwn },
	})
	assert.NilError(t, err)
	t.Cleanup(response.Close)
	return response
}

// The connection of a target that crashes may be closed in order. A response that
// ends with it looks complete, and would excuse the request.
func TestResponseThatEndsWithItsConnectionIsNoCompletion(t *testing.T) {
	for header, completes := range map[string]bool{"Content-Length: 4\r\n": true, "": false} {
		clock := clockwork.NewFakeClock()
		registry := quarantine.New(quarantine.Options{Clock: clock, CountsUnresolved: true})
		request := quarantine.NewFingerprint("", "/x", nil)
		endComplete(&observation{Attempt: registry.Start(request, "four", 0)}, respondWith(t, header))
		for _, target := range []string{"one", "two", "three"} {
			registry.Start(request, target, 0).End(quarantine.Broken)
		}
		assert.Equal(t, registry.ShouldRefuse(request), !completes, "%q", header)
	}
}
