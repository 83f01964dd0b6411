package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/catalog"
	"github.com/hibiscuspost/hibiscuspost/internal/quarantine"
	"github.com/hibiscuspost/hibiscuspost/internal/rollout"
	"github.com/hibiscuspost/hibiscuspost/internal/schedule"
)

// newStoppingGateway returns a gateway that was told to stop some time ago and cancels requests
// 8 s after that.
func newStoppingGateway(placer Placer, since time.Duration) (*Gateway, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	g := New(Options{
		Clock: clock, Rollouts: rollout.New(clock), Placer: placer, Catalog: &catalog.Holder{}, Counters: &Counters{}, Logger: zap.NewNop(),
		Quarantine: quarantine.New(quarantine.Options{Clock: clock}),
	})
	NewServer(g).BeginShutdown(clock.Now().Add(2500*time.Millisecond), clock.Now().Add(8*time.Second))
	clock.Advance(since)
	return g, clock
}

// Requests that came in while the instance was stopping were begun though they could not end
// before they were cut.
func TestRequestThatMayNotEndInTimeIsNotBegun(t *testing.T) {
	for _, tc := range []struct {
		name string
		// since is the time since the signal, 8 s before requests are cancelled.
		since, deadline time.Duration
		// hint and limit are what the caller states of the output tokens.
		hint, limit int
		tokenTime   time.Duration
		// waited is how long ago the request was received.
		waited time.Duration
		// usual is the time of most recent requests of the route.
		usual time.Duration
		// mayHaveRun is set for a request that another target has been sent.
		mayHaveRun bool
		begun      bool
	}{
		{name: "deadline before the end", since: 5 * time.Second, deadline: 3 * time.Second, begun: true},
		{name: "deadline after the end", since: 5 * time.Second, deadline: 3001 * time.Millisecond},
		{name: "nothing known", since: 0, deadline: 12 * time.Second},
		{name: "short stream", since: time.Second, deadline: 12 * time.Second, hint: 500, limit: 5000, tokenTime: 4 * time.Millisecond, begun: true},
		{name: "long stream", since: time.Second, deadline: 12 * time.Second, hint: 1100, limit: 5000, tokenTime: 4 * time.Millisecond},
		{name: "long stream on a route with short ones", since: 0, deadline: 12 * time.Second, hint: 2000, limit: 5000, tokenTime: 4 * time.Millisecond, usual: time.Second},
		{name: "limit without an estimate", since: time.Second, deadline: 12 * time.Second, limit: 2000, tokenTime: 4 * time.Millisecond, begun: true},
		{name: "short stream received late", since: 2600 * time.Millisecond, deadline: 12 * time.Second, hint: 20, limit: 50, tokenTime: 4 * time.Millisecond},
		{name: "short stream that has waited", since: 3 * time.Second, waited: time.Second, deadline: 12 * time.Second, hint: 500, limit: 5000, tokenTime: 4 * time.Millisecond, begun: true},
		{name: "short stream that has waited long", since: 4 * time.Second, waited: 2 * time.Second, deadline: 12 * time.Second, hint: 20, limit: 50, tokenTime: 4 * time.Millisecond},
		{name: "target of unknown speed", since: time.Second, deadline: 12 * time.Second, hint: 500, usual: 3 * time.Second, begun: true},
		{name: "route with short responses", since: 2 * time.Second, deadline: 12 * time.Second, usual: 4 * time.Second, begun: true},
		{name: "route with short responses, late", since: 2600 * time.Millisecond, deadline: 12 * time.Second, usual: 2 * time.Second},
		{name: "route with long responses", since: 2 * time.Second, deadline: 12 * time.Second, usual: 5 * time.Second},
		{name: "may have run", since: 7 * time.Second, deadline: 12 * time.Second, usual: 5 * time.Second, mayHaveRun: true, begun: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g, clock := newStoppingGateway(nil, tc.since)
			now := clock.Now()
			r := &inflightRequest{Gateway: g, route: &catalog.Route{Name: "route"}, deadline: now.Add(tc.deadline), request: &Request{ReceivedAt: now}}
			r.request.LengthHint, r.request.MaxOutputTokens = tc.hint, tc.limit
			if tc.mayHaveRun {
				r.possibleRuns = 1
			}
			r.request.ReceivedAt = now.Add(-tc.waited)
			if tc.usual > 0 {
				g.durations.observe("route", tc.usual, now)
			}
			err := r.checkStart(nil)
			if err == nil {
				err = r.checkStart(&schedule.Grant{ExpectedTokenTime: tc.tokenTime})
			}
			assert.Equal(t, err == nil, tc.begun, "%v", err)
		})
	}
}

// blockingPlacer grants no place until the context ends.
type blockingPlacer struct{ waits chan struct{} }

func (p *blockingPlacer) Acquire(ctx context.Context, _ *schedule.Request) (*schedule.Grant, error) {
	close(p.waits)
	<-ctx.Done()
	return nil, ctx.Err()
}

// A request that was refused at once had been charged and had asked for a place.
func TestLateRequestIsRefusedBeforeItIsCharged(t *testing.T) {
	g, clock := newStoppingGateway(nil, 5*time.Second)
	configuration, err := catalog.New(1, catalog.Contents{Routes: []*catalog.Route{{
		Name: "route", Host: "host", Prefix: "/x/", Anonymous: true, Timeout: 12 * time.Second,
	}}})
	assert.NilError(t, err)
	g.Catalog.Adopt(configuration)
	g.Protocol, g.Draining, g.ClusterView = noopProtocol{}, func() bool { return true }, func() ClusterView { return ClusterView{} }
	// A use of the quota or of the placer would panic.
	response := g.Serve(t.Context(), &Request{ReceivedAt: clock.Now(), Method: http.MethodPost, URI: "/x/y", Host: "host"})
	assert.Equal(t, response.Status, http.StatusServiceUnavailable)
	assert.Equal(t, g.Counters.RefusedTooLate.Load(), uint64(1))
}

// A request that waited for a place when its instance was told to stop was placed as long as
// the instance ran, and cut.
func TestWaitingRequestIsRefusedWhenTooLittleOfAShutdownIsLeft(t *testing.T) {
	const signal, half, margin = 8 * time.Second, 4 * time.Second, 100 * time.Millisecond
	for _, tc := range []struct {
		name            string
		signalledBefore bool
		deadline        time.Duration
		mayHaveRun      bool
		waitsOn         bool
	}{
		{name: "signalled before", signalledBefore: true, deadline: 12 * time.Second},
		{name: "signalled while it waits", deadline: 12 * time.Second},
		{name: "deadline before the end", deadline: 7 * time.Second, waitsOn: true},
		{name: "may have run", deadline: 12 * time.Second, mayHaveRun: true, waitsOn: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			placer := &blockingPlacer{waits: make(chan struct{})}
			clock := clockwork.NewFakeClock()
			g := New(Options{Clock: clock, Rollouts: rollout.New(clock), Placer: placer, Counters: &Counters{}, Logger: zap.NewNop()})
			r := &inflightRequest{
				Gateway: g, request: &Request{ReceivedAt: clock.Now()}, route: &catalog.Route{Name: "route"}, service: &catalog.Service{},
				deadline: clock.Now().Add(tc.deadline),
			}
			if tc.mayHaveRun {
				r.possibleRuns = 1
			}
			begin := func() { NewServer(g).BeginShutdown(clock.Now().Add(2500*time.Millisecond), clock.Now().Add(signal)) }
			if tc.signalledBefore {
				begin()
			}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			placed := make(chan error, 1)
			go func() {
				_, err := r.place(ctx)
				placed <- err
			}()
			<-placer.waits
			if !tc.signalledBefore {
				begin()
			}
			assert.Equal(t, endsSoon(placed), false, "refused too early")
			clock.Advance(half - margin)
			assert.Equal(t, endsSoon(placed), false, "refused too early")
			clock.Advance(2 * margin)
			if tc.waitsOn {
				assert.Equal(t, endsSoon(placed), false, "the wait has ended")
				return
			}
			select {
			case err := <-placed:
				response := r.placementFailed(ctx, err)
				assert.Equal(t, response.Status, http.StatusServiceUnavailable)
				assert.Equal(t, response.Header.Get("Retry-After"), "0.050")
				assert.Equal(t, g.Counters.RefusedTooLate.Load(), uint64(1))
			case <-time.After(10 * time.Second):
				t.Fatal("the request still waits")
			}
		})
	}
}

// endsSoon reports whether a wait ends within a moment.
func endsSoon(placed <-chan error) bool {
	select {
	case <-placed:
		return true
	case <-time.After(20 * time.Millisecond):
		return false
	}
}

// endingPlacer grants a place at the moment at which the wait for one is ended.
type endingPlacer struct {
	sequentialPlacer
	end func()
}

func (p *endingPlacer) Acquire(ctx context.Context, r *schedule.Request) (*schedule.Grant, error) {
	p.end()
	<-ctx.Done()
	return p.sequentialPlacer.Acquire(context.Background(), r)
}

// newWaitingRequest returns a request whose deadline is after the end of the shutdown.
func newWaitingRequest(g *Gateway, clock *clockwork.FakeClock) *inflightRequest {
	return &inflightRequest{
		Gateway: g, request: &Request{ReceivedAt: clock.Now()}, route: &catalog.Route{Name: "route"}, service: &catalog.Service{},
		deadline: clock.Now().Add(12 * time.Second),
	}
}

// A place that was granted as the wait ended was kept by a request that had been refused.
func TestPlaceGrantedAsTheWaitEndsIsReleased(t *testing.T) {
	placer := &endingPlacer{sequentialPlacer: sequentialPlacer{targets: []*catalog.Target{{ID: "one"}}}}
	g, clock := newStoppingGateway(placer, 0)
	r := newWaitingRequest(g, clock)
	placer.end = func() { clock.Advance(4100 * time.Millisecond) }
	_, err := r.place(t.Context())
	assert.Equal(t, r.placementFailed(t.Context(), err).Status, http.StatusServiceUnavailable)
	assert.Equal(t, g.Counters.RefusedTooLate.Load(), uint64(1))
	assert.DeepEqual(t, placer.results(), []schedule.Result{schedule.Cancelled})
}

// countedContext counts the functions that are called at its end.
type countedContext struct {
	context.Context
	registered atomic.Int64
}

// AfterFunc is called by context.AfterFunc.
func (c *countedContext) AfterFunc(f func()) func() bool {
	c.registered.Add(1)
	stop := context.AfterFunc(c.Context, f)
	return func() bool {
		c.registered.Add(-1)
		return stop()
	}
}

// A request that had its place left something behind for the end of a shutdown.
func TestPlacedRequestHoldsNothingForAShutdown(t *testing.T) {
	placer := &sequentialPlacer{targets: []*catalog.Target{{ID: "one"}}}
	g, clock := newStoppingGateway(placer, 0)
	counted := &countedContext{Context: g.likelyStarts}
	g.likelyStarts = counted
	_, err := newWaitingRequest(g, clock).acquire(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, counted.registered.Load(), int64(0))
}

// One response that took long made an instance that stops refuse all requests of the route.
func TestOneLongResponseDoesNotRefuseAShortRoute(t *testing.T) {
	g, clock := newStoppingGateway(nil, 0)
	for range 40 {
		g.durations.observe("route", 50*time.Millisecond, clock.Now())
	}
	g.durations.observe("route", 7*time.Second, clock.Now())
	assert.NilError(t, newWaitingRequest(g, clock).checkStart(&schedule.Grant{}))
}

// The times of a route were those of a load long gone.
func TestUsualDurationIsRecent(t *testing.T) {
	var d recentDurations
	start := time.Unix(1_000_000, 0)
	assert.Equal(t, d.usual("a", start), time.Duration(0))
	d.observe("a", 5*time.Second, start)
	d.observe("b", 2*time.Second, start.Add(time.Second))
	assert.Equal(t, d.usual("a", start.Add(29*time.Second)), 5*time.Second)
	d.observe("b", time.Second, start.Add(31*time.Second))
	assert.Equal(t, d.usual("a", start.Add(59*time.Second)), 5*time.Second)
	d.observe("a", time.Second, start.Add(62*time.Second))
	assert.Equal(t, d.usual("a", start.Add(63*time.Second)), time.Second)
	assert.Equal(t, d.usual("a", start.Add(3*time.Minute)), time.Duration(0))
}
