package gateway

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/catalog"
	"github.com/hibiscuspost/hibiscuspost/internal/schedule"
)

// instanceClock is the clock of an instance that can be paused.
type instanceClock struct {
	*clockwork.FakeClock
	// mu guards the field below.
	mu        sync.Mutex
	resumedAt time.Time
}

const pauseTime = 2 * time.Second

// pause lets the instance be paused for pauseTime.
func (c *instanceClock) pause() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Advance(pauseTime)
	c.resumedAt = c.Now()
}

func (c *instanceClock) wasPausedSince(at time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return at.Before(c.resumedAt)
}

// usePausedClock lets the gateway of the case measure by a clock that its targets can pause.
func (c *takeoverCase) usePausedClock() *instanceClock {
	clock := &instanceClock{FakeClock: clockwork.NewFakeClockAt(time.Now())}
	c.Clock = clock
	c.WasPausedSince = clock.wasPausedSince
	c.request.service.TokensPerEvent = 1
	return clock
}

// Times that spanned a pause of the instance were reported as those of the target.
func TestTimesThatSpanAPauseAreNotReported(t *testing.T) {
	var clock *instanceClock
	pause := func() { clock.pause() }
	work := func() { clock.Advance(time.Second) }
	// The time between events lets each be read by itself.
	const between = 50 * time.Millisecond
	for name, tc := range map[string]struct {
		kind        catalog.Kind
		script      []scriptStep
		took        time.Duration
		timeToFirst time.Duration
		tokenSpans  []time.Duration
	}{
		"plain, no pause":        {catalog.Idempotent, []scriptStep{work, plain(http.StatusOK, "x")}, time.Second, time.Second, nil},
		"plain":                  {catalog.Idempotent, []scriptStep{pause, plain(http.StatusOK, "x")}, 0, 0, nil},
		"plain, after the pause": {catalog.Idempotent, []scriptStep{pause, work, plain(http.StatusOK, "x")}, 0, 0, nil},
		"body": {catalog.Idempotent, []scriptStep{
			work, "HTTP/1.1 200 x\r\nSigned: 1\r\nId: 1\r\nContent-Length: 2\r\n\r\nx", between, pause, "y",
		}, 0, time.Second, nil},
		"stream, no pause": {catalog.Streaming, []scriptStep{
			work, chunkedOK + events(1), between, work, events(2, 3, 4, 5, 6, 7, 8), between, work, events(9) + lastChunk,
		}, 3 * time.Second, time.Second, []time.Duration{time.Second, 2 * time.Second}},
		"before the first event": {catalog.Streaming, []scriptStep{
			pause, chunkedOK + events(1), between, work, events(2, 3, 4, 5, 6, 7, 8), between, work, events(9) + lastChunk,
		}, 0, 0, []time.Duration{time.Second, 2 * time.Second}},
		"between events": {catalog.Streaming, []scriptStep{
			work, chunkedOK + events(1), between, pause, events(2, 3, 4, 5, 6, 7, 8), between, work, events(9) + lastChunk,
		}, 0, time.Second, []time.Duration{0, 0}},
		"in the rest of the stream": {catalog.Streaming, []scriptStep{
			work, chunkedOK + events(1), between, work, events(2, 3, 4, 5, 6, 7, 8), between, pause, events(9) + lastChunk,
		}, 0, time.Second, []time.Duration{time.Second, 0}},
	} {
		t.Run(name, func(t *testing.T) {
			c := newTakeoverCase(t, tc.kind, 1, tc.script)
			clock = c.usePausedClock()
			status, _, err := c.send()
			assert.NilError(t, err)
			assert.Equal(t, status, http.StatusOK)
			grant := c.placer.grants[0]
			assert.Equal(t, grant.result, schedule.Complete)
			assert.Assert(t, grant.responseStarted)
			assert.Equal(t, grant.timeToFirst, tc.timeToFirst)
			assert.Equal(t, grant.took, tc.took)
			assert.DeepEqual(t, grant.tokenSpans, tc.tokenSpans)
		})
	}
}

// A pause of the instance was taken for the silence of its target.
func TestSilenceThatSpansAPauseIsNotRecorded(t *testing.T) {
	for name, tc := range map[string]struct {
		kind          catalog.Kind
		first, second []scriptStep
		want          string
		silent        bool
	}{
		"plain": {
			kind: catalog.Idempotent, first: []scriptStep{longPause, plain(http.StatusOK, "first")},
			second: []scriptStep{plain(http.StatusOK, "second")}, want: "first",
		},
		"first event": {
			kind: catalog.Streaming, first: []scriptStep{longPause, chunkedOK + events(1, 2) + lastChunk},
			second: []scriptStep{chunkedOK + events(1) + lastChunk}, want: rawEvents(1, 2),
		},
		"in the stream": {
			kind: catalog.Streaming, first: []scriptStep{chunkedOK + events(1), 1200 * time.Millisecond, events(2) + lastChunk},
			second: []scriptStep{chunkedOK + events(2, 3) + lastChunk}, want: rawEvents(1, 2),
		},
		"plain, goes on": {
			kind: catalog.Idempotent, first: []scriptStep{hang{}}, second: []scriptStep{plain(http.StatusOK, "second")},
			want: "second", silent: true,
		},
		"stream, goes on": {
			kind: catalog.Streaming, first: []scriptStep{chunkedOK + events(1), hang{}},
			second: []scriptStep{chunkedOK + events(2) + lastChunk}, want: rawEvents(1, 2), silent: true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := newTakeoverCase(t, tc.kind, 2, tc.first, tc.second)
			resumedAt := time.Now().Add(500 * time.Millisecond)
			c.WasPausedSince = func(at time.Time) bool { return at.Before(resumedAt) }
			c.checkSend(t, tc.want)
			assert.Equal(t, c.placer.grants[0].silent, tc.silent)
			assert.Equal(t, c.Counters.TargetsSilent.Load() > 0, tc.silent)
		})
	}
}

// A request during which the instance was paused was taken for one of a slow route: a stopping
// instance refused requests that would have ended in time.
func TestDurationsThatSpanAPauseAreNotUsual(t *testing.T) {
	var clock *instanceClock
	for _, paused := range []bool{false, true} {
		c := newTakeoverCase(t, catalog.Idempotent, 1, []scriptStep{func() {
			if paused {
				clock.pause()
			} else {
				clock.Advance(pauseTime)
			}
		}, plain(http.StatusOK, "x")})
		clock = c.usePausedClock()
		c.request.route.Name = "route"
		c.checkSend(t, "x")
		c.request.observeDuration()
		want := pauseTime
		if paused {
			want = 0
		}
		assert.Equal(t, c.durations.usual("route", clock.Now()), want)
	}
}

// The watch for silence was renewed after each pause, so that a target that hangs was never replaced.
func TestSilentTargetIsReplacedWhileTheInstanceIsPausedOverAndOver(t *testing.T) {
	for name, tc := range map[string]struct {
		kind          catalog.Kind
		first, second []scriptStep
		want          string
	}{
		"plain": {catalog.Idempotent, []scriptStep{hang{}}, []scriptStep{plain(http.StatusOK, "second")}, "second"},
		"stream": {
			catalog.Streaming, []scriptStep{chunkedOK + events(1), hang{}}, []scriptStep{chunkedOK + events(2) + lastChunk}, rawEvents(1, 2),
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := newTakeoverCase(t, tc.kind, 2, tc.first, tc.second)
			c.WasPausedSince = func(time.Time) bool { return true }
			c.checkSend(t, tc.want)
			assert.Assert(t, c.placer.grants[0].silent)
		})
	}
}

// A connection that a pause of the instance kept from being set up in time counted as the failure of
// its target, which got no requests then.
func TestConnectionThatSpansAPauseDoesNotMakeATargetUnreachable(t *testing.T) {
	refused := &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	for name, tc := range map[string]struct {
		err     error
		paused  bool
		results []schedule.Result
		status  int
	}{
		"paused":              {context.DeadlineExceeded, true, []schedule.Result{schedule.Cancelled, schedule.Complete}, http.StatusOK},
		"not paused":          {context.DeadlineExceeded, false, []schedule.Result{schedule.Unreachable}, http.StatusServiceUnavailable},
		"refused after pause": {refused, true, []schedule.Result{schedule.Unreachable}, http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			c := newTakeoverCase(t, catalog.NonIdempotent, 1, []scriptStep{plain(http.StatusOK, "x")})
			clock := c.usePausedClock()
			dials := 0
			c.Pool.SetDial(func(ctx context.Context, address string) (net.Conn, error) {
				if dials++; dials > 1 {
					return (&net.Dialer{}).DialContext(ctx, "tcp", address)
				}
				if tc.paused {
					clock.pause()
				}
				return nil, tc.err
			})
			status, _, err := c.send()
			assert.NilError(t, err)
			assert.Equal(t, status, tc.status)
			assert.DeepEqual(t, c.placer.results(), tc.results)
		})
	}
}

// The same for the target that is to go on with a stream.
func TestConnectionThatSpansAPauseResumesTheStream(t *testing.T) {
	c := newTakeoverCase(t, catalog.Streaming, 2,
		[]scriptStep{chunkedOK + events(1)}, []scriptStep{chunkedOK + events(2) + lastChunk})
	clock := c.usePausedClock()
	dials := 0
	c.Pool.SetDial(func(ctx context.Context, address string) (net.Conn, error) {
		if dials++; dials != 2 {
			return (&net.Dialer{}).DialContext(ctx, "tcp", address)
		}
		clock.pause()
		return nil, context.DeadlineExceeded
	})
	c.checkSend(t, rawEvents(1, 2))
	assert.DeepEqual(t, c.placer.results(), []schedule.Result{schedule.Failed, schedule.Cancelled, schedule.Complete})
}

// Targets that cannot be reached stay bounded while the instance is paused over and over.
func TestConnectionsThatSpanPausesAreBounded(t *testing.T) {
	c := newTakeoverCase(t, catalog.Idempotent, 1, []scriptStep{plain(http.StatusOK, "x")})
	clock := c.usePausedClock()
	c.Pool.SetDial(func(context.Context, string) (net.Conn, error) {
		clock.pause()
		return nil, context.DeadlineExceeded
	})
	status, _, err := c.send()
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Assert(t, len(c.placer.results()) <= maxUnreachableTargets+1, "%v", c.placer.results())
}
