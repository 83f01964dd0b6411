package dispatch

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/hibiscuspost/hibiscuspost/internal/contain"
	"github.com/hibiscuspost/hibiscuspost/internal/relay"
)

const (
	// relayDelay is the time without a direct connection after which one through
	// another instance is tried as well: many times the setup of a connection.
	relayDelay = 150 * time.Millisecond
	// relayDialTimeout bounds the connection through another instance.
	relayDialTimeout = 400 * time.Millisecond
	// unreachableTime is how long the word of others holds that a target cannot be
	// reached.
	unreachableTime = 300 * time.Millisecond
	// unknownInstance stands for the instance that relays a connection if it is not
	// known.
	unknownInstance = "another instance"
)

// Relay opens connections to targets through other instances; see package relay for
// the errors.
type Relay interface {
	Dial(ctx context.Context, address string) (net.Conn, error)
}

// SetRelay makes the pool go through other instances where it has lost its own path;
// it must be called before Send.
func (p *Pool) SetRelay(r Relay, logger *zap.Logger) { p.relay, p.logger = r, logger }

// DialDirect connects to a target without another instance.
func (p *Pool) DialDirect(ctx context.Context, address string) (net.Conn, error) {
	conn, err := p.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if state := p.paths[address]; state != nil {
		state.heardNanos.Store(p.clock.Now().UnixNano())
	}
	return conn, nil
}

// connect connects to a target, through another instance if the path is lost or
// takes too long. Errors marked ErrPathLost are no evidence against the target.
func (p *Pool) connect(ctx context.Context, address string) (*pooledConn, error) {
	p.mu.Lock()
	state := p.path(address)
	state.usedAt = p.clock.Now()
	lost := !state.lostSince.IsZero()
	p.mu.Unlock()
	if lost {
		if conn, err := p.connectRelayed(ctx, state); !errors.Is(err, relay.ErrNoPeers) {
			return conn, err
		}
		return p.connectDirect(ctx, state, poolDialTimeout)
	}
	return p.connectFirst(ctx, state)
}

// dialed is the outcome of one way to connect.
type dialed struct {
	conn *pooledConn
	err  error
}

// connectFirst connects directly and, if that fails or takes too long, through
// another instance as well; the first connection is used.
func (p *Pool) connectFirst(ctx context.Context, state *path) (*pooledConn, error) {
	direct := p.inBackground(func() (*pooledConn, error) { return p.connectDirect(ctx, state, poolDialTimeout) })
	if p.relay == nil {
		d := <-direct
		return d.conn, d.err
	}
	timer := time.NewTimer(relayDelay)
	defer timer.Stop()
	var d dialed
	select {
	case d = <-direct:
		if d.err == nil || ctx.Err() != nil || p.knownUnreachable(state) {
			return d.conn, d.err
		}
	case <-timer.C:
	}
	relayCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	relayed := p.inBackground(func() (*pooledConn, error) { return p.connectRelayed(relayCtx, state) })
	r, usesDirect := dialed{}, false
	if d.err != nil {
		r = <-relayed
	} else if d, r, usesDirect = firstOf(direct, relayed); usesDirect {
		return d.conn, nil
	}
	switch {
	case r.err == nil:
		p.markLost(state, d.err, r.conn.via)
		return r.conn, nil
	case errors.Is(r.err, ErrPathLost):
		return nil, errors.Mark(d.err, ErrPathLost)
	}
	return nil, d.err
}

// firstOf waits for the first of two ways that succeeds, or for both to fail. The other
// connection is closed once it is there.
func firstOf(direct, relayed <-chan dialed) (d, r dialed, usesDirect bool) {
	select {
	case d = <-direct:
		if d.err == nil {
			go discardConnection(relayed)
			return d, r, true
		}
		return d, <-relayed, false
	case r = <-relayed:
		if r.err == nil {
			go discardConnection(direct)
			return d, r, false
		}
		d = <-direct
		return d, r, d.err == nil
	}
}

// errConnectPanicked is no evidence against the target.
var errConnectPanicked = errors.Mark(errors.New("panic while a connection was opened"), ErrPathLost)

// inBackground returns the outcome of one way to connect once it is there.
func (p *Pool) inBackground(connect func() (*pooledConn, error)) <-chan dialed {
	outcome := make(chan dialed, 1)
	go func() {
		d := dialed{err: errConnectPanicked}
		defer func() { outcome <- d }()
		contain.Run(p.logger, "connection to a target", func() { d.conn, d.err = connect() })
	}()
	return outcome
}

// discardConnection closes the connection of a way that is not needed any more.
func discardConnection(way <-chan dialed) {
	if d := <-way; d.conn != nil {
		d.conn.close()
	}
}

func (p *Pool) connectDirect(ctx context.Context, state *path, timeout time.Duration) (*pooledConn, error) {
	dialCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, err := p.dial(dialCtx, state.address)
	if err != nil {
		return nil, err
	}
	state.heardNanos.Store(p.clock.Now().UnixNano())
	return p.newConn(conn, state, ""), nil
}

// connectRelayed connects through another instance. Unless others have said that they
// do not reach the target, the error is marked ErrPathLost.
func (p *Pool) connectRelayed(ctx context.Context, state *path) (*pooledConn, error) {
	dialCtx, cancel := context.WithTimeout(ctx, relayDialTimeout)
	defer cancel()
	conn, err := p.relay.Dial(dialCtx, state.address)
	switch {
	case err == nil:
		p.pathCounters.Relayed.Add(1)
		via := unknownInstance
		if relayed, ok := conn.(*relay.Conn); ok {
			via = relayed.Via
		}
		return p.newConn(conn, state, via), nil
	case errors.Is(err, relay.ErrNoPeers):
		return nil, err
	case errors.Is(err, relay.ErrUnreachable):
		p.mu.Lock()
		state.unreachableAt = p.clock.Now()
		p.mu.Unlock()
		return nil, err
	}
	return nil, errors.Mark(err, ErrPathLost)
}

// knownUnreachable reports whether others have just said that they do not reach the
// target either.
func (p *Pool) knownUnreachable(state *path) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.clock.Since(state.unreachableAt) < unreachableTime
}
