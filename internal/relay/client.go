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

	"github.com/hibiscuspost/hibiscuspost/internal/contain"
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
	known := len(candidates)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &search{
		client: c, ctx: ctx, address: address, candidates: candidates, results: make(chan result, len(candidates)),
		required: min(confirmations, len(candidates)),
	}
	defer func() { go discardLate(s.results, s.pending) }()
	conn, err := s.run()
	if err != nil {
		c.Logger.Info("no other instance connected to a target", zap.String("target_address", address), zap.Int("candidates", known),
			zap.Int("asked", known-len(s.candidates)), zap.Int("without_response", s.pending), zap.Int("unreachable", s.unreachable),
			eventlog.ErrorField(err))
	}
	return conn, err
}

// search looks for an instance that connects to a target.
type search struct {
	client  *Client
	ctx     context.Context
	address string
	// candidates are the instances that have not been asked yet, pending is the number
	// of those that have not responded.
	candidates []string
	results    chan result
	pending    int
	// unreachable is the number of instances that do not reach the target although they
	// reach others, required the number of those that decides.
	unreachable, required int
}

func (s *search) run() (net.Conn, error) {
	s.askNext()
	hedge := s.client.Clock.NewTicker(hedgeDelay)
	defer hedge.Stop()
	for s.pending > 0 && s.unreachable < s.required {
		select {
		case r := <-s.results:
			s.pending--
			if r.conn != nil {
				return newConn(r.conn, r.via), nil
			}
			if r.status == statusUnreachable {
				s.unreachable++
			} else {
				s.client.skip(r.via)
			}
			if s.unreachable < s.required {
				s.askNext()
			}
		case <-hedge.Chan():
			s.askNext()
		case <-s.ctx.Done():
			return nil, s.verdict(s.ctx.Err())
		}
	}
	return nil, s.verdict(nil)
}

// errPanicked tells nothing about the instance or the target.
var errPanicked = errors.New("panic while another instance was asked")

// askNext asks the next instance, if there is one.
func (s *search) askNext() {
	if len(s.candidates) == 0 {
		return
	}
	via := s.candidates[0]
	s.candidates = s.candidates[1:]
	s.pending++
	go func() {
		r := result{via: via, err: errPanicked}
		defer func() { s.results <- r }()
		contain.Run(s.client.Logger, "connection through another instance", func() { r = s.client.dialThrough(s.ctx, via, s.address) })
	}()
}

// verdict returns what the responses say of the target.
func (s *search) verdict(cause error) error {
	switch {
	case s.unreachable > 0:
		return ErrUnreachable
	case cause != nil:
		return errors.Mark(cause, ErrInconclusive)
	}
	return ErrInconclusive
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
