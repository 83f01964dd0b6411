package configuration

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/membership"
)

func shuffledInstances(indexes ...int) []membership.Member {
	var all []membership.Member
	for _, i := range indexes {
		all = append(all, instance(i))
	}
	return all
}

func TestVersionNeverFalls(t *testing.T) {
	f := newFleet(t, 2)
	a := f.all[0]
	var seen []uint64
	for _, version := range []uint64{3, 2, 5, 5, 4} {
		t1 := sample("x")
		t1.Version = version
		a.adopt(&t1, "test")
		seen = append(seen, a.Current().Version)
	}
	assert.DeepEqual(t, seen, []uint64{3, 3, 5, 5, 5})
}

func TestPollFindsWhatNoPushBrought(t *testing.T) {
	f := newFleet(t, 5)
	f.silence(4)
	f.mustApply(0, 0, "first")
	assert.Equal(t, f.all[4].Current().Version, uint64(0))
	f.poll(4)
	assert.Equal(t, f.all[4].Current().Version, uint64(1))
	assert.Equal(t, f.all[4].Freshness().Mode, ModeFresh)
}

func TestRumourMakesAPeerPull(t *testing.T) {
	f := newFleet(t, 4)
	f.silence(3)
	f.mustApply(0, 0, "first")
	f.heal()
	f.tableDown()
	f.members[3].Publish(membership.Rumor{
		Kind: membership.RumorConfig, Rank: 1, Body: []byte(instance(0).PeerAddress),
	})
	assert.Equal(t, len(f.all[3].fetches), 1)
	f.all[3].fetch(context.Background(), 1)
	assert.Equal(t, f.all[3].Current().Version, uint64(1))
}

func TestRelayReachesAllThroughDeadPeers(t *testing.T) {
	f := newFleet(t, 40)
	f.silence(1, 2, 5, 7, 11)
	f.mustApply(0, 0, "first")
	// The tree goes on after the acceptance; all of it ends with the relays.
	for reached := 0; reached < 35; {
		reached = 0
		for _, a := range f.all {
			if a.Current().Version == 1 {
				reached++
			}
		}
	}
}

func TestAdmissionEndsWithTheBound(t *testing.T) {
	f := newFleet(t, 3)
	a := f.all[0]
	assert.Check(t, errors.Is(a.CheckAdmission(), ErrStarting))
	f.poll(0)
	assert.NilError(t, a.CheckAdmission())
	f.clock.Advance(MaxStaleness - time.Millisecond)
	assert.NilError(t, a.CheckAdmission())
	f.clock.Advance(time.Millisecond)
	assert.Check(t, errors.Is(a.CheckAdmission(), ErrMayBeBehind))
	assert.Check(t, a.Freshness().MayBeBehind)
}

func TestPausedInstanceRefusesUntilItHasHeard(t *testing.T) {
	f := newFleet(t, 3)
	a := f.all[0]
	f.poll(0)
	a.decide(context.Background())
	f.clock.Advance(time.Minute)
	assert.Check(t, errors.Is(a.CheckAdmission(), ErrMayBeBehind), "the old decision does not hold")
	f.poll(0)
	assert.NilError(t, a.CheckAdmission())
}

func TestFreshnessIsPassedOnByAnsweredProbes(t *testing.T) {
	f := newFleet(t, 3)
	a := f.all[0]
	sent := f.clock.Now()
	f.clock.Advance(time.Second)
	status := membership.Status{Version: 0, TableAge: 2 * time.Second, TableKnown: true}
	a.hear(membership.Heard{Member: instance(1), Status: status})
	assert.Check(t, errors.Is(a.CheckAdmission(), ErrStarting), "an unsolicited status may be old")
	a.hear(membership.Heard{Member: instance(1), Status: status, AsOf: sent})
	fresh := a.Freshness()
	assert.Equal(t, fresh.Age, 3*time.Second)
	assert.Equal(t, fresh.Source, "m1")
	assert.NilError(t, a.CheckAdmission())
}

func TestFreshnessOfANewerVersionDoesNotVouchForTheOwn(t *testing.T) {
	f := newFleet(t, 3)
	a := f.all[0]
	status := membership.Status{Version: 4, TableKnown: true}
	a.hear(membership.Heard{Member: instance(1), Status: status, AsOf: f.clock.Now()})
	assert.Check(t, a.CheckAdmission() != nil)
	assert.Equal(t, len(a.fetches), 1)
}

// outage lets all read the table once and then takes it down beyond the bound.
func outage(f *fleet) {
	for i := range f.all {
		f.poll(i)
		f.all[i].decide(context.Background())
	}
	f.tableDown()
	f.clock.Advance(MaxStaleness + time.Second)
}

func TestTableDownForAll(t *testing.T) {
	cases := []struct {
		name    string
		prepare func(f *fleet)
		want    Mode
	}{
		{"in contact with all", func(f *fleet) { f.members[0].inContact(5, 5) }, ModeTableDown},
		{"with a majority", func(f *fleet) { f.members[0].inContact(3, 5) }, ModeTableDown},
		{"with half", func(f *fleet) { f.members[0].inContact(2, 4) }, ModeMayBeBehind},
		{"hears nobody", func(*fleet) {}, ModeMayBeBehind},
		{"knows of a newer version that nobody gives", func(f *fleet) {
			f.members[0].inContact(5, 5)
			f.all[0].want(9)
		}, ModeMayBeBehind},
		{"paused, and peers answer", func(f *fleet) {
			f.members[0].inContact(5, 5)
			f.members[0].paused[0](time.Minute)
		}, ModeTableDown},
		{"paused, and no peer answers", func(f *fleet) {
			f.members[0].inContact(5, 5)
			f.members[0].paused[0](time.Minute)
			f.silence(0)
		}, ModeMayBeBehind},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t, 5)
			outage(f)
			c.prepare(f)
			f.all[0].decide(context.Background())
			assert.Equal(t, f.all[0].Freshness().Mode, c.want)
			assert.Equal(t, f.all[0].CheckAdmission() == nil, c.want == ModeTableDown)
		})
	}
}

func TestStartingWhileTheTableIsDown(t *testing.T) {
	cases := []struct {
		name string
		// silent and new are instances that do not answer, or do not know.
		silent, fresh []int
		want          Mode
	}{
		{"all others know", nil, nil, ModeTableDown},
		{"three of five others know", []int{5}, []int{4}, ModeTableDown},
		{"half of them were replaced too", []int{5}, []int{3, 4}, ModeStarting},
		{"none answers", []int{1, 2, 3, 4, 5}, nil, ModeStarting},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t, 6)
			f.silence(append(c.fresh, 0)...)
			f.mustApply(1, 0, "first")
			for i := 1; i < 6; i++ {
				f.poll(i)
			}
			for _, i := range c.fresh {
				f.all[i].stamp.Store(nil)
			}
			f.heal()
			f.silence(c.silent...)
			f.tableDown()
			f.clock.Advance(time.Minute)
			f.members[0].inContact(6, 6)
			f.all[0].decide(context.Background())
			assert.Equal(t, f.all[0].Freshness().Mode, c.want)
			if c.want == ModeTableDown {
				assert.Equal(t, f.all[0].Current().Version, uint64(1))
			}
		})
	}
}

func TestAcceptedSurvivesItsAcceptorAndTheTable(t *testing.T) {
	f := newFleet(t, 5)
	f.silence(4)
	f.mustApply(0, 0, "first")
	f.tableDown()
	f.heal()
	f.silence(0)
	f.members[4].inContact(4, 5)
	f.all[4].decide(context.Background())
	assert.Equal(t, f.all[4].Current().Version, uint64(1))
}

func TestPollsOfAllInstancesStayWithinTheBound(t *testing.T) {
	for _, n := range []int{1, 7, 380} {
		f := newFleet(t, 1)
		var others []membership.Member
		for i := 1; i < n; i++ {
			others = append(others, instance(i))
		}
		f.members[0].Set(others...)
		least, most := f.all[0].pollBounds(true)
		assert.Check(t, float64(n)/least.Seconds() <= pollsPerSecond)
		assert.Check(t, 2*most < MaxStaleness, "%s", most)
	}
}

func TestSurveyAsksAllAndFallsBackToWhatWasHeard(t *testing.T) {
	f := newFleet(t, 3)
	f.poll(0)
	f.poll(1)
	f.silence(2)
	f.members[0].statuses = []membership.LastStatus{
		{Member: instance(0), Age: 0},
		{Member: instance(1), Age: -1},
		{Member: instance(2), Status: membership.Status{Version: 7}, Age: time.Minute},
	}
	f.clock.Advance(time.Second)
	all := f.all[0].QueryVersions(context.Background())
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
