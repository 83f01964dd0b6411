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
	cluster := newTestCluster(t, 2)
	replica := cluster.replicas[0]
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
	cluster := newTestCluster(t, 5)
	cluster.isolate(4)
	cluster.mustApply(0, 0, "first")
	assert.Equal(t, cluster.replicas[4].Current().Version, uint64(0))
	cluster.mustPoll(4)
	assert.Equal(t, cluster.replicas[4].Current().Version, uint64(1))
	assert.Equal(t, cluster.replicas[4].Freshness().Mode, ModeFresh)
}

func TestRumorTriggersFetch(t *testing.T) {
	cluster := newTestCluster(t, 4)
	cluster.isolate(3)
	cluster.mustApply(0, 0, "first")
	cluster.reconnect()
	cluster.failTable()
	cluster.memberships[3].Publish(membership.Rumor{
		Kind: membership.RumorConfig, Rank: 1, Body: []byte(testMember(0).PeerAddress),
	})
	assert.Equal(t, len(cluster.replicas[3].fetchRequested), 1)
	cluster.replicas[3].fetchVersion(context.Background(), 1)
	assert.Equal(t, cluster.replicas[3].Current().Version, uint64(1))
}

func TestRelayReachesAllThroughDeadPeers(t *testing.T) {
	cluster := newTestCluster(t, 40)
	cluster.isolate(1, 2, 5, 7, 11)
	cluster.mustApply(0, 0, "first")
	// Relaying continues after the configuration has been accepted.
	for replicated := 0; replicated < 35; {
		replicated = 0
		for _, a := range cluster.replicas {
			if a.Current().Version == 1 {
				replicated++
			}
		}
	}
}

func TestAdmissionEndsAtMaxStaleness(t *testing.T) {
	cluster := newTestCluster(t, 3)
	replica := cluster.replicas[0]
	assert.Check(t, errors.Is(replica.CheckAdmission(), ErrStarting))
	cluster.mustPoll(0)
	assert.NilError(t, replica.CheckAdmission())
	cluster.clock.Advance(MaxStaleness - time.Millisecond)
	assert.NilError(t, replica.CheckAdmission())
	cluster.clock.Advance(time.Millisecond)
	assert.Check(t, errors.Is(replica.CheckAdmission(), ErrMayBeBehind))
	assert.Check(t, replica.Freshness().MayBeBehind)
}

func TestPausedInstanceRefusesUntilItHasHeard(t *testing.T) {
	cluster := newTestCluster(t, 3)
	replica := cluster.replicas[0]
	cluster.mustPoll(0)
	replica.updateOutageDecision(context.Background())
	cluster.clock.Advance(time.Minute)
	assert.Check(t, errors.Is(replica.CheckAdmission(), ErrMayBeBehind), "neither the stamp nor an outage decision is valid after the pause")
	cluster.mustPoll(0)
	assert.NilError(t, replica.CheckAdmission())
}

func TestProbeAckAdvancesFreshness(t *testing.T) {
	cluster := newTestCluster(t, 3)
	replica := cluster.replicas[0]
	probeSent := cluster.clock.Now()
	cluster.clock.Advance(time.Second)
	status := membership.Status{Version: 0, TableAge: 2 * time.Second, TableAgeKnown: true}
	replica.handleStatus(membership.ReceivedStatus{Member: testMember(1), Status: status})
	assert.Check(t, errors.Is(replica.CheckAdmission(), ErrStarting), "a status without a probe time may be old")
	replica.handleStatus(membership.ReceivedStatus{Member: testMember(1), Status: status, AsOf: probeSent})
	freshness := replica.Freshness()
	assert.Equal(t, freshness.Age, 3*time.Second)
	assert.Equal(t, freshness.Source, "m1")
	assert.NilError(t, replica.CheckAdmission())
}

func TestStatusOfANewerVersionDoesNotAdvanceFreshness(t *testing.T) {
	cluster := newTestCluster(t, 3)
	replica := cluster.replicas[0]
	status := membership.Status{Version: 4, TableAgeKnown: true}
	replica.handleStatus(membership.ReceivedStatus{Member: testMember(1), Status: status, AsOf: cluster.clock.Now()})
	assert.Check(t, replica.CheckAdmission() != nil)
	assert.Equal(t, len(replica.fetchRequested), 1)
}

// startOutage lets all instances read the table once and then makes it
// unavailable for longer than MaxStaleness.
func startOutage(cluster *testCluster) {
	for i := range cluster.replicas {
		cluster.mustPoll(i)
		cluster.replicas[i].updateOutageDecision(context.Background())
	}
	cluster.failTable()
	cluster.clock.Advance(MaxStaleness + time.Second)
}

func TestTableDownForAll(t *testing.T) {
	cases := []struct {
		name    string
		prepare func(cluster *testCluster)
		want    Mode
	}{
		{"connected to all members", func(cluster *testCluster) { cluster.memberships[0].setReach(5, 5) }, ModeTableDown},
		{"connected to a majority", func(cluster *testCluster) { cluster.memberships[0].setReach(3, 5) }, ModeTableDown},
		{"connected to half", func(cluster *testCluster) { cluster.memberships[0].setReach(2, 4) }, ModeMayBeBehind},
		{"last acknowledgement too old", func(*testCluster) {}, ModeMayBeBehind},
		{"newer version known but not available", func(cluster *testCluster) {
			cluster.memberships[0].setReach(5, 5)
			cluster.replicas[0].observeVersion(9)
		}, ModeMayBeBehind},
		{"paused, peers respond", func(cluster *testCluster) {
			cluster.memberships[0].setReach(5, 5)
			cluster.memberships[0].pauseListeners[0](time.Minute)
		}, ModeTableDown},
		{"paused, no peer responds", func(cluster *testCluster) {
			cluster.memberships[0].setReach(5, 5)
			cluster.memberships[0].pauseListeners[0](time.Minute)
			cluster.isolate(0)
		}, ModeMayBeBehind},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			cluster := newTestCluster(t, 5)
			startOutage(cluster)
			c.prepare(cluster)
			cluster.replicas[0].updateOutageDecision(context.Background())
			assert.Equal(t, cluster.replicas[0].Freshness().Mode, c.want)
			assert.Equal(t, cluster.replicas[0].CheckAdmission() == nil, c.want == ModeTableDown)
		})
	}
}

func TestStartingWhileTheTableIsDown(t *testing.T) {
	cases := []struct {
		name string
		// unreachable instances do not respond; uncertain ones do not know the
		// accepted version.
		unreachable, uncertain []int
		want                   Mode
	}{
		{"all peers are certain", nil, nil, ModeTableDown},
		{"three of five peers are certain", []int{5}, []int{4}, ModeTableDown},
		{"two of five peers are certain", []int{5}, []int{3, 4}, ModeStarting},
		{"no peer responds", []int{1, 2, 3, 4, 5}, nil, ModeStarting},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			cluster := newTestCluster(t, 6)
			cluster.isolate(append(c.uncertain, 0)...)
			cluster.mustApply(1, 0, "first")
			for i := 1; i < 6; i++ {
				cluster.mustPoll(i)
			}
			for _, i := range c.uncertain {
				cluster.replicas[i].freshnessStamp.Store(nil)
			}
			cluster.reconnect()
			cluster.isolate(c.unreachable...)
			cluster.failTable()
			cluster.clock.Advance(time.Minute)
			cluster.memberships[0].setReach(6, 6)
			cluster.replicas[0].updateOutageDecision(context.Background())
			assert.Equal(t, cluster.replicas[0].Freshness().Mode, c.want)
			if c.want == ModeTableDown {
				assert.Equal(t, cluster.replicas[0].Current().Version, uint64(1))
			}
		})
	}
}

func TestAcceptedSurvivesItsAcceptorAndTheTable(t *testing.T) {
	cluster := newTestCluster(t, 5)
	cluster.isolate(4)
	cluster.mustApply(0, 0, "first")
	cluster.failTable()
	cluster.reconnect()
	cluster.isolate(0)
	cluster.memberships[4].setReach(4, 5)
	cluster.replicas[4].updateOutageDecision(context.Background())
	assert.Equal(t, cluster.replicas[4].Current().Version, uint64(1))
}

func TestPollsOfAllInstancesStayWithinTheBound(t *testing.T) {
	for _, n := range []int{1, 7, 380} {
		cluster := newTestCluster(t, 1)
		var peers []membership.Member
		for i := 1; i < n; i++ {
			peers = append(peers, testMember(i))
		}
		cluster.memberships[0].SetOthers(peers...)
		minWait, maxWait := cluster.replicas[0].pollBounds(true)
		assert.Check(t, float64(n)/minWait.Seconds() <= maxPollsPerSecond)
		assert.Check(t, 2*maxWait < MaxStaleness, "%s", maxWait)
	}
}

func TestQueryVersionsFallsBackToReportedStatus(t *testing.T) {
	cluster := newTestCluster(t, 3)
	cluster.mustPoll(0)
	cluster.mustPoll(1)
	cluster.isolate(2)
	cluster.memberships[0].statuses = []membership.LastStatus{
		{Member: testMember(0), Age: 0},
		{Member: testMember(1), Age: -1},
		{Member: testMember(2), Status: membership.Status{Version: 7}, Age: time.Minute},
	}
	cluster.clock.Advance(time.Second)
	all := cluster.replicas[0].QueryVersions(context.Background())
	assert.Equal(t, len(all), 3)
	for _, v := range all[:2] {
		assert.Equal(t, v.Mode, ModeFresh)
		assert.Equal(t, v.TableAge, time.Second)
		assert.Equal(t, v.StatusAge, time.Duration(0))
	}
	assert.Equal(t, all[2].Version, uint64(7))
	assert.Equal(t, all[2].StatusAge, time.Minute)
	assert.Equal(t, all[2].Mode, Mode(""))
}
