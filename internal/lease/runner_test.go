package lease

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

// errLost is a broken connection.
var errLost = errors.New("connection lost")

// engine is a target in memory.
type engine struct {
	state    TargetState
	fencing  bool
	orders   []SendOrder
	known    map[string]bool
	loses    int  // answers of orders still to be lost
	loading  int  // looks until a load is done
	silent   bool // reads fail
	afterAsk func()
}

func newEngine(fencing bool) *engine {
	return &engine{state: TargetState{Versions: []string{"v1"}}, fencing: fencing, known: make(map[string]bool)}
}

func (e *engine) SendOrder(_ context.Context, order SendOrder) (TargetState, error) {
	if e.fencing && order.FencingToken < e.state.FencingToken {
		return TargetState{}, &FencedError{FencingToken: e.state.FencingToken}
	}
	e.state.FencingToken = max(e.state.FencingToken, order.FencingToken)
	if !e.known[order.ID] {
		e.known[order.ID] = true
		e.orders = append(e.orders, order)
		e.apply(order)
	}
	if e.loses > 0 {
		e.loses--
		return TargetState{}, errLost
	}
	return e.state, nil
}

func (e *engine) apply(order SendOrder) {
	switch {
	case order.Kind == KindLoad && e.loading > 0:
		e.state.Loading = order.Version
	case order.Kind == KindLoad:
		e.serve(order.Version)
	case order.Kind == KindRole:
		e.state.Role = order.Role
	}
}

func (e *engine) serve(version string) {
	e.state.Versions = slices.DeleteFunc(e.state.Versions, func(v string) bool { return v == version })
	e.state.Versions = append(e.state.Versions, version)
}

func (e *engine) ReadState(context.Context) (TargetState, error) {
	if e.afterAsk != nil {
		defer e.afterAsk()
	}
	if e.silent {
		return TargetState{}, errLost
	}
	if e.state.Loading != "" {
		e.loading--
		if e.loading == 0 {
			e.serve(e.state.Loading)
			e.state.Loading = ""
		}
	}
	return e.state, nil
}

// run runs f while time passes at every wait of the runner.
func (f *fixture) run(t *testing.T, during func(r *Reconciler)) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var clock conc.WaitGroup
	clock.Go(func() {
		for f.clock.BlockUntilContext(ctx, 1) == nil {
			f.clock.Advance(loadPoll)
		}
	})
	during(NewReconciler(f.clock, rand.New(rand.NewPCG(1, 1))))
	cancel()
	clock.Wait()
}

var wantV2 = DesiredState{Kind: KindLoad, Version: "v2"}

func TestOrderIsGivenOnceAlthoughAnswersAreLost(t *testing.T) {
	f := newFixture()
	l := mustAcquire(t, f.a)
	e := newEngine(true)
	e.loses, e.loading = 1, 4
	f.run(t, func(r *Reconciler) {
		state, err := r.Ensure(context.Background(), l, e, wantV2)
		assert.NilError(t, err)
		assert.DeepEqual(t, state.Versions, []string{"v1", "v2"})
	})
	assert.Equal(t, len(e.orders), 1)
	assert.Equal(t, e.orders[0].FencingToken, uint64(1))
}

func TestNothingIsOrderedWhenTheStateIsAsWanted(t *testing.T) {
	f := newFixture()
	l := mustAcquire(t, f.a)
	e := newEngine(false)
	f.run(t, func(r *Reconciler) {
		for _, want := range []DesiredState{{Kind: KindLoad, Version: "v1"}, {Kind: KindUnload, Version: "v9"}, {Kind: KindRole}} {
			_, err := r.Ensure(context.Background(), l, e, want)
			assert.NilError(t, err)
		}
	})
	assert.Equal(t, len(e.orders), 0)
}

func TestDrainIsGivenUntilAnswered(t *testing.T) {
	f := newFixture()
	l := mustAcquire(t, f.a)
	e := newEngine(false)
	e.loses = 2
	f.run(t, func(r *Reconciler) {
		assert.NilError(t, r.Maintain(context.Background(), l, e, DesiredState{Kind: KindDrain}))
	})
	assert.Equal(t, len(e.orders), 1)
}

func TestHolderPausedDuringItsReadSendsNothing(t *testing.T) {
	f := newFixture()
	l := mustAcquire(t, f.a)
	e := newEngine(false)
	e.afterAsk = func() { f.clock.Advance(Term) }
	f.run(t, func(r *Reconciler) {
		_, err := r.Ensure(context.Background(), l, e, wantV2)
		assert.Check(t, errors.Is(err, ErrExpired), "%v", err)
	})
	assert.Equal(t, len(e.orders), 0)
}

func TestTargetThatStaysSilentEndsWithTheLease(t *testing.T) {
	f := newFixture()
	l := mustAcquire(t, f.a)
	e := newEngine(false)
	e.silent = true
	f.run(t, func(r *Reconciler) {
		_, err := r.Ensure(context.Background(), l, e, wantV2)
		assert.Check(t, errors.Is(err, ErrExpired), "%v", err)
	})
}

func TestSuccessorWaitsOutThePredecessorsOrders(t *testing.T) {
	f := newFixture()
	mustAcquire(t, f.a)
	next := f.takeOver(t)
	e := newEngine(false)
	taken := f.clock.Now()
	f.run(t, func(r *Reconciler) {
		_, err := r.Ensure(context.Background(), next, e, wantV2)
		assert.NilError(t, err)
	})
	assert.Check(t, f.clock.Since(taken) >= OrderTimeout)
}

func TestLateOrder(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		f := newFixture()
		mustAcquire(t, f.a)
		next := f.takeOver(t)
		e := newEngine(fencing)
		ctx, cancel := context.WithCancel(context.Background())
		late := SendOrder{ID: "late", FencingToken: 1, Kind: KindLoad, Version: "v0"}
		looks := 0
		e.afterAsk = func() {
			looks++
			switch looks {
			case 2:
				_, err := e.SendOrder(ctx, late)
				assert.Equal(t, errors.Is(err, ErrFenced), fencing)
			case 5:
				cancel()
			}
			assert.Check(t, next.Renew(context.Background()))
		}
		f.run(t, func(r *Reconciler) {
			err := r.Maintain(ctx, next, e, wantV2)
			assert.Check(t, errors.Is(err, context.Canceled), "%v", err)
		})
		assert.Equal(t, e.state.Versions[len(e.state.Versions)-1], "v2", "fencing %t", fencing)
	}
}

func TestHTTPTargetSpeaksTheEnginesProtocol(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &fasthttp.Server{Handler: func(c *fasthttp.RequestCtx) {
		if string(c.Path()) == "/state" {
			c.SetBodyString(`{"versions":["v1"],"loading":"","role":"decode","fence":7}`)
			return
		}
		c.SetStatusCode(fasthttp.StatusConflict)
		c.SetBodyString(`{"fence":7}`)
	}}
	var wg conc.WaitGroup
	wg.Go(func() { assert.Check(t, server.Serve(listener)) })
	target := NewHTTPTarget(listener.Addr().String())
	state, err := target.ReadState(context.Background())
	assert.NilError(t, err)
	assert.DeepEqual(t, state, TargetState{Versions: []string{"v1"}, Role: "decode", FencingToken: 7})
	_, err = target.SendOrder(context.Background(), SendOrder{ID: "1", FencingToken: 3, Kind: KindRole, Role: "prefill"})
	var fenced *FencedError
	assert.Check(t, errors.As(err, &fenced) && fenced.FencingToken == 7, "%v", err)
	assert.NilError(t, server.Shutdown())
	wg.Wait()
}
