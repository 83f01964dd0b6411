package admission

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/routing"
	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

// simStep is the time resolution of a simulation; the controllers perform a step
// every simStepsPerControllerStep simulation steps.
const (
	simStep                   = 5 * time.Millisecond
	simStepsPerControllerStep = 3
)

// engine is a fake target that runs each request at a fixed speed and refuses
// requests above its actual limit.
type engine struct {
	name            string
	prefill, decode time.Duration
	slowdown        float64
	limit           int
	pendingEvents   []routing.CacheEvent
	// listedSlots is the number of slots in the targets table; 0 means limit.
	listedSlots int
	domain      string
	cache       []uint64
	jobs        []*simJob
	peak        int
	overloads   int
}

// simJob is one request of a simulation.
type simJob struct {
	*submission
	node      *node
	r         Request
	output    int
	arrivedAt time.Time
	startedAt time.Time
	// prefillLeft is the remaining time until the first token.
	prefillLeft  time.Duration
	cachedTokens int
	firstToken   time.Duration
	outputDone   float64
	endedAt      time.Time
	state        simState
}

type simState uint8

const (
	simWaiting simState = iota
	simRunning
	simComplete
	simShed
	simPreempted
)

// simulation runs a cluster and its engines in steps of virtual time.
type simulation struct {
	*cluster
	rand    *rand.Rand
	engines []*engine
	jobs    []*simJob
	active  []*simJob
	steps   int
	// violations counts refusals while a lower tier ran on any engine.
	violations int
	// prefilled and reused count the prompt tokens computed and those taken from
	// the cache.
	prefilled, reused int
}

func newSimulation(t testing.TB, seed uint64, nodes int, engines ...*engine) *simulation {
	return newSimulationWithPolicy(t, routing.DefaultPolicy(), seed, nodes, engines...)
}

func newSimulationWithPolicy(t testing.TB, policy routing.Policy, seed uint64, nodes int, engines ...*engine) *simulation {
	var targets []tables.Target
	for _, e := range engines {
		if e.listedSlots == 0 {
			e.listedSlots = e.limit
		}
		target := targetWithSlots(e.name, e.listedSlots)
		target.KVTokens, target.FailureDomain = 200_000, e.domain
		targets = append(targets, target)
		e.slowdown = 1
	}
	sim := &simulation{
		cluster: newCluster(t, nodes, targets...),
		rand:    rand.New(rand.NewPCG(seed, seed)), engines: engines,
	}
	for _, n := range sim.nodes {
		n.options.Policy = policy
	}
	return sim
}

// submit submits a request on the node, which will produce the given output.
func (sim *simulation) submit(node *node, r Request, output int) *simJob {
	j := &simJob{node: node, r: r, output: output, arrivedAt: sim.clock.Now()}
	j.submission = node.submitRequest(&j.r)
	sim.jobs = append(sim.jobs, j)
	sim.active = append(sim.active, j)
	return j
}

// step advances the simulation by simStep.
func (sim *simulation) step() {
	sim.steps++
	if sim.steps%simStepsPerControllerStep == 0 {
		sim.advance(simStep)
	} else {
		sim.clock.Advance(simStep)
	}
	now := sim.clock.Now()
	for _, j := range sim.active {
		sim.advanceJob(j, now)
	}
	sim.active = slices.DeleteFunc(sim.active, func(j *simJob) bool { return j.state > simRunning })
	if now.UnixMilli()%eventDelay.Milliseconds() == 0 {
		sim.publishEvents()
	}
}

// eventDelay is the interval at which cache events are delivered, and eventLoss the
// share of events lost.
const (
	eventDelay = 300 * time.Millisecond
	eventLoss  = 0.2
)

func (sim *simulation) publishEvents() {
	for _, e := range sim.engines {
		for _, n := range sim.nodes {
			var delivered []routing.CacheEvent
			for _, event := range e.pendingEvents {
				if sim.rand.Float64() >= eventLoss {
					delivered = append(delivered, event)
				}
			}
			n.ReportCacheEvents(e.name, delivered)
		}
		e.pendingEvents = nil
	}
}

func (sim *simulation) advanceJob(j *simJob, now time.Time) {
	if j.state == simWaiting {
		sim.tryBegin(j, now)
	}
	if j.state != simRunning {
		return
	}
	e := sim.engine(j)
	if j.preempted() {
		sim.finish(j, simPreempted, Cancelled, now)
		return
	}
	step := time.Duration(float64(simStep) / e.slowdown)
	if j.prefillLeft > 0 {
		j.prefillLeft -= step
		if j.prefillLeft <= 0 {
			j.firstToken = now.Sub(j.startedAt)
			j.grant.ReportFirstToken()
		}
		return
	}
	j.outputDone += float64(step) / float64(e.decode)
	j.grant.ReportProgress(int(j.outputDone))
	if j.outputDone >= float64(j.output) {
		sim.finish(j, simComplete, Complete, now)
	}
}

func (sim *simulation) tryBegin(j *simJob, now time.Time) {
	j.poll()
	if j.err != nil {
		j.state, j.endedAt = simShed, now
		if sim.lowerTierRuns(j.r.Tier) {
			sim.violations++
		}
		return
	}
	if j.grant == nil {
		return
	}
	e := sim.engine(j)
	if len(e.jobs) >= e.limit {
		e.overloads++
		j.grant.Finish(Outcome{Kind: Overloaded})
		j.submission = j.node.submitRequest(&j.r)
		return
	}
	e.jobs = append(e.jobs, j)
	e.peak = max(e.peak, len(e.jobs))
	j.state, j.startedAt = simRunning, now
	j.cachedTokens = min(e.match(j.r.PrefixHashes)*prefixBlockTokens, j.r.PromptTokens)
	sim.prefilled += j.r.PromptTokens - j.cachedTokens
	sim.reused += j.cachedTokens
	j.prefillLeft = max(simStep, time.Duration(j.r.PromptTokens-j.cachedTokens)*e.prefill)
	e.store(j.r.PrefixHashes)
}

func (sim *simulation) finish(j *simJob, state simState, kind OutcomeKind, now time.Time) {
	e := sim.engine(j)
	e.jobs = slices.DeleteFunc(e.jobs, func(other *simJob) bool { return other == j })
	j.state, j.endedAt = state, now
	j.grant.Finish(Outcome{
		Kind: kind, PromptTokens: j.r.PromptTokens, CachedTokens: j.cachedTokens, OutputTokens: int(j.outputDone),
		TimeToFirstToken: j.firstToken, Duration: now.Sub(j.startedAt),
	})
}

func (sim *simulation) engine(j *simJob) *engine {
	name := j.grant.Target().Name
	i := slices.IndexFunc(sim.engines, func(e *engine) bool { return e.name == name })
	return sim.engines[i]
}

func (sim *simulation) lowerTierRuns(tier tables.Tier) bool {
	for _, e := range sim.engines {
		for _, j := range e.jobs {
			if j.r.Tier > tier {
				return true
			}
		}
	}
	return false
}

// prefixBlockTokens is the number of tokens in a block, and engineCache the number
// of blocks that an engine caches.
const (
	prefixBlockTokens = 64
	engineCache       = 1024
)

func (e *engine) match(prefix []uint64) int {
	for i, block := range prefix {
		if !slices.Contains(e.cache, block) {
			return i
		}
	}
	return len(prefix)
}

// store caches a prompt's blocks. The least recently used blocks are evicted first;
// of one prompt, the last block first.
func (e *engine) store(prefix []uint64) {
	for _, block := range prefix {
		e.cache = slices.DeleteFunc(e.cache, func(b uint64) bool { return b == block })
	}
	for i := len(prefix) - 1; i >= 0; i-- {
		e.cache = append(e.cache, prefix[i])
		e.pendingEvents = append(e.pendingEvents, routing.CacheEvent{Op: routing.CacheStored, Block: prefix[i]})
	}
	if extra := len(e.cache) - engineCache; extra > 0 {
		for _, block := range e.cache[:extra] {
			e.pendingEvents = append(e.pendingEvents, routing.CacheEvent{Op: routing.CacheEvicted, Block: block})
		}
		e.cache = e.cache[extra:]
	}
}

// goodput returns the share of a tier's requests that arrived within the window and
// completed by their deadline.
func (sim *simulation) goodput(tier tables.Tier, from, to time.Time) (share float64, count int) {
	inTime := 0
	for _, j := range sim.jobs {
		if j.r.Tier != tier || j.arrivedAt.Before(from) || !j.arrivedAt.Before(to) {
			continue
		}
		count++
		if j.state == simComplete && (j.r.Deadline.IsZero() || !j.endedAt.After(j.r.Deadline)) {
			inTime++
		}
	}
	return float64(inTime) / float64(max(1, count)), count
}
