package configuration

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/membership"
)

func instances(indexes ...int) []membership.Member {
	var all []membership.Member
	for _, i := range indexes {
		all = append(all, testMember(i))
	}
	return all
}

func TestVersionNeverFalls(t *testing.T) {
	f := newTestCluster(t, 2)
	replica := f.replicas[0]
	var versions []uint64
	for _, version := range []uint64{3, 2, 5, 5, 4} {
		applied := testTables("x")
		applied.Version = version
		replica.install(&applied, "test")
		versions = append(versions, replica.Current().Version)
	}
	assert.DeepEqual(t, versions, []uint64{3, 3, 5, 5, 5})
}

func TestPollFindsWhatNoPushBrought(t *testing.T) {
	f := newTestCluster(t, 5)
	f.isolate(4)
	f.mustApply(0, 0, "first")
	assert.Equal(t, f.replicas[4].Current().Version, uint64(0))
	f.mustPoll(4)
	assert.Equal(t, f.replicas[4].Current().Version, uint64(1))
	assert.Equal(t, f.replicas[4].Freshness().Mode, ModeFresh)
}

func TestRumorTriggersFetch(t *testing.T) {
	f := newTestCluster(t, 4)
	f.isolate(3)
	f.mustApply(0, 0, "first")
	f.reconnect()
	f.failTable()
	f.memberships[3].Publish(membership.Rumor{
		Kind: membership.RumorConfig, Rank: 1, Body: []byte(testMember(0).PeerAddress),
	})
	assert.Equal(t, len(f.replicas[3].fetchRequested), 1)
	f.replicas[3].fetchVersion(context.Background(), 1)
	assert.Equal(t, f.replicas[3].Current().Version, uint64(1))
}

func TestRelayReachesAllThroughDeadPeers(t *testing.T) {
	f := newTestCluster(t, 40)
	f.isolate(1, 2, 5, 7, 11)
	f.mustApply(0, 0, "first")
	// The tree goes on after the acceptance; all of it ends with the relays.
	for replicated := 0; replicated < 35; {
		replicated = 0
		for _, a := range f.replicas {
			if a.Current().Version == 1 {
				replicated++
			}
		}
	}
}

func TestAdmissionEndsAtMaxStaleness(t *testing.T) {
	f := newTestCluster(t, 3)
	replica := f.replicas[0]
	assert.Check(t, errors.Is(replica.CheckAdmission(), ErrStarting))
	f.mustPoll(0)
	assert.NilError(t, replica.CheckAdmission())
	f.clock.Advance(MaxStaleness - time.Millisecond)
	assert.NilError(t, replica.CheckAdmission())
	f.clock.Advance(time.Millisecond)
	assert.Check(t, errors.Is(replica.CheckAdmission(), ErrMayBeBehind))
	assert.Check(t, replica.Freshness().MayBeBehind)
}

func TestPausedInstanceRefusesUntilItHasHeard(t *testing.T) {
	f := newTestCluster(t, 3)
	replica := f.replicas[0]
	f.mustPoll(0)
	replica.updateOutageDecision(context.Background())
	f.clock.Advance(time.Minute)
	assert.Check(t, errors.Is(replica.CheckAdmission(), ErrMayBeBehind), "the old decision does not hold")
	f.mustPoll(0)
	assert.NilError(t, replica.CheckAdmission())
}

func TestProbeAckAdvancesFreshness(t *testing.T) {
	f := newTestCluster(t, 3)
	replica := f.replicas[0]
	probeSent := f.clock.Now()
	f.clock.Advance(time.Second)
	status := membership.Status{Version: 0, TableAge: 2 * time.Second, TableKnown: true}
	replica.handleStatus(membership.Heard{Member: testMember(1), Status: status})
	assert.Check(t, errors.Is(replica.CheckAdmission(), ErrStarting), "an unsolicited status may be old")
	replica.handleStatus(membership.Heard{Member: testMember(1), Status: status, AsOf: probeSent})
	freshness := replica.Freshness()
	assert.Equal(t, freshness.Age, 3*time.Second)
	assert.Equal(t, freshness.Source, "m1")
	assert.NilError(t, replica.CheckAdmission())
}

func TestStatusOfANewerVersionDoesNotAdvanceFreshness(t *testing.T) {
	f := newTestCluster(t, 3)
	replica := f.replicas[0]
	status := membership.Status{Version: 4, TableKnown: true}
	replica.handleStatus(membership.Heard{Member: testMember(1), Status: status, AsOf: f.clock.Now()})
	assert.Check(t, replica.CheckAdmission() != nil)
	assert.Equal(t, len(replica.fetchRequested), 1)
}

// startOutage lets all read the table once and then takes it down beyond the bound.
func startOutage(f *testCluster) {
	for i := range f.replicas {
		f.mustPoll(i)
		f.replicas[i].updateOutageDecision(context.Background())
	}
	f.failTable()
	f.clock.Advance(MaxStaleness + time.Second)
}

func TestTableDownForAll(t *testing.T) {
	cases := []struct {
		name    string
		prepare func(f *testCluster)
		want    Mode
	}{
		{"in contact with all", func(f *testCluster) { f.memberships[0].setReach(5, 5) }, ModeTableDown},
		{"with a majority", func(f *testCluster) { f.memberships[0].setReach(3, 5) }, ModeTableDown},
		{"with half", func(f *testCluster) { f.memberships[0].setReach(2, 4) }, ModeMayBeBehind},
		{"hears nobody", func(*testCluster) {}, ModeMayBeBehind},
		{"knows of a newer version that nobody gives", func(f *testCluster) {
			f.memberships[0].setReach(5, 5)
			f.replicas[0].observeVersion(9)
		}, ModeMayBeBehind},
		{"paused, and peers answer", func(f *testCluster) {
			f.memberships[0].setReach(5, 5)
			f.memberships[0].pauseListeners[0](time.Minute)
		}, ModeTableDown},
		{"paused, and no peer answers", func(f *testCluster) {
			f.memberships[0].setReach(5, 5)
			f.memberships[0].pauseListeners[0](time.Minute)
			f.isolate(0)
		}, ModeMayBeBehind},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newTestCluster(t, 5)
			startOutage(f)
			c.prepare(f)
			f.replicas[0].updateOutageDecision(context.Background())
			assert.Equal(t, f.replicas[0].Freshness().Mode, c.want)
			assert.Equal(t, f.replicas[0].CheckAdmission() == nil, c.want == ModeTableDown)
		})
	}
}

func TestStartingWhileTheTableIsDown(t *testing.T) {
	cases := []struct {
		name string
		// unreachable and new are instances that do not answer, or do not know.
		unreachable, uncertain []int
		want                   Mode
	}{
		{"all others know", nil, nil, ModeTableDown},
		{"three of five others know", []int{5}, []int{4}, ModeTableDown},
		{"half of them were replaced too", []int{5}, []int{3, 4}, ModeStarting},
		{"none answers", []int{1, 2, 3, 4, 5}, nil, ModeStarting},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newTestCluster(t, 6)
			f.isolate(append(c.uncertain, 0)...)
			f.mustApply(1, 0, "first")
			for i := 1; i < 6; i++ {
				f.mustPoll(i)
			}
			for _, i := range c.uncertain {
				f.replicas[i].freshnessStamp.Store(nil)
			}
			f.reconnect()
			f.isolate(c.unreachable...)
			f.failTable()
			f.clock.Advance(time.Minute)
			f.memberships[0].setReach(6, 6)
			f.replicas[0].updateOutageDecision(context.Background())
			assert.Equal(t, f.replicas[0].Freshness().Mode, c.want)
			if c.want == ModeTableDown {
				assert.Equal(t, f.replicas[0].Current().Version, uint64(1))
			}
		})
	}
}

func TestAcceptedSurvivesItsAcceptorAndTheTable(t *testing.T) {
	f := newTestCluster(t, 5)
	f.isolate(4)
	f.mustApply(0, 0, "first")
	f.failTable()
	f.reconnect()
	f.isolate(0)
	f.memberships[4].setReach(4, 5)
	f.replicas[4].updateOutageDecision(context.Background())
	assert.Equal(t, f.replicas[4].Current().Version, uint64(1))
}

func TestPollsOfAllInstancesStayWithinTheBound(t *testing.T) {
	for _, n := range []int{1, 7, 380} {
		f := newTestCluster(t, 1)
		var peers []membership.Member
		for i := 1; i < n; i++ {
			peers = append(peers, testMember(i))
		}
		f.memberships[0].Set(peers...)
		minWait, maxWait := f.replicas[0].pollBounds(true)
		assert.Check(t, float64(n)/minWait.Seconds() <= maxPollsPerSecond)
		assert.Check(t, 2*maxWait < MaxStaleness, "%s", maxWait)
	}
}

func TestQueryVersionsFallsBackToReportedStatus(t *testing.T) {
	f := newTestCluster(t, 3)
	f.mustPoll(0)
	f.mustPoll(1)
	f.isolate(2)
	f.memberships[0].statuses = []membership.LastStatus{
		{Member: testMember(0), Age: 0},
		{Member: testMember(1), Age: -1},
		{Member: testMember(2), Status: membership.Status{Version: 7}, Age: time.Minute},
	}
	f.clock.Advance(time.Second)
	all := f.replicas[0].QueryVersions(context.Background())
	assert.Equal(t, len(all), 3)
	for _, v := range all[:2] {
		assert.Equal(t, v.Mode, ModeFresh)
		assert.Equal(t, v.TableAge, time.Second)
		assert.Equal(t, v.ReportAge, time.Duration(0))
	}
	assert.Equal(t, all[2].Version, uint64(7))
	assert.Equal(t, all[2].ReportAge, time.Minute)
	assert.Equal(t, all[2].Mode, Mode(""))
}
