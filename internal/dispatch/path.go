package dispatch

import (
	"cmp"
	"context"
	"io"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/hibiscuspost/hibiscuspost/internal/contain"
	"github.com/hibiscuspost/hibiscuspost/internal/eventlog"
	"github.com/hibiscuspost/hibiscuspost/internal/relay"
)

// ErrPathLost marks errors that are due to the path between this instance and the
// target, or to the instance that relays: they are no evidence against the target.
var ErrPathLost = errors.New("the path to the target is lost")

const (
	// checkDialTimeout bounds the direct connection of a check.
	checkDialTimeout = 200 * time.Millisecond
	// suspicionTime is the time without a byte from a target that is waited for after
	// which the path is checked, minCheckInterval the time between two checks of one
	// path.
	suspicionTime    = 400 * time.Millisecond
	minCheckInterval = time.Second
	// watchInterval is the interval at which paths are watched, retryInterval that
	// at which a lost path is tried again.
	watchInterval = 100 * time.Millisecond
	retryInterval = time.Second
	// minReaches is how often in a row a target has to be reached directly until a lost path
	// is used again. It doubles each time that the path is lost again within flapTime, up
	// to maxReaches: connections over a link that loses packets succeed now and then.
	minReaches = 5
	maxReaches = 20
	flapTime   = 10 * time.Second
	// recentlyHeardTime is how long a path on which something was received is not
	// checked because another one is lost.
	recentlyHeardTime = 200 * time.Millisecond
	// leftRelayTime is how long no connection through an instance is used again after
	// the last word that it shuts down.
	leftRelayTime = 5 * time.Second
	// pathRetention is how long the state of a path is kept that is not used.
	pathRetention = 30 * time.Second
)

// path is what is known of the path to the target at an address. Fields other than
// heardNanos are guarded by Pool.mu.
type path struct {
	address string
	// heardNanos is when a byte was last received on a direct connection.
	heardNanos atomic.Int64
	// lostSince is when the path was found lost; zero while it is not. Connections
	// then go through other instances.
	lostSince time.Time
	// usedAt is when a connection was last needed, checkedAt when the path was last
	// checked or tried again, unreachableAt when others said that they do not reach
	// the target either.
	usedAt, checkedAt, unreachableAt time.Time
	// reaches is how often in a row the target has been reached directly since the path
	// was lost, requiredReaches how often it has to be, regainedAt when it last was.
	reaches, requiredReaches int
	regainedAt               time.Time
	// check is the check that runs; nil if none does.
	check *pathCheck
}

// lose records that the path is lost. The caller holds Pool.mu.
func (s *path) lose(now time.Time) {
	s.lostSince, s.checkedAt, s.reaches = now, now, 0
	if !s.regainedAt.IsZero() && now.Sub(s.regainedAt) < flapTime {
		s.requiredReaches = min(2*s.requiredReaches, maxReaches)
	} else {
		s.requiredReaches = minReaches
	}
}

// reach records whether the target has been reached directly while the path was lost, and
// reports whether the path is regained and how long it was lost. The caller holds Pool.mu.
func (s *path) reach(reached bool, now time.Time) (lostFor time.Duration, regained bool) {
	if s.lostSince.IsZero() {
		return 0, false
	}
	if !reached {
		s.reaches = 0
		return 0, false
	}
	if s.reaches++; s.reaches < s.requiredReaches {
		return 0, false
	}
	lostFor = now.Sub(s.lostSince)
	s.lostSince, s.regainedAt = time.Time{}, now
	return lostFor, true
}

// pathCheck is a check of a path; lost is valid once done is closed.
type pathCheck struct {
	done chan struct{}
	lost bool
}

// PathCounters count events of paths to targets.
type PathCounters struct {
	// Checks counts checks of paths, Lost the paths found lost, Relayed the
	// connections made through other instances.
	Checks, Lost, Relayed atomic.Uint64
}

// path returns the state of a path. The caller holds p.mu.
func (p *Pool) path(address string) *path {
	state := p.paths[address]
	if state == nil {
		state = &path{address: address}
		p.paths[address] = state
	}
	return state
}

// PathLost reports whether the path to a target is known to be lost.
func (p *Pool) PathLost(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.paths[address]
	return state != nil && !state.lostSince.IsZero()
}

// AnyLost reports whether the path to any target is known to be lost.
func (p *Pool) AnyLost() bool { return p.LostPaths() > 0 }

// LostPaths returns the number of targets to which the path is known to be lost.
func (p *Pool) LostPaths() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, lost := p.countPaths()
	return lost
}

// markLost records that a target is reached through another instance and not
// directly. Other paths are checked, since a partition rarely concerns one; once most are
// lost, they count as lost as well until their targets have been reached.
func (p *Pool) markLost(state *path, cause error, via string) {
	if !p.lose(state, cause, via) {
		return
	}
	checked, lost := p.pathsAfterLoss()
	for _, other := range checked {
		p.startCheck(other)
	}
	for _, other := range lost {
		p.lose(other, errMostLost, "")
	}
}

// pathsAfterLoss returns the paths that are checked after another one was lost, and those that
// count as lost as well.
func (p *Pool) pathsAfterLoss() (checked, lost []*path) {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	mostLost := areMostLost(p.countPaths())
	for _, other := range p.paths {
		switch {
		case !other.lostSince.IsZero() || now.Sub(other.usedAt) >= pathRetention || now.Sub(other.heardAt()) <= recentlyHeardTime:
		case mostLost && now.Sub(other.regainedAt) >= flapTime:
			lost = append(lost, other)
		default:
			checked = append(checked, other)
		}
	}
	return checked, lost
}

// lose records that a path is lost and ends what uses it. It reports whether that is new.
func (p *Pool) lose(state *path, cause error, via string) bool {
	closing, isNew := p.setLost(state)
	if !isNew {
		return false
	}
	p.pathCounters.Lost.Add(1)
	p.logger.Warn("path to a target lost", zap.String("target_address", state.address), zap.String("via", via), eventlog.ErrorField(cause))
	for _, conn := range closing {
		conn.close()
	}
	p.endExchanges(state)
	return true
}

// setLost records that a path is lost, and returns its idle connections and whether that is new.
func (p *Pool) setLost(state *path) (idle []*pooledConn, isNew bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !state.lostSince.IsZero() {
		return nil, false
	}
	state.lose(p.clock.Now())
	return p.takeIdle(state.address, func(conn *pooledConn) bool { return conn.via == "" }), true
}

// countPaths returns the number of paths known and of those lost. The caller holds p.mu.
func (p *Pool) countPaths() (known, lost int) {
	for _, state := range p.paths {
		if !state.lostSince.IsZero() {
			lost++
		}
	}
	return len(p.paths), lost
}

// minLostPaths is the number of lost paths from which an instance takes its own links for
// the cause.
const minLostPaths = 3

// areMostLost reports whether so many paths are lost that the instance's links are the
// cause. With half of them, others may have lost the other half.
func areMostLost(known, lost int) bool { return lost >= minLostPaths && 4*lost >= 3*known }

// errMostLost is the cause of a lost path that has not been tried.
var errMostLost = errors.New("most paths of this instance are lost")

// MostLost reports whether the paths to most targets are known to be lost.
func (p *Pool) MostLost() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return areMostLost(p.countPaths())
}

// HeardOther reports whether anything has been received since then on a direct connection
// to a target other than the one at the address.
func (p *Pool) HeardOther(address string, since time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for other, state := range p.paths {
		if other != address && state.heardAt().After(since) {
			return true
		}
	}
	return false
}

// LastHeard returns the addresses of up to count targets, other than the one at the address,
// that were heard last on direct connections, the last one first.
func (p *Pool) LastHeard(address string, count int) []string {
	type heard struct {
		address string
		nanos   int64
	}
	var others []heard
	p.mu.Lock()
	for other, state := range p.paths {
		if nanos := state.heardNanos.Load(); nanos > 0 && other != address {
			others = append(others, heard{other, nanos})
		}
	}
	p.mu.Unlock()
	slices.SortFunc(others, func(a, b heard) int { return cmp.Compare(b.nanos, a.nanos) })
	addresses := make([]string, 0, count)
	for _, other := range others[:min(count, len(others))] {
		addresses = append(addresses, other.address)
	}
	return addresses
}

// takeIdle removes and returns the idle connections to an address that match. The
// caller holds p.mu.
func (p *Pool) takeIdle(address string, matches func(*pooledConn) bool) []*pooledConn {
	var taken, remaining []*pooledConn
	for _, conn := range p.idle[address] {
		if matches(conn) {
			taken = append(taken, conn)
		} else {
			remaining = append(remaining, conn)
		}
	}
	if len(remaining) == 0 {
		delete(p.idle, address)
	} else {
		p.idle[address] = remaining
	}
	return taken
}

// startCheck checks a path unless that has been done a moment ago. It returns the
// check that runs, or nil.
func (p *Pool) startCheck(state *path) *pathCheck {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if state.check != nil {
		return state.check
	}
	if p.relay == nil || now.Sub(state.checkedAt) < minCheckInterval {
		return nil
	}
	state.checkedAt = now
	check := &pathCheck{done: make(chan struct{})}
	state.check = check
	p.pathCounters.Checks.Add(1)
	go func() {
		defer p.endCheck(state, check)
		contain.Run(p.logger, "check of a path", func() { check.lost = p.checkPath(state) })
	}()
	return check
}

// endCheck ends a check of a path.
func (p *Pool) endCheck(state *path, check *pathCheck) {
	p.mu.Lock()
	defer p.mu.Unlock()
	state.check = nil
	close(check.done)
}

// checkPath reports whether the path is lost: the target cannot be reached directly,
// and others reach it or cannot tell. Exchanges on a lost path end.
func (p *Pool) checkPath(state *path) bool {
	conn, err := p.connectDirect(context.Background(), state, checkDialTimeout)
	if err == nil {
		p.release(conn, 0)
		return false
	}
	relayed, relayErr := p.connectRelayed(context.Background(), state)
	if relayErr != nil {
		return errors.Is(relayErr, ErrPathLost)
	}
	p.markLost(state, err, relayed.via)
	p.release(relayed, 0)
	return true
}

// endExchanges tells the exchanges on direct connections of a lost path, and ends
// those whose requests may be repeated.
func (p *Pool) endExchanges(state *path) {
	var ended []*pooledConn
	p.mu.Lock()
	for conn := range p.inflight {
		if conn.path == state && conn.via == "" {
			ended = append(ended, conn)
		}
	}
	p.mu.Unlock()
	for _, conn := range ended {
		if conn.onPathLost != nil {
			conn.onPathLost()
		}
		if conn.repeatable && p.clock.Since(conn.heardAt()) > suspicionTime {
			conn.pathLost.Store(true)
			conn.close()
		}
	}
}

// IsPathLost reports whether an attempt that ended with an error ended because of the
// path. After a connection broke, that is found out, which takes some time if the
// target cannot be reached.
func (p *Pool) IsPathLost(address string, err error) bool {
	if errors.Is(err, ErrPathLost) || errors.Is(err, relay.ErrBroken) {
		return true
	}
	if err == nil || p.relay == nil || !isBreak(err) || errors.Is(err, errSeenElsewhere) {
		return false
	}
	p.mu.Lock()
	state := p.path(address)
	lost := !state.lostSince.IsZero()
	p.mu.Unlock()
	if lost {
		return true
	}
	check := p.startCheck(state)
	if check == nil {
		return false
	}
	<-check.done
	return check.lost
}

// errSeenElsewhere marks errors of a target's connection that the instance in between
// has seen.
var errSeenElsewhere = errors.New("seen by the relaying instance")

// explain marks an error of an exchange by where it was seen.
func (c *pooledConn) explain(err error) error {
	if err == nil || err == io.EOF || c.via == "" || isTimeout(err) || errors.Is(err, relay.ErrBroken) {
		return err
	}
	return errors.Mark(err, errSeenElsewhere)
}

// isBreak reports whether an error means that the connection has ended.
func isBreak(err error) bool {
	return errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE, syscall.ETIMEDOUT)
}

// WatchPaths checks paths on which responses are waited for in vain, and tries lost
// ones again, until the context ends.
func (p *Pool) WatchPaths(ctx context.Context) {
	ticker := p.clock.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			p.watchPaths()
		}
	}
}

func (p *Pool) watchPaths() {
	suspects, silentOnLost, retried := p.duePaths()
	for state := range suspects {
		p.startCheck(state)
	}
	for state := range silentOnLost {
		p.endExchanges(state)
	}
	for _, state := range retried {
		go contain.Run(p.logger, "retry of a path", func() { p.retryPath(state) })
	}
}

// duePaths returns the paths that are to be checked, the lost ones on which responses are waited
// for in vain, and those that are to be tried again.
func (p *Pool) duePaths() (suspects, silentOnLost map[*path]bool, retried []*path) {
	now := p.clock.Now()
	suspects, silentOnLost = make(map[*path]bool), make(map[*path]bool)
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.inflight {
		switch {
		case conn.via != "" || now.Sub(conn.heardAt()) <= suspicionTime:
		case !conn.path.lostSince.IsZero():
			silentOnLost[conn.path] = true
		case now.Sub(conn.path.heardAt()) > suspicionTime:
			suspects[conn.path] = true
		}
	}
	for via, leftAt := range p.leftRelays {
		if now.Sub(leftAt) > leftRelayTime {
			delete(p.leftRelays, via)
		}
	}
	for address, state := range p.paths {
		switch {
		case state.check == nil && now.Sub(state.usedAt) > pathRetention && now.Sub(state.checkedAt) > pathRetention:
			delete(p.paths, address)
		case !state.lostSince.IsZero() && now.Sub(state.checkedAt) >= retryInterval:
			state.checkedAt = now
			retried = append(retried, state)
		}
	}
	return suspects, silentOnLost, retried
}

// LeaveRelay stops the use of connections through an instance that shuts down; the
// exchanges on them go on. It is called repeatedly until the instance has ended.
func (p *Pool) LeaveRelay(via string) {
	for _, conn := range p.takeIdleThrough(via) {
		conn.close()
	}
}

// takeIdleThrough records that an instance shuts down, and returns the idle connections through it.
func (p *Pool) takeIdleThrough(via string) []*pooledConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leftRelays[via] = p.clock.Now()
	var idle []*pooledConn
	for address := range p.idle {
		idle = append(idle, p.takeIdle(address, func(conn *pooledConn) bool { return conn.via == via })...)
	}
	return idle
}

// hasLeftRelay reports whether the instance between is shutting down. The caller holds
// p.mu.
func (p *Pool) hasLeftRelay(conn *pooledConn) bool {
	leftAt, left := p.leftRelays[conn.via]
	return left && conn.via != "" && p.clock.Since(leftAt) < leftRelayTime
}

// retryPath tries a lost path. It is used again once the target has been reached often
// enough.
func (p *Pool) retryPath(state *path) {
	conn, err := p.connectDirect(context.Background(), state, checkDialTimeout)
	lostFor, regained, relayed := p.recordReach(state, err == nil)
	if err != nil {
		return
	}
	if !regained {
		conn.close()
		return
	}
	p.logger.Info("path to a target regained", zap.String("target_address", state.address), zap.Duration("after", lostFor))
	for _, conn := range relayed {
		conn.close()
	}
	p.release(conn, 0)
}

// recordReach records whether a target has been reached directly while its path was lost. If that
// regains the path, it returns the idle connections through other instances.
func (p *Pool) recordReach(state *path, reached bool) (lostFor time.Duration, regained bool, relayed []*pooledConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if lostFor, regained = state.reach(reached, p.clock.Now()); regained {
		relayed = p.takeIdle(state.address, func(conn *pooledConn) bool { return conn.via != "" })
	}
	return lostFor, regained, relayed
}

func (s *path) heardAt() time.Time { return time.Unix(0, s.heardNanos.Load()) }
