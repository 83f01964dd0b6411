package dispatch

import (
	"sync/atomic"
	"time"
)

// releaseWait bounds the wait for memory whose release does not depend on a caller or target.
const releaseWait = 250 * time.Millisecond

// BodyMemory is the memory of a body that is held beyond its exchange, until it has been written to
// the caller or counts towards a CallerMemory. A nil one is empty.
type BodyMemory struct {
	pool  *Pool
	bytes atomic.Int64
}

// TakeMemory returns the memory reserved for the body, which Close does not release then.
func (r *PooledResponse) TakeMemory() *BodyMemory {
	m := &BodyMemory{pool: r.pool}
	m.bytes.Store(r.reserved)
	r.pool.heldMu.Lock()
	defer r.pool.heldMu.Unlock()
	r.pool.releasing += r.reserved
	r.reserved = 0
	return m
}

// Release records that the body is not held any more; it may be called again.
func (m *BodyMemory) Release() {
	if m == nil {
		return
	}
	bytes := m.bytes.Swap(0)
	m.pool.heldMu.Lock()
	defer m.pool.heldMu.Unlock()
	m.pool.endRelease(bytes)
}

// endRelease records that bytes that were being released are held no longer. The caller holds heldMu.
func (p *Pool) endRelease(bytes int64) {
	if bytes == 0 {
		return
	}
	p.releasing -= bytes
	p.free(bytes)
}

// free subtracts bytes that are held no longer. The caller holds heldMu.
func (p *Pool) free(bytes int64) {
	p.bufferedBytes.Add(-bytes)
	p.recheck()
}

// recheck lets the bodies that wait for memory look for it again. The caller holds heldMu.
func (p *Pool) recheck() {
	if p.released != nil {
		close(p.released)
		p.released = nil
	}
}

// reserve reserves bytes for a body, and reports whether there is enough memory. Slow callers are given
// up for it. What is being released is waited for until the request is cancelled.
func (p *Pool) reserve(bytes int64, cancelled <-chan struct{}) bool {
	var timeout <-chan time.Time
	for !p.tryReserve(bytes) {
		released, ok := p.makeRoom(bytes)
		if !ok {
			return false
		}
		if released == nil {
			continue
		}
		if timeout == nil {
			timer := time.NewTimer(releaseWait)
			defer timer.Stop()
			timeout = timer.C
		}
		select {
		case <-released:
		case <-cancelled:
			return false
		case <-timeout:
			return p.tryReserve(bytes)
		}
	}
	return true
}

func (p *Pool) tryReserve(bytes int64) bool {
	for {
		buffered := p.bufferedBytes.Load()
		if buffered+bytes > p.maxBuffered.Load() {
			return false
		}
		if p.bufferedBytes.CompareAndSwap(buffered, buffered+bytes) {
			return true
		}
	}
}

// CallerMemory is what is held of responses for one caller that has not accepted it yet. It counts
// towards the same bound as the bodies of targets. When the bound is reached, the callers that have
// accepted nothing for the longest time are given up.
type CallerMemory struct {
	pool *Pool
	// giveUp is called without a lock, at most once. What is held is being released until Release.
	giveUp func()
	// The fields below are guarded by Pool.heldMu. bytes is what is held since progressAt, when
	// the caller last accepted anything.
	bytes      int64
	progressAt time.Time
	givenUp    bool
	// releasing is what was held when the caller was given up.
	releasing int64
}

// HoldForCaller returns the memory held for a caller, which is empty. giveUp ends its response; it
// must not wait for anything.
func (p *Pool) HoldForCaller(giveUp func()) *CallerMemory {
	return &CallerMemory{pool: p, giveUp: giveUp}
}

// Add adds bytes that are held, giving up the slowest callers if there is no room. It reports
// whether they may be held: if not, this caller itself has been given up.
func (m *CallerMemory) Add(bytes int, now time.Time) bool {
	p := m.pool
	p.heldMu.Lock()
	if m.givenUp {
		p.heldMu.Unlock()
		return false
	}
	p.hold(m, int64(bytes), now)
	p.bufferedBytes.Add(int64(bytes))
	var victims []*CallerMemory
	if p.fixedBytes()+m.bytes > p.maxBuffered.Load() {
		// The others cannot make enough room.
		victims = []*CallerMemory{p.take(m)}
	} else {
		victims = p.takeSlowest(0)
	}
	holds := !m.givenUp
	p.heldMu.Unlock()
	giveUpAll(victims)
	return holds
}

// hold adds bytes to what is held for a caller. The caller holds heldMu.
func (p *Pool) hold(m *CallerMemory, bytes int64, now time.Time) {
	if m.bytes == 0 {
		m.progressAt = now
		if p.held == nil {
			p.held = make(map[*CallerMemory]struct{})
		}
		p.held[m] = struct{}{}
	}
	m.bytes += bytes
	p.heldForCallers += bytes
}

// HoldFor lets the memory count for a caller, which the write of the body waits for, until Resume. It
// returns how much that is.
func (m *BodyMemory) HoldFor(caller *CallerMemory, now time.Time) (bytes int64) {
	if m == nil {
		return 0
	}
	p := m.pool
	p.heldMu.Lock()
	defer p.heldMu.Unlock()
	bytes = m.bytes.Swap(0)
	switch {
	case bytes == 0:
	case caller.givenUp:
		caller.releasing += bytes
	default:
		p.releasing -= bytes
		p.hold(caller, bytes, now)
		p.recheck()
	}
	return bytes
}

// Resume ends HoldFor, which has returned bytes. What a caller held that has been given up counts until
// the Release of its CallerMemory.
func (m *BodyMemory) Resume(caller *CallerMemory, bytes int64) {
	if bytes == 0 {
		return
	}
	p := m.pool
	p.heldMu.Lock()
	defer p.heldMu.Unlock()
	bytes = min(bytes, caller.bytes)
	caller.bytes -= bytes
	p.heldForCallers -= bytes
	p.releasing += bytes
	if caller.bytes == 0 {
		delete(p.held, caller)
	}
	m.bytes.Store(bytes)
}

// Accepted records that the caller has accepted something at the given time, and that so many bytes
// are held no longer.
func (m *CallerMemory) Accepted(bytes int, now time.Time) {
	m.pool.heldMu.Lock()
	defer m.pool.heldMu.Unlock()
	m.progressAt = now
	m.pool.drop(m, int64(bytes))
}

// Release records that nothing is held any more.
func (m *CallerMemory) Release() {
	m.pool.heldMu.Lock()
	defer m.pool.heldMu.Unlock()
	m.pool.drop(m, m.bytes)
	m.pool.endRelease(m.releasing)
	m.releasing = 0
}

// fixedBytes returns the memory that neither giving up callers nor waiting makes free. The caller holds
// heldMu.
func (p *Pool) fixedBytes() int64 { return p.bufferedBytes.Load() - p.heldForCallers - p.releasing }

// drop subtracts bytes that are held no longer. The caller holds heldMu.
func (p *Pool) drop(m *CallerMemory, bytes int64) {
	bytes = min(bytes, m.bytes)
	if bytes > 0 {
		m.bytes -= bytes
		p.heldForCallers -= bytes
		p.free(bytes)
	}
	if m.bytes == 0 {
		delete(p.held, m)
	}
}

// takeSlowest takes the memory of the callers to be given up so that there is room for bytes once it
// has been released, as far as they hold any, and returns them. The caller holds heldMu.
func (p *Pool) takeSlowest(bytes int64) (victims []*CallerMemory) {
	for p.bufferedBytes.Load()-p.releasing+bytes > p.maxBuffered.Load() && len(p.held) > 0 {
		var slowest *CallerMemory
		for m := range p.held {
			if slowest == nil || m.isSlowerThan(slowest) {
				slowest = m
			}
		}
		victims = append(victims, p.take(slowest))
	}
	return victims
}

// take takes the memory of a caller that is to be given up; it is being released until its Release. The caller
// holds heldMu.
func (p *Pool) take(m *CallerMemory) *CallerMemory {
	m.givenUp = true
	m.releasing = m.bytes
	p.releasing += m.releasing
	p.heldForCallers -= m.bytes
	m.bytes = 0
	delete(p.held, m)
	return m
}

// isSlowerThan orders callers by how long they have accepted nothing, then by what is held for them.
func (m *CallerMemory) isSlowerThan(other *CallerMemory) bool {
	if !m.progressAt.Equal(other.progressAt) {
		return m.progressAt.Before(other.progressAt)
	}
	return m.bytes > other.bytes
}

// makeRoom gives up the slowest callers until there is room for bytes, and reports whether there is
// once what is being released is free. released is closed at the next release; it is nil if there
// is room now. No caller is given up if all of them together do not hold enough.
func (p *Pool) makeRoom(bytes int64) (released <-chan struct{}, ok bool) {
	p.heldMu.Lock()
	var victims []*CallerMemory
	ok = p.fixedBytes()+bytes <= p.maxBuffered.Load()
	if ok {
		victims = p.takeSlowest(bytes)
		if p.bufferedBytes.Load()+bytes > p.maxBuffered.Load() {
			if p.released == nil {
				p.released = make(chan struct{})
			}
			released = p.released
		}
	}
	p.heldMu.Unlock()
	giveUpAll(victims)
	return released, ok
}

func giveUpAll(victims []*CallerMemory) {
	for _, m := range victims {
		m.giveUp()
	}
}

// HeldBytes returns the memory held for callers and for bodies of targets, beyond what each body
// may occupy.
func (p *Pool) HeldBytes() int64 { return p.bufferedBytes.Load() }

// HeldForCallers returns the number of callers that memory is held for, and how much.
func (p *Pool) HeldForCallers() (callers int, bytes int64) {
	p.heldMu.Lock()
	defer p.heldMu.Unlock()
	return len(p.held), p.heldForCallers
}
