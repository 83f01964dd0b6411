package gateway

import (
	"cmp"
	"container/list"
	"math/bits"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

const (
	// callersShare is the part of an instance's memory for what callers have sent, read or not.
	// Discarded bodies take memory until the next collection, and the runtime's limit is 0.65.
	callersShare = 0.35
	// requestBytes is charged for each request that is received or served: fasthttp's read
	// buffer, its context and the stacks of two goroutines.
	requestBytes = 24 << 10
	// headerCopies is the number of copies of a header, lineBytes what each of its lines
	// takes besides: entries of two lists and up to four small allocations.
	headerCopies = 3
	lineBytes    = 256
	// receiveBuffer is the size in bytes of a caller's receive buffer, of which the kernel may
	// hold the double unread: receiveMemory is charged for each connection. In a much smaller one
	// long segments do not fit, and are dropped and sent again. For bodies longer than
	// maxReceiveMemory the memory for unread bytes is that much; the window cannot exceed 64 KiB on
	// connections that begin with a small buffer.
	receiveBuffer    = 16 << 10
	receiveMemory    = 2 * receiveBuffer
	maxReceiveMemory = 64 << 10
	// connectionMemoryShare is the part of the memory for callers that may be charged for
	// connections rather than for requests.
	connectionMemoryShare = 0.5
	// growthShare is the part of the memory for requests up to which chunked bodies may grow. They
	// hold what they have while they wait for more, and would leave none for others.
	growthShare = 0.75
	// acceptBacklog bounds the connections that are not accepted yet.
	acceptBacklog = 512
	// stallTime and stallBytes are the minimum rate at which a request must come in while
	// memory or connections are short. It is far below that of a sound caller's link, and
	// long enough for an instance whose processor share is used up for some 100 ms.
	stallTime  = time.Second
	stallBytes = 4 << 10
	// deliveryStallTime is how long a caller may accept nothing of its response while others lack
	// connections.
	deliveryStallTime = 3 * time.Second
	// memoryWait bounds the wait for memory; it is longer than stallTime, so that stalled
	// callers give way meanwhile.
	memoryWait = 2 * stallTime
	// recheckInterval is the interval at which one that waits for memory looks for requests
	// that have stalled meanwhile; minScanInterval bounds such searches by all of them.
	recheckInterval = 250 * time.Millisecond
	minScanInterval = 20 * time.Millisecond
	// connectionShare is the part of the descriptors for callers' connections. The others
	// are for targets, other instances and the store.
	connectionShare = 0.6
	// refusalLogInterval bounds the log lines for each reason of a refusal.
	refusalLogInterval = time.Second
)

// errMemoryShort refuses a request that has not been received completely.
var errMemoryShort = errors.New("memory for callers' requests is short")

// callers bounds the memory for what callers have sent and not finished, and the number of
// their connections. While either is short, connections whose request makes the least progress
// are closed.
type callers struct {
	counters *Counters
	logger   *zap.Logger

	// mu guards the fields below and the charge of each connection.
	mu sync.Mutex
	// memory is the bound in bytes, 0 if there is none, used the sum of all charges of requests.
	memory, used int64
	maxConns     int
	conns        map[*callerConn]struct{}
	// leaving is the number of conns that are closed after their response.
	leaving int
	// waiters are the memoryWaiters in order, wanted is what they wait for together.
	waiters list.List
	wanted  int64
	// scannedAt is the time of the last search for stalled requests.
	scannedAt time.Time
	lastLine  map[string]time.Time
}

// memoryWaiter is a connection that waits for its charge to be raised to the given bytes.
type memoryWaiter struct {
	conn *callerConn
	// bytes is the charge that is waited for, missing what it lacked at first.
	bytes, missing int64
	// unread is the part of bytes for unread bytes.
	unread int64
	// growing is set for a chunked body.
	growing bool
	granted chan struct{}
}

// charge is what a connection holds of the bound on memory; callers.mu guards it.
type charge struct {
	bytes int64
	// unread is the part of bytes for a receive buffer that is larger than at first. It is held
	// as long as the connection is open: a window that was offered cannot be taken back.
	unread int64
	// receiving is set while a request is received, except during a wait for memory; evicted
	// once its connection gives way to others.
	receiving, evicted bool
	// serving is set while a request is served, waiting while memory is waited for.
	serving, waiting bool
	// leaving is set once the connection is to be closed after its response.
	leaving bool
	// progressAt is when the last stallBytes were complete, pending what has come in since.
	progressAt time.Time
	pending    int
}

// isIdle reports whether the connection carries no request.
func (c *charge) isIdle() bool { return !c.receiving && !c.serving && !c.waiting }

func newCallers(counters *Counters, logger *zap.Logger) *callers {
	return &callers{
		counters: counters, logger: logger, maxConns: connectionLimit(), conns: make(map[*callerConn]struct{}),
		lastLine: make(map[string]time.Time),
	}
}

// setMemory sets the instance's memory; 0 means no bound.
func (s *callers) setMemory(bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.memory = int64(callersShare * float64(bytes))
	s.closeExcess(time.Now())
	s.grantWaiting()
}

// requestMemory returns the bound on the charges of requests: what the connections may hold
// unread is left out. The caller holds mu.
func (s *callers) requestMemory() int64 { return s.memory - int64(len(s.conns))*receiveMemory }

// growthMemory returns the bound on the charges of requests up to which chunked bodies may grow.
// The caller holds mu.
func (s *callers) growthMemory() int64 { return int64(growthShare * float64(s.requestMemory())) }

// remove releases what a connection holds and no longer counts it.
func (s *callers) remove(c *callerConn) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forget(c)
	s.used -= c.charge.bytes
	c.charge.bytes, c.charge.unread = 0, 0
	s.grantWaiting()
}

// release releases the charge for the request of a connection. The caller holds mu.
func (s *callers) release(c *callerConn) {
	if c.charge.bytes == c.charge.unread {
		return
	}
	s.used -= c.charge.bytes - c.charge.unread
	c.charge.bytes = c.charge.unread
	s.grantWaiting()
}

// received records that n bytes have come in.
func (s *callers) received(c *callerConn, n int) {
	if s == nil || n == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c.charge.pending += n
	if !c.charge.receiving || c.charge.pending >= stallBytes {
		c.charge.progressAt, c.charge.pending = time.Now(), 0
	}
	c.charge.receiving = true
}

// complete records that a request has come in completely, with the last n bytes: it is not one
// without progress until it is served. Nothing is passed on, and errMemoryShort returned, if its
// connection was closed for others before that.
func (s *callers) complete(c *callerConn, n int) (int, error) {
	if s == nil {
		return n, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, isCounted := s.conns[c]; c.charge.evicted && !isCounted {
		return 0, errMemoryShort
	}
	c.charge.progressAt, c.charge.pending = time.Now(), 0
	return n, nil
}

// isEvicted reports whether the connection gives way to others.
func (s *callers) isEvicted(c *callerConn) bool {
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return c.charge.evicted
}

// reserve raises the charge of a connection to the given bytes. It waits up to the given time,
// and returns errMemoryShort after that.
func (s *callers) reserve(c *callerConn, bytes int64, wait time.Duration) error {
	_, err := s.reserveFor(c, bytes, 0, wait, false)
	return err
}

// reserveFor raises the charge of a connection to the given bytes for a request and for unread
// bytes, and reports whether the latter are more than before. growing is set for a chunked body.
func (s *callers) reserveFor(c *callerConn, request, unread int64, wait time.Duration, growing bool) (grown bool, err error) {
	if s == nil {
		return false, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	grown, unread = unread > c.charge.unread, max(unread, c.charge.unread)
	bytes := request + unread
	switch {
	case c.charge.evicted:
		return false, errMemoryShort
	case s.raise(c, bytes, unread, growing):
		return grown, nil
	}
	// A wait is no lack of progress.
	receiving := c.charge.receiving
	c.charge.receiving, c.charge.waiting = false, true
	defer func() { c.charge.receiving, c.charge.waiting, c.charge.progressAt = receiving, false, time.Now() }()
	w := &memoryWaiter{conn: c, bytes: bytes, missing: bytes - c.charge.bytes, unread: unread, growing: growing, granted: make(chan struct{})}
	s.waiters.PushBack(w)
	s.wanted += w.missing
	if !s.awaitGrant(w, wait) {
		s.counters.RefusedForMemory.Add(1)
		s.logRefusal(errMemoryShort.Error(), time.Now())
		return false, errMemoryShort
	}
	return grown, nil
}

// awaitGrant waits until the waiter has got its memory, and reports whether it has. The caller
// holds mu, which is released meanwhile.
func (s *callers) awaitGrant(w *memoryWaiter, wait time.Duration) bool {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	recheck := time.NewTicker(recheckInterval)
	defer recheck.Stop()
	for {
		s.evictStalled(time.Now())
		s.mu.Unlock()
		expired := false
		select {
		case <-w.granted:
		case <-recheck.C:
		case <-timeout.C:
			expired = true
		}
		s.mu.Lock()
		select {
		case <-w.granted:
			return true
		default:
		}
		if expired {
			s.removeWaiter(w)
			return false
		}
	}
}

// raise raises the charge of a connection if there is memory. The caller holds mu.
func (s *callers) raise(c *callerConn, bytes, unread int64, growing bool) bool {
	missing, bound := bytes-c.charge.bytes, s.requestMemory()
	if growing {
		bound = s.growthMemory()
	}
	// A request that is the only one is always received.
	if missing > 0 && s.memory > 0 && s.used+missing > bound && s.used > c.charge.bytes {
		return false
	}
	if missing > 0 {
		s.used += missing
		c.charge.bytes = bytes
	}
	c.charge.unread = unread
	return true
}

func (s *callers) removeWaiter(w *memoryWaiter) {
	for e := s.waiters.Front(); e != nil; e = e.Next() {
		if e.Value.(*memoryWaiter) == w {
			s.waiters.Remove(e)
			s.wanted -= w.missing
			return
		}
	}
}

// grantWaiting gives memory that is free to those that wait, in order as far as it suffices
// for each. The caller holds mu.
func (s *callers) grantWaiting() {
	for e := s.waiters.Front(); e != nil; {
		next, w := e.Next(), e.Value.(*memoryWaiter)
		if s.raise(w.conn, w.bytes, w.unread, w.growing) {
			s.waiters.Remove(e)
			s.wanted -= w.missing
			close(w.granted)
		}
		e = next
	}
}

// evictStalled makes stalled requests, and connections that carry no request and hold memory for
// unread bytes, give way to those that wait: those without progress for the longest time first.
// The caller holds mu.
func (s *callers) evictStalled(now time.Time) {
	if now.Sub(s.scannedAt) < minScanInterval {
		return
	}
	s.scannedAt = now
	short := s.used + s.wanted - s.growthMemory()
	var stalled []*callerConn
	for c := range s.conns {
		switch {
		case c.charge.evicted:
			short -= c.charge.bytes
		case c.charge.receiving && now.Sub(c.charge.progressAt) >= stallTime, c.charge.isIdle() && c.charge.bytes > 0 && !c.isDelivering(now):
			stalled = append(stalled, c)
		}
	}
	slices.SortFunc(stalled, func(a, b *callerConn) int {
		return cmp.Or(a.charge.progressAt.Compare(b.charge.progressAt), cmp.Compare(b.charge.bytes, a.charge.bytes))
	})
	for _, c := range stalled {
		if short <= 0 {
			return
		}
		short -= c.charge.bytes
		c.charge.evicted = true
		if c.charge.isIdle() {
			_ = c.Conn.Close()
			s.counters.ConnectionsEvicted.Add(1)
			s.logRefusal("idle connection gives way", now)
			continue
		}
		// The read in progress ends; its request is refused.
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
		s.counters.StalledRefused.Add(1)
		s.logRefusal("stalled request gives way", now)
	}
}

// serve records that a request has been received completely: it does not give way any more.
func (s *callers) serve(c *callerConn) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c.charge.receiving, c.charge.evicted, c.charge.serving = false, false, true
}

// finish records that a request has been served.
func (s *callers) finish(c *callerConn) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.release(c)
	now := time.Now()
	c.charge.serving, c.charge.receiving, c.charge.pending, c.charge.progressAt = false, false, 0, now
	s.closeExcess(now)
}

// handOver lets the system take what it has room for of the responses on all connections.
func (s *callers) handOver() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.handOver()
	}
}

// logRefusal logs a refusal, at most once in refusalLogInterval for each reason; the counters
// have all. The caller holds mu.
func (s *callers) logRefusal(reason string, now time.Time) {
	if now.Sub(s.lastLine[reason]) < refusalLogInterval {
		return
	}
	s.lastLine[reason] = now
	s.logger.Warn("caller refused before its request was received", zap.String("reason", reason), zap.Int64("memory_used", s.used),
		zap.Int64("memory_bound", s.memory), zap.Int("connections", len(s.conns)), zap.Int("connections_bound", s.connectionBound()))
}

// bodyMemory returns the memory for a body that fasthttp reads: the next power of two. While a
// chunked body grows, the buffer before exists as well.
func bodyMemory(length int, chunked bool) int64 {
	if length <= 0 {
		return 0
	}
	buffer := int64(1) << bits.Len(uint(length-1))
	if chunked {
		buffer += buffer / 2
	}
	return buffer
}

// largestBody returns the longest body whose bodyMemory is at most the given bytes, and at least 1.
func largestBody(bytes int64) int { return 1 << (bits.Len64(uint64(max(1, bytes))) - 1) }

// unreadMemory returns the memory for unread bytes of a body beyond receiveMemory. Shorter bodies
// need few windows of the size at first.
func unreadMemory(length int) int64 {
	if length <= maxReceiveMemory {
		return 0
	}
	return maxReceiveMemory
}

// evictionError converts the end of a read that was cut by an eviction.
func (c *callerConn) evictionError(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) && c.callers.isEvicted(c) {
		return errMemoryShort
	}
	return err
}

// reserveBody reserves memory for a request and for the unread bytes of its body, and enlarges the
// receive buffer accordingly.
func (s *callers) reserveBody(c *callerConn, request, unread int64) error {
	if c.raw == nil {
		// The buffer is the system's own.
		unread = 0
	}
	grown, err := s.reserveFor(c, request, unread, memoryWait, c.phase == bodyPhase)
	if err == nil && grown {
		// It is not made smaller again: the caller may send into the window that it was offered, and
		// what does not fit then is dropped.
		setReceiveBuffer(c.raw, int(unread/2))
	}
	return err
}

// tooManyLines counts a header with too many lines.
func (s *callers) tooManyLines() {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.HeaderLinesExceeded.Add(1)
	s.logRefusal("too many header lines", time.Now())
}
