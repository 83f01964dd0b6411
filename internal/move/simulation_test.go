package move

import (
	"container/heap"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/hibiscuspost/hibiscuspost/internal/evidence"
	"github.com/hibiscuspost/hibiscuspost/internal/membership"
	"github.com/hibiscuspost/hibiscuspost/internal/peer"
	"github.com/hibiscuspost/hibiscuspost/internal/platform"
	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

const (
	poolName          = "runners"
	oldVersion        = "v1"
	newVersion        = "v2"
	moveTime          = 20 * time.Minute
	instanceCount     = 3
	requestsPerSecond = 40.0
)

// simulatedRoutes are the routes of the simulation; a weight is a fraction of the
// requests.
var simulatedRoutes = []struct {
	tables.Route
	weight       float64
	promptTokens float64
}{
	{tables.Route{Name: "tag", Pool: poolName, Tier: 3, Idempotent: true}, 0.5, 300},
	{tables.Route{Name: "quick", Pool: poolName, Tier: 1, Idempotent: true}, 0.3, 150},
	{tables.Route{Name: "audit", Pool: poolName, Tier: 0, Idempotent: true}, 0.18, 3000},
	{tables.Route{Name: "cancel", Pool: poolName, Tier: 1, Idempotent: false}, 0.02, 100},
}

// simulatedTarget is one target with its true behavior.
type simulatedTarget struct {
	tables.Target
	generation   string
	timeFactor   float64
	running      int
	served       int
	firstRequest time.Duration
	downUntil    time.Duration
	crashes      int
}

// runningRequest is a request that has not completed yet.
type runningRequest struct {
	end      time.Duration
	instance int
	target   *simulatedTarget
	crashes  int
	outcome  evidence.Observation
}

type requestHeap []*runningRequest

func (h requestHeap) Len() int           { return len(h) }
func (h requestHeap) Less(i, j int) bool { return h[i].end < h[j].end }
func (h requestHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *requestHeap) Push(x any)        { *h = append(*h, x.(*runningRequest)) }
func (h *requestHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// simulation runs several managers with in-memory dependencies and a fake clock.
type simulation struct {
	rng              *rand.Rand
	clock            *clockwork.FakeClock
	start            time.Time
	now              time.Duration
	network          *peer.Network
	memory           *platform.Memory
	viewers          []*membership.StaticViewer
	rumors           []*membership.LocalRumors
	managers         []*Manager
	targets          []*simulatedTarget
	config           *tables.Tables
	inFlight         requestHeap
	defect           defect
	disturbance      disturbance
	fixedPolicy      *fixedThresholdPolicy
	tableUnavailable bool
	// rate is the number of requests per second.
	rate    float64
	stopped map[int]bool

	// sentRequests counts all requests; exposedRequests those to the new version
	// that its defect affects; lateRequests those to the new version over a second
	// after its rollback.
	sentRequests, exposedRequests, lateRequests int
	rolledBackAt                                time.Duration
}

func newSimulation(seed uint64, d defect, dist disturbance) *simulation {
	sim := &simulation{
		rng: rand.New(rand.NewPCG(seed, 7)), clock: clockwork.NewFakeClock(),
		network: peer.NewNetwork(), memory: platform.NewMemory(),
		rate: requestsPerSecond, defect: d, disturbance: dist, rolledBackAt: -1, stopped: make(map[int]bool),
	}
	sim.start = sim.clock.Now()
	sim.memory.InjectFault = func(context.Context, string) error {
		if sim.tableUnavailable {
			return platform.ErrUnavailable
		}
		return nil
	}
	sim.addTargets(int(4+seed%5), int(2+seed%3))
	sim.setConfig(1, oldVersion, time.Time{})
	var members []membership.Member
	for i := range instanceCount {
		members = append(members, membership.Member{
			Name: fmt.Sprintf("entry-%d", i), PeerAddress: fmt.Sprintf("10.0.0.%d:1", i+1), Incarnation: 1,
		})
	}
	for i := range instanceCount {
		sim.addInstance(i, members)
	}
	membership.ConnectLocalRumors(sim.rumors...)
	return sim
}

func (sim *simulation) addInstance(i int, members []membership.Member) {
	var others []membership.Member
	others = append(others, members[:i]...)
	others = append(others, members[i+1:]...)
	viewer, rumors := membership.NewStaticViewer(members[i], others...), membership.NewLocalRumors()
	bus := sim.network.Bus(members[i].PeerAddress)
	m := New(Options{
		Viewer: viewer, Bus: bus, Rumors: rumors, Table: sim.memory, Clock: sim.clock,
		Config: func() *tables.Tables { return sim.config }, UsableTargets: sim.usableTargets,
		Rand: rand.New(rand.NewPCG(uint64(i), 1)), Logger: zap.NewNop(),
	})
	_ = bus.Start()
	sim.viewers, sim.rumors, sim.managers = append(sim.viewers, viewer), append(sim.rumors, rumors), append(sim.managers, m)
}

func (sim *simulation) addTargets(perVersion, domains int) {
	for i := range 2 * perVersion {
		version, index := oldVersion, i
		if i >= perVersion {
			version, index = newVersion, i-perVersion
		}
		generation, timeFactor := "a", 1.0
		if index%4 == 3 {
			generation, timeFactor = "b", 1.6
		}
		sim.targets = append(sim.targets, &simulatedTarget{
			Target: tables.Target{
				Name: fmt.Sprintf("t%d", i), Version: version, Slots: 64,
				FailureDomain: fmt.Sprintf("d%d", index%domains),
			},
			generation: generation, timeFactor: timeFactor * math.Exp(0.05*sim.rng.NormFloat64()),
		})
	}
}

func (sim *simulation) setConfig(configVersion uint64, version string, deadline time.Time) {
	config := &tables.Tables{Version: configVersion}
	for _, r := range simulatedRoutes {
		config.Routes = append(config.Routes, r.Route)
	}
	pool := tables.Pool{Name: poolName, Kind: tables.KindEngine, Version: version, Deadline: deadline}
	for _, target := range sim.targets {
		pool.Targets = append(pool.Targets, target.Target)
	}
	config.Pools = []tables.Pool{pool}
	sim.config = config
}

func (sim *simulation) usableTargets(string) []tables.Target {
	var found []tables.Target
	for _, target := range sim.targets {
		if sim.now >= target.downUntil {
			found = append(found, target.Target)
		}
	}
	return found
}

const simulationTick = 250 * time.Millisecond

// run advances the simulation until the given time, or until stop returns true.
func (sim *simulation) run(until time.Duration, stop func() bool) {
	for sim.now < until && !stop() {
		sim.tableUnavailable = sim.disturbance.tableDown && sim.disturbance.activeAt(sim.now)
		sim.sendArrivals()
		sim.now += simulationTick
		sim.clock.Advance(simulationTick)
		sim.completeRequests()
		for i, m := range sim.managers {
			if sim.stopped[i] || sim.fixedPolicy != nil {
				continue
			}
			m.tick()
			if sim.now%tablePeriod == 0 {
				m.tableTick(context.Background())
			}
		}
		sim.recordRollback()
	}
}

// recordRollback records when the first instance has rolled the version back.
func (sim *simulation) recordRollback() {
	if sim.rolledBackAt >= 0 {
		return
	}
	for i, m := range sim.managers {
		if !sim.stopped[i] && sim.fixedPolicy == nil && !m.Usable(poolName, newVersion) {
			sim.rolledBackAt = sim.now
		}
	}
}

func (sim *simulation) sendArrivals() {
	for at := sim.now + sim.interarrivalTime(); at < sim.now+simulationTick; at += sim.interarrivalTime() {
		sim.send(at)
	}
}

func (sim *simulation) interarrivalTime() time.Duration {
	return time.Duration(sim.rng.ExpFloat64() / sim.rate * float64(time.Second))
}

func (sim *simulation) send(at time.Duration) {
	instance := sim.rng.IntN(instanceCount)
	if sim.stopped[instance] {
		return
	}
	route := sim.drawRoute()
	r := &simulatedRoutes[route]
	var version string
	if sim.fixedPolicy != nil {
		version = sim.fixedPolicy.pick(at, sim.rng.Float64())
	} else {
		version = sim.managers[instance].Pick(poolName, r.Name, r.Tier, r.Idempotent, sim.rng.Float64())
	}
	target := sim.drawTarget(at, version)
	if target == nil {
		return
	}
	sim.sentRequests++
	if target.Version == newVersion {
		sim.recordExposure(target, at)
	}
	heap.Push(&sim.inFlight, sim.drawRequest(at, instance, route, target))
	target.running++
	target.served++
}

func (sim *simulation) drawRoute() int {
	u := sim.rng.Float64()
	for i := range simulatedRoutes {
		if u -= simulatedRoutes[i].weight; u < 0 {
			return i
		}
	}
	return 0
}

// drawTarget returns the less loaded of two random targets of the version.
func (sim *simulation) drawTarget(at time.Duration, version string) *simulatedTarget {
	var candidates []*simulatedTarget
	for _, target := range sim.targets {
		if (version == "" || target.Version == version) && at >= target.downUntil {
			candidates = append(candidates, target)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	a, b := candidates[sim.rng.IntN(len(candidates))], candidates[sim.rng.IntN(len(candidates))]
	if b.running < a.running {
		return b
	}
	return a
}

func (sim *simulation) recordExposure(target *simulatedTarget, at time.Duration) {
	if target.firstRequest == 0 {
		target.firstRequest = at
	}
	if sim.defect.affects(target, at) {
		sim.exposedRequests++
	}
	if sim.rolledBackAt >= 0 && at > sim.rolledBackAt+time.Second {
		sim.lateRequests++
	}
}

// drawRequest draws the properties and the outcome of a request.
func (sim *simulation) drawRequest(at time.Duration, instance, route int, target *simulatedTarget) *runningRequest {
	r := &simulatedRoutes[route]
	prompt := int(r.promptTokens * math.Exp(0.6*sim.rng.NormFloat64()))
	cached := 0
	if sim.rng.Float64() < 0.7*min(float64(target.served)/300, 1) || target.Version == oldVersion && sim.rng.Float64() < 0.7 {
		cached = prompt * 9 / 10
	}
	output := 20 + sim.rng.IntN(80)
	timeFactor := target.timeFactor * sim.disturbance.slowdown(target, at)
	first := 0.030 + 0.0001*float64(prompt-cached)
	token := 0.015 * (1 + 0.03*float64(target.running))
	if target.Version == newVersion {
		firstFactor, tokenFactor := sim.defect.slowdown(target, at)
		first, token = first*firstFactor, token*tokenFactor
	}
	first *= timeFactor * math.Exp(0.15*sim.rng.NormFloat64())
	token *= timeFactor * math.Exp(0.10*sim.rng.NormFloat64())
	o := evidence.Observation{
		Pool: poolName, Version: target.Version, Route: r.Name, Target: target.Name, FailureDomain: target.FailureDomain,
		Generation: target.generation, Tier: r.Tier, TimeToFirstToken: seconds(first),
		TotalDuration: seconds(first + token*float64(output-1)), PromptTokens: prompt, CachedTokens: cached,
		OutputTokens: output, RunningRequests: target.running,
	}
	u := sim.rng.Float64()
	kind := evidence.FailureNone
	if target.Version == newVersion {
		kind = sim.defect.failure(target, at, r.Name, u)
	}
	if kind == evidence.FailureNone && u < 0.002+sim.disturbance.addedFailureRate(target, at) {
		kind = evidence.FailureBadResponse
	}
	o.Failure, o.Failed = kind, kind != evidence.FailureNone
	end := at + o.TotalDuration
	if o.Failed {
		end = at + o.TimeToFirstToken
	}
	return &runningRequest{end, instance, target, target.crashes, o}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// completeRequests crashes the targets that are due and observes the requests
// that have ended.
func (sim *simulation) completeRequests() {
	for _, target := range sim.targets {
		if target.Version == newVersion && sim.defect.crashDue(target, sim.now) {
			target.crashes++
			target.firstRequest, target.downUntil = 0, sim.now+20*time.Second
		}
	}
	for len(sim.inFlight) > 0 && sim.inFlight[0].end <= sim.now {
		request := heap.Pop(&sim.inFlight).(*runningRequest)
		request.target.running--
		if request.crashes != request.target.crashes {
			request.outcome.Failed, request.outcome.Failure = true, evidence.FailureConnectionLost
		}
		if sim.fixedPolicy != nil {
			sim.fixedPolicy.observe(sim.now, &request.outcome)
		} else if !sim.stopped[request.instance] {
			sim.managers[request.instance].Observe(request.outcome)
		}
	}
}
