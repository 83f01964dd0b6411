package move

import (
	"context"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/evidence"
	"github.com/hibiscuspost/hibiscuspost/internal/membership"
	"github.com/hibiscuspost/hibiscuspost/internal/platform"
	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

func never() bool { return false }

// newLowTrafficSimulation returns a simulation with a quarter of the requests.
func newLowTrafficSimulation(seed uint64, d defect, dist disturbance) *simulation {
	sim := newSimulation(seed, d, dist)
	sim.rate = requestsPerSecond / 4
	return sim
}

// analyzerIndex returns the index of the pool's analyzer.
func (sim *simulation) analyzerIndex() int {
	owner := membership.Owner(sim.viewers[0].View(), "pool/"+poolName)
	for i := range sim.viewers {
		if sim.viewers[i].View().Self.Name == owner.Name {
			return i
		}
	}
	return -1
}

// stopInstance stops an instance and removes it from the views of the others.
func (sim *simulation) stopInstance(stopped int) {
	sim.stopped[stopped] = true
	_ = sim.managers[stopped].options.Bus.Close()
	for i := range sim.viewers {
		var others []membership.Member
		for k := range sim.viewers {
			if k != i && !sim.stopped[k] {
				others = append(others, sim.viewers[k].View().Self)
			}
		}
		sim.viewers[i].SetOthers(others...)
	}
}

func (sim *simulation) row(t *testing.T) Row {
	t.Helper()
	sim.tableUnavailable = false
	row, err := sim.memory.Get(context.Background(), rowKey(poolName))
	assert.NilError(t, err)
	found, err := decodeRow(row)
	assert.NilError(t, err)
	return found.Row
}

// TestAnalyzerDeathMidMove kills each analyzer in turn: the next one carries the
// move on, and a bad version is still rolled back.
func TestAnalyzerDeathMidMove(t *testing.T) {
	for _, c := range []struct {
		name   string
		defect defect
		want   State
	}{
		{"good", defect{}, Done},
		{"slow later", defect{name: "slow later", tokenTimeFactor: 1.8, delay: 8 * time.Minute}, RolledBack},
	} {
		t.Run(c.name, func(t *testing.T) {
			sim := newLowTrafficSimulation(3, c.defect, disturbance{})
			sim.warmUp()
			sim.run(5*time.Minute, never)
			sim.stopInstance(sim.analyzerIndex())
			sim.run(7*time.Minute, never)
			assert.Equal(t, sim.row(t).State, Ramping)
			sim.run(moveTime, never)
			assert.Equal(t, sim.row(t).State, c.want)
			assert.Equal(t, sim.lateRequests, 0)
		})
	}
}

// TestRacingAnalyzers gives every instance a view without the others, so that each
// acts as the analyzer. The row must still advance by one stage at a time.
func TestRacingAnalyzers(t *testing.T) {
	sim := newLowTrafficSimulation(4, defect{}, disturbance{})
	for i := range sim.viewers {
		sim.viewers[i].SetOthers()
	}
	sim.warmUp()
	last := Row{}
	sim.run(moveTime, func() bool {
		row, err := sim.memory.Get(context.Background(), rowKey(poolName))
		assert.NilError(t, err)
		found, err := decodeRow(row)
		assert.NilError(t, err)
		assert.Assert(t, found.Row.Stage <= last.Stage+1 && found.Row.Stage >= last.Stage)
		last = found.Row
		return false
	})
	assert.Equal(t, last.State, Done)
}

// TestLostDatagrams loses 70% of the datagrams. A good version must still complete
// and a bad one must be rolled back, since the counters are cumulative.
func TestLostDatagrams(t *testing.T) {
	for _, d := range []defect{{}, defects[3]} {
		sim := newLowTrafficSimulation(5, d, disturbance{})
		sim.network.Deliver = func(string, string) bool { return sim.rng.Float64() < 0.3 }
		sim.warmUp()
		sim.run(moveTime, never)
		want := Done
		if d.name != "" {
			want = RolledBack
		}
		assert.Equal(t, sim.row(t).State, want, d.name)
	}
}

// TestEntryCutOffHoldsShare isolates one instance from the analyzer and the table
// service. It must keep the last share that it received.
func TestEntryCutOffHoldsShare(t *testing.T) {
	sim := newLowTrafficSimulation(6, defect{}, disturbance{})
	sim.warmUp()
	sim.run(6*time.Minute, never)
	isolated := (sim.analyzerIndex() + 1) % instanceCount
	address := sim.managers[isolated].options.Bus.Address()
	sim.managers[isolated].options.Table = unavailableTable{}
	sim.network.Deliver = func(from, to string) bool { return from != address && to != address }
	shareBefore := sim.managers[isolated].Status()[0].Share
	sim.run(moveTime, never)
	assert.Equal(t, sim.managers[isolated].Status()[0].Share, shareBefore)
	assert.Assert(t, sim.managers[sim.analyzerIndex()].Status()[0].Share > shareBefore)
}

// unavailableTable is a table service that is always unavailable.
type unavailableTable struct{}

func (unavailableTable) Get(context.Context, platform.Key) (platform.Row, error) {
	return platform.Row{}, platform.ErrUnavailable
}

func (unavailableTable) Scan(context.Context, string, string, int) ([]platform.Row, error) {
	return nil, platform.ErrUnavailable
}

func (unavailableTable) Commit(context.Context, []platform.Write) error {
	return platform.ErrUnavailable
}

// TestTakenBackDuringOutage shows a regression while the table service is
// unavailable. Every instance must stop using the version at once, and the row
// must follow later.
func TestTakenBackDuringOutage(t *testing.T) {
	outage := disturbance{start: time.Minute, end: 10 * time.Minute, tableDown: true}
	sim := newLowTrafficSimulation(7, defect{name: "fails", failureRate: 1, delay: time.Minute}, outage)
	sim.warmUp()
	sim.run(9*time.Minute, never)
	for _, m := range sim.managers {
		assert.Assert(t, !m.Usable(poolName, newVersion))
		assert.Equal(t, m.Pick(poolName, "tag", 3, true, 0), oldVersion)
		assert.Equal(t, m.Status()[0].State, StatusRolledBack)
	}
	assert.Equal(t, sim.lateRequests, 0)
	assert.Equal(t, sim.row(t).State, Ramping)
	sim.run(11*time.Minute, never)
	assert.Equal(t, sim.row(t).State, RolledBack)
}

// TestTakenBackStaysUntilNamedAgain changes the configuration without naming
// the version again, restarts an instance, and then names it again.
func TestTakenBackStaysUntilNamedAgain(t *testing.T) {
	sim := newLowTrafficSimulation(8, defects[0], disturbance{})
	sim.warmUp()
	sim.run(3*time.Minute, never)
	assert.Equal(t, sim.row(t).State, RolledBack)
	deadline := sim.config.Pools[0].Deadline

	sim.setConfig(3, newVersion, deadline)
	sim.run(4*time.Minute, never)
	assert.Assert(t, !sim.managers[1].Usable(poolName, newVersion))

	sim.defect = defect{}
	sim.setConfig(4, newVersion, deadline.Add(moveTime))
	sim.run(6*time.Minute, never)
	assert.Equal(t, sim.row(t).State, Ramping)
	assert.Equal(t, sim.row(t).ConfigVersion, uint64(4))
	assert.Assert(t, sim.managers[1].Usable(poolName, newVersion))
}

// TestMarkSurvivesRestart loses all rumors by replacing all instances. The row must
// still block the version.
func TestMarkSurvivesRestart(t *testing.T) {
	sim := newLowTrafficSimulation(8, defects[0], disturbance{})
	sim.warmUp()
	sim.run(3*time.Minute, never)
	sim.managers, sim.rumors, sim.viewers = nil, nil, nil
	sim.addInstance(0, []membership.Member{{Name: "entry-0", PeerAddress: "10.0.0.1:1", Incarnation: 2}})
	m := sim.managers[0]
	m.tick()
	m.tableTick(context.Background())
	m.tick()
	assert.Assert(t, !m.Usable(poolName, newVersion))
	assert.Equal(t, m.Status()[0].State, StatusRolledBack)
}

// TestOperatorsEdit applies edits of the configuration to a move in progress.
func TestOperatorsEdit(t *testing.T) {
	for _, c := range []struct {
		name    string
		version string
		later   time.Duration
		state   State
		old     string
	}{
		{"later deadline", newVersion, 2 * moveTime, Ramping, oldVersion},
		{"earlier deadline", newVersion, 8 * time.Minute, Done, oldVersion},
		{"second move to a version without targets", "v3", moveTime, Pending, oldVersion},
		{"back to the old version", oldVersion, moveTime, Done, oldVersion},
	} {
		t.Run(c.name, func(t *testing.T) {
			sim := newLowTrafficSimulation(9, defect{}, disturbance{})
			sim.warmUp()
			sim.run(5*time.Minute, never)
			sim.setConfig(3, c.version, sim.start.Add(c.later))
			sim.run(10*time.Minute, never)
			row := sim.row(t)
			assert.Equal(t, row.State, c.state)
			assert.Equal(t, row.OldVersion, c.old)
			assert.Equal(t, row.NewVersion, c.version)
		})
	}
}

// TestPendingReason names a version that no target runs. The status must say so and
// the old version must serve.
func TestPendingReason(t *testing.T) {
	sim := newLowTrafficSimulation(2, defect{}, disturbance{})
	sim.warmUp()
	sim.setConfig(3, "v9", sim.start.Add(moveTime))
	sim.run(6*time.Minute, never)
	for _, m := range sim.managers {
		s := m.Status()[0]
		assert.Equal(t, s.Phase, Pending)
		assert.Equal(t, s.OnTrack, false)
		assert.Equal(t, s.Reason, "no usable target runs v9")
		assert.Equal(t, m.Pick(poolName, "tag", 3, true, 0.0), oldVersion)
	}
}

// TestSparseTraffic moves a pool with one request a minute. A good version must
// complete on time.
func TestSparseTraffic(t *testing.T) {
	sim := newLowTrafficSimulation(2, defect{}, disturbance{})
	sim.rate = 1.0 / 60
	sim.warmUp()
	sim.run(moveTime, never)
	assert.Equal(t, sim.row(t).State, Done)
}

// TestSingleSlowTarget makes one target of a good version slow, which must not cause
// a rollback.
func TestSingleSlowTarget(t *testing.T) {
	sim := newLowTrafficSimulation(3, defect{}, disturbance{})
	for _, target := range sim.targets {
		if target.Version == newVersion {
			target.timeFactor *= 3
			break
		}
	}
	sim.warmUp()
	sim.run(moveTime, never)
	assert.Equal(t, sim.row(t).State, Done)
}

// TestFewTargetsCapShare gives the new version one target with one slot. The share
// must be capped and the move must not be on track.
func TestFewTargetsCapShare(t *testing.T) {
	sim := newLowTrafficSimulation(2, defect{}, disturbance{})
	newTargets := 0
	var targets []*simulatedTarget
	for _, target := range sim.targets {
		if target.Version == newVersion {
			if newTargets++; newTargets > 1 {
				continue
			}
			target.Slots = 1
		}
		targets = append(targets, target)
	}
	sim.targets = targets
	sim.warmUp()
	sim.run(15*time.Minute, never)
	s := sim.managers[0].Status()[0]
	assert.Equal(t, s.OnTrack, false)
	assert.Assert(t, s.Share > 0 && s.Share < 0.25, "share %v, want above 0 and below 0.25", s.Share)
	assert.Equal(t, s.Reason, "too few targets run v2 for its share")
}

// TestUnknownOutcome loses the responses of half of the commits, which still take
// effect. The move must complete.
func TestUnknownOutcome(t *testing.T) {
	sim := newLowTrafficSimulation(2, defect{}, disturbance{})
	sim.memory.InjectFault = func(_ context.Context, operation string) error {
		if operation == "commit" && sim.rng.Float64() < 0.5 {
			return platform.ErrOutcomeUnknown
		}
		return nil
	}
	sim.warmUp()
	sim.run(moveTime, never)
	assert.Equal(t, sim.row(t).State, Done)
}

// TestNonIdempotentMovesLast checks the shares by class of route.
func TestNonIdempotentMovesLast(t *testing.T) {
	all := [classCount]bool{true, true, true}
	for stage := range stages {
		row := Row{Stage: stage, Share: stages[stage].share}
		shares := sharesByClass(&row, all)
		assert.Assert(t, shares[classNonIdempotent] <= shares[classTier0] && shares[classTier0] <= shares[classLowerTiers])
		if stage < 2 {
			assert.Equal(t, shares[classNonIdempotent], 0.0)
		}
	}
	nonIdempotentOnly := sharesByClass(&Row{Share: 0.03}, [classCount]bool{classNonIdempotent: true})
	assert.Equal(t, nonIdempotentOnly[classNonIdempotent], 0.03)
}

// TestRunStopsWithContext checks that Run works next to the request path and leaves
// no goroutine when its context ends.
func TestRunStopsWithContext(t *testing.T) {
	defer goleak.VerifyNone(t)
	sim := newLowTrafficSimulation(1, defect{}, disturbance{})
	sim.warmUp()
	m := sim.managers[0]
	ctx, cancel := context.WithCancel(context.Background())
	var tasks conc.WaitGroup
	tasks.Go(func() { m.Run(ctx) })
	tasks.Go(func() {
		for range 1000 {
			version := m.Pick(poolName, "tag", 3, true, 0.01)
			m.Observe(evidence.Observation{
				Pool: poolName, Version: version, Route: "tag", Target: "t0", Failed: true, Failure: evidence.FailureBadResponse,
			})
		}
		cancel()
	})
	tasks.Wait()
}

// TestNoVersionWithoutConfig checks that any version may serve before the first
// configuration.
func TestNoVersionWithoutConfig(t *testing.T) {
	sim := newLowTrafficSimulation(1, defect{}, disturbance{})
	sim.config = nil
	m := sim.managers[0]
	m.tick()
	m.tableTick(context.Background())
	m.Observe(evidence.Observation{Pool: poolName})
	assert.Equal(t, m.Pick(poolName, "tag", tables.Tier(3), true, 0), "")
	assert.Equal(t, len(m.Status()), 0)
}
