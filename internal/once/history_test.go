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

// outputKind is the outcome of one attempt, as observed by its caller or the
// target.
type outputKind string

const (
	// outputSent means that the attempt was sent to the target.
	outputSent outputKind = "sent"
	// outputAnswer means that the attempt received the complete answer of
	// another.
	outputAnswer outputKind = "answer"
	// outputNotRun, outputUnknown and outputResume are compatible with any
	// state.
	outputNotRun  outputKind = "not_run"
	outputUnknown outputKind = "unknown"
	outputResume  outputKind = "resume"
)

// attemptOutput is the output of one attempt; its input is the key.
type attemptOutput struct {
	kind outputKind
	// value is unique to the attempt that was sent.
	value string
}

// atMostOnceModel is the sequential specification: for each key at most one
// attempt is sent, and every answer is that of this attempt.
var atMostOnceModel = porcupine.Model{
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
		out := output.(attemptOutput)
		switch out.kind {
		case outputSent:
			return state == "", out.value
		case outputAnswer:
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

// record runs an attempt and records its call, return and output.
func (h *history) record(key Key, attempt func() attemptOutput) {
	called := h.clock.Add(1)
	out := attempt()
	returned := h.clock.Add(1)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{Input: key, Call: called, Output: out, Return: returned})
}

// counts returns how often each outcome occurred.
func (h *history) counts() map[outputKind]int {
	counts := make(map[outputKind]int)
	for _, op := range h.ops {
		counts[op.Output.(attemptOutput).kind]++
	}
	return counts
}

// chaosRun is one run of concurrent attempts at all nodes, with injected
// faults.
type chaosRun struct {
	*testCluster
	history history
	rand    func(n int) int
	sends   atomic.Int64
}

func newChaosRun(cluster *testCluster, seed uint64) *chaosRun {
	source := rand.New(rand.NewPCG(seed, 0))
	var mu sync.Mutex
	c := &chaosRun{testCluster: cluster, rand: func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return source.IntN(n)
	}}
	delay := func() {
		if c.rand(50) == 0 {
			c.sleepUpTo(2 * callTimeout)
		}
		c.sleepUpTo(30 * time.Millisecond)
	}
	cluster.onMessage.Store(&delay)
	return c
}

// sleepUpTo sleeps for a random time below d.
func (c *chaosRun) sleepUpTo(d time.Duration) { time.Sleep(time.Duration(c.rand(int(d)))) }

// run makes attempts from several callers while faults are injected.
func (c *chaosRun) run(d time.Duration, attempt func(*node, Key) attemptOutput) {
	end := time.Now().Add(d)
	var group conc.WaitGroup
	for caller := range 6 {
		group.Go(func() {
			for i := 0; time.Now().Before(end); i++ {
				c.sleepUpTo(4 * time.Second)
				n := c.nodes[c.rand(len(c.nodes))]
				key := Key{Account: "acme", Key: fmt.Sprint(caller/2, "/", i/3)}
				c.history.record(key, func() attemptOutput { return attempt(n, key) })
			}
		})
	}
	group.Go(func() { c.injectPlatformFaults(end) })
	group.Go(func() { c.injectNodeFaults(end) })
	group.Wait()
}

// injectPlatformFaults sets one random platform fault after another.
func (c *chaosRun) injectPlatformFaults(end time.Time) {
	faults := []func(string) error{
		nil, nil, tableDown, loseCommitResponses, c.flaky, func(string) error { c.sleepUpTo(time.Second); return nil },
	}
	for time.Now().Before(end) {
		c.setFault(faults[c.rand(len(faults))])
		c.sleepUpTo(12 * time.Second)
	}
	c.setFault(nil)
}

// flaky fails some operations, and loses the responses to some writes.
func (c *chaosRun) flaky(operation string) error {
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

// injectNodeFaults crashes one node, and pauses another for longer than its
// lease.
func (c *chaosRun) injectNodeFaults(end time.Time) {
	c.sleepUpTo(20 * time.Second)
	crashed, paused := c.nodes[0], c.nodes[1]
	c.crashNode(crashed)
	c.sleepUpTo(10 * time.Second)
	c.isolate(paused)
	paused.stop()
	c.setViews(func(n *node) bool { return n != crashed && n != paused })
	time.Sleep(2*MaxLeaseTTL + time.Duration(c.rand(int(MaxLeaseTTL))))
	c.reconnect(paused)
	c.setViews(func(n *node) bool { return n != crashed })
	paused.start()
	time.Sleep(time.Until(end))
}

// isCrashed reports whether a node has crashed.
func (c *chaosRun) isCrashed(n *node) bool {
	if n != c.nodes[0] {
		return false
	}
	_, cut := c.unreachable.Load(n.member.PeerAddress)
	return cut
}

// refusalOutput converts a refusal into an output.
func refusalOutput(err error) attemptOutput {
	if refusal, ok := fault.AsRefusal(err); ok && refusal.Execution == fault.NotRun {
		return attemptOutput{kind: outputNotRun}
	}
	return attemptOutput{kind: outputUnknown}
}

// attemptClaim makes an attempt at a non-idempotent request.
func (c *chaosRun) attemptClaim(n *node, key Key) attemptOutput {
	if c.isCrashed(n) {
		return attemptOutput{kind: outputUnknown}
	}
	result, err := n.claims.Claim(c.t.Context(), key, testHash, "h", time.Now().Add(3*time.Second))
	switch {
	case err != nil:
		return refusalOutput(err)
	case result.Kind == ClaimStored:
		return attemptOutput{outputAnswer, string(result.Stored.Chunks[0])}
	case result.Kind == ClaimJoin:
		return attemptOutput{kind: outputResume}
	}
	c.sleepUpTo(4 * time.Second) // sometimes beyond the deadline
	if c.isCrashed(n) {
		return attemptOutput{kind: outputUnknown}
	}
	if err := result.Claim.Dispatch(); err != nil {
		return refusalOutput(err)
	}
	value := fmt.Sprint(c.sends.Add(1))
	c.sleepUpTo(time.Second)
	if !c.isCrashed(n) {
		_ = result.Claim.Complete(c.t.Context(), storedAnswer(value))
	}
	return attemptOutput{outputSent, value}
}

// attemptKeyed makes an attempt at a keyed idempotent request.
func (c *chaosRun) attemptKeyed(n *node, key Key) attemptOutput {
	if c.isCrashed(n) {
		return attemptOutput{kind: outputUnknown}
	}
	r := &keyedRequest{cluster: c.testCluster, forwarder: n, key: key}
	decision := c.awaitDecision(r)
	switch decision.Kind {
	case DecideRun:
		return c.runTicket(r, decision.Ticket)
	case DecideJoin:
		return c.follow(decision.Answer)
	case DecideResume:
		return attemptOutput{kind: outputResume}
	default:
		return refusalOutput(decision.Refusal)
	}
}

// awaitDecision requests a decision until it is final, for a few seconds.
func (c *chaosRun) awaitDecision(r *keyedRequest) (decision Decision) {
	for range 20 {
		decision = r.requestDecision(r.forwarder)
		if decision.Kind != DecideWait || c.isCrashed(r.forwarder) {
			break
		}
		time.Sleep(collectRetryInterval)
	}
	return decision
}

func (c *chaosRun) runTicket(r *keyedRequest, ticket *Ticket) attemptOutput {
	c.sleepUpTo(5 * time.Second)
	ctx, cancel := context.WithTimeout(c.t.Context(), 4*time.Second)
	defer cancel()
	keyOwner := c.nodeOf(ticket)
	if c.isCrashed(keyOwner) {
		return attemptOutput{kind: outputUnknown}
	}
	if err := ticket.Dispatch(ctx, testLocation); err != nil {
		return refusalOutput(err)
	}
	value := fmt.Sprint(c.sends.Add(1))
	if c.rand(2) == 0 && !c.isCrashed(r.forwarder) {
		r.forwarder.forwards.SetLocation(r.key, testLocation)
	}
	c.sleepUpTo(2 * time.Second)
	_ = ticket.Answer().Append(ctx, answer.Chunk{ID: 1, Data: []byte(value)})
	ticket.Answer().End(answer.Complete)
	ticket.Finish()
	return attemptOutput{outputSent, value}
}

func (c *chaosRun) nodeOf(ticket *Ticket) *node {
	for _, n := range c.nodes {
		if n.ledger == ticket.ledger {
			return n
		}
	}
	return nil
}

// follow reads the answer of another attempt to its end.
func (c *chaosRun) follow(a *answer.Answer) attemptOutput {
	ctx, cancel := context.WithTimeout(c.t.Context(), 10*time.Second)
	defer cancel()
	reader := a.Follow(0)
	defer reader.Close()
	chunk, err := reader.Next(ctx)
	if err != nil {
		return refusalOutput(err)
	}
	return attemptOutput{outputAnswer, string(chunk.Data)}
}

func TestHistoriesOfConcurrentAttempts(t *testing.T) {
	attempts := map[string]func(*chaosRun) func(*node, Key) attemptOutput{
		"claims": func(c *chaosRun) func(*node, Key) attemptOutput { return c.attemptClaim },
		"ledger": func(c *chaosRun) func(*node, Key) attemptOutput { return c.attemptKeyed },
	}
	const seeds = 8
	for name, attempt := range attempts {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			total := make(map[outputKind]int)
			for seed := range uint64(seeds) {
				runCluster(t, 5, func(t *testing.T, cluster *testCluster) {
					c := newChaosRun(cluster, seed)
					c.run(75*time.Second, attempt(c))
					result := porcupine.CheckOperations(atMostOnceModel, c.history.ops)
					assert.Assert(t, result, "history is not linearizable with seed %d", seed)
					for kind, count := range c.history.counts() {
						total[kind] += count
					}
				})
			}
			t.Logf("outcomes over %d seeds: %v", seeds, total)
			assert.Assert(t, total[outputSent] > 0 && total[outputAnswer] > 0, "want sent and answered attempts, got %v", total)
		})
	}
}
