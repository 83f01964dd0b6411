package gateway

import (
	"math"
	"slices"
	"syscall"
	"time"
)

// connectionLimit returns the bound on callers' connections from the descriptors that the
// process may open.
func connectionLimit() int {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil || limit.Cur > math.MaxInt32 {
		return maxConnections
	}
	return max(1, min(maxConnections, int(connectionShare*float64(limit.Cur))))
}

// connectionBound returns the bound on connections. The caller holds mu.
func (s *callers) connectionBound() int {
	if s.memory == 0 {
		return s.maxConns
	}
	return max(1, min(s.maxConns, int(connectionMemoryShare*float64(s.memory))/receiveMemory))
}

// add counts a new connection. It returns false if there are too many.
func (s *callers) add(c *callerConn) bool {
	if s == nil {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if len(s.conns) >= s.connectionBound() {
		if !s.closeForAnother(now) {
			s.counters.ConnectionsRefused.Add(1)
			s.logRefusal("too many connections", now)
			return false
		}
		s.counters.ConnectionsEvicted.Add(1)
		s.logRefusal("connection closed for a new one", now)
	}
	c.charge.progressAt = now
	s.conns[c] = struct{}{}
	return true
}

// closeForAnother closes the connection that is the least useful, or else whose caller has stalled for
// the longest time, and reports whether there is one. The caller holds mu.
func (s *callers) closeForAnother(now time.Time) bool {
	victim, end := s.leastUseful(now), func(c *callerConn) { _ = c.Conn.Close() }
	if victim == nil {
		victim, end = s.mostStalled(now), func(c *callerConn) { c.backlog.giveUp(errCallerBlocks) }
	}
	if victim == nil {
		return false
	}
	victim.charge.evicted = true
	s.forget(victim)
	end(victim)
	return true
}

// mostStalled returns the connection whose caller has accepted nothing of its response for the longest
// time, and at least deliveryStallTime; nil if there is none.
func (s *callers) mostStalled(now time.Time) (victim *callerConn) {
	longest := deliveryStallTime
	for c := range s.conns {
		if c.charge.evicted || c.backlog == nil {
			continue
		}
		if stalled := c.backlog.stalledFor(now); stalled >= longest {
			victim, longest = c, stalled
		}
	}
	return victim
}

// leastUseful returns the connection that has been without progress for the longest time, and
// has no request that is served and no response that is written; nil if there is none.
func (s *callers) leastUseful(now time.Time) *callerConn {
	var victim *callerConn
	for c := range s.conns {
		if !c.charge.serving && !c.charge.waiting && !c.charge.evicted && now.Sub(c.charge.progressAt) >= stallTime &&
			(victim == nil || c.charge.progressAt.Before(victim.charge.progressAt)) && !c.isDelivering(now) {
			victim = c
		}
	}
	return victim
}

// excess returns the number of connections above the bound, which may have been lowered, without
// those that are closed after their response. The caller holds mu.
func (s *callers) excess() int { return len(s.conns) - s.leaving - s.connectionBound() }

// forget no longer counts a connection. The caller holds mu.
func (s *callers) forget(c *callerConn) {
	if _, isCounted := s.conns[c]; isCounted && c.charge.leaving {
		s.leaving--
	}
	delete(s.conns, c)
}

// leave reports whether a connection is to be closed after the response to its request, which tells
// the caller so, since there are more than the bound.
func (s *callers) leave(c *callerConn) bool {
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, isCounted := s.conns[c]; !isCounted || s.excess() <= 0 {
		return false
	}
	if !c.charge.leaving {
		c.charge.leaving = true
		s.leaving++
	}
	return true
}

// closeExcess closes idle connections, those idle for the longest time first, while there are more
// than the bound. The others are closed after their response, or as they become idle if that has
// begun. The caller holds mu.
func (s *callers) closeExcess(now time.Time) {
	excess := s.excess()
	if excess <= 0 {
		return
	}
	var idle []*callerConn
	for c := range s.conns {
		if c.charge.isIdle() && !c.charge.evicted && !c.charge.leaving && !c.isDelivering(now) {
			idle = append(idle, c)
		}
	}
	slices.SortFunc(idle, func(a, b *callerConn) int { return a.charge.progressAt.Compare(b.charge.progressAt) })
	for _, c := range idle[:min(excess, len(idle))] {
		s.counters.ConnectionsEvicted.Add(1)
		c.charge.evicted = true
		s.forget(c)
		_ = c.Conn.Close()
	}
	s.logRefusal("more connections than the lowered memory allows", now)
}
