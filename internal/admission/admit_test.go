package admission

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/fault"
	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func single(t testing.TB, targets ...tables.Target) (*cluster, *node) {
	c := newCluster(t, 1, targets...)
	c.advance(50 * time.Millisecond)
	return c, c.nodes[0]
}

func admit(t *testing.T, n *node, r Request) *Grant {
	t.Helper()
	r.Pool = "pool"
	g, err := n.Admit(t.Context(), &r)
	assert.NilError(t, err)
	return g
}

func TestAdmitWaitsForRoomAndObeysItsContext(t *testing.T) {
	_, n := single(t, slots("t0", 1))
	g := admit(t, n, Request{})
	ctx, cancel := context.WithCancel(t.Context())
	var group conc.WaitGroup
	var err error
	group.Go(func() { _, err = n.Admit(ctx, &Request{Pool: "pool"}) })
	cancel()
	group.Wait()
	assert.Assert(t, errors.Is(err, context.Canceled))
	var second *Grant
	group.Go(func() { second, err = n.Admit(context.Background(), &Request{Pool: "pool"}) })
	g.Finish(Outcome{Kind: Complete})
	group.Wait()
	assert.NilError(t, err)
	second.Finish(Outcome{Kind: Complete})
	second.Finish(Outcome{Kind: Complete})
	assert.Equal(t, n.target("t0").runningSlots.Load(), int64(0))
}

func TestDrainGivesWaitingRequestsBack(t *testing.T) {
	_, n := single(t, slots("t0", 1))
	g := admit(t, n, Request{})
	p := n.enter(&Request{Pool: "pool"})
	assert.Equal(t, n.Drain(), 1)
	assert.Assert(t, errors.Is(p.poll().err, ErrDraining))
	_, err := n.Admit(t.Context(), &Request{Pool: "pool"})
	assert.Assert(t, errors.Is(err, ErrDraining))
	g.Finish(Outcome{Kind: Complete})
}

func TestARequestThatStaysWaitsOnThroughDrain(t *testing.T) {
	_, n := single(t, slots("t0", 1))
	g := admit(t, n, Request{})
	p := n.enter(&Request{Pool: "pool", WaitThroughDrain: true})
	assert.Equal(t, n.Drain(), 0)
	g.Finish(Outcome{Kind: Complete})
	granted := p.poll()
	assert.NilError(t, granted.err)
	granted.grant.Finish(Outcome{Kind: Complete})
}

func TestRunEndsWithItsContext(t *testing.T) {
	c, n := single(t, slots("t0", 1))
	ctx, cancel := context.WithCancel(t.Context())
	var group conc.WaitGroup
	group.Go(func() { n.Run(ctx) })
	cancel()
	c.clock.Advance(time.Second)
	group.Wait()
}

func TestRefusalAtTheEndOfTheWait(t *testing.T) {
	c, n := single(t, slots("t0", 1))
	admit(t, n, Request{Tier: 0})
	p := n.enter(&Request{Pool: "pool", Tier: 1, QueueDeadline: c.clock.Now().Add(100 * time.Millisecond)})
	c.advance(50 * time.Millisecond)
	assert.Assert(t, p.poll().refusal == nil)
	c.advance(100 * time.Millisecond)
	refusal := p.poll().refusal
	assert.Assert(t, refusal != nil)
	assert.Equal(t, refusal.Run, fault.NotRun)
	assert.Equal(t, refusal.Step, fault.StepWait)
	assert.Equal(t, refusal.Status, 504)
	assert.Assert(t, refusal.RetryAfter >= time.Second)
}

func TestRetriesAreBounded(t *testing.T) {
	_, n := single(t, slots("t0", 100), slots("t1", 100))
	avoid := map[string]bool{"t0": true}
	refused := 0
	for range 50 {
		p := n.enter(&Request{Pool: "pool", ExcludedTargets: avoid})
		if p.err != nil {
			refused++
			continue
		}
		assert.Equal(t, p.grant.Target().Name, "t1")
	}
	assert.Equal(t, refused, 40)
}

func TestFailingTargetIsEjectedAndTriedGently(t *testing.T) {
	c, n := single(t, slots("bad", 10), slots("good", 10))
	bad := n.target("bad")
	for range 3 {
		g := admit(t, n, Request{ExcludedTargets: nil})
		for g.Target().Name != "bad" {
			g = admit(t, n, Request{})
		}
		g.Finish(Outcome{Kind: NotSent})
	}
	assert.Assert(t, bad.ejected.Load())
	assert.Assert(t, n.target("good").ejected.Load() == false)
	c.advance(1100 * time.Millisecond)
	assert.Assert(t, !bad.ejected.Load())
	assert.Equal(t, bad.reentry.Load(), int64(1))
}

func TestHalfOfAPoolIsNeverEjected(t *testing.T) {
	_, n := single(t, slots("t0", 50), slots("t1", 50))
	for range 40 {
		admit(t, n, Request{}).Finish(Outcome{Kind: Failed})
	}
	assert.Assert(t, !n.target("t0").ejected.Load() || !n.target("t1").ejected.Load())
}

func TestLeavingTargetTakesNoMore(t *testing.T) {
	_, n := single(t, slots("t0", 4), slots("t1", 4))
	first := admit(t, n, Request{})
	first.Finish(Outcome{Kind: Leaving})
	for range 4 {
		assert.Assert(t, admit(t, n, Request{}).Target().Name != first.Target().Name)
	}
}

func TestTokensBoundATarget(t *testing.T) {
	target := slots("t0", 10)
	target.KVTokens = 1000
	c, n := single(t, target)
	admit(t, n, Request{PromptTokens: 500, OutputTokens: 100})
	large := n.enter(&Request{Pool: "pool", PromptTokens: 600, OutputTokens: 100})
	small := n.enter(&Request{Pool: "pool", Tier: 1, PromptTokens: 10, OutputTokens: 10})
	c.advance(100 * time.Millisecond)
	assert.Assert(t, large.poll().grant == nil)
	assert.Assert(t, small.poll().grant == nil, "a small request passed a large one of a higher tier")
}

func TestProgressCorrectsTheReservation(t *testing.T) {
	target := slots("t0", 10)
	target.KVTokens = 10_000
	_, n := single(t, target)
	g := admit(t, n, Request{PromptTokens: 100})
	before := n.target("t0").runningTokens.Load()
	g.ReportProgress(2000)
	assert.Assert(t, n.target("t0").runningTokens.Load() > max(before, 2100))
	g.Finish(Outcome{Kind: Complete, OutputTokens: 2000})
	assert.Equal(t, n.target("t0").runningTokens.Load(), int64(0))
	assert.Equal(t, n.target("t0").outstanding.Load(), int64(0))
}

// pinned is a Versions that sends all to one version.
type pinned string

func (p pinned) Pick(string, string, tables.Tier, bool, float64) string { return string(p) }

func (p pinned) Usable(_, version string) bool { return version == string(p) }

func TestVersionsLimitTheTargets(t *testing.T) {
	other := slots("t1", 10)
	other.Version = "v2"
	_, n := single(t, slots("t0", 10), other)
	n.options.VersionSelector = pinned("v2")
	for range 10 {
		assert.Equal(t, admit(t, n, Request{}).Target().Name, "t1")
	}
}

// State grows with accounts that wait, not with accounts seen.
func TestIdleAccountsLeaveNoState(t *testing.T) {
	c, n := single(t, slots("t0", 1))
	var all []*pending
	for i := range 5000 {
		account := string(rune('a'+i%26)) + time.Duration(i).String()
		all = append(all, n.enter(&Request{Pool: "pool", Account: account}))
	}
	p := n.pool("pool", c.clock.Now())
	for done := 0; done < len(all); {
		for _, one := range all {
			if one.poll().grant != nil {
				one.grant.Finish(Outcome{Kind: Complete})
				one.grant, one.ticket = nil, nil
				done++
			}
		}
	}
	c.advance(50 * time.Millisecond)
	assert.Equal(t, len(p.queue.tiers[0].flows), 0)
}

func BenchmarkAdmitFinish(b *testing.B) {
	var targets []tables.Target
	for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"} {
		targets = append(targets, slots(name, 1000))
	}
	_, n := single(b, targets...)
	r := Request{Pool: "pool", Route: "r", Account: "a", PromptTokens: 100}
	outcome := Outcome{Kind: Complete, PromptTokens: 100, OutputTokens: 50, Duration: time.Second}
	ctx := context.Background()
	b.ReportAllocs()
	for b.Loop() {
		g, err := n.Admit(ctx, &r)
		if err != nil {
			b.Fatal(err)
		}
		g.Finish(outcome)
	}
}
