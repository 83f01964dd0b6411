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
	answers map[string][]*slotResponse
	rooms   map[string][]*capacityReport
	// takeovers, probes and alives count such messages.
	takeovers, probes, alives int
}

func newDesk(t *testing.T, targets ...*catalog.Target) *desk {
	d := &desk{
		t: t, clock: clockwork.NewFakeClock(), answers: make(map[string][]*slotResponse), rooms: make(map[string][]*capacityReport),
	}
	d.server = newServer(&Options{
		Self: "coordinator", Clock: d.clock, Logger: zaptest.NewLogger(t), Send: d.collect,
		Draining:      func() bool { return d.away },
		PeerAddresses: func() []string { return []string{"other"} },
		Random:        func() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) },
	}, &Counters{})
	d.server.setGroups(NewGroups(targets))
	for _, of := range d.server.groups.Load().ordered {
		d.server.requestedAt[of] = d.clock.Now()
	}
	return d
}

func (d *desk) collect(address string, body []byte) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch messageKind(body[0]) {
	case kindSlotResponse:
		a := &slotResponse{}
		assert.NilError(d.t, decode(body[1:], a))
		d.answers[address] = append(d.answers[address], a)
	case kindTakeover:
		d.takeovers++
	case kindProbe:
		d.probes++
	case kindProbeResponse:
		d.alives++
	case kindCapacity:
		r := &capacityReport{}
		assert.NilError(d.t, decode(body[1:], r))
		d.rooms[address] = append(d.rooms[address], r)
	}
	return nil
}

// ask sends a question and returns the latest answer to the instance.
func (d *desk) ask(from string, id uint32, priority int) *slotResponse {
	d.server.handleSlotRequest(from, &slotRequest{
		ID: id, Service: "engines", Priority: priority, PromptTokens: 100, OutputTokens: 100, TokensPerEvent: 5,
		ObjectiveMs: 1000, EventGapMs: 250, TimeLeftMs: 12000, FailureDomain: "a",
	})
	return d.last(from)
}

func (d *desk) last(from string) *slotResponse {
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
	return len(d.server.requests[from])
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
func (d *desk) awaitVerdict(from string, want decision) {
	poll.WaitOn(d.t, func(poll.LogT) poll.Result {
		if d.last(from).Decision == want {
			return poll.Success()
		}
		return poll.Continue("verdict %d", d.last(from).Decision)
	}, poll.WithTimeout(waitLong))
}

func done(id uint32) *progressReport {
	return &progressReport{ID: id, Done: true, Result: schedule.Complete, TotalMicros: 1000}
}

func TestQuestionAskedTwiceTakesOnePlace(t *testing.T) {
	d := newDesk(t, engine("one", 2))
	first := d.ask("a", 1, 0)
	assert.Equal(t, first.Decision, decisionGranted)
	second := d.ask("a", 1, 0)
	assert.Equal(t, second.Target, first.Target)
	assert.Equal(t, d.running(), 1)
	assert.Equal(t, d.ask("b", 1, 0).Decision, decisionGranted, "ids of two instances are apart")
	assert.Equal(t, d.running(), 2)
}

func TestFullGroupLetsRequestsWait(t *testing.T) {
	d := newDesk(t, engine("one", 1))
	d.ask("a", 1, 0)
	assert.Equal(t, d.ask("b", 7, 0).Decision, decisionQueued)
	d.server.handleProgress("a", done(1))
	d.awaitVerdict("b", decisionGranted)
	assert.Equal(t, d.running(), 1)
}

func TestWithdrawnQuestionTakesNoPlace(t *testing.T) {
	d := newDesk(t, engine("one", 1))
	d.ask("a", 1, 0)
	d.ask("b", 2, 0)
	d.server.handleSlotRequest("b", &slotRequest{ID: 2, Cancelled: true})
	d.server.handleSlotRequest("a", &slotRequest{ID: 1, Cancelled: true})
	assert.Equal(t, d.running(), 0)
	assert.Equal(t, d.holds("a")+d.holds("b"), 0)
}

func TestProgressIsTakenOnce(t *testing.T) {
	d := newDesk(t, engine("one", 2))
	d.ask("a", 1, 0)
	for range 2 {
		d.server.handleProgress("a", &progressReport{ID: 1, TimeToFirstMicros: 50000, Tokens: 10, TokenSpanMicros: 30000})
		d.server.handleProgress("a", done(1))
	}
	assert.Equal(t, d.running(), 0)
	assert.Equal(t, d.ask("a", 2, 0).Decision, decisionGranted)
}

// An instance dies: its places are free again once nobody has named them for
// the time of a lease, and not before.
func TestPlacesOfASilentInstanceAreReleased(t *testing.T) {
	d := newDesk(t, engine("one", 2))
	d.ask("dies", 1, 0)
	d.ask("lives", 1, 0)
	target := d.last("lives").Target
	for range 4 {
		d.clock.Advance(leaseDuration / 4)
		d.server.handleRenewal("lives", &leaseRenewal{Running: []runningRequest{{ID: 1, Target: target}}})
		d.server.expireLeases()
	}
	assert.Equal(t, d.running(), 2)
	d.clock.Advance(time.Millisecond)
	d.server.expireLeases()
	assert.Equal(t, d.running(), 1)
}

// The message about the end of a request was lost: the next renewal ends it.
func TestRenewalEndsWhatItDoesNotName(t *testing.T) {
	d := newDesk(t, engine("one", 3))
	d.ask("a", 1, 0)
	d.ask("a", 2, 0)
	names := &leaseRenewal{Running: []runningRequest{{ID: 2, Target: d.last("a").Target}}}
	d.server.handleRenewal("a", names)
	assert.Equal(t, d.running(), 2, "a place given lately may not be known there yet")
	d.clock.Advance(queuedLeaseDuration + time.Millisecond)
	d.server.handleRenewal("a", &leaseRenewal{Partial: true, Running: names.Running})
	assert.Equal(t, d.running(), 2, "a part names not all")
	d.server.handleRenewal("a", names)
	assert.Equal(t, d.running(), 1)
}

// A coordinator takes a group over while others' requests run there: what they
// name takes its places, and no more are given than are left.
func TestNewCoordinatorCountsWhatRuns(t *testing.T) {
	targets := []*catalog.Target{engine("one", 3), engine("two", 3)}
	d := newDesk(t, targets...)
	for i := range 4 {
		from := fmt.Sprint("instance ", i)
		r := &leaseRenewal{Running: []runningRequest{{ID: uint32(i), Target: idOf(targets[i%2].Key()), PrefillTokens: 500}}}
		d.server.handleRenewal(from, r)
		d.server.handleRenewal(from, r)
	}
	assert.Equal(t, d.running(), 4)
	verdicts := make(map[decision]int)
	for i := range 4 {
		verdicts[d.ask("new", uint32(i), 0).Decision]++
	}
	assert.DeepEqual(t, verdicts, map[decision]int{decisionGranted: 2, decisionQueued: 2})
	d.server.handleProgress("instance 0", done(0))
	d.server.handleProgress("instance 1", done(1))
	assert.Equal(t, d.running(), 6, "those that waited have started")
}

func TestWaitThatIsNotAskedForEnds(t *testing.T) {
	d := newDesk(t, engine("one", 1))
	d.ask("a", 1, 0)
	d.ask("b", 1, 0)
	d.clock.Advance(queuedLeaseDuration / 2)
	d.ask("b", 1, 0)
	d.clock.Advance(queuedLeaseDuration/2 + time.Millisecond)
	d.server.expireLeases()
	assert.Equal(t, d.holds("b"), 1)
	d.clock.Advance(queuedLeaseDuration)
	d.server.handleRenewal("a", &leaseRenewal{Running: []runningRequest{{ID: 1, Target: d.last("a").Target}}})
	d.server.expireLeases()
	assert.Equal(t, d.holds("b"), 0)
	d.server.handleProgress("a", done(1))
	assert.Equal(t, d.running(), 0)
}

func TestInstanceThatShutsDownCoordinatesNoMore(t *testing.T) {
	d := newDesk(t, engine("one", 2))
	d.ask("a", 1, 0)
	d.away = true
	assert.Equal(t, d.ask("a", 1, 0).Decision, decisionGranted, "what was decided stays")
	assert.Equal(t, d.ask("a", 2, 0).Decision, decisionNotCoordinator)
}

// manyEngines returns enough targets for several groups, one slot each.
func manyEngines() []*catalog.Target {
	targets := make([]*catalog.Target, 4*targetsPerGroup)
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
	first := groupKey{"engines", 0}
	size := 0
	for _, of := range groups.groupOf {
		if of == first {
			size++
		}
	}
	for id := range size {
		assert.Equal(t, d.ask("a", uint32(id), 0).Decision, decisionGranted)
	}
	assert.Equal(t, d.ask("a", 1000, 0).Decision, decisionQueued, "nothing is known of the others")

	const free = 2
	const period = 60
	d.server.handleCapacityReport(&capacityReport{IntervalMs: period, Groups: []groupCapacity{{Position: 1, FreeSlots: free}, {Position: 2, FreeSlots: 0}}})
	verdicts := make(map[decision]int)
	for id := range 5 {
		a := d.ask("a", uint32(2000+id), 0)
		verdicts[a.Decision]++
		if a.Decision == decisionRedirected {
			assert.Equal(t, a.Group, 1)
		}
	}
	assert.DeepEqual(t, verdicts, map[decision]int{decisionRedirected: free, decisionQueued: 5 - free})

	d.server.handleCapacityReport(&capacityReport{IntervalMs: period, Groups: []groupCapacity{{Position: 1, FreeSlots: free}}})
	redirected := &slotRequest{ID: 1, Service: "engines", Redirected: true, ObjectiveMs: 1000, TimeLeftMs: 12000}
	d.server.handleSlotRequest("b", redirected)
	assert.Equal(t, d.last("b").Decision, decisionQueued, "a request is not sent on at once")
	bound := &slotRequest{ID: 2, Service: "engines", VersionConstrained: true, ObjectiveMs: 1000, TimeLeftMs: 12000}
	d.server.handleSlotRequest("b", bound)
	assert.Equal(t, d.last("b").Decision, decisionQueued, "the other group may have no target of the version")
	d.clock.Advance(redirectQueuedAfter)
	d.server.handleCapacityReport(&capacityReport{IntervalMs: period, Groups: []groupCapacity{{Position: 1, FreeSlots: free}}})
	d.server.handleSlotRequest("b", bound)
	assert.Equal(t, d.last("b").Decision, decisionQueued)
	d.server.handleSlotRequest("b", redirected)
	assert.Equal(t, d.last("b").Decision, decisionRedirected, "it has waited for a while")
	assert.Equal(t, d.holds("b"), 1)
	d.clock.Advance((capacityValidIntervals*period + 1) * time.Millisecond)
	assert.Equal(t, d.ask("a", 3000, 0).Decision, decisionQueued, "old word counts no more")
}

func TestCoordinatorsTellTheirRoom(t *testing.T) {
	d := newDesk(t, manyEngines()...)
	roster := &Roster{Addresses: []string{"coordinator", "other"}}
	d.clock.Advance(leaseDuration + time.Millisecond)
	d.server.sendCapacityReports(roster)
	assert.Equal(t, len(d.rooms), 0, "nothing is asked for here")
	d.ask("a", 1, 0)
	d.server.sendCapacityReports(roster)
	assert.Equal(t, len(d.rooms["coordinator"]), 0)
	d.mu.Lock()
	defer d.mu.Unlock()
	told := d.rooms["other"][0].Groups
	assert.Equal(t, len(told), 1)
	assert.Assert(t, told[0].FreeSlots > 0)
}

// A group is asked for here for the first time: all say what they run before a
// place is given.
func TestTakeoverHearsWhatRunsBeforeItGivesPlaces(t *testing.T) {
	target := engine("one", 2)
	d := newDesk(t, target)
	clear(d.server.requestedAt)
	for range 2 {
		assert.Assert(t, d.ask("a", 1, 0) == nil, "answered at once")
	}
	d.ask("b", 1, 0)
	assert.Equal(t, d.takeovers, 2, "told to the other and to itself, once")
	for i := range 2 {
		d.server.handleRenewal("c", &leaseRenewal{Partial: true, Running: []runningRequest{{ID: uint32(i), Target: idOf(target.Key())}}})
	}
	d.clock.Advance(takeoverDelay)
	for _, from := range []string{"a", "b"} {
		d.awaitAnswer(from)
		assert.Equal(t, d.last(from).Decision, decisionQueued)
	}
	assert.Equal(t, d.ask("d", 1, 0).Decision, decisionQueued, "it is taken over now")
}

func TestGroupThatAnotherTookOverIsSentOn(t *testing.T) {
	d := newDesk(t, engine("one", 2))
	assert.Equal(t, d.ask("a", 1, 0).Decision, decisionGranted)
	d.server.handleTakeover("z", &takeoverNotice{Service: "engines"})
	assert.Equal(t, d.ask("a", 1, 0).Decision, decisionGranted, "what was decided stays")
	assert.Equal(t, d.ask("a", 2, 0).Decision, decisionMoved)
	assert.Equal(t, d.last("a").Coordinator, "z")
	d.clock.Advance(moveValidity + time.Millisecond)
	d.ask("a", 3, 0)
	assert.Equal(t, d.takeovers, 2, "it is taken back once it is asked for again later")
}

// Two instances take a group over at once: one of them gives way, the same one
// by what either knows.
func TestContestedTakeoverEndsWithOne(t *testing.T) {
	gaveWay := 0
	for _, other := range []string{"a", "z"} {
		d := newDesk(t, engine("one", 2))
		clear(d.server.requestedAt)
		d.ask("x", 1, 0)
		d.server.handleTakeover(other, &takeoverNotice{Service: "engines"})
		d.clock.Advance(takeoverDelay)
		d.awaitAnswer("x")
		if d.last("x").Decision == decisionMoved {
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
	clear(d.server.requestedAt)
	d.server.expectedCoordinator = func(groupKey) string { return "before" }
	d.ask("a", 1, 0)
	assert.Equal(t, d.probes, 1)
	d.server.handleProbeResponse("before", &groupProbe{Service: "engines"})
	assert.Equal(t, d.last("a").Decision, decisionMoved)
	assert.Equal(t, d.last("a").Coordinator, "before")
	assert.Equal(t, d.ask("a", 2, 0).Decision, decisionMoved)
	assert.Equal(t, d.takeovers, 0)
}

// The list of coordinators has changed, which the asker knows already: the new
// one takes the group over, and the old one, which shuts down, does not keep it.
func TestAskerWithANewerListNeedsNoProbe(t *testing.T) {
	d := newDesk(t, engine("one", 2))
	clear(d.server.requestedAt)
	d.server.expectedCoordinator = func(groupKey) string { return "before" }
	d.server.handleSlotRequest("a", &slotRequest{ID: 1, Service: "engines", Epoch: 1, ObjectiveMs: 1000, TimeLeftMs: 12000})
	d.clock.Advance(takeoverDelay)
	d.awaitAnswer("a")
	assert.Equal(t, d.last("a").Decision, decisionGranted)
	assert.Equal(t, d.probes, 0)

	before := newDesk(t, engine("one", 2))
	before.away = true
	before.server.handleProbe("coordinator", &groupProbe{Service: "engines"})
	assert.Equal(t, before.alives, 0)
	before.away = false
	before.server.handleProbe("coordinator", &groupProbe{Service: "engines"})
	assert.Equal(t, before.alives, 1)
}

func TestGroupOfASilentCoordinatorIsTakenOver(t *testing.T) {
	d := newDesk(t, engine("one", 2))
	clear(d.server.requestedAt)
	d.server.expectedCoordinator = func(groupKey) string { return "before" }
	d.ask("a", 1, 0)
	d.clock.Advance(probeTimeout)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		d.clock.Advance(takeoverDelay)
		if d.last("a") != nil {
			return poll.Success()
		}
		return poll.Continue("no answer")
	}, poll.WithTimeout(waitLong))
	assert.Equal(t, d.last("a").Decision, decisionGranted)
	d.mu.Lock()
	defer d.mu.Unlock()
	assert.Equal(t, d.takeovers, 2)
}
