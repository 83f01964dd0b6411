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

var errConnectionLost = errors.New("connection lost")

// fakeTarget is a target in memory.
type fakeTarget struct {
	state            TargetState
	checksFencing    bool
	orders           []Order
	seenIDs          map[string]bool
	responsesToLose  int  // responses to orders that are still to be lost
	readsUntilLoaded int  // reads until a load has finished
	failReads        bool // ReadState fails
	afterRead        func()
}

func newFakeTarget(checksFencing bool) *fakeTarget {
	return &fakeTarget{state: TargetState{Versions: []string{"v1"}}, checksFencing: checksFencing, seenIDs: make(map[string]bool)}
}

func (t *fakeTarget) SendOrder(_ context.Context, order Order) (TargetState, error) {
	if t.checksFencing && order.FencingToken < t.state.FencingToken {
		return TargetState{}, &FencedError{FencingToken: t.state.FencingToken}
	}
	t.state.FencingToken = max(t.state.FencingToken, order.FencingToken)
	if !t.seenIDs[order.ID] {
		t.seenIDs[order.ID] = true
		t.orders = append(t.orders, order)
		t.apply(order)
	}
	if t.responsesToLose > 0 {
		t.responsesToLose--
		return TargetState{}, errConnectionLost
	}
	return t.state, nil
}

func (t *fakeTarget) apply(order Order) {
	switch {
	case order.Kind == KindLoad && t.readsUntilLoaded > 0:
		t.state.Loading = order.Version
	case order.Kind == KindLoad:
		t.serveVersion(order.Version)
	case order.Kind == KindRole:
		t.state.Role = order.Role
	}
}

func (t *fakeTarget) serveVersion(version string) {
	t.state.Versions = slices.DeleteFunc(t.state.Versions, func(v string) bool { return v == version })
	t.state.Versions = append(t.state.Versions, version)
}

func (t *fakeTarget) ReadState(context.Context) (TargetState, error) {
	if t.afterRead != nil {
		defer t.afterRead()
	}
	if t.failReads {
		return TargetState{}, errConnectionLost
	}
	if t.state.Loading != "" {
		t.readsUntilLoaded--
		if t.readsUntilLoaded == 0 {
			t.serveVersion(t.state.Loading)
			t.state.Loading = ""
		}
	}
	return t.state, nil
}

// runWithAdvancingClock runs reconcile and advances the clock whenever the
// reconciler waits.
func (m *testManagers) runWithAdvancingClock(t *testing.T, reconcile func(r *Reconciler)) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var clockDriver conc.WaitGroup
	clockDriver.Go(func() {
		for m.clock.BlockUntilContext(ctx, 1) == nil {
			m.clock.Advance(loadPollInterval)
		}
	})
	reconcile(NewReconciler(m.clock, rand.New(rand.NewPCG(1, 1))))
	cancel()
	clockDriver.Wait()
}

var desireV2 = DesiredState{Kind: KindLoad, Version: "v2"}

func TestOrderIsGivenOnceAlthoughAnswersAreLost(t *testing.T) {
	managers := newTestManagers()
	l := mustAcquire(t, managers.a)
	target := newFakeTarget(true)
	target.responsesToLose, target.readsUntilLoaded = 1, 4
	managers.runWithAdvancingClock(t, func(r *Reconciler) {
		state, err := r.Ensure(context.Background(), l, target, desireV2)
		assert.NilError(t, err)
		assert.DeepEqual(t, state.Versions, []string{"v1", "v2"})
	})
	assert.Equal(t, len(target.orders), 1)
	assert.Equal(t, target.orders[0].FencingToken, uint64(1))
}

func TestNoOrderIsSentInTheDesiredState(t *testing.T) {
	managers := newTestManagers()
	l := mustAcquire(t, managers.a)
	target := newFakeTarget(false)
	managers.runWithAdvancingClock(t, func(r *Reconciler) {
		for _, desired := range []DesiredState{{Kind: KindLoad, Version: "v1"}, {Kind: KindUnload, Version: "v9"}, {Kind: KindRole}} {
			_, err := r.Ensure(context.Background(), l, target, desired)
			assert.NilError(t, err)
		}
	})
	assert.Equal(t, len(target.orders), 0)
}

func TestDrainIsGivenUntilAnswered(t *testing.T) {
	managers := newTestManagers()
	l := mustAcquire(t, managers.a)
	target := newFakeTarget(false)
	target.responsesToLose = 2
	managers.runWithAdvancingClock(t, func(r *Reconciler) {
		assert.NilError(t, r.Maintain(context.Background(), l, target, DesiredState{Kind: KindDrain}))
	})
	assert.Equal(t, len(target.orders), 1)
}

func TestHolderPausedDuringItsReadSendsNothing(t *testing.T) {
	managers := newTestManagers()
	l := mustAcquire(t, managers.a)
	target := newFakeTarget(false)
	target.afterRead = func() { managers.clock.Advance(Term) }
	managers.runWithAdvancingClock(t, func(r *Reconciler) {
		_, err := r.Ensure(context.Background(), l, target, desireV2)
		assert.Check(t, errors.Is(err, ErrExpired), "%v", err)
	})
	assert.Equal(t, len(target.orders), 0)
}

func TestTargetThatStaysSilentEndsWithTheLease(t *testing.T) {
	managers := newTestManagers()
	l := mustAcquire(t, managers.a)
	target := newFakeTarget(false)
	target.failReads = true
	managers.runWithAdvancingClock(t, func(r *Reconciler) {
		_, err := r.Ensure(context.Background(), l, target, desireV2)
		assert.Check(t, errors.Is(err, ErrExpired), "%v", err)
	})
}

func TestSuccessorWaitsOutThePredecessorsOrders(t *testing.T) {
	managers := newTestManagers()
	mustAcquire(t, managers.a)
	next := managers.failOver(t)
	target := newFakeTarget(false)
	acquiredAt := managers.clock.Now()
	managers.runWithAdvancingClock(t, func(r *Reconciler) {
		_, err := r.Ensure(context.Background(), next, target, desireV2)
		assert.NilError(t, err)
	})
	assert.Check(t, managers.clock.Since(acquiredAt) >= OrderTimeout)
}

func TestLateOrder(t *testing.T) {
	for _, checksFencing := range []bool{true, false} {
		managers := newTestManagers()
		mustAcquire(t, managers.a)
		next := managers.failOver(t)
		target := newFakeTarget(checksFencing)
		ctx, cancel := context.WithCancel(context.Background())
		delayedOrder := Order{ID: "late", FencingToken: 1, Kind: KindLoad, Version: "v0"}
		reads := 0
		target.afterRead = func() {
			reads++
			switch reads {
			case 2:
				_, err := target.SendOrder(ctx, delayedOrder)
				assert.Equal(t, errors.Is(err, ErrFenced), checksFencing)
			case 5:
				cancel()
			}
			assert.Check(t, next.Renew(context.Background()))
		}
		managers.runWithAdvancingClock(t, func(r *Reconciler) {
			err := r.Maintain(ctx, next, target, desireV2)
			assert.Check(t, errors.Is(err, context.Canceled), "%v", err)
		})
		assert.Equal(t, target.state.Versions[len(target.state.Versions)-1], "v2", "target checks fencing tokens: %t", checksFencing)
	}
}

func TestHTTPTargetFollowsTheTargetProtocol(t *testing.T) {
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
	_, err = target.SendOrder(context.Background(), Order{ID: "1", FencingToken: 3, Kind: KindRole, Role: "prefill"})
	var fenced *FencedError
	assert.Check(t, errors.As(err, &fenced) && fenced.FencingToken == 7, "%v", err)
	assert.NilError(t, server.Shutdown())
	wg.Wait()
}
