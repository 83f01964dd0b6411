package dispatch

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/hibiscuspost/hibiscuspost/internal/relay"
)

const pathEventTimeout = 20 * time.Second

// testRelay reaches targets directly, or returns err.
type testRelay struct {
	err   error
	dials atomic.Int32
}

func (r *testRelay) Dial(ctx context.Context, address string) (net.Conn, error) {
	r.dials.Add(1)
	if r.err != nil {
		return nil, r.err
	}
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return struct{ net.Conn }{conn}, nil
}

// cutPool is a pool whose direct connections fail while cut is set.
type cutPool struct {
	*Pool
	relay testRelay
	cut   atomic.Bool
	// hangs makes them hang instead of being refused.
	hangs bool
}

func newCutPool(t *testing.T) *cutPool {
	p := &cutPool{Pool: NewPool(clockwork.NewRealClock())}
	p.SetRelay(&p.relay, zap.NewNop())
	dialDirect := p.dial
	p.SetDial(func(ctx context.Context, address string) (net.Conn, error) {
		if p.cut.Load() && p.hangs {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		if p.cut.Load() {
			return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
		}
		return dialDirect(ctx, address)
	})
	go p.WatchPaths(t.Context())
	return p
}

// startTarget serves HTTP until the test ends.
func startTarget(t *testing.T, handler http.HandlerFunc) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

func (p *cutPool) get(ctx context.Context, address string, edit func(*PooledRequest)) (string, error) {
	r := &PooledRequest{Address: address, Method: http.MethodGet, URI: "/", Match: func(http.Header) Match { return MatchOwn }}
	r.Header = []Field{{Name: "Host", Value: "x"}}
	if edit != nil {
		edit(r)
	}
	response, err := p.Send(ctx, r)
	if err != nil {
		return "", err
	}
	defer response.Close()
	body, err := io.ReadAll(response)
	return string(body), err
}

func answer(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") }

func TestRequestsGoThroughAnotherInstanceWhileThePathIsLost(t *testing.T) {
	for _, hangs := range []bool{false, true} {
		p := newCutPool(t)
		p.hangs = hangs
		address := startTarget(t, answer)
		p.cut.Store(true)
		for range 3 {
			body, err := p.get(t.Context(), address, nil)
			assert.NilError(t, err)
			assert.Equal(t, body, "answer")
		}
		assert.Assert(t, p.PathLost(address))
		assert.Assert(t, p.relay.dials.Load() >= 1)

		// The return is found without a request.
		p.cut.Store(false)
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if !p.AnyLost() {
				return poll.Success()
			}
			return poll.Continue("the path is still lost")
		}, poll.WithTimeout(pathEventTimeout))
		dials := p.relay.dials.Load()
		_, err := p.get(t.Context(), address, nil)
		assert.NilError(t, err)
		assert.Equal(t, p.relay.dials.Load(), dials)
	}
}

func TestFailuresAreNoEvidenceAgainstATargetThatOthersReach(t *testing.T) {
	for _, tc := range []struct {
		name     string
		relayErr error
		cut      bool
		want     bool
	}{
		{"others reach it", nil, true, true},
		{"others do not reach it either", relay.ErrUnreachable, true, false},
		{"others cannot tell", relay.ErrInconclusive, true, true},
		{"no others", relay.ErrNoPeers, true, false},
		{"it is reached directly", relay.ErrUnreachable, false, false},
	} {
		p := newCutPool(t)
		p.relay.err = tc.relayErr
		address := startTarget(t, func(http.ResponseWriter, *http.Request) {
			p.cut.Store(tc.cut)
			panic(http.ErrAbortHandler)
		})
		_, err := p.get(t.Context(), address, nil)
		assert.Assert(t, err != nil, tc.name)
		assert.Equal(t, p.IsPathLost(address, err), tc.want, "%s: %v", tc.name, err)
		if tc.relayErr != nil && tc.cut {
			// The same holds where nothing could be sent.
			_, err = p.get(t.Context(), address, nil)
			assert.Assert(t, IsNotSent(err), "%s: %v", tc.name, err)
			assert.Equal(t, errors.Is(err, ErrPathLost), tc.want, tc.name)
		}
	}
}

// An exchange on a path that turns out to be lost ends if its request may be
// repeated; the others go on, since their responses may still arrive.
func TestSilentExchangesOnALostPathEnd(t *testing.T) {
	const responseTime = 3 * time.Second
	for _, runsOnce := range []bool{false, true} {
		p := newCutPool(t)
		p.hangs = true
		var told atomic.Bool
		address := startTarget(t, func(w http.ResponseWriter, r *http.Request) {
			p.cut.Store(true)
			time.Sleep(responseTime)
			answer(w, r)
		})
		startedAt := time.Now()
		body, err := p.get(t.Context(), address, func(r *PooledRequest) {
			r.RequireFreshConn = runsOnce
			r.OnPathLost = func() { told.Store(true) }
		})
		assert.Assert(t, told.Load())
		if runsOnce {
			assert.NilError(t, err)
			assert.Equal(t, body, "answer")
			continue
		}
		assert.Assert(t, errors.Is(err, ErrPathLost), "%v", err)
		assert.Assert(t, time.Since(startedAt) < responseTime)
	}
}

// A sound target may be silent for a while, and is reached all the same.
func TestSilenceOfAReachableTargetIsNoLostPath(t *testing.T) {
	p := newCutPool(t)
	address := startTarget(t, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(1500 * time.Millisecond)
		answer(w, r)
	})
	body, err := p.get(t.Context(), address, nil)
	assert.NilError(t, err)
	assert.Equal(t, body, "answer")
	assert.Assert(t, !p.AnyLost())
	assert.Assert(t, p.PathCounters().Checks.Load() >= 1)
	assert.Equal(t, p.relay.dials.Load(), int32(0))
}

// A link that loses packets lets connections succeed now and then. The path was used again
// after each of these, about once a second.
func TestPathOnWhichConnectionsSucceedNowAndThenStaysLost(t *testing.T) {
	now := time.Unix(1000, 0)
	state := &path{}
	state.lose(now)
	for i := range 50 {
		now = now.Add(time.Second)
		_, regained := state.reach(i%minReaches != minReaches-1, now)
		assert.Assert(t, !regained, "after %d tries", i+1)
	}
	state.reaches = 0
	tries := 0
	for regained := false; !regained; tries++ {
		now = now.Add(time.Second)
		_, regained = state.reach(true, now)
	}
	assert.Equal(t, tries, minReaches)

	for _, want := range []int{2 * minReaches, maxReaches, maxReaches} {
		state.lose(now)
		assert.Equal(t, state.requiredReaches, want, "lost again at once")
		state.lostSince, state.regainedAt = time.Time{}, now
	}
	state.lose(now.Add(flapTime))
	assert.Equal(t, state.requiredReaches, minReaches, "lost again after a long time")
}

func TestAllPathsCountAsLostOnceMostAre(t *testing.T) {
	p := newCutPool(t)
	var addresses []string
	const others = minLostPaths / 3
	for range minLostPaths + others {
		addresses = append(addresses, startTarget(t, answer))
	}
	for _, address := range addresses {
		_, err := p.get(t.Context(), address, nil)
		assert.NilError(t, err)
	}
	time.Sleep(2 * recentlyHeardTime)
	p.hangs = true
	p.cut.Store(true)
	for i, address := range addresses[:minLostPaths] {
		assert.Equal(t, p.LostPaths(), i)
		p.markLost(p.path(address), errors.New("lost"), "peer")
	}
	assert.Assert(t, p.MostLost())
	assert.Equal(t, p.LostPaths(), len(addresses))
	p.cut.Store(false)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if !p.AnyLost() {
			return poll.Success()
		}
		return poll.Continue("%d paths are still lost", p.LostPaths())
	}, poll.WithTimeout(pathEventTimeout))
}

func TestTargetsHeardLastComeFirst(t *testing.T) {
	p := newCutPool(t)
	var addresses []string
	for range 4 {
		address := startTarget(t, answer)
		_, err := p.get(t.Context(), address, nil)
		assert.NilError(t, err)
		addresses = append(addresses, address)
	}
	started := time.Now()
	assert.DeepEqual(t, p.LastHeard(addresses[2], 2), []string{addresses[3], addresses[1]})
	assert.DeepEqual(t, p.LastHeard("", 9), []string{addresses[3], addresses[2], addresses[1], addresses[0]})
	assert.Assert(t, !p.HeardOther(addresses[3], started))
	conn, err := p.DialDirect(t.Context(), addresses[0])
	assert.NilError(t, err)
	assert.NilError(t, conn.Close())
	assert.Assert(t, p.HeardOther(addresses[3], started))
	assert.Assert(t, !p.HeardOther(addresses[0], started))
}

// A panic while a connection was opened in the background ended the process.
func TestPanicWhileAConnectionIsOpenedDoesNotEndTheProcess(t *testing.T) {
	pool := NewPool(clockwork.NewRealClock())
	pool.SetDial(func(context.Context, string) (net.Conn, error) { panic("unexpected value") })
	_, err := pool.Send(t.Context(), &PooledRequest{Address: "127.0.0.1:1", Method: http.MethodGet, URI: "/x"})
	assert.Assert(t, IsNotSent(err))
	assert.Assert(t, pool.IsPathLost("127.0.0.1:1", err), "the target would be taken for the cause")
}

// panickingRelay panics instead of opening a connection.
type panickingRelay struct{}

func (panickingRelay) Dial(context.Context, string) (net.Conn, error) { panic("unexpected value") }

// A panic in the check of a path ended the process, and would leave those waiting that ask for its
// result.
func TestPanicInTheCheckOfAPathEndsTheCheck(t *testing.T) {
	clock := clockwork.NewFakeClock()
	pool := NewPool(clock)
	pool.SetRelay(panickingRelay{}, zap.NewNop())
	pool.SetDial(func(context.Context, string) (net.Conn, error) { return nil, io.ErrUnexpectedEOF })
	for range 2 {
		assert.Assert(t, !pool.IsPathLost("127.0.0.1:1", io.EOF))
		clock.Advance(minCheckInterval)
	}
	assert.Equal(t, pool.PathCounters().Checks.Load(), uint64(2))
}
