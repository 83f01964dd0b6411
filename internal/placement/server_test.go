package placement

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap/zaptest"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/hibiscuspost/hibiscuspost/internal/catalog"
	"github.com/hibiscuspost/hibiscuspost/internal/schedule"
)

func engine(id string, slots int) *catalog.Target {
	return &catalog.Target{ID: id, Service: "engines", Address: id + ":1", Slots: slots, FailureDomain: "a"}
}

// desk is a coordinator whose answers are collected.
type desk struct {
	t      *testing.T
	clock  *clockwork.FakeClock
	server *Server
	away   bool

	// mu guards the fields below.
	mu      sync.Mutex
	answers map[string][]*answer
	rooms   map[string][]*room
	// takeovers, probes and alives count such messages.
	takeovers, probes, alives int
}

func newDesk(t *testing.T, targets ...*catalog.Target) *desk {
	d := &desk{
		t: t, clock: clockwork.NewFakeClock(), answers: make(map[string][]*answer), rooms: make(map[string][]*room),
	}
	d.server = newServer(&Options{
		Self: "coordinator", Clock: d.clock, Logger: zaptest.NewLogger(t), Send: d.collect,
		Draining:      func() bool { return d.away },
		PeerAddresses: func() []string { return []string{"other"} },
		Random:        func() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) },
	}, &Counters{})
	d.server.setGroups(NewGroups(targets))
	for _, of := range d.server.groups.Load().all {
		d.server.active[of] = d.clock.Now()
	}
	return d
}

func (d *desk) collect(address string, body []byte) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch kind(body[0]) {
	case kindAnswer:
		a := &answer{}
		assert.NilError(d.t, decode(body[1:], a))
		d.answers[address] = append(d.answers[address], a)
	case kindTakeover:
		d.takeovers++
	case kindProbe:
		d.probes++
	case kindAlive:
		d.alives++
	case kindRoom:
		r := &room{}
		assert.NilError(d.t, decode(body[1:], r))
		d.rooms[address] = append(d.rooms[address], r)
	}
	return nil
}

// ask sends a question and returns the latest answer to the instance.
func (d *desk) ask(from string, id uint32, priority int) *answer {
	d.server.question(from, &question{
		ID: id, Service: "engines", Priority: priority, PromptTokens: 100, OutputTokens: 100, TokensPerEvent: 5,
		Objective: 1000, Gap: 250, Left: 12000, FailureDomain: "a",
	})
	return d.last(from)
}

func (d *desk) last(from string) *answer {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := d.answers[from]
	if len(all) == 0 {
		return nil
	}
	return all[len(all)-1]
}

func (d *desk) running() int {
	running := 0
	for _, state := range d.server.scheduler.Snapshot() {
		running += state.Running
	}
	return running
}

// holds counts what the coordinator keeps for an instance.
func (d *desk) holds(from string) int {
	d.server.mu.Lock()
	defer d.server.mu.Unlock()
	return len(d.server.held[from])
}

func (d *desk) awaitAnswer(from string) {
	poll.WaitOn(d.t, func(poll.LogT) poll.Result {
		if d.last(from) != nil {
			return poll.Success()
		}
		return poll.Continue("no answer")
	}, poll.WithTimeout(waitLong))
}

// awaitVerdict waits until the latest answer to an instance is the given one.
func (d *desk) awaitVerdict(from string, want verdict) {
	poll.WaitOn(d.t, func(poll.LogT) poll.Result {
		if d.last(from).Verdict == want {
			return poll.Success()
		}
		return poll.Continue("verdict %d", d.last(from).Verdict)
	}, poll.WithTimeout(waitLong))
}

func done(id uint32) *progress {
	return &progress{ID: id, Done: true, Result: schedule.Complete, WholeMicros: 1000}
}

func TestQuestionAskedTwiceTakesOnePlace(t *testing.T) {
	d := newDesk(t, engine("one", 2))
	first := d.ask("a", 1, 0)
	assert.Equal(t, first.Verdict, granted)
	second := d.ask("a", 1, 0)
	assert.Equal(t, second.Target, first.Target)
	assert.Equal(t, d.running(), 1)
	assert.Equal(t, d.ask("b", 1, 0).Verdict, granted, "ids of two instances are apart")
	assert.Equal(t, d.running(), 2)
}

func TestFullGroupLetsRequestsWait(t *testing.T) {
	d := newDesk(t, engine("one", 1))
	d.ask("a", 1, 0)
	assert.Equal(t, d.ask("b", 7, 0).Verdict, queued)
	d.server.progress("a", done(1))
	d.awaitVerdict("b", granted)
	assert.Equal(t, d.running(), 1)
}

func TestWithdrawnQuestionTakesNoPlace(t *testing.T) {
	d := newDesk(t, engine("one", 1))
	d.ask("a", 1, 0)
	d.ask("b", 2, 0)
	d.server.question("b", &question{ID: 2, Withdrawn: true})
	d.server.question("a", &question{ID: 1, Withdrawn: true})
	assert.Equal(t, d.running(), 0)
	assert.Equal(t, d.holds("a")+d.holds("b"), 0)
}

func TestProgressIsTakenOnce(t *testing.T) {
	d := newDesk(t, engine("one", 2))
	d.ask("a", 1, 0)
	for range 2 {
		d.server.progress("a", &progress{ID: 1, FirstMicros: 50000, Tokens: 10, PaceMicros: 30000})
		d.server.progress("a", done(1))
	}
	assert.Equal(t, d.running(), 0)
	assert.Equal(t, d.ask("a", 2, 0).Verdict, granted)
}

// An instance dies: its places are free again once nobody has named them for
// the time of a lease, and not before.
func TestPlacesOfASilentInstanceAreReleased(t *testing.T) {
	d := newDesk(t, engine("one", 2))
	d.ask("dies", 1, 0)
	d.ask("lives", 1, 0)
	target := d.last("lives").Target
	for range 4 {
		d.clock.Advance(leaseTime / 4)
		d.server.renewal("lives", &renewal{Runs: []runState{{ID: 1, Target: target}}})
		d.server.sweep()
	}
	assert.Equal(t, d.running(), 2)
	d.clock.Advance(time.Millisecond)
	d.server.sweep()
	assert.Equal(t, d.running(), 1)
}

// The message about the end of a request was lost: the next renewal ends it.
func TestRenewalEndsWhatItDoesNotName(t *testing.T) {
	d := newDesk(t, engine("one", 3))
	d.ask("a", 1, 0)
	d.ask("a", 2, 0)
	names := &renewal{Runs: []runState{{ID: 2, Target: d.last("a").Target}}}
	d.server.renewal("a", names)
	assert.Equal(t, d.running(), 2, "a place given lately may not be known there yet")
	d.clock.Advance(waitLease + time.Millisecond)
	d.server.renewal("a", &renewal{Partial: true, Runs: names.Runs})
	assert.Equal(t, d.running(), 2, "a part names not all")
	d.server.renewal("a", names)
	assert.Equal(t, d.running(), 1)
}

// A coordinator takes a group over while others' requests run there: what they
// name takes its places, and no more are given than are left.
func TestNewCoordinatorCountsWhatRuns(t *testing.T) {
	targets := []*catalog.Target{engine("one", 3), engine("two", 3)}
	d := newDesk(t, targets...)
	for i := range 4 {
		from := fmt.Sprint("instance ", i)
		r := &renewal{Runs: []runState{{ID: uint32(i), Target: idOf(targets[i%2].Key()), Reading: 500}}}
		d.server.renewal(from, r)
		d.server.renewal(from, r)
	}
	assert.Equal(t, d.running(), 4)
	verdicts := make(map[verdict]int)
	for i := range 4 {
		verdicts[d.ask("new", uint32(i), 0).Verdict]++
	}
	assert.DeepEqual(t, verdicts, map[verdict]int{granted: 2, queued: 2})
	d.server.progress("instance 0", done(0))
	d.server.progress("instance 1", done(1))
	assert.Equal(t, d.running(), 6, "those that waited have started")
}

func TestWaitThatIsNotAskedForEnds(t *testing.T) {
	d := newDesk(t, engine("one", 1))
	d.ask("a", 1, 0)
	d.ask("b", 1, 0)
	d.clock.Advance(waitLease / 2)
	d.ask("b", 1, 0)
	d.clock.Advance(waitLease/2 + time.Millisecond)
	d.server.sweep()
	assert.Equal(t, d.holds("b"), 1)
	d.clock.Advance(waitLease)
	d.server.renewal("a", &renewal{Runs: []runState{{ID: 1, Target: d.last("a").Target}}})
	d.server.sweep()
	assert.Equal(t, d.holds("b"), 0)
	d.server.progress("a", done(1))
	assert.Equal(t, d.running(), 0)
}

func TestInstanceThatShutsDownCoordinatesNoMore(t *testing.T) {
	d := newDesk(t, engine("one", 2))
	d.ask("a", 1, 0)
	d.away = true
	assert.Equal(t, d.ask("a", 1, 0).Verdict, granted, "what was decided stays")
	assert.Equal(t, d.ask("a", 2, 0).Verdict, away)
}

// manyEngines returns enough targets for several groups, one slot each.
func manyEngines() []*catalog.Target {
	targets := make([]*catalog.Target, 4*groupSize)
	for i := range targets {
		targets[i] = engine(fmt.Sprint("engine-", i), 1)
	}
	return targets
}

// A burst falls on one group: its coordinator names another with room, as far
// as the other had room when it was last heard.
func TestFullGroupNamesOneWithRoom(t *testing.T) {
	d := newDesk(t, manyEngines()...)
	groups := d.server.groups.Load()
	first := group{"engines", 0}
	size := 0
	for _, of := range groups.groupOf {
		if of == first {
			size++
		}
	}
	for id := range size {
		assert.Equal(t, d.ask("a", uint32(id), 0).Verdict, granted)
	}
	assert.Equal(t, d.ask("a", 1000, 0).Verdict, queued, "nothing is known of the others")

	const free = 2
	const period = 60
	d.server.room(&room{PeriodMs: period, Groups: []groupRoom{{Place: 1, Free: free}, {Place: 2, Free: 0}}})
	verdicts := make(map[verdict]int)
	for id := range 5 {
		a := d.ask("a", uint32(2000+id), 0)
		verdicts[a.Verdict]++
		if a.Verdict == elsewhere {
			assert.Equal(t, a.Group, 1)
		}
	}
	assert.DeepEqual(t, verdicts, map[verdict]int{elsewhere: free, queued: 5 - free})

	d.server.room(&room{PeriodMs: period, Groups: []groupRoom{{Place: 1, Free: free}}})
	redirected := &question{ID: 1, Service: "engines", Redirected: true, Objective: 1000, Left: 12000}
	d.server.question("b", redirected)
	assert.Equal(t, d.last("b").Verdict, queued, "a request is not sent on at once")
	bound := &question{ID: 2, Service: "engines", Bound: true, Objective: 1000, Left: 12000}
	d.server.question("b", bound)
	assert.Equal(t, d.last("b").Verdict, queued, "the other group may have no target of the version")
	d.clock.Advance(moveAfter)
	d.server.room(&room{PeriodMs: period, Groups: []groupRoom{{Place: 1, Free: free}}})
	d.server.question("b", bound)
	assert.Equal(t, d.last("b").Verdict, queued)
	d.server.question("b", redirected)
	assert.Equal(t, d.last("b").Verdict, elsewhere, "it has waited for a while")
	assert.Equal(t, d.holds("b"), 1)
	d.clock.Advance((roomPeriods*period + 1) * time.Millisecond)
	assert.Equal(t, d.ask("a", 3000, 0).Verdict, queued, "old word counts no more")
}

func TestCoordinatorsTellTheirRoom(t *testing.T) {
	d := newDesk(t, manyEngines()...)
	roster := &Roster{Addresses: []string{"coordinator", "other"}}
	d.clock.Advance(leaseTime + time.Millisecond)
	d.server.tellRoom(roster)
	assert.Equal(t, len(d.rooms), 0, "nothing is asked for here")
	d.ask("a", 1, 0)
	d.server.tellRoom(roster)
	assert.Equal(t, len(d.rooms["coordinator"]), 0)
	d.mu.Lock()
	defer d.mu.Unlock()
	told := d.rooms["other"][0].Groups
	assert.Equal(t, len(told), 1)
	assert.Assert(t, told[0].Free > 0)
}

// A group is asked for here for the first time: all say what they run before a
// place is given.
func TestTakeoverHearsWhatRunsBeforeItGivesPlaces(t *testing.T) {
	target := engine("one", 2)
	d := newDesk(t, target)
	clear(d.server.active)
	for range 2 {
		assert.Assert(t, d.ask("a", 1, 0) == nil, "answered at once")
	}
	d.ask("b", 1, 0)
	assert.Equal(t, d.takeovers, 2, "told to the other and to itself, once")
	for i := range 2 {
		d.server.renewal("c", &renewal{Partial: true, Runs: []runState{{ID: uint32(i), Target: idOf(target.Key())}}})
	}
	d.clock.Advance(settleTime)
	for _, from := range []string{"a", "b"} {
		d.awaitAnswer(from)
		assert.Equal(t, d.last(from).Verdict, queued)
	}
	assert.Equal(t, d.ask("d", 1, 0).Verdict, queued, "it is taken over now")
}

func TestGroupThatAnotherTookOverIsSentOn(t *testing.T) {
	d := newDesk(t, engine("one", 2))
	assert.Equal(t, d.ask("a", 1, 0).Verdict, granted)
	d.server.takenOver("z", &takeover{Service: "engines"})
	assert.Equal(t, d.ask("a", 1, 0).Verdict, granted, "what was decided stays")
	assert.Equal(t, d.ask("a", 2, 0).Verdict, moved)
	assert.Equal(t, d.last("a").Coordinator, "z")
	d.clock.Advance(movedFor + time.Millisecond)
	d.ask("a", 3, 0)
	assert.Equal(t, d.takeovers, 2, "it is taken back once it is asked for again later")
}

// Two instances take a group over at once: one of them gives way, the same one
// by what either knows.
func TestContestedTakeoverEndsWithOne(t *testing.T) {
	gaveWay := 0
	for _, other := range []string{"a", "z"} {
		d := newDesk(t, engine("one", 2))
		clear(d.server.active)
		d.ask("x", 1, 0)
		d.server.takenOver(other, &takeover{Service: "engines"})
		d.clock.Advance(settleTime)
		d.awaitAnswer("x")
		if d.last("x").Verdict == moved {
			assert.Equal(t, d.last("x").Coordinator, other)
			gaveWay++
		}
	}
	assert.Equal(t, gaveWay, 1)
}

// An instance is held up itself, or cut off from a coordinator that answers all
// others, and asks the next on the list: the group stays where it is.
func TestCoordinatorThatAnswersKeepsItsGroup(t *testing.T) {
	d := newDesk(t, engine("one", 2))
	clear(d.server.active)
	d.server.expected = func(group) string { return "before" }
	d.ask("a", 1, 0)
	assert.Equal(t, d.probes, 1)
	d.server.alive("before", &aboutGroup{Service: "engines"})
	assert.Equal(t, d.last("a").Verdict, moved)
	assert.Equal(t, d.last("a").Coordinator, "before")
	assert.Equal(t, d.ask("a", 2, 0).Verdict, moved)
	assert.Equal(t, d.takeovers, 0)
}

// The list of coordinators has changed, which the asker knows already: the new
// one takes the group over, and the old one, which shuts down, does not keep it.
func TestAskerWithANewerListNeedsNoProbe(t *testing.T) {
	d := newDesk(t, engine("one", 2))
	clear(d.server.active)
	d.server.expected = func(group) string { return "before" }
	d.server.question("a", &question{ID: 1, Service: "engines", Epoch: 1, Objective: 1000, Left: 12000})
	d.clock.Advance(settleTime)
	d.awaitAnswer("a")
	assert.Equal(t, d.last("a").Verdict, granted)
	assert.Equal(t, d.probes, 0)

	before := newDesk(t, engine("one", 2))
	before.away = true
	before.server.probed("coordinator", &aboutGroup{Service: "engines"})
	assert.Equal(t, before.alives, 0)
	before.away = false
	before.server.probed("coordinator", &aboutGroup{Service: "engines"})
	assert.Equal(t, before.alives, 1)
}

func TestGroupOfASilentCoordinatorIsTakenOver(t *testing.T) {
	d := newDesk(t, engine("one", 2))
	clear(d.server.active)
	d.server.expected = func(group) string { return "before" }
	d.ask("a", 1, 0)
	d.clock.Advance(probeTime)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		d.clock.Advance(settleTime)
		if d.last("a") != nil {
			return poll.Success()
		}
		return poll.Continue("no answer")
	}, poll.WithTimeout(waitLong))
	assert.Equal(t, d.last("a").Verdict, granted)
	d.mu.Lock()
	defer d.mu.Unlock()
	assert.Equal(t, d.takeovers, 2)
}
