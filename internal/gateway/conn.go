package gateway

import (
	"bytes"
	"cmp"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/hibiscuspost/hibiscuspost/internal/contain"
	"github.com/hibiscuspost/hibiscuspost/internal/headscan"
)

const (
	// bodyReadTimeout bounds the reading of one body; the configuration has no
	// timeout for it. Routes' timeouts are a few seconds.
	bodyReadTimeout = 30 * time.Second
	// timeoutGrace is added to the configured timeouts, so that a caller that
	// keeps to them is not disconnected, even if the instance was stalled for a
	// moment.
	timeoutGrace = 2 * time.Second
	// defaultIdleTimeout and defaultHeaderTimeout apply until a configuration is
	// known.
	defaultIdleTimeout   = 60 * time.Second
	defaultHeaderTimeout = 30 * time.Second
)

// timeouts are the timeouts of a caller's connection. They are functions, since
// they follow the configuration.
type timeouts struct {
	// idle is the time between two requests, header the time from the first byte
	// of a request to the end of its header.
	idle, header func() time.Duration
}

// listener wraps accepted connections in callerConn.
type listener struct {
	net.Listener
	timeouts timeouts
	// callers bounds memory and connections; nil sets no bound.
	callers *callers
	// maxBody returns the longest body that is accepted.
	maxBody func() int
	counts  *connCounts
	gateway *Gateway
	// smallBuffers is set if connections begin with a small receive buffer.
	smallBuffers bool
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		now := time.Now()
		c := &callerConn{Conn: conn, timeouts: l.timeouts, phaseSince: now, openedAt: now, callers: l.callers, maxBody: l.maxBody, counts: l.counts, backlog: newBacklog(l.gateway, conn)}
		if system, ok := conn.(syscall.Conn); ok && l.smallBuffers {
			c.raw, _ = system.SyscallConn()
		}
		if c.backlog != nil {
			limitUnsent(c.backlog.raw, unsentBytes)
		}
		if l.callers.add(c) {
			l.counts.opened()
			if l.gateway != nil && l.gateway.shutdown.Load() != nil {
				c.handOver()
			}
			return c, nil
		}
		_ = conn.Close()
	}
}

// connState is what a caller's connection is used for.
type connState int32

const (
	// connUnused is the state until the first byte of the first request.
	connUnused connState = iota
	// connReading is the state while a request is received, connServing from then to its
	// response.
	connReading
	connServing
	connIdle
	connClosed
)

// connCounts counts the open connections, and by state. While a state changes the connection
// is counted in none.
type connCounts struct {
	open    atomic.Int64
	byState [connClosed]atomic.Int64
}

func (c *connCounts) opened() {
	c.open.Add(1)
	c.byState[connUnused].Add(1)
}

// changed counts a change of state of one connection, which is not closed before.
func (c *connCounts) changed(from, to connState) {
	c.byState[from].Add(-1)
	if to == connClosed {
		c.open.Add(-1)
		return
	}
	c.byState[to].Add(1)
}

// connPhase is what a caller's connection is read for.
type connPhase int

const (
	// idlePhase is the time until the first byte of a request.
	idlePhase connPhase = iota
	headerPhase
	// bodyPhase is the time after the header, when the server sets the deadlines.
	bodyPhase
)

// callerConn is a caller's connection that detects its close while a request is
// being served, when nothing else reads from it.
type callerConn struct {
	net.Conn
	timeouts timeouts
	// phase began at phaseSince; only the serving goroutine accesses them.
	phase      connPhase
	phaseSince time.Time
	// header is the current or last header, fields checks its lines, bodyBytes is what has been
	// read of the body, and chunks its chunks.
	header    headerScan
	fields    headscan.Head
	bodyBytes int
	chunks    chunkScan
	callers   *callers
	charge    charge
	maxBody   func() int
	// closeWatch is the background read in progress, or nil.
	closeWatch *closeWatch
	// openedAt is when the connection was accepted, firstByteAt when the first byte of the
	// current request was read, and requests the number of requests read, this one included.
	openedAt, firstByteAt time.Time
	requests              int
	// state is the connState; Close may run concurrently. reading is set during a read of the
	// serving goroutine, responded once a response has been written.
	state              atomic.Int32
	reading, responded atomic.Bool
	counts             *connCounts
	// raw is set if the connection begins with a small receive buffer.
	raw syscall.RawConn
	// backlog writes the responses; nil if the connection does that itself.
	backlog *backlog

	// mu guards readAhead.
	mu sync.Mutex
	// readAhead holds the byte of the next request that the background read
	// consumed, and bytes that were read beyond the end of a header or body.
	readAhead []byte
}

// closeWatch is one background read that detects the close of a connection.
type closeWatch struct {
	done    chan struct{}
	mu      sync.Mutex
	stopped bool
}

// errReadPanicked ends a connection: what has been read of its request is not known.
var errReadPanicked = errors.New("panic while a request was read")

// Read implements net.Conn. The server calls it outside of its handler, where nothing else
// contains a panic.
func (c *callerConn) Read(buffer []byte) (n int, err error) {
	if !contain.Run(c.logger(), "read from a caller", func() { n, err = c.read(buffer) }) {
		return 0, errReadPanicked
	}
	return n, err
}

func (c *callerConn) logger() *zap.Logger {
	if c.callers == nil {
		return zap.NewNop()
	}
	return c.callers.logger
}

func (c *callerConn) read(buffer []byte) (int, error) {
	c.reading.Store(true)
	defer c.reading.Store(false)
	if c.backlog != nil {
		c.backlog.endResponse()
	}
	if c.phase == idlePhase {
		// The response to the request before has been written.
		c.callers.finish(c)
	}
	if c.phase == bodyPhase {
		if err := c.reserveBody(len(buffer)); err != nil {
			return 0, err
		}
	}
	n, err := c.takeReadAhead(buffer), error(nil)
	if n == 0 {
		n, err = c.readWithTimeout(buffer)
	}
	if n == 0 {
		return 0, err
	}
	c.callers.received(c, n)
	if c.phase == bodyPhase {
		n, bodyErr := c.readBody(buffer[:n])
		return n, cmp.Or(bodyErr, err)
	}
	if c.phase == idlePhase {
		c.enter(headerPhase)
		c.firstByteAt = c.phaseSince
		c.setState(connReading)
		c.header, c.fields = headerScan{}, headscan.Request()
	}
	n, headerErr := c.readHeader(buffer[:n])
	return n, cmp.Or(headerErr, err)
}

// readHeader follows the header in what has been read. It returns how much is passed on: what
// is beyond the end of the header is kept, so that no header is parsed unseen.
func (c *callerConn) readHeader(data []byte) (int, error) {
	if c.header.done {
		return 0, errHeaderEnd
	}
	n := c.header.next(data)
	if _, err := c.fields.Next(data[:n]); err != nil {
		return 0, err
	}
	if c.header.hidden {
		return 0, errBodyLengthHidden
	}
	if c.header.lines > maxHeaderLines+1 {
		c.callers.tooManyLines()
		return 0, errHeaderTooLong
	}
	memory, unread := c.header.memory(), int64(0)
	// A longer body is refused before it is allocated.
	if length := c.header.bodyLength; c.header.done && !c.header.chunked && length <= c.maxBodyBytes() {
		unread = unreadMemory(length)
		memory += bodyMemory(length, false)
	}
	if err := c.callers.reserveBody(c, memory, unread); err != nil {
		return 0, err
	}
	c.keepAhead(data[n:])
	if c.header.done && !c.header.chunked && c.header.bodyLength <= 0 {
		return c.callers.complete(c, n)
	}
	return n, nil
}

// errBodyLengthHidden is returned for a Content-Length or Transfer-Encoding that is padded so
// far that its value is not seen here: the memory for the body could not be reserved.
var errBodyLengthHidden = errors.New("the length of the request body is padded")

// errHeaderEnd is returned if the parser takes a header for incomplete that has ended for
// headerScan: further lines would not be counted.
var errHeaderEnd = errors.New("the end of the request header is ambiguous")

// keepAhead keeps bytes that are read later.
func (c *callerConn) keepAhead(data []byte) {
	if len(data) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readAhead = append(bytes.Clone(data), c.readAhead...)
}

// readBody follows the body in what has been read, and reserves the memory that the parser
// needs for it. It returns how much is passed on: what is beyond the end is kept.
func (c *callerConn) readBody(data []byte) (int, error) {
	n := len(data)
	if c.header.chunked {
		n = c.chunks.next(data)
		if c.chunks.trailerLines > maxHeaderLines {
			c.callers.tooManyLines()
			return 0, errHeaderTooLong
		}
		// A longer body is refused before it is allocated.
		length := min(c.chunks.length, c.maxBodyBytes()) + len("\r\n")
		trailer := headerCopies*int64(c.chunks.trailerBytes) + lineBytes*int64(c.chunks.trailerLines)
		if err := c.callers.reserveBody(c, c.header.memory()+bodyMemory(length, true)+trailer, unreadMemory(length)); err != nil {
			return 0, err
		}
	} else if left := c.header.bodyLength - c.bodyBytes; left > 0 {
		n = min(n, left)
	}
	c.keepAhead(data[n:])
	c.bodyBytes += n
	if n > 0 && (c.chunks.done || !c.header.chunked && c.bodyBytes == c.header.bodyLength) {
		return c.callers.complete(c, n)
	}
	return n, nil
}

// mayReuse reports whether a further request may be read. It may not if the parser may hold a
// part of it already, whose lines were not counted.
func (c *callerConn) mayReuse() bool {
	return c.header.done && (!c.header.chunked || c.chunks.done)
}

// reserveBody reserves memory before the read of a body whose length headerScan has not found in
// the header. The parser has allocated what it reads into, so that a
// long read does not wait.
func (c *callerConn) reserveBody(bytes int) error {
	if c.callers.isEvicted(c) {
		return errMemoryShort
	}
	if c.header.chunked || c.header.bodyLength > 0 {
		return nil
	}
	wait := memoryWait
	if bytes > maxHeaderBytes {
		wait = 0
	}
	return c.callers.reserve(c, c.header.memory()+bodyMemory(c.bodyBytes+bytes, false), wait)
}

func (c *callerConn) maxBodyBytes() int {
	if c.maxBody == nil {
		return maxBodyBytes
	}
	return c.maxBody()
}

// setState changes the state, unless the connection is closed.
func (c *callerConn) setState(next connState) {
	for {
		current := connState(c.state.Load())
		if current == connClosed {
			return
		}
		if c.state.CompareAndSwap(int32(current), int32(next)) {
			c.counts.changed(current, next)
			return
		}
	}
}

// delivery returns how the request that has just been read came in.
func (c *callerConn) delivery(readAt time.Time) Delivery {
	c.requests++
	return Delivery{ConnRequest: c.requests, ConnAge: readAt.Sub(c.openedAt), ReadTime: readAt.Sub(c.firstByteAt)}
}

// lingerTime bounds the time for which a connection is read from after the last response.
const lingerTime = 500 * time.Millisecond

// Write implements net.Conn.
func (c *callerConn) Write(data []byte) (int, error) {
	c.responded.Store(true)
	if c.backlog != nil {
		return c.backlog.write(data)
	}
	return c.Conn.Write(data)
}

// Close implements net.Conn. After a response it only ends the sending side at once: a connection
// that is closed while bytes of a further request are unread is reset, and the caller loses what
// it has not received yet. What the caller has not accepted yet is written first.
func (c *callerConn) Close() error {
	if c.backlog != nil {
		c.backlog.endWhole()
	}
	if c.backlog != nil && c.backlog.isDraining() {
		go func() {
			if c.backlog.awaitDrained() != nil {
				_ = c.closeNow()
				return
			}
			_ = c.closeAfterResponse()
		}()
		return nil
	}
	return c.closeAfterResponse()
}

func (c *callerConn) closeAfterResponse() error {
	c.callers.finish(c)
	conn, isTCP := c.Conn.(interface{ CloseWrite() error })
	if !isTCP || !c.responded.Swap(false) || c.reading.Load() || conn.CloseWrite() != nil {
		return c.closeNow()
	}
	go func() {
		_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
		_, _ = io.Copy(io.Discard, c.Conn)
		_ = c.closeNow()
	}()
	return nil
}

// handOver lets the system take all of a response that it has room for: it goes on to send that
// once the process has ended.
func (c *callerConn) handOver() {
	if c.backlog != nil {
		limitUnsent(c.backlog.raw, 0)
	}
}

// isDelivering reports whether the caller has not received all of the response before: the
// connection must not be closed for others. What only the system holds counts for callerStallTime.
// The caller holds callers.mu.
func (c *callerConn) isDelivering(now time.Time) bool {
	switch {
	case c.backlog == nil:
		return false
	case c.backlog.isDraining():
		return true
	}
	return now.Sub(c.charge.progressAt) < callerStallTime && unacknowledged(c.backlog.raw) > 0
}

func (c *callerConn) closeNow() error {
	c.setState(connClosed)
	c.callers.remove(c)
	return c.Conn.Close()
}

func (c *callerConn) takeReadAhead(buffer []byte) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := copy(buffer, c.readAhead)
	c.readAhead = c.readAhead[n:]
	return n
}

// readWithTimeout reads with the timeout of the phase. A timeout that has been
// lengthened during the read applies to it.
func (c *callerConn) readWithTimeout(buffer []byte) (int, error) {
	for {
		deadline, limited := c.phaseDeadline()
		if limited {
			_ = c.Conn.SetReadDeadline(deadline)
		}
		// An eviction sets a deadline that has passed; one before it was overwritten here.
		if c.callers.isEvicted(c) {
			return 0, errMemoryShort
		}
		n, err := c.Conn.Read(buffer)
		if n == 0 {
			err = c.evictionError(err)
		}
		if n > 0 || !limited || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		if current, _ := c.phaseDeadline(); !current.After(deadline) {
			return n, err
		}
	}
}

// phaseDeadline returns when the phase ends; limited is unset if that is up to the
// server.
func (c *callerConn) phaseDeadline() (deadline time.Time, limited bool) {
	switch c.phase {
	case idlePhase:
		return c.phaseSince.Add(c.timeouts.idle()), true
	case headerPhase:
		return c.phaseSince.Add(c.timeouts.header()), true
	default:
		return time.Time{}, false
	}
}

func (c *callerConn) enter(phase connPhase) { c.phase, c.phaseSince = phase, time.Now() }

// SetReadDeadline implements net.Conn. The server calls it when it has read a
// header.
func (c *callerConn) SetReadDeadline(deadline time.Time) error {
	c.enter(bodyPhase)
	c.bodyBytes, c.chunks = 0, chunkScan{}
	return c.Conn.SetReadDeadline(deadline)
}

// WatchClose calls onClose if the caller closes the connection before
// StopWatch. It detects no close after the first byte of a further request.
func (c *callerConn) WatchClose(onClose func()) {
	w := &closeWatch{done: make(chan struct{})}
	c.closeWatch = w
	c.setState(connServing)
	c.callers.serve(c)
	_ = c.Conn.SetReadDeadline(time.Time{})
	go func() {
		defer close(w.done)
		var buffer [1]byte
		n, err := c.Conn.Read(buffer[:])
		if n > 0 {
			c.mu.Lock()
			c.readAhead = append(c.readAhead, buffer[0])
			c.mu.Unlock()
			return
		}
		w.mu.Lock()
		stopped := w.stopped
		w.mu.Unlock()
		if err != nil && !stopped {
			onClose()
		}
	}()
}

// StopWatch stops the background read, so that the next request can be read.
func (c *callerConn) StopWatch() {
	w := c.closeWatch
	if w == nil {
		return
	}
	c.closeWatch = nil
	w.mu.Lock()
	w.stopped = true
	w.mu.Unlock()
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	<-w.done
	_ = c.Conn.SetReadDeadline(time.Time{})
	c.enter(idlePhase)
	c.setState(connIdle)
}
