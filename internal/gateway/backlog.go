package gateway

import (
	"context"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/hibiscuspost/hibiscuspost/internal/contain"
	"github.com/hibiscuspost/hibiscuspost/internal/dispatch"
)

const (
	// maxStreamBacklog bounds what is held of one stream; the target is read from no faster
	// than the caller reads beyond that. The longest streams of events have some 100 KB.
	maxStreamBacklog = 1 << 20
	// backlogPieceBytes is the size of the pieces in which a backlog is held and written.
	backlogPieceBytes = 64 << 10
	// unsentBytes bounds what the system takes of a response and cannot send yet, as its caller does
	// not read. It would take some 4 MB, which nothing counts.
	unsentBytes = 16 << 10
	// callerStallTime is the time without a byte that the caller's system has acknowledged
	// after which its response is given up. A caller that reads slowly acknowledges something
	// each time that it has read a part of its receive buffer.
	callerStallTime = 10 * time.Second
	// progressCheckInterval is the time after which a blocked write looks for progress.
	progressCheckInterval = 500 * time.Millisecond
)

var (
	// errCallerStalled ends the response to a caller that does not read.
	errCallerStalled = errors.New("the caller does not read the response")
	// errCallerTooSlow ends the response to one of the slowest callers when the memory is short,
	// errCallerBlocks when connections are.
	errCallerTooSlow = errors.New("the caller reads too slowly while memory is short")
	errCallerBlocks  = errors.New("the caller does not read while connections are short")
)

// backlog writes responses to one caller. What the caller does not accept at once of a stream is
// held, so that its target is read on; a goroutine writes it while there is any. Other responses
// are complete, and their writes wait.
type backlog struct {
	conn    net.Conn
	raw     syscall.RawConn
	memory  *dispatch.CallerMemory
	gateway *Gateway

	// mu guards the fields below. stream is the context of the stream being written, nil if
	// there is none; cancel ends the request.
	mu     sync.Mutex
	stream context.Context
	cancel context.CancelCauseFunc
	// unwritten is what is left of the body of a complete response. It is held while the first
	// part, which is written with the header, waits. body is its memory until then, writesWhole is
	// set while such a response waits.
	unwritten   int
	body        *dispatch.BodyMemory
	writesWhole bool
	// pending holds size bytes, with the piece being written; inSystem is what the system held when
	// the first of them did not fit in.
	pending  [][]byte
	size     int
	inSystem int
	// draining is set while a goroutine writes the backlog, err once the caller is given up or
	// gone. changed is closed when any of these changes; nil if nothing waits for that.
	draining bool
	err      error
	changed  chan struct{}

	// createdAt is the time that acceptedAt counts from, so that steps of the clock do not matter.
	createdAt time.Time
	// acceptedAt is when the caller last accepted anything of the write that waits, in nanoseconds;
	// 0 if none waits.
	acceptedAt atomic.Int64
}

// newBacklog returns nil unless the connection is the system's and the gateway has a pool, whose
// memory the backlog draws on.
func newBacklog(g *Gateway, conn net.Conn) *backlog {
	if g == nil || g.Pool == nil {
		return nil
	}
	system, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return nil
	}
	b := &backlog{conn: conn, raw: raw, gateway: g, createdAt: time.Now()}
	b.memory = g.Pool.HoldForCaller(func() { b.giveUp(errCallerTooSlow) })
	return b
}

// beginStream states that a stream is written from now on, whose request cancel ends.
func (b *backlog) beginStream(ctx context.Context, cancel context.CancelCauseFunc) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stream, b.cancel = ctx, cancel
}

// beginWhole states that a complete response with a body of a size is written from now on, whose
// memory the backlog releases.
func (b *backlog) beginWhole(size int, memory *dispatch.BodyMemory) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.unwritten, b.body = size, memory
}

// endResponse states that the response has been handed over.
func (b *backlog) endResponse() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stream, b.cancel, b.unwritten = nil, nil, 0
	b.releaseBody()
}

// endWhole states that no part of a complete response is written any more.
func (b *backlog) endWhole() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.releaseBody()
}

// releaseBody states that a complete response is held no longer, or counts for the caller. The caller
// holds mu.
func (b *backlog) releaseBody() {
	b.body.Release()
	b.body = nil
}

// write writes a part of a response. Only the goroutine that serves the connection calls it.
func (b *backlog) write(data []byte) (int, error) {
	b.mu.Lock()
	if err := b.awaitTurn(len(data)); err != nil {
		b.mu.Unlock()
		return 0, err
	}
	draining, isStream := b.draining, b.stream != nil
	unwritten := b.unwritten
	b.unwritten = max(0, unwritten-len(data))
	b.mu.Unlock()
	if draining {
		return len(data), b.hold(data)
	}
	n, err := writeAtOnce(b.raw, data)
	if err != nil || n == len(data) {
		return n, err
	}
	rest := data[n:]
	if isStream {
		return len(data), b.hold(rest)
	}
	return b.writeWhole(data, n, max(len(rest), unwritten-n))
}

// writeWhole writes data of a complete response but for the first n bytes, which have been written.
// held is what is left of the response.
func (b *backlog) writeWhole(data []byte, n, held int) (int, error) {
	b.setWritesWhole(true)
	defer b.setWritesWhole(false)
	// The data is held until this returns, also once the caller has been given up.
	defer b.memory.Release()
	if !b.memory.Add(held+unacknowledged(b.raw), time.Now()) {
		return n, errCallerTooSlow
	}
	if err := b.writeAll(data[n:]); err != nil {
		return n, err
	}
	return len(data), nil
}

// setWritesWhole states whether a complete response waits, whose body counts for the caller then.
func (b *backlog) setWritesWhole(waits bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.writesWhole = waits
	b.releaseBody()
}

// awaitTurn waits until size bytes may be written or held. A complete response counts for the caller
// while it waits for the rest of a stream. The caller holds mu.
func (b *backlog) awaitTurn(size int) error {
	if !b.draining || b.stream != nil {
		return b.awaitRoom(size)
	}
	body := b.body
	bytes := body.HoldFor(b.memory, time.Now())
	b.writesWhole = true
	err := b.awaitRoom(size)
	b.writesWhole = false
	if err != nil {
		b.memory.Release()
		return err
	}
	body.Resume(b.memory, bytes)
	if b.body != body {
		// The connection has been closed meanwhile.
		body.Release()
	}
	return nil
}

// awaitRoom waits until size bytes may be written or held. The caller holds mu.
func (b *backlog) awaitRoom(size int) error {
	for b.err == nil && b.draining && (b.stream == nil || b.size+b.inSystem+size > maxStreamBacklog) {
		ctx := b.stream
		if ctx == nil {
			ctx = context.Background()
		}
		if err := b.wait(ctx); err != nil {
			return err
		}
	}
	return b.err
}

// wait waits for a change or the end of ctx. The caller holds mu.
func (b *backlog) wait(ctx context.Context) error {
	if b.changed == nil {
		b.changed = make(chan struct{})
	}
	changed := b.changed
	b.mu.Unlock()
	defer b.mu.Lock()
	select {
	case <-changed:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// notify wakes up what waits. The caller holds mu.
func (b *backlog) notify() {
	if b.changed != nil {
		close(b.changed)
		b.changed = nil
	}
}

// hold adds data to the backlog.
func (b *backlog) hold(data []byte) error {
	inSystem := 0
	if !b.isDraining() {
		inSystem = unacknowledged(b.raw)
	}
	// Without mu: another caller may be given up, whose backlog does the same.
	if !b.memory.Add(len(data)+inSystem, time.Now()) {
		return errCallerTooSlow
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inSystem += inSystem
	if b.err != nil {
		b.memory.Release()
		return b.err
	}
	b.size += len(data)
	b.append(data)
	if !b.draining {
		b.draining = true
		go b.drainContained()
	}
	return nil
}

// append adds data to the pending pieces. A piece does not grow, which would leave as much garbage as
// it holds; the next one is twice as large instead, up to backlogPieceBytes. The caller holds mu.
func (b *backlog) append(data []byte) {
	capacity := 0
	if last := len(b.pending) - 1; last >= 0 {
		capacity = cap(b.pending[last])
		if len(b.pending[last])+len(data) <= capacity {
			b.pending[last] = append(b.pending[last], data...)
			return
		}
	}
	piece := make([]byte, 0, max(len(data), min(2*capacity, backlogPieceBytes)))
	b.pending = append(b.pending, append(piece, data...))
}

// errBacklogPanicked ends the response whose backlog could not be written.
var errBacklogPanicked = errors.New("panic while the backlog of a response was written")

// drainContained runs drain. After a panic, the response ends.
func (b *backlog) drainContained() {
	if contain.Run(b.gateway.Logger, "backlog of a response", b.drain) {
		return
	}
	b.fail(errBacklogPanicked)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.draining = false
	b.notify()
}

// drain writes the backlog until there is none.
func (b *backlog) drain() {
	for {
		b.mu.Lock()
		if b.err != nil || len(b.pending) == 0 {
			b.memory.Accepted(b.inSystem, time.Now())
			b.draining, b.inSystem = false, 0
			b.notify()
			b.mu.Unlock()
			return
		}
		piece := b.pending[0]
		b.pending[0] = nil
		b.pending = b.pending[1:]
		b.mu.Unlock()
		if err := b.writeAll(piece); err != nil {
			b.fail(err)
			continue
		}
		b.memory.Accepted(len(piece), time.Now())
		b.mu.Lock()
		b.size -= len(piece)
		b.notify()
		b.mu.Unlock()
	}
}

// awaitDrained waits until the backlog is written, and returns the error that ended it.
func (b *backlog) awaitDrained() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.draining {
		// A background context does not end.
		_ = b.wait(context.Background())
	}
	return b.err
}

// isDraining reports whether there is a backlog.
func (b *backlog) isDraining() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.draining
}

// writeAll writes data, as long as the caller accepts any of it.
func (b *backlog) writeAll(data []byte) error {
	p := newProgress(time.Now(), unacknowledged(b.raw))
	defer b.acceptedAt.Store(0)
	for len(data) > 0 {
		b.acceptedAt.Store(max(1, int64(p.at.Sub(b.createdAt))))
		_ = b.conn.SetWriteDeadline(time.Now().Add(progressCheckInterval))
		n, err := b.conn.Write(data[:min(len(data), backlogPieceBytes)])
		data = data[n:]
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		now := time.Now()
		if p.observe(now, n, unacknowledged(b.raw)) {
			b.memory.Accepted(0, now)
		} else if p.hasStalled(now) {
			b.giveUp(errCallerStalled)
			return errCallerStalled
		}
	}
	return b.conn.SetWriteDeadline(time.Time{})
}

// stalledFor returns for how long the caller has accepted nothing of a write that waits; 0 if none
// waits.
func (b *backlog) stalledFor(now time.Time) time.Duration {
	at := b.acceptedAt.Load()
	if at == 0 {
		return 0
	}
	return now.Sub(b.createdAt) - time.Duration(at)
}

// giveUp ends the response to the caller and closes its connection.
func (b *backlog) giveUp(reason error) {
	held, isFirst := b.fail(reason)
	if !isFirst {
		return
	}
	g := b.gateway
	g.Counters.CallersGivenUp.Add(1)
	callers, bytes := g.Pool.HeldForCallers()
	g.Logger.Info("a caller was given up", zap.Error(reason), zap.Stringer("caller", b.conn.RemoteAddr()), zap.Int("held_bytes", held),
		zap.Int("slow_callers", callers), zap.Int64("held_bytes_of_others", bytes))
}

// fail drops the backlog, cancels the request and resets the connection, so that the system does
// not hold what it has of the response either.
func (b *backlog) fail(err error) (held int, isFirst bool) {
	b.mu.Lock()
	if b.err != nil {
		b.mu.Unlock()
		return 0, false
	}
	held, cancel, writesWhole := b.size, b.cancel, b.writesWhole
	b.err, b.pending, b.size = err, nil, 0
	b.notify()
	b.mu.Unlock()
	if !writesWhole {
		b.memory.Release()
	}
	if cancel != nil && errors.IsAny(err, errCallerStalled, errCallerTooSlow, errCallerBlocks) {
		cancel(err)
	} else if cancel != nil {
		cancel(nil)
	}
	if tcp, ok := b.conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0)
	}
	_ = b.conn.Close()
	return held, true
}

// progress tells whether a caller accepts what is written to it.
type progress struct {
	// at is when it last did, unacknowledged what it had not acknowledged then, in bytes.
	at             time.Time
	unacknowledged int
}

func newProgress(now time.Time, unacknowledged int) progress { return progress{now, unacknowledged} }

// observe records that the system has taken written bytes, and how many the caller's has not
// acknowledged. It reports whether the caller has accepted any since the last call.
func (p *progress) observe(now time.Time, written, unacknowledged int) bool {
	accepted := written > 0 || unacknowledged < p.unacknowledged
	p.unacknowledged = unacknowledged
	if accepted {
		p.at = now
	}
	return accepted
}

func (p *progress) hasStalled(now time.Time) bool { return now.Sub(p.at) >= callerStallTime }

// writeAtOnce writes what the system takes without waiting.
func writeAtOnce(raw syscall.RawConn, data []byte) (n int, err error) {
	rawErr := raw.Write(func(fd uintptr) bool {
		for n < len(data) {
			var written int
			written, err = syscall.Write(int(fd), data[n:])
			if err == syscall.EINTR {
				continue
			}
			if err != nil {
				break
			}
			n += written
		}
		return true
	})
	if errors.Is(err, syscall.EAGAIN) {
		err = nil
	}
	if rawErr != nil {
		err = rawErr
	}
	return n, err
}
