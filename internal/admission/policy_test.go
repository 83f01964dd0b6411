package admission

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/routing"
)

// policies are those weighed in docs/design/pressure.md.
func policies() []routing.Policy {
	return []routing.Policy{
		routing.RoundRobin{},
		routing.LeastTokens{},
		routing.TwoChoices{},
		routing.ExpectedWait{},
		routing.ExpectedWait{MaxRelativeLoad: routing.DefaultMaxRelativeLoad},
		routing.ExpectedWait{MaxRelativeLoad: routing.DefaultMaxRelativeLoad, ReuseWeight: 2},
		routing.DefaultPolicy(),
		routing.ExpectedWait{MaxRelativeLoad: routing.DefaultMaxRelativeLoad, ReuseWeight: 8},
		routing.ExpectedWait{MaxRelativeLoad: routing.DefaultMaxRelativeLoad, ReuseWeight: 12},
		routing.ExpectedWait{MaxRelativeLoad: 100, ReuseWeight: 5},
		routing.PreferDomain{Inner: routing.DefaultPolicy(), MaxRelativeLoad: 1},
	}
}

// policyFigures sums up one run.
type policyFigures struct {
	goodput, firstTokenP95, prefilled, near float64
}

// conversations is the number of prompts that share prefixes, and turnBlocks
// the blocks by which each turn prolongs one.
const (
	conversations = 60
	turnBlocks    = 4
	openingBlocks = 12
	maxTurns      = 8
)

// converse lets turns of conversations arrive for 40 s, of which a target
// slows to a tenth in the third quarter.
func (w *world) converse(perSec float64) {
	turns := make([]int, conversations)
	for tick := range 8000 {
		w.engines[0].slow = 1
		if tick >= 4000 && tick < 6000 {
			w.engines[0].slow = 10
		}
		if w.rand.Float64() < perSec*worldPace.Seconds() {
			i := w.rand.IntN(conversations)
			blocks := openingBlocks + turnBlocks*turns[i]
			turns[i] = (turns[i] + 1) % maxTurns
			prefix := make([]uint64, blocks)
			for b := range prefix {
				prefix[b] = uint64(i*1000 + b + 1)
			}
			domain := []string{"a", "b"}[w.rand.IntN(2)]
			r := Request{
				Pool: "pool", Route: "chat", Account: "chat", PromptTokens: blocks * prefixBlockTokens,
				Prefix: prefix, FailureDomain: domain, Deadline: w.clock.Now().Add(6 * time.Second),
			}
			w.submit(w.nodes[w.rand.IntN(len(w.nodes))], r, 20+w.rand.IntN(160))
		}
		w.step()
	}
	w.engines[0].slow = 1
	w.run(10*time.Second, nil)
}

func measurePolicy(b testing.TB, policy routing.Policy, seed uint64) policyFigures {
	engines := twoGenerations()
	for i, e := range engines {
		e.prefill = e.decode / 20
		e.domain = []string{"a", "b"}[i%2]
	}
	w := newWorldWith(b, policy, seed, 2, engines...)
	w.advance(time.Second)
	from := w.clock.Now()
	w.converse(16)
	var f policyFigures
	f.goodput, _ = w.goodput(0, from, w.clock.Now())
	var firsts []float64
	near := 0
	for _, j := range w.jobs {
		if j.state != jobComplete {
			continue
		}
		firsts = append(firsts, (j.sent.Sub(j.born)+j.first).Seconds()*1000)
		if w.engine(j).domain == j.r.FailureDomain {
			near++
		}
	}
	slices.Sort(firsts)
	f.firstTokenP95 = firsts[len(firsts)*95/100]
	f.prefilled = float64(w.prefilled) / float64(w.prefilled+w.reused)
	f.near = float64(near) / float64(len(firsts))
	return f
}

// BenchmarkPolicies compares the policies on the same arrivals, seeds 1 to 5:
// go test -run xxx -bench Policies -benchtime 1x ./internal/admission
func BenchmarkPolicies(b *testing.B) {
	const seeds = 5
	for i, policy := range policies() {
		b.Run(fmt.Sprintf("%d_%s", i, policy.Name()), func(b *testing.B) {
			var sum policyFigures
			for range b.N {
				sum = policyFigures{}
				for seed := uint64(1); seed <= seeds; seed++ {
					f := measurePolicy(b, policy, seed)
					sum.goodput += f.goodput / seeds
					sum.firstTokenP95 += f.firstTokenP95 / seeds
					sum.prefilled += f.prefilled / seeds
					sum.near += f.near / seeds
				}
			}
			b.ReportMetric(sum.goodput, "goodput")
			b.ReportMetric(sum.firstTokenP95, "first-token-p95-ms")
			b.ReportMetric(sum.prefilled, "prefilled-share")
			b.ReportMetric(sum.near, "near-share")
		})
	}
}
