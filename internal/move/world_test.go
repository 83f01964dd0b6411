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
	poolName    = "runners"
	oldVersion  = "v1"
	newVersion  = "v2"
	moveTime    = 20 * time.Minute
	entryCount  = 3
	requestRate = 40.0 // a second
)

// routes of the world; the weights are parts of the requests.
var worldRoutes = []struct {
	tables.Route
	weight float64
	prompt float64
}{
	{tables.Route{Name: "tag", Pool: poolName, Tier: 3, Idempotent: true}, 0.5, 300},
	{tables.Route{Name: "quick", Pool: poolName, Tier: 1, Idempotent: true}, 0.3, 150},
	{tables.Route{Name: "audit", Pool: poolName, Tier: 0, Idempotent: true}, 0.18, 3000},
	{tables.Route{Name: "cancel", Pool: poolName, Tier: 1, Idempotent: false}, 0.02, 100},
}

// machine is one target with its true behaviour.
type machine struct {
	tables.Target
	generation string
	speed      float64
	running    int
	served     int
	firstAt    time.Duration
	downUntil  time.Duration
	crashes    int
}

// flight is a request on its way.
type flight struct {
	end     time.Duration
	entry   int
	machine *machine
	crashes int
	outcome evidence.Observation
}

type flights []*flight

func (f flights) Len() int           { return len(f) }
func (f flights) Less(i, j int) bool { return f[i].end < f[j].end }
func (f flights) Swap(i, j int)      { f[i], f[j] = f[j], f[i] }
func (f *flights) Push(x any)        { *f = append(*f, x.(*flight)) }
func (f *flights) Pop() any {
	old := *f
	last := old[len(old)-1]
	*f = old[:len(old)-1]
	return last
}

// world drives several managers over in-memory parts and a fake clock.
type world struct {
	rng      *rand.Rand
	clock    *clockwork.FakeClock
	start    time.Time
	now      time.Duration
	network  *peer.Network
	memory   *platform.Memory
	viewers  []*membership.Static
	rumors   []*membership.LocalRumors
	managers []*Manager
	machines []*machine
	config   *tables.Tables
	flying   flights
	bad      badness
	trouble  trouble
	naive    *naivePolicy
	outage   bool
	// rate is the number of requests a second.
	rate float64
	dead map[int]bool

	// sent counts requests; hurt those sent to the new version while it was
	// bad; late those sent to it over a second after it was taken back.
	sent, hurt, late int
	backAt           time.Duration
}

func newWorld(seed uint64, bad badness, what trouble) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 7)), clock: clockwork.NewFakeClock(),
		network: peer.NewNetwork(), memory: platform.NewMemory(),
		rate: requestRate, bad: bad, trouble: what, backAt: -1, dead: make(map[int]bool),
	}
	w.start = w.clock.Now()
	w.memory.Fault = func(context.Context, string) error {
		if w.outage {
			return platform.ErrUnavailable
		}
		return nil
	}
	w.addMachines(int(4+seed%5), int(2+seed%3))
	w.setConfig(1, oldVersion, time.Time{})
	var members []membership.Member
	for i := range entryCount {
		members = append(members, membership.Member{
			Name: fmt.Sprintf("entry-%d", i), PeerAddress: fmt.Sprintf("10.0.0.%d:1", i+1), Incarnation: 1,
		})
	}
	for i := range entryCount {
		w.addEntry(i, members)
	}
	membership.Join(w.rumors...)
	return w
}

func (w *world) addEntry(i int, members []membership.Member) {
	var others []membership.Member
	others = append(others, members[:i]...)
	others = append(others, members[i+1:]...)
	viewer, rumors := membership.NewStatic(members[i], others...), membership.NewLocalRumors()
	bus := w.network.Bus(members[i].PeerAddress)
	m := New(Options{
		Viewer: viewer, Bus: bus, Rumors: rumors, Table: w.memory, Clock: w.clock,
		Config: func() *tables.Tables { return w.config }, UsableTargets: w.usable,
		Rand: rand.New(rand.NewPCG(uint64(i), 1)), Logger: zap.NewNop(),
	})
	_ = bus.Start()
	w.viewers, w.rumors, w.managers = append(w.viewers, viewer), append(w.rumors, rumors), append(w.managers, m)
}

func (w *world) addMachines(each, domains int) {
	for i := range 2 * each {
		version, index := oldVersion, i
		if i >= each {
			version, index = newVersion, i-each
		}
		generation, speed := "a", 1.0
		if index%4 == 3 {
			generation, speed = "b", 1.6
		}
		w.machines = append(w.machines, &machine{
			Target: tables.Target{
				Name: fmt.Sprintf("t%d", i), Version: version, Slots: 64,
				FailureDomain: fmt.Sprintf("d%d", index%domains),
			},
			generation: generation, speed: speed * math.Exp(0.05*w.rng.NormFloat64()),
		})
	}
}

func (w *world) setConfig(version uint64, name string, deadline time.Time) {
	config := &tables.Tables{Version: version}
	for _, r := range worldRoutes {
		config.Routes = append(config.Routes, r.Route)
	}
	pool := tables.Pool{Name: poolName, Kind: tables.KindEngine, Version: name, Deadline: deadline}
	for _, m := range w.machines {
		pool.Targets = append(pool.Targets, m.Target)
	}
	config.Pools = []tables.Pool{pool}
	w.config = config
}

func (w *world) usable(string) []tables.Target {
	var found []tables.Target
	for _, m := range w.machines {
		if w.now >= m.downUntil {
			found = append(found, m.Target)
		}
	}
	return found
}

const worldTick = 250 * time.Millisecond

// run advances the world until the time, or until stop says so.
func (w *world) run(until time.Duration, stop func() bool) {
	for w.now < until && !stop() {
		w.outage = w.trouble.table && w.trouble.during(w.now)
		w.arrivals()
		w.now += worldTick
		w.clock.Advance(worldTick)
		w.finish()
		for i, m := range w.managers {
			if w.dead[i] || w.naive != nil {
				continue
			}
			m.tick()
			if w.now%tablePeriod == 0 {
				m.tableTick(context.Background())
			}
		}
		w.noteTakenBack()
	}
}

// noteTakenBack notes when the first instance took the version back.
func (w *world) noteTakenBack() {
	if w.backAt >= 0 {
		return
	}
	for i, m := range w.managers {
		if !w.dead[i] && w.naive == nil && !m.Usable(poolName, newVersion) {
			w.backAt = w.now
		}
	}
}

func (w *world) arrivals() {
	for at := w.now + w.gap(); at < w.now+worldTick; at += w.gap() {
		w.send(at)
	}
}

func (w *world) gap() time.Duration {
	return time.Duration(w.rng.ExpFloat64() / w.rate * float64(time.Second))
}

func (w *world) send(at time.Duration) {
	entry := w.rng.IntN(entryCount)
	if w.dead[entry] {
		return
	}
	route := w.route()
	r := &worldRoutes[route]
	var version string
	if w.naive != nil {
		version = w.naive.pick(at, w.rng.Float64())
	} else {
		version = w.managers[entry].Pick(poolName, r.Name, r.Tier, r.Idempotent, w.rng.Float64())
	}
	m := w.machine(at, version)
	if m == nil {
		return
	}
	w.sent++
	if m.Version == newVersion {
		w.noteHurt(m, at)
	}
	heap.Push(&w.flying, w.flight(at, entry, route, m))
	m.running++
	m.served++
}

func (w *world) route() int {
	u := w.rng.Float64()
	for i := range worldRoutes {
		if u -= worldRoutes[i].weight; u < 0 {
			return i
		}
	}
	return 0
}

// machine returns the least loaded of two machines of the version.
func (w *world) machine(at time.Duration, version string) *machine {
	var fit []*machine
	for _, m := range w.machines {
		if (version == "" || m.Version == version) && at >= m.downUntil {
			fit = append(fit, m)
		}
	}
	if len(fit) == 0 {
		return nil
	}
	a, b := fit[w.rng.IntN(len(fit))], fit[w.rng.IntN(len(fit))]
	if b.running < a.running {
		return b
	}
	return a
}

func (w *world) noteHurt(m *machine, at time.Duration) {
	if m.firstAt == 0 {
		m.firstAt = at
	}
	if w.bad.shows(m, at) {
		w.hurt++
	}
	if w.backAt >= 0 && at > w.backAt+time.Second {
		w.late++
	}
}

// flight draws the outcome of a request.
func (w *world) flight(at time.Duration, entry, route int, m *machine) *flight {
	r := &worldRoutes[route]
	prompt := int(r.prompt * math.Exp(0.6*w.rng.NormFloat64()))
	cached := 0
	if w.rng.Float64() < 0.7*min(float64(m.served)/300, 1) || m.Version == oldVersion && w.rng.Float64() < 0.7 {
		cached = prompt * 9 / 10
	}
	output := 20 + w.rng.IntN(80)
	slow := m.speed * w.trouble.slowness(m, at)
	first := 0.030 + 0.0001*float64(prompt-cached)
	token := 0.015 * (1 + 0.03*float64(m.running))
	if m.Version == newVersion {
		badFirst, badToken := w.bad.slowness(m, at)
		first, token = first*badFirst, token*badToken
	}
	first *= slow * math.Exp(0.15*w.rng.NormFloat64())
	token *= slow * math.Exp(0.10*w.rng.NormFloat64())
	o := evidence.Observation{
		Pool: poolName, Version: m.Version, Route: r.Name, Target: m.Name, FailureDomain: m.FailureDomain,
		Generation: m.generation, Tier: r.Tier, TimeToFirstToken: seconds(first),
		TotalDuration: seconds(first + token*float64(output-1)), PromptTokens: prompt, CachedTokens: cached,
		OutputTokens: output, RunningRequests: m.running,
	}
	u := w.rng.Float64()
	kind := evidence.FailureNone
	if m.Version == newVersion {
		kind = w.bad.failure(m, at, r.Name, u)
	}
	if kind == evidence.FailureNone && u < 0.002+w.trouble.failures(m, at) {
		kind = evidence.FailureBadResponse
	}
	o.Failure, o.Failed = kind, kind != evidence.FailureNone
	end := at + o.TotalDuration
	if o.Failed {
		end = at + o.TimeToFirstToken
	}
	return &flight{end, entry, m, m.crashes, o}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// finish reports the requests that ended and crashes targets that shall.
func (w *world) finish() {
	for _, m := range w.machines {
		if m.Version == newVersion && w.bad.crashes(m, w.now) {
			m.crashes++
			m.firstAt, m.downUntil = 0, w.now+20*time.Second
		}
	}
	for len(w.flying) > 0 && w.flying[0].end <= w.now {
		f := heap.Pop(&w.flying).(*flight)
		f.machine.running--
		if f.crashes != f.machine.crashes {
			f.outcome.Failed, f.outcome.Failure = true, evidence.FailureConnectionLost
		}
		if w.naive != nil {
			w.naive.observe(w.now, &f.outcome)
		} else if !w.dead[f.entry] {
			w.managers[f.entry].Observe(f.outcome)
		}
	}
}
