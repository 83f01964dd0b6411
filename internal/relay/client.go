package relay

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/hibiscuspost/hibiscuspost/internal/eventlog"
)

const (
	// hedgeDelay is the time without an outcome after which another instance is
	// asked as well.
	hedgeDelay = 80 * time.Millisecond
	// maxPeersAsked bounds the instances asked for one connection.
	maxPeersAsked = 8
	// confirmations is the number of instances whose word makes a target
	// unreachable.
	confirmations = 2
	// skipTime is how long an instance that has no path, or did not respond, is asked
	// after all others.
	skipTime = time.Second
)

// Client opens connections to targets through other instances.
type Client struct {
	// Open opens a stream to an instance, Peers returns the addresses of the
	// instances that are alive and not shutting down.
	Open   func(ctx context.Context, address string) (net.Conn, error)
	Peers  func() []string
	Clock  clockwork.Clock
	Logger *zap.Logger

	// mu guards skippedUntil.
	mu           sync.Mutex
	skippedUntil map[string]time.Time
}

// result is the outcome at one instance.
type result struct {
	via    string
	conn   net.Conn
	status status
	err    error
}

// Dial connects to a target through another instance. Errors are ErrUnreachable,
// ErrInconclusive, ErrNoPeers or that of the context.
func (c *Client) Dial(ctx context.Context, address string) (net.Conn, error) {
	candidates := c.candidates()
	if len(candidates) == 0 {
		return nil, ErrNoPeers
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan result, len(candidates))
	pending, unreachable, next := 0, 0, 0
	ask := func() {
		if next < len(candidates) {
			via := candidates[next]
			next++
			pending++
			go func() { results <- c.dialThrough(ctx, via, address) }()
		}
	}
	ask()
	hedge := c.Clock.NewTicker(hedgeDelay)
	defer hedge.Stop()
	for pending > 0 {
		select {
		case r := <-results:
			pending--
			switch {
			case r.conn != nil:
				go discardLate(results, pending)
				return newConn(r.conn, r.via), nil
			case r.status == statusUnreachable:
				unreachable++
			default:
				c.skip(r.via)
			}
			if unreachable >= min(confirmations, len(candidates)) {
				go discardLate(results, pending)
				return nil, ErrUnreachable
			}
			ask()
		case <-hedge.Chan():
			ask()
		case <-ctx.Done():
			go discardLate(results, pending)
			if unreachable > 0 {
				return nil, ErrUnreachable
			}
			return nil, errors.Mark(ctx.Err(), ErrInconclusive)
		}
	}
	if unreachable > 0 {
		return nil, ErrUnreachable
	}
	return nil, ErrInconclusive
}

// discardLate closes the connections of attempts that are not needed any more.
func discardLate(results <-chan result, pending int) {
	for range pending {
		if r := <-results; r.conn != nil {
			_ = r.conn.Close()
		}
	}
}

// candidates returns the instances to ask, in random order; those that had no path a
// moment ago come last.
func (c *Client) candidates() []string {
	peers := c.Peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	now := c.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	ordered := make([]string, 0, len(peers))
	var skipped []string
	for _, peer := range peers {
		if now.Before(c.skippedUntil[peer]) {
			skipped = append(skipped, peer)
		} else {
			ordered = append(ordered, peer)
		}
	}
	ordered = append(ordered, skipped...)
	return ordered[:min(len(ordered), maxPeersAsked)]
}

func (c *Client) skip(peer string) {
	now := c.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.skippedUntil == nil {
		c.skippedUntil = make(map[string]time.Time)
	}
	for other, until := range c.skippedUntil {
		if now.After(until) {
			delete(c.skippedUntil, other)
		}
	}
	c.skippedUntil[peer] = now.Add(skipTime)
}

// dialThrough asks one instance for a connection to a target.
func (c *Client) dialThrough(ctx context.Context, via, address string) result {
	conn, err := c.Open(ctx, via)
	if err != nil {
		c.logFailure(ctx, via, err)
		return result{via: via, err: err}
	}
	stopClosing := context.AfterFunc(ctx, func() { _ = conn.Close() })
	var outcome [1]byte
	if err = writeAddress(conn, address); err == nil {
		_, err = io.ReadFull(conn, outcome[:])
	}
	if !stopClosing() {
		err = errors.CombineErrors(ctx.Err(), err)
	}
	if err != nil || status(outcome[0]) != statusConnected {
		_ = conn.Close()
		c.logFailure(ctx, via, err)
		return result{via: via, status: status(outcome[0]), err: err}
	}
	return result{via: via, conn: conn, status: statusConnected}
}

// logFailure logs an instance that did not respond, unless its response is not
// waited for any more.
func (c *Client) logFailure(ctx context.Context, via string, err error) {
	if err != nil && ctx.Err() == nil {
		c.Logger.Info("instance did not relay", zap.String("peer", via), eventlog.ErrorField(err))
	}
}
