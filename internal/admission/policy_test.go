package admission

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/routing"
)

// policies are those compared in docs/design/pressure.md.
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

// policyResult summarizes one run.
type policyResult struct {
	goodput, firstTokenP95, prefilledShare, sameDomainShare float64
}

// conversations is the number of conversations. The prompts of one share a prefix,
// which grows by turnBlocks with each turn.
const (
	conversations = 60
	turnBlocks    = 4
	openingBlocks = 12
	maxTurns      = 8
)

// runConversations submits turns of conversations for 40 s. In the third quarter
// one target runs at a tenth of its speed.
func (sim *simulation) runConversations(perSec float64) {
	turns := make([]int, conversations)
	for tick := range 8000 {
		sim.engines[0].slowdown = 1
		if tick >= 4000 && tick < 6000 {
			sim.engines[0].slowdown = 10
		}
		if sim.rand.Float64() < perSec*simStep.Seconds() {
			i := sim.rand.IntN(conversations)
			blocks := openingBlocks + turnBlocks*turns[i]
			turns[i] = (turns[i] + 1) % maxTurns
			prefix := make([]uint64, blocks)
			for b := range prefix {
				prefix[b] = uint64(i*1000 + b + 1)
			}
			domain := []string{"a", "b"}[sim.rand.IntN(2)]
			r := Request{
				Pool: "pool", Route: "chat", Account: "chat", PromptTokens: blocks * prefixBlockTokens,
				PrefixHashes: prefix, FailureDomain: domain, Deadline: sim.clock.Now().Add(6 * time.Second),
			}
			sim.submit(sim.nodes[sim.rand.IntN(len(sim.nodes))], r, 20+sim.rand.IntN(160))
		}
		sim.step()
	}
	sim.engines[0].slowdown = 1
	sim.run(10*time.Second, nil)
}

func measurePolicy(b testing.TB, policy routing.Policy, seed uint64) policyResult {
	engines := mixedSpeedEngines()
	for i, e := range engines {
		e.prefill = e.decode / 20
		e.domain = []string{"a", "b"}[i%2]
	}
	sim := newSimulationWithPolicy(b, policy, seed, 2, engines...)
	sim.advance(time.Second)
	from := sim.clock.Now()
	sim.runConversations(16)
	var result policyResult
	result.goodput, _ = sim.goodput(0, from, sim.clock.Now())
	var firstTokens []float64
	sameDomain := 0
	for _, j := range sim.jobs {
		if j.state != simComplete {
			continue
		}
		firstTokens = append(firstTokens, (j.startedAt.Sub(j.arrivedAt)+j.firstToken).Seconds()*1000)
		if sim.engine(j).domain == j.r.FailureDomain {
			sameDomain++
		}
	}
	slices.Sort(firstTokens)
	result.firstTokenP95 = firstTokens[len(firstTokens)*95/100]
	result.prefilledShare = float64(sim.prefilled) / float64(sim.prefilled+sim.reused)
	result.sameDomainShare = float64(sameDomain) / float64(len(firstTokens))
	return result
}

// BenchmarkPolicies compares the policies on the same arrivals, seeds 1 to 5:
// go test -run xxx -bench Policies -benchtime 1x ./internal/admission
func BenchmarkPolicies(b *testing.B) {
	const seeds = 5
	for i, policy := range policies() {
		b.Run(fmt.Sprintf("%d_%s", i, policy.Name()), func(b *testing.B) {
			var sum policyResult
			for range b.N {
				sum = policyResult{}
				for seed := uint64(1); seed <= seeds; seed++ {
					f := measurePolicy(b, policy, seed)
					sum.goodput += f.goodput / seeds
					sum.firstTokenP95 += f.firstTokenP95 / seeds
					sum.prefilledShare += f.prefilledShare / seeds
					sum.sameDomainShare += f.sameDomainShare / seeds
				}
			}
			b.ReportMetric(sum.goodput, "goodput")
			b.ReportMetric(sum.firstTokenP95, "first-token-p95-ms")
			b.ReportMetric(sum.prefilledShare, "prefilled-share")
			b.ReportMetric(sum.sameDomainShare, "near-share")
		})
	}
}
