package once

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/answer"
	"github.com/hibiscuspost/hibiscuspost/internal/fault"
	"github.com/hibiscuspost/hibiscuspost/internal/platform"
)

// outcomeKind is what a caller, or the target, saw of one attempt.
type outcomeKind string

const (
	// sawSent means that the attempt was sent to the target.
	sawSent outcomeKind = "sent"
	// sawAnswer means that the attempt got another's complete answer.
	sawAnswer outcomeKind = "answer"
	// sawNotRun, sawUnknown and sawResume say nothing of other attempts.
	sawNotRun  outcomeKind = "not_run"
	sawUnknown outcomeKind = "unknown"
	sawResume  outcomeKind = "resume"
)

// seen is the output of one attempt; its input is the key.
type seen struct {
	kind outcomeKind
	// value is unique to the attempt that was sent.
	value string
}

// onceRegister is the model: for each key at most one attempt is sent, and
// every answer is that attempt's.
var onceRegister = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := make(map[Key][]porcupine.Operation)
		for _, op := range history {
			key := op.Input.(Key)
			parts[key] = append(parts[key], op)
		}
		var all [][]porcupine.Operation
		for _, part := range parts {
			all = append(all, part)
		}
		return all
	},
	Init: func() any { return "" },
	Step: func(state, _, output any) (bool, any) {
		out := output.(seen)
		switch out.kind {
		case sawSent:
			return state == "", out.value
		case sawAnswer:
			return state == out.value, state
		default:
			return true, state
		}
	},
}

// history records the attempts of one run.
type history struct {
	clock atomic.Int64

	// mu guards ops.
	mu  sync.Mutex
	ops []porcupine.Operation
}

// attempt records what do saw.
func (h *history) attempt(key Key, do func() seen) {
	call := h.clock.Add(1)
	out := do()
	end := h.clock.Add(1)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{Input: key, Call: call, Output: out, Return: end})
}

// counts returns how often each outcome was seen.
func (h *history) counts() map[outcomeKind]int {
	counts := make(map[outcomeKind]int)
	for _, op := range h.ops {
		counts[op.Output.(seen).kind]++
	}
	return counts
}

// chaos is one run: attempts from all nodes, and faults beside them.
type chaos struct {
	*world
	history history
	rand    func(n int) int
	ops     atomic.Int64
}

func newChaos(w *world, seed uint64) *chaos {
	source := rand.New(rand.NewPCG(seed, 0))
	var mu sync.Mutex
	c := &chaos{world: w, rand: func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return source.IntN(n)
	}}
	delay := func() {
		if c.rand(50) == 0 {
			c.nap(2 * callTimeout)
		}
		c.nap(30 * time.Millisecond)
	}
	w.delay.Store(&delay)
	return c
}

// nap sleeps for up to d.
func (c *chaos) nap(d time.Duration) { time.Sleep(time.Duration(c.rand(int(d)))) }

// run lets callers make attempts while faults strike.
func (c *chaos) run(d time.Duration, attempt func(*node, Key) seen) {
	end := time.Now().Add(d)
	var group conc.WaitGroup
	for caller := range 6 {
		group.Go(func() {
			for i := 0; time.Now().Before(end); i++ {
				c.nap(4 * time.Second)
				n := c.nodes[c.rand(len(c.nodes))]
				key := Key{Account: "acme", Key: fmt.Sprint(caller/2, "/", i/3)}
				c.history.attempt(key, func() seen { return attempt(n, key) })
			}
		})
	}
	group.Go(func() { c.strikePlatform(end) })
	group.Go(func() { c.strikeNodes(end) })
	group.Wait()
}

// strikePlatform makes the platform fail in one way after another.
func (c *chaos) strikePlatform(end time.Time) {
	ways := []func(string) error{
		nil, nil, down, lostCommits, c.flaky, func(string) error { c.nap(time.Second); return nil },
	}
	for time.Now().Before(end) {
		c.setFault(ways[c.rand(len(ways))])
		c.nap(12 * time.Second)
	}
	c.setFault(nil)
}

// flaky fails or loses the answer now and then.
func (c *chaos) flaky(operation string) error {
	switch c.rand(4) {
	case 0:
		return platform.ErrUnavailable
	case 1:
		if operation != "get" && operation != "scan" {
			return platform.ErrOutcomeUnknown
		}
	}
	return nil
}

// strikeNodes kills one node, and pauses another for longer than its lease.
func (c *chaos) strikeNodes(end time.Time) {
	c.nap(20 * time.Second)
	victim, paused := c.nodes[0], c.nodes[1]
	c.die(victim)
	c.nap(10 * time.Second)
	c.isolate(paused)
	paused.stop()
	c.see(func(n *node) bool { return n != victim && n != paused })
	time.Sleep(2*LeaseTTL + time.Duration(c.rand(int(LeaseTTL))))
	c.rejoin(paused)
	c.see(func(n *node) bool { return n != victim })
	paused.start()
	time.Sleep(time.Until(end))
}

// dead tells whether a node's process has ended.
func (c *chaos) dead(n *node) bool {
	if n != c.nodes[0] {
		return false
	}
	_, cut := c.cut.Load(n.member.PeerAddress)
	return cut
}

// refused turns a refusal into an outcome.
func refused(err error) seen {
	if refusal, ok := fault.AsRefusal(err); ok && refusal.Execution == fault.NotRun {
		return seen{kind: sawNotRun}
	}
	return seen{kind: sawUnknown}
}

// tryClaim is an attempt at a non-idempotent request.
func (c *chaos) tryClaim(n *node, key Key) seen {
	if c.dead(n) {
		return seen{kind: sawUnknown}
	}
	result, err := n.claims.Claim(c.t.Context(), key, testHash, "h", time.Now().Add(3*time.Second))
	switch {
	case err != nil:
		return refused(err)
	case result.Kind == ClaimStored:
		return seen{sawAnswer, string(result.Stored.Chunks[0])}
	case result.Kind == ClaimJoin:
		return seen{kind: sawResume}
	}
	c.nap(4 * time.Second) // now and then past the deadline
	if c.dead(n) {
		return seen{kind: sawUnknown}
	}
	if err := result.Claim.Dispatch(); err != nil {
		return refused(err)
	}
	value := fmt.Sprint(c.ops.Add(1))
	c.nap(time.Second)
	if !c.dead(n) {
		_ = result.Claim.Complete(c.t.Context(), storedAnswer(value))
	}
	return seen{sawSent, value}
}

// tryKeyed is an attempt at a keyed idempotent request.
func (c *chaos) tryKeyed(n *node, key Key) seen {
	if c.dead(n) {
		return seen{kind: sawUnknown}
	}
	r := &keyedRequest{world: c.world, forwarder: n, key: key}
	decision := c.settleDecision(r)
	switch decision.Kind {
	case DecideRun:
		return c.runTicket(r, decision.Ticket)
	case DecideJoin:
		return c.follow(decision.Answer)
	case DecideResume:
		return seen{kind: sawResume}
	default:
		return refused(decision.Refusal)
	}
}

// settleDecision asks until there is a decision, for a few seconds.
func (c *chaos) settleDecision(r *keyedRequest) (decision Decision) {
	for range 20 {
		decision = r.ask(r.forwarder)
		if decision.Kind != DecideWait || c.dead(r.forwarder) {
			break
		}
		time.Sleep(settleRetry)
	}
	return decision
}

func (c *chaos) runTicket(r *keyedRequest, ticket *Ticket) seen {
	c.nap(5 * time.Second)
	ctx, cancel := context.WithTimeout(c.t.Context(), 4*time.Second)
	defer cancel()
	keyOwner := c.keyOwnerOf(ticket)
	if c.dead(keyOwner) {
		return seen{kind: sawUnknown}
	}
	if err := ticket.Dispatch(ctx, targetSite); err != nil {
		return refused(err)
	}
	value := fmt.Sprint(c.ops.Add(1))
	if c.rand(2) == 0 && !c.dead(r.forwarder) {
		r.forwarder.forwards.Dispatched(r.key, targetSite)
	}
	c.nap(2 * time.Second)
	_ = ticket.Answer().Append(ctx, answer.Chunk{ID: 1, Data: []byte(value)})
	ticket.Answer().End(answer.Complete)
	ticket.Finish()
	return seen{sawSent, value}
}

func (c *chaos) keyOwnerOf(ticket *Ticket) *node {
	for _, n := range c.nodes {
		if n.ledger == ticket.ledger {
			return n
		}
	}
	return nil
}

// follow reads another attempt's answer to its end.
func (c *chaos) follow(a *answer.Answer) seen {
	ctx, cancel := context.WithTimeout(c.t.Context(), 10*time.Second)
	defer cancel()
	reader := a.Follow(0)
	defer reader.Close()
	chunk, err := reader.Next(ctx)
	if err != nil {
		return refused(err)
	}
	return seen{sawAnswer, string(chunk.Data)}
}

func TestHistoriesOfConcurrentAttempts(t *testing.T) {
	grades := map[string]func(*chaos) func(*node, Key) seen{
		"claims": func(c *chaos) func(*node, Key) seen { return c.tryClaim },
		"ledger": func(c *chaos) func(*node, Key) seen { return c.tryKeyed },
	}
	const seeds = 8
	for name, grade := range grades {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			total := make(map[outcomeKind]int)
			for seed := range uint64(seeds) {
				inWorld(t, 5, func(t *testing.T, w *world) {
					c := newChaos(w, seed)
					c.run(75*time.Second, grade(c))
					result := porcupine.CheckOperations(onceRegister, c.history.ops)
					assert.Assert(t, result, "seed %d", seed)
					for kind, count := range c.history.counts() {
						total[kind] += count
					}
				})
			}
			t.Logf("outcomes over %d seeds: %v", seeds, total)
			assert.Assert(t, total[sawSent] > 0 && total[sawAnswer] > 0, "%v", total)
		})
	}
}
