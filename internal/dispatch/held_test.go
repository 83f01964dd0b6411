package dispatch

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
)

// When the memory is short, those callers lose their response that have accepted nothing for the
// longest time, and no others; the bound holds over callers and bodies of targets together.
func TestSlowestCallersAreGivenUpFirst(t *testing.T) {
	const limit = 1 << 20
	p := NewPool(clockwork.NewFakeClock())
	p.SetMemoryLimit(limit / bodyMemoryShare)
	start := p.clock.Now()
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	var gone []string
	hold := func(name string) (m *CallerMemory) {
		m = p.HoldForCaller(func() { gone = append(gone, name); m.Release() })
		return m
	}
	steady, stuck, slow, second := hold("steady"), hold("stuck"), hold("slow"), hold("second")
	assert.Assert(t, steady.Add(limit/4, at(0)) && stuck.Add(limit/4, at(1)) && slow.Add(limit/4, at(2)) && second.Add(limit/4, at(2)))
	assert.Equal(t, len(gone), 0)
	steady.Accepted(limit/8, at(3))
	assert.Assert(t, steady.Add(limit/4, at(4)))
	assert.DeepEqual(t, gone, []string{"stuck"})
	assert.Assert(t, !stuck.Add(1, at(4)), "held more for a caller that was given up")

	// A body of a target takes the memory of the next slowest.
	second.Accepted(1, at(5))
	body := &PooledResponse{pool: p}
	assert.Assert(t, body.Reserve(unsharedBufferBytes+limit/4))
	assert.DeepEqual(t, gone, []string{"stuck", "slow"})
	assert.Assert(t, !body.Reserve(unsharedBufferBytes+2*limit))
	assert.DeepEqual(t, gone, []string{"stuck", "slow"})

	// The caller that exceeds the bound alone is given up itself.
	last := hold("last")
	assert.Assert(t, !last.Add(limit, at(6)))
	assert.DeepEqual(t, gone, []string{"stuck", "slow", "last"})
	steady.Release()
	second.Release()
	callers, bytes := p.HeldForCallers()
	assert.Equal(t, callers, 0)
	assert.Equal(t, bytes, int64(0))
	assert.Equal(t, p.HeldBytes(), int64(limit/4))
}

// newLimitedPool returns a pool that holds at most limit bytes.
func newLimitedPool(limit int64) *Pool {
	p := NewPool(clockwork.NewFakeClock())
	p.SetMemoryLimit(int64(float64(limit) / bodyMemoryShare))
	return p
}

// A body counts after its exchange as well, until it is released; another one waits for that.
func TestBodyCountsUntilItIsReleased(t *testing.T) {
	const limit = 1 << 20
	p := newLimitedPool(limit)
	first, second := &PooledResponse{pool: p}, &PooledResponse{pool: p}
	assert.Assert(t, first.Reserve(unsharedBufferBytes+limit))
	memory := first.TakeMemory()
	assert.Equal(t, first.reserved, int64(0))
	assert.Equal(t, p.HeldBytes(), int64(limit))
	reserved := make(chan bool)
	go func() { reserved <- second.Reserve(unsharedBufferBytes + limit) }()
	select {
	case ok := <-reserved:
		t.Fatalf("ended before the release: %v", ok)
	case <-time.After(20 * time.Millisecond):
	}
	memory.Release()
	assert.Assert(t, <-reserved)
	memory.Release()
	assert.Equal(t, p.HeldBytes(), int64(limit))
	assert.Equal(t, p.releasing, int64(0))
}

// The wait for memory that is about to be released ends.
func TestWaitForARelease(t *testing.T) {
	const limit = 1 << 20
	p := newLimitedPool(limit)
	first, second := &PooledResponse{pool: p}, &PooledResponse{pool: p}
	assert.Assert(t, first.Reserve(unsharedBufferBytes+limit))
	defer first.TakeMemory().Release()
	assert.Assert(t, !second.Reserve(unsharedBufferBytes+limit))
	assert.Equal(t, p.HeldBytes(), int64(limit))
}

// Memory that another body or a caller no longer takes ends a wait as well.
func TestWaitEndsWhenThereIsRoom(t *testing.T) {
	const limit = 1 << 20
	for _, test := range []struct {
		name string
		// hold takes a half of the memory, and returns a function that ends that.
		hold func(*Pool) (free func())
	}{
		{"body of a failed exchange", func(p *Pool) func() {
			body := &PooledResponse{pool: p, conn: &pooledConn{conn: noConn{}}, stopCancel: func() bool { return false }}
			assert.Assert(t, body.Reserve(unsharedBufferBytes+limit/2))
			return body.Close
		}},
		{"caller", func(p *Pool) func() {
			caller := p.HoldForCaller(func() {})
			assert.Assert(t, caller.Add(limit/2, p.clock.Now()))
			return func() { caller.Accepted(limit/2, p.clock.Now()) }
		}},
		{"raised limit", func(p *Pool) func() {
			p.maxBuffered.Store(limit / 2)
			return func() { p.SetMemoryLimit(limit / bodyMemoryShare) }
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := newLimitedPool(limit)
			releasing := &PooledResponse{pool: p}
			assert.Assert(t, releasing.Reserve(unsharedBufferBytes+limit/2))
			defer releasing.TakeMemory().Release()
			free := test.hold(p)
			reserved := make(chan bool)
			go func() { reserved <- (&PooledResponse{pool: p}).Reserve(unsharedBufferBytes + limit/2) }()
			await(t, func() bool {
				p.heldMu.Lock()
				defer p.heldMu.Unlock()
				return p.released != nil
			})
			freedAt := time.Now()
			free()
			assert.Check(t, <-reserved)
			assert.Check(t, time.Since(freedAt) < releaseWait/2, "%s", time.Since(freedAt))
		})
	}
}

// A body that waits for memory ends with its request: a search for another target, or the end of a
// shutdown, waits for its exchange.
func TestWaitForMemoryEndsWithTheRequest(t *testing.T) {
	const size = 512 << 10
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	served := make(chan struct{})
	go func() {
		defer close(served)
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 x\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size))
	}()
	p := NewPool(clockwork.NewRealClock())
	p.SetMemoryLimit(size / bodyMemoryShare)
	releasing := &PooledResponse{pool: p}
	assert.Assert(t, releasing.Reserve(unsharedBufferBytes+size))
	defer releasing.TakeMemory().Release()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	response, err := p.Send(ctx, &PooledRequest{Address: l.Addr().String(), Method: http.MethodGet, URI: "/", Match: func(http.Header) Match { return MatchOwn }})
	assert.NilError(t, err)
	ended := make(chan error, 1)
	go func() {
		_, err := response.ReadBody(2 * size)
		ended <- err
	}()
	await(t, func() bool {
		p.heldMu.Lock()
		defer p.heldMu.Unlock()
		return p.released != nil
	})
	cancelledAt := time.Now()
	cancel()
	err = <-ended
	assert.Check(t, err != nil && !errors.Is(err, ErrResponseTooLong), "%v", err)
	assert.Check(t, time.Since(cancelledAt) < releaseWait/2, "%s", time.Since(cancelledAt))
	assert.Equal(t, p.TooLong(), uint64(0))
	response.Close()
	<-served
}

// noConn is a connection that is only closed.
type noConn struct{ net.Conn }

func (noConn) Close() error { return nil }

func await(t *testing.T, done func() bool) {
	t.Helper()
	for giveUp := time.Now().Add(10 * time.Second); !done(); time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(giveUp))
	}
}

// What a caller held that was given up counts until its response has ended.
func TestMemoryOfCallersGivenUpCountsUntilItsRelease(t *testing.T) {
	const limit = 1 << 20
	p := newLimitedPool(limit)
	gone := make(chan struct{})
	caller := p.HoldForCaller(func() { close(gone) })
	assert.Assert(t, caller.Add(limit, p.clock.Now()))
	body := &PooledResponse{pool: p}
	reserved := make(chan bool)
	go func() { reserved <- body.Reserve(unsharedBufferBytes + limit) }()
	<-gone
	assert.Equal(t, p.HeldBytes(), int64(limit))
	select {
	case ok := <-reserved:
		t.Fatalf("ended before the release: %v", ok)
	case <-time.After(20 * time.Millisecond):
	}
	caller.Release()
	assert.Assert(t, <-reserved)
	assert.Equal(t, p.HeldBytes(), int64(limit))
	callers, bytes := p.HeldForCallers()
	assert.Assert(t, callers == 0 && bytes == 0 && p.releasing == 0, "%d, %d, %d", callers, bytes, p.releasing)
}
