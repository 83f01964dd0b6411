package placement

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/hibiscuspost/hibiscuspost/internal/catalog"
	"github.com/hibiscuspost/hibiscuspost/internal/contain"
	"github.com/hibiscuspost/hibiscuspost/internal/peer"
	"github.com/hibiscuspost/hibiscuspost/internal/schedule"
)

func newEngine(id string, slots int) *catalog.Target {
	return &catalog.Target{ID: id, Service: "engines", Address: id + ":1", Slots: slots, FailureDomain: "a"}
}

// testServer is a coordinator whose messages are recorded.
type testServer struct {
	t        *testing.T
	clock    *clockwork.FakeClock
	server   *Server
	draining bool
	// resuming is set if the coordinator may not have heard from the others since a pause.
	resuming atomic.Bool

	// mu guards the fields below.
	mu              sync.Mutex
	responses       map[string][]*slotResponse
	capacityReports map[string][]*capacityReport
	// takeovers, probes and probeResponses count sent messages of these kinds.
	takeovers, probes, probeResponses int
}

func newTestServer(t *testing.T, targets ...*catalog.Target) *testServer {
	ts := &testServer{
		t: t, clock: clockwork.NewFakeClock(), responses: make(map[string][]*slotResponse), capacityReports: make(map[string][]*capacityReport),
	}
	ts.server = newServer(&Options{
		Self: "coordinator", Clock: ts.clock, Logger: zaptest.NewLogger(t), Send: ts.recordMessage,
		Draining:      func() bool { return ts.draining },
		IsResuming:    ts.resuming.Load,
		PeerAddresses: func() []string { return []string{"other"} },
		Random:        func() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) },
	}, &Counters{})
	ts.server.setGroups(NewGroups(targets))
	for _, group := range ts.server.groups.Load().ordered {
		ts.server.requestedAt[group] = ts.clock.Now()
	}
	return ts
}

func (ts *testServer) recordMessage(address string, body []byte) error {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	if len(body) > peer.MaxDatagramBytes {
		return errors.New("datagram is too long")
	}
	switch messageKind(body[0]) {
	case kindSlotResponse:
		response := &slotResponse{}
		assert.NilError(ts.t, decode(body[1:], response))
		ts.responses[address] = append(ts.responses[address], response)
	case kindTakeover:
		ts.takeovers++
	case kindProbe:
		ts.probes++
	case kindProbeResponse:
		ts.probeResponses++
	case kindCapacity:
		report := &capacityReport{}
		assert.NilError(ts.t, decode(body[1:], report))
		ts.capacityReports[address] = append(ts.capacityReports[address], report)
	}
	return nil
}

// requestSlot sends a slot request and returns the last response to the instance.
func (ts *testServer) requestSlot(from string, id uint32, priority int) *slotResponse {
	ts.server.handleSlotRequest(from, &slotRequest{
		ID: id, Service: "engines", Priority: priority, PromptTokens: 100, OutputTokens: 100, TokensPerEvent: 5,
		ObjectiveMs: 1000, EventGapMs: 250, TimeLeftMs: 12000, FailureDomain: "a",
	})
	return ts.lastResponse(from)
}

func (ts *testServer) lastResponse(from string) *slotResponse {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	responses := ts.responses[from]
	if len(responses) == 0 {
		return nil
	}
	return responses[len(responses)-1]
}

func (ts *testServer) running() int {
	running := 0
	for _, state := range ts.server.scheduler.Snapshot() {
		running += state.Running
	}
	return running
}

// requestCount returns the number of requests that the coordinator holds for an
// instance.
func (ts *testServer) requestCount(from string) int {
	ts.server.mu.Lock()
	defer ts.server.mu.Unlock()
	return len(ts.server.requests[from])
}

func (ts *testServer) awaitResponse(from string) {
	poll.WaitOn(ts.t, func(poll.LogT) poll.Result {
		if ts.lastResponse(from) != nil {
			return poll.Success()
		}
		return poll.Continue("no response")
	}, poll.WithTimeout(eventTimeout))
}

// awaitDecision waits until the last response to an instance has the given
// decision.
func (ts *testServer) awaitDecision(from string, want decision) {
	poll.WaitOn(ts.t, func(poll.LogT) poll.Result {
		if ts.lastResponse(from).Decision == want {
			return poll.Success()
		}
		return poll.Continue("last decision %d", ts.lastResponse(from).Decision)
	}, poll.WithTimeout(eventTimeout))
}

func doneReport(id uint32) *progressReport {
	return &progressReport{ID: id, Done: true, Result: schedule.Complete, TotalMicros: 1000}
}

func TestRepeatedRequestOccupiesOneSlot(t *testing.T) {
	ts := newTestServer(t, newEngine("one", 2))
	first := ts.requestSlot("a", 1, 0)
	assert.Equal(t, first.Decision, decisionGranted)
	second := ts.requestSlot("a", 1, 0)
	assert.Equal(t, second.Target, first.Target)
	assert.Equal(t, ts.running(), 1)
	assert.Equal(t, ts.requestSlot("b", 1, 0).Decision, decisionGranted, "request IDs are scoped to the instance")
	assert.Equal(t, ts.running(), 2)
}

func TestFullGroupQueuesRequests(t *testing.T) {
	ts := newTestServer(t, newEngine("one", 1))
	ts.requestSlot("a", 1, 0)
	assert.Equal(t, ts.requestSlot("b", 7, 0).Decision, decisionQueued)
	ts.server.handleProgress("a", doneReport(1))
	ts.awaitDecision("b", decisionGranted)
	assert.Equal(t, ts.running(), 1)
}

func TestCancelledRequestOccupiesNoSlot(t *testing.T) {
	ts := newTestServer(t, newEngine("one", 1))
	ts.requestSlot("a", 1, 0)
	ts.requestSlot("b", 2, 0)
	ts.server.handleSlotRequest("b", &slotRequest{ID: 2, Cancel: true})
	ts.server.handleSlotRequest("a", &slotRequest{ID: 1, Cancel: true})
	assert.Equal(t, ts.running(), 0)
	assert.Equal(t, ts.requestCount("a")+ts.requestCount("b"), 0)
}

func TestRepeatedProgressReportIsAppliedOnce(t *testing.T) {
	ts := newTestServer(t, newEngine("one", 2))
	ts.requestSlot("a", 1, 0)
	for range 2 {
		ts.server.handleProgress("a", &progressReport{ID: 1, TimeToFirstMicros: 50000, Tokens: 10, TokenSpanMicros: 30000})
		ts.server.handleProgress("a", doneReport(1))
	}
	assert.Equal(t, ts.running(), 0)
	assert.Equal(t, ts.requestSlot("a", 2, 0).Decision, decisionGranted)
}

// The slots of a crashed instance are free again once its leases have expired,
// and not before.
func TestPlacesOfASilentInstanceAreReleased(t *testing.T) {
	ts := newTestServer(t, newEngine("one", 2))
	ts.requestSlot("crashed", 1, 0)
	ts.requestSlot("alive", 1, 0)
	target := ts.lastResponse("alive").Target
	for range 4 {
		ts.clock.Advance(leaseDuration / 4)
		ts.server.handleRenewal("alive", &leaseRenewal{Running: []runningRequest{{ID: 1, Target: target}}})
		ts.server.expireLeases()
	}
	assert.Equal(t, ts.running(), 2)
	ts.clock.Advance(time.Millisecond)
	ts.server.expireLeases()
	assert.Equal(t, ts.running(), 1)
}

// Guards against slots that stay occupied after the message about the end of a
// request is lost: a complete renewal that does not list the request ends it.
func TestRenewalEndsUnlistedRequests(t *testing.T) {
	ts := newTestServer(t, newEngine("one", 3))
	ts.requestSlot("a", 1, 0)
	ts.requestSlot("a", 2, 0)
	renewal := &leaseRenewal{Running: []runningRequest{{ID: 2, Target: ts.lastResponse("a").Target}}}
	ts.server.handleRenewal("a", renewal)
	assert.Equal(t, ts.running(), 2, "a recent grant may be missing from the renewal")
	ts.clock.Advance(queuedLeaseDuration + time.Millisecond)
	ts.server.handleRenewal("a", &leaseRenewal{Partial: true, Running: renewal.Running})
	assert.Equal(t, ts.running(), 2, "a partial renewal ends nothing")
	ts.server.handleRenewal("a", renewal)
	assert.Equal(t, ts.running(), 1)
}

// Guards against overbooking when a coordinator takes over a group in which
// requests of other instances run: the reported requests occupy slots.
func TestNewCoordinatorCountsWhatRuns(t *testing.T) {
	targets := []*catalog.Target{newEngine("one", 3), newEngine("two", 3)}
	ts := newTestServer(t, targets...)
	for i := range 4 {
		from := fmt.Sprint("instance ", i)
		renewal := &leaseRenewal{Running: []runningRequest{{ID: uint32(i), Target: idOf(targets[i%2].Key()), PrefillTokens: 500}}}
		ts.server.handleRenewal(from, renewal)
		ts.server.handleRenewal(from, renewal)
	}
	assert.Equal(t, ts.running(), 4)
	decisions := make(map[decision]int)
	for i := range 4 {
		decisions[ts.requestSlot("new", uint32(i), 0).Decision]++
	}
	assert.DeepEqual(t, decisions, map[decision]int{decisionGranted: 2, decisionQueued: 2})
	ts.server.handleProgress("instance 0", doneReport(0))
	ts.server.handleProgress("instance 1", doneReport(1))
	assert.Equal(t, ts.running(), 6, "queued requests have started")
}

func TestQueuedRequestWithoutRepetitionExpires(t *testing.T) {
	ts := newTestServer(t, newEngine("one", 1))
	ts.requestSlot("a", 1, 0)
	ts.requestSlot("b", 1, 0)
	ts.clock.Advance(queuedLeaseDuration / 2)
	ts.requestSlot("b", 1, 0)
	ts.clock.Advance(queuedLeaseDuration/2 + time.Millisecond)
	ts.server.expireLeases()
	assert.Equal(t, ts.requestCount("b"), 1)
	ts.clock.Advance(queuedLeaseDuration)
	ts.server.handleRenewal("a", &leaseRenewal{Running: []runningRequest{{ID: 1, Target: ts.lastResponse("a").Target}}})
	ts.server.expireLeases()
	assert.Equal(t, ts.requestCount("b"), 0)
	ts.server.handleProgress("a", doneReport(1))
	assert.Equal(t, ts.running(), 0)
}

func TestUnlistedDrainingInstanceStopsCoordinating(t *testing.T) {
	ts := newTestServer(t, newEngine("one", 2))
	ts.requestSlot("a", 1, 0)
	ts.draining = true
	assert.Equal(t, ts.requestSlot("a", 1, 0).Decision, decisionGranted, "an earlier grant stays valid")
	assert.Equal(t, ts.requestSlot("a", 2, 0).Decision, decisionNotCoordinator)
}

// newEngineGroups returns enough targets for several groups, with one slot each.
func newEngineGroups() []*catalog.Target {
	targets := make([]*catalog.Target, 4*targetsPerGroup)
	for i := range targets {
		targets[i] = newEngine(fmt.Sprint("engine-", i), 1)
	}
	return targets
}

// A burst hits one group: its coordinator redirects requests to a group with free
// slots, up to the number in the last report.
func TestFullGroupNamesOneWithRoom(t *testing.T) {
	ts := newTestServer(t, newEngineGroups()...)
	groups := ts.server.groups.Load()
	firstGroup := groupKey{"engines", 0}
	size := 0
	for _, group := range groups.groupOf {
		if group == firstGroup {
			size++
		}
	}
	for id := range size {
		assert.Equal(t, ts.requestSlot("a", uint32(id), 0).Decision, decisionGranted)
	}
	assert.Equal(t, ts.requestSlot("a", 1000, 0).Decision, decisionQueued, "no capacity report of another group")

	const free = 2
	const intervalMs = 60
	ts.server.handleCapacityReport(&capacityReport{IntervalMs: intervalMs, Groups: []groupCapacity{{Position: 1, FreeSlots: free}, {Position: 2, FreeSlots: 0}}})
	decisions := make(map[decision]int)
	for id := range 5 {
		response := ts.requestSlot("a", uint32(2000+id), 0)
		decisions[response.Decision]++
		if response.Decision == decisionRedirected {
			assert.Equal(t, response.Group, 1)
		}
	}
	assert.DeepEqual(t, decisions, map[decision]int{decisionRedirected: free, decisionQueued: 5 - free})

	ts.server.handleCapacityReport(&capacityReport{IntervalMs: intervalMs, Groups: []groupCapacity{{Position: 1, FreeSlots: free}}})
	redirected := &slotRequest{ID: 1, Service: "engines", Redirected: true, ObjectiveMs: 1000, TimeLeftMs: 12000}
	ts.server.handleSlotRequest("b", redirected)
	assert.Equal(t, ts.lastResponse("b").Decision, decisionQueued, "a redirected request is not redirected again immediately")
	constrained := &slotRequest{ID: 2, Service: "engines", VersionConstrained: true, ObjectiveMs: 1000, TimeLeftMs: 12000}
	ts.server.handleSlotRequest("b", constrained)
	assert.Equal(t, ts.lastResponse("b").Decision, decisionQueued, "the other group may have no target of the version")
	ts.clock.Advance(redirectQueuedAfter)
	ts.server.handleCapacityReport(&capacityReport{IntervalMs: intervalMs, Groups: []groupCapacity{{Position: 1, FreeSlots: free}}})
	ts.server.handleSlotRequest("b", constrained)
	assert.Equal(t, ts.lastResponse("b").Decision, decisionQueued)
	ts.server.handleSlotRequest("b", redirected)
	assert.Equal(t, ts.lastResponse("b").Decision, decisionRedirected, "not redirected after redirectQueuedAfter")
	assert.Equal(t, ts.requestCount("b"), 1)
	ts.clock.Advance((capacityValidIntervals*intervalMs + 1) * time.Millisecond)
	assert.Equal(t, ts.requestSlot("a", 3000, 0).Decision, decisionQueued, "the capacity report has expired")
}

func TestCoordinatorReportsFreeSlots(t *testing.T) {
	ts := newTestServer(t, newEngineGroups()...)
	roster := &Roster{Addresses: []string{"coordinator", "other"}}
	ts.clock.Advance(leaseDuration + time.Millisecond)
	ts.server.sendCapacityReports(roster)
	assert.Equal(t, len(ts.capacityReports), 0, "no recent slot request here")
	ts.requestSlot("a", 1, 0)
	ts.server.sendCapacityReports(roster)
	assert.Equal(t, len(ts.capacityReports["coordinator"]), 0)
	ts.mu.Lock()
	defer ts.mu.Unlock()
	reported := ts.capacityReports["other"][0].Groups
	assert.Equal(t, len(reported), 1)
	assert.Assert(t, reported[0].FreeSlots > 0)
}

// The first request for a group here starts a takeover: all instances report what
// they run before a slot is granted.
func TestTakeoverHearsWhatRunsBeforeItGivesPlaces(t *testing.T) {
	target := newEngine("one", 2)
	ts := newTestServer(t, target)
	clear(ts.server.requestedAt)
	for range 2 {
		assert.Assert(t, ts.requestSlot("a", 1, 0) == nil, "response before the takeover has finished")
	}
	ts.requestSlot("b", 1, 0)
	assert.Equal(t, ts.takeovers, 2, "one notice each to the other instance and to itself")
	for i := range 2 {
		ts.server.handleRenewal("c", &leaseRenewal{Partial: true, Running: []runningRequest{{ID: uint32(i), Target: idOf(target.Key())}}})
	}
	ts.clock.Advance(takeoverDelay)
	for _, from := range []string{"a", "b"} {
		ts.awaitResponse(from)
		assert.Equal(t, ts.lastResponse(from).Decision, decisionQueued)
	}
	assert.Equal(t, ts.requestSlot("d", 1, 0).Decision, decisionQueued, "responds immediately after the takeover")
}

// A panic in the function of a timer ended the process.
func TestPanicInATimerDoesNotEndTheCoordinator(t *testing.T) {
	ts := newTestServer(t, newEngine("one", 2))
	clear(ts.server.requestedAt)
	before := contain.Panics()
	var panicked atomic.Bool
	record := ts.server.send
	ts.server.send = func(address string, body []byte) error {
		if messageKind(body[0]) == kindSlotResponse && !panicked.Swap(true) {
			panic("unexpected value")
		}
		return record(address, body)
	}
	assert.Assert(t, ts.requestSlot("a", 1, 0) == nil)
	ts.clock.Advance(takeoverDelay)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if contain.Panics() > before {
			return poll.Success()
		}
		return poll.Continue("no panic yet")
	}, poll.WithTimeout(eventTimeout))
	assert.Equal(t, ts.requestSlot("a", 1, 0).Decision, decisionGranted, "the request is sent again")
}

func TestRequestForMovedGroupIsRedirected(t *testing.T) {
	ts := newTestServer(t, newEngine("one", 2))
	assert.Equal(t, ts.requestSlot("a", 1, 0).Decision, decisionGranted)
	ts.server.handleTakeover("z", &takeoverNotice{Service: "engines"})
	assert.Equal(t, ts.requestSlot("a", 1, 0).Decision, decisionGranted, "an earlier grant stays valid")
	assert.Equal(t, ts.requestSlot("a", 2, 0).Decision, decisionMoved)
	assert.Equal(t, ts.lastResponse("a").Coordinator, "z")
	ts.clock.Advance(moveValidity + time.Millisecond)
	ts.requestSlot("a", 3, 0)
	assert.Equal(t, ts.takeovers, 2, "taken over again by a request after moveValidity")
}

// Two instances take over a group concurrently: exactly one yields, and both
// agree on which.
func TestContestedTakeoverEndsWithOne(t *testing.T) {
	yielded := 0
	for _, other := range []string{"a", "z"} {
		ts := newTestServer(t, newEngine("one", 2))
		clear(ts.server.requestedAt)
		ts.requestSlot("x", 1, 0)
		ts.server.handleTakeover(other, &takeoverNotice{Service: "engines"})
		ts.clock.Advance(takeoverDelay)
		ts.awaitResponse("x")
		if ts.lastResponse("x").Decision == decisionMoved {
			assert.Equal(t, ts.lastResponse("x").Coordinator, other)
			yielded++
		}
	}
	assert.Equal(t, yielded, 1)
}

// Guards against moving a group because one instance was delayed or is cut off
// from a coordinator that responds to all others.
func TestCoordinatorThatAnswersKeepsItsGroup(t *testing.T) {
	ts := newTestServer(t, newEngine("one", 2))
	clear(ts.server.requestedAt)
	ts.server.lookUpCoordinator = func(groupKey) string { return "former" }
	ts.requestSlot("a", 1, 0)
	assert.Equal(t, ts.probes, 1)
	ts.server.handleProbeResponse("former", &groupProbe{Service: "engines"})
	assert.Equal(t, ts.lastResponse("a").Decision, decisionMoved)
	assert.Equal(t, ts.lastResponse("a").Coordinator, "former")
	assert.Equal(t, ts.requestSlot("a", 2, 0).Decision, decisionMoved)
	assert.Equal(t, ts.takeovers, 0)
}

// The sender already has a newer roster: the new coordinator takes over the group
// without a probe, and a draining former coordinator does not claim it.
func TestRequestWithNewerRosterSkipsProbe(t *testing.T) {
	ts := newTestServer(t, newEngine("one", 2))
	clear(ts.server.requestedAt)
	ts.server.lookUpCoordinator = func(groupKey) string { return "former" }
	ts.server.handleSlotRequest("a", &slotRequest{ID: 1, Service: "engines", Epoch: 1, ObjectiveMs: 1000, TimeLeftMs: 12000})
	ts.clock.Advance(takeoverDelay)
	ts.awaitResponse("a")
	assert.Equal(t, ts.lastResponse("a").Decision, decisionGranted)
	assert.Equal(t, ts.probes, 0)

	former := newTestServer(t, newEngine("one", 2))
	former.draining = true
	former.server.handleProbe("coordinator", &groupProbe{Service: "engines"})
	assert.Equal(t, former.probeResponses, 0)
	former.draining = false
	former.server.handleProbe("coordinator", &groupProbe{Service: "engines"})
	assert.Equal(t, former.probeResponses, 1)
}

func TestGroupOfASilentCoordinatorIsTakenOver(t *testing.T) {
	ts := newTestServer(t, newEngine("one", 2))
	clear(ts.server.requestedAt)
	ts.server.lookUpCoordinator = func(groupKey) string { return "former" }
	ts.requestSlot("a", 1, 0)
	ts.clock.Advance(probeTimeout)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		ts.clock.Advance(takeoverDelay)
		if ts.lastResponse("a") != nil {
			return poll.Success()
		}
		return poll.Continue("no response")
	}, poll.WithTimeout(eventTimeout))
	assert.Equal(t, ts.lastResponse("a").Decision, decisionGranted)
	ts.mu.Lock()
	defer ts.mu.Unlock()
	assert.Equal(t, ts.takeovers, 2)
}

// Guards against slots that are granted twice: a coordinator that went on after a pause released
// the slots of all instances before it read their renewals, and brittle targets fell over.
func TestLeasesDoNotExpireRightAfterAPause(t *testing.T) {
	ts := newTestServer(t, newEngine("one", 2))
	target := ts.requestSlot("a", 1, 0).Target
	ts.requestSlot("crashed", 1, 0)
	ts.requestSlot("b", 1, 0)
	assert.Equal(t, ts.lastResponse("b").Decision, decisionQueued)
	ts.resuming.Store(true)
	ts.clock.Advance(queuedLeaseDuration + time.Millisecond)
	ts.server.expireLeases()
	assert.Equal(t, ts.requestCount("b"), 1)
	ts.clock.Advance(10 * time.Second)
	ts.server.expireLeases()
	assert.Equal(t, ts.running(), 2)
	ts.server.handleRenewal("a", &leaseRenewal{Running: []runningRequest{{ID: 1, Target: target}}})
	ts.resuming.Store(false)
	ts.server.expireLeases()
	assert.Equal(t, ts.requestCount("a"), 1, "renewed after the pause")
	assert.Equal(t, ts.requestCount("crashed"), 0, "not renewed since")
	assert.Assert(t, ResumeHold < leaseDuration)
}

// pauseAtTakeover requests a slot for a group that is not coordinated here, right after a pause.
func pauseAtTakeover(t *testing.T) *testServer {
	ts := newTestServer(t, newEngine("one", 2))
	clear(ts.server.requestedAt)
	ts.resuming.Store(true)
	assert.Assert(t, ts.requestSlot("a", 1, 0) == nil)
	return ts
}

// advanceUntilResponse advances the clock in steps until there is a response.
func (ts *testServer) advanceUntilResponse(from string) {
	poll.WaitOn(ts.t, func(poll.LogT) poll.Result {
		ts.clock.Advance(takeoverDelay)
		if ts.lastResponse(from) != nil {
			return poll.Success()
		}
		return poll.Continue("no response")
	}, poll.WithTimeout(eventTimeout))
}

func (ts *testServer) takeoverCount() int {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	return ts.takeovers
}

// Guards against takeovers by an instance that was paused and has not read the notices of the
// coordinators that replaced it.
func TestGroupsAreNotTakenOverRightAfterAPause(t *testing.T) {
	ts := pauseAtTakeover(t)
	ts.clock.Advance(resumeCheckInterval)
	assert.Equal(t, ts.takeoverCount(), 0)
	ts.server.handleProbe("next", &groupProbe{Service: "engines"})
	assert.Equal(t, ts.probeResponses, 0, "the next coordinator need not wait")
	ts.server.handleTakeover("next", &takeoverNotice{Service: "engines"})
	ts.advanceUntilResponse("a")
	assert.Equal(t, ts.lastResponse("a").Decision, decisionMoved)
	assert.Equal(t, ts.lastResponse("a").Coordinator, "next")
	assert.Equal(t, ts.takeoverCount(), 0)
}

// The wait is bounded: without a notice, the group is taken over after it.
func TestGroupIsTakenOverOnceThePauseIsLongAgo(t *testing.T) {
	ts := pauseAtTakeover(t)
	assert.Equal(t, ts.takeoverCount(), 0)
	ts.resuming.Store(false)
	ts.advanceUntilResponse("a")
	assert.Equal(t, ts.lastResponse("a").Decision, decisionGranted)
	assert.Equal(t, ts.takeoverCount(), 2)
}

// Guards against slots that are granted before the reports of running requests are read, if the
// instance is paused between its notice and the end of the takeover.
func TestPauseDuringATakeoverProlongsIt(t *testing.T) {
	target := newEngine("one", 2)
	ts := newTestServer(t, target)
	clear(ts.server.requestedAt)
	ts.requestSlot("a", 1, 0)
	assert.Equal(t, ts.takeoverCount(), 2)
	ts.resuming.Store(true)
	ts.clock.Advance(takeoverDelay)
	ctx, cancel := context.WithTimeout(t.Context(), eventTimeout)
	defer cancel()
	assert.NilError(t, ts.clock.BlockUntilContext(ctx, 1))
	assert.Assert(t, ts.lastResponse("a") == nil)
	for i := range 2 {
		ts.server.handleRenewal("c", &leaseRenewal{Partial: true, Running: []runningRequest{{ID: uint32(i), Target: idOf(target.Key())}}})
	}
	ts.resuming.Store(false)
	ts.advanceUntilResponse("a")
	assert.Equal(t, ts.lastResponse("a").Decision, decisionQueued)
}

// timerlessClock is a clock whose timers panic.
type timerlessClock struct{ clockwork.Clock }

func (timerlessClock) NewTimer(time.Duration) clockwork.Timer { panic("unexpected value") }

// A panic while a request was queued ended the coordinator's process. The request is refused instead
// and gets no slot.
func TestPanicWhileARequestIsQueuedRefusesIt(t *testing.T) {
	ts := newTestServer(t, newEngine("one", 1))
	ts.server.clock, ts.server.logger = timerlessClock{ts.clock}, zap.NewNop()
	ts.requestSlot("a", 1, 0)
	ts.requestSlot("b", 2, 0)
	ts.awaitDecision("b", decisionRefused)
	assert.Equal(t, ts.requestCount("b"), 0)
	ts.server.handleProgress("a", doneReport(1))
	assert.Equal(t, ts.running(), 0)
}

// A panic while a grant was sent ended the coordinator's process. The response is sent when the
// request is repeated.
func TestPanicWhileAGrantIsSentKeepsTheGrant(t *testing.T) {
	ts := newTestServer(t, newEngine("one", 1))
	// The panic may be logged after the end of the test.
	ts.server.logger = zap.NewNop()
	ts.requestSlot("a", 1, 0)
	ts.requestSlot("b", 2, 0)
	panicked := make(chan struct{})
	ts.server.send = func(string, []byte) error { defer close(panicked); panic("unexpected value") }
	ts.server.handleProgress("a", doneReport(1))
	<-panicked
	ts.server.send = ts.recordMessage
	assert.Equal(t, ts.requestSlot("b", 2, 0).Decision, decisionGranted)
	assert.Equal(t, ts.running(), 1)
}

// A queued request was never granted a slot if its first response ended by a panic.
func TestPanicWhileAQueuedRequestIsAnsweredLeavesItQueued(t *testing.T) {
	ts := newTestServer(t, newEngine("one", 1))
	ts.requestSlot("a", 1, 0)
	ts.server.send = func(string, []byte) error { panic("unexpected value") }
	assert.Assert(t, !contain.Run(zap.NewNop(), "message", func() { ts.requestSlot("b", 2, 0) }))
	ts.server.send = ts.recordMessage
	assert.Equal(t, ts.requestSlot("b", 2, 0).Decision, decisionQueued)
	ts.server.handleProgress("a", doneReport(1))
	ts.awaitDecision("b", decisionGranted)
	assert.Equal(t, ts.running(), 1)
}
