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
		victim := s.leastUseful(now)
		if victim == nil {
			s.counters.ConnectionsRefused.Add(1)
			s.logRefusal("too many connections", now)
			return false
		}
		s.counters.ConnectionsEvicted.Add(1)
		s.logRefusal("connection closed for a new one", now)
		victim.charge.evicted = true
		delete(s.conns, victim)
		_ = victim.Conn.Close()
	}
	c.charge.progressAt = now
	s.conns[c] = struct{}{}
	return true
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

// closeExcess closes idle connections, those idle for the longest time first, while there are more
// than the bound, which may have been lowered. The others are closed as they become idle. The
// caller holds mu.
func (s *callers) closeExcess(now time.Time) {
	excess := len(s.conns) - s.connectionBound()
	if excess <= 0 {
		return
	}
	var idle []*callerConn
	for c := range s.conns {
		if c.charge.isIdle() && !c.charge.evicted && !c.isDelivering(now) {
			idle = append(idle, c)
		}
	}
	slices.SortFunc(idle, func(a, b *callerConn) int { return a.charge.progressAt.Compare(b.charge.progressAt) })
	for _, c := range idle[:min(excess, len(idle))] {
		s.counters.ConnectionsEvicted.Add(1)
		c.charge.evicted = true
		delete(s.conns, c)
		_ = c.Conn.Close()
	}
	s.logRefusal("more connections than the lowered memory allows", now)
}
