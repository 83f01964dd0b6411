package quarantine

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/membership"
)

// lists returns the lists of several instances joined by rumours.
func lists(count int) ([]*List, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	var all []*List
	var sets []*membership.LocalRumors
	for range count {
		set := membership.NewLocalRumors()
		sets = append(sets, set)
		all = append(all, New(Options{Rumors: set, Clock: clock, Limit: 16}))
	}
	membership.ConnectLocalRumors(sets...)
	return all, clock
}

const (
	poison   Fingerprint = "poison"
	innocent Fingerprint = "innocent"
	other    Fingerprint = "other"
)

// crashWith lets requests run on a target until it crashes; request i runs at
// instance i modulo their number.
func crashWith(all []*List, clock *clockwork.FakeClock, target string, requests ...Fingerprint) {
	for i, fp := range requests {
		all[i%len(all)].Running(fp, target)
	}
	clock.Advance(time.Second)
	for _, l := range all {
		l.Crashed(target)
	}
	for i, fp := range requests {
		all[i%len(all)].Done(fp, target, false)
	}
}

// run lets a request finish at a target.
func run(l *List, clock *clockwork.FakeClock, fp Fingerprint, target string) {
	l.Running(fp, target)
	clock.Advance(time.Millisecond)
	l.Done(fp, target, true)
}

func TestVerdicts(t *testing.T) {
	tests := []struct {
		name    string
		crashes func([]*List, *clockwork.FakeClock)
		guilty  []Fingerprint
	}{
		{
			"one crash is no proof",
			func(all []*List, c *clockwork.FakeClock) { crashWith(all, c, "t1", poison, innocent) }, nil,
		},
		{
			"two crashes of one target are no proof",
			func(all []*List, c *clockwork.FakeClock) {
				crashWith(all, c, "t1", poison)
				crashWith(all, c, "t1", poison)
			}, nil,
		},
		{
			"two targets, with others beside it each time",
			func(all []*List, c *clockwork.FakeClock) {
				crashWith(all, c, "t1", poison, innocent)
				crashWith(all, c, "t2", other, poison)
			},
			[]Fingerprint{poison},
		},
		{
			"the same neighbour both times leaves it open",
			func(all []*List, c *clockwork.FakeClock) {
				crashWith(all, c, "t1", poison, innocent)
				crashWith(all, c, "t2", innocent, poison)
			}, nil,
		},
		{
			"a neighbour that finished since is innocent",
			func(all []*List, c *clockwork.FakeClock) {
				crashWith(all, c, "t1", poison, innocent)
				crashWith(all, c, "t2", innocent, poison)
				run(all[0], c, innocent, "t3")
			},
			[]Fingerprint{poison},
		},
		{
			"a third crash alone settles it",
			func(all []*List, c *clockwork.FakeClock) {
				crashWith(all, c, "t1", poison, innocent)
				crashWith(all, c, "t2", innocent, poison)
				crashWith(all, c, "t3", poison)
			},
			[]Fingerprint{poison},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			all, clock := lists(3)
			test.crashes(all, clock)
			clock.Advance(SettleTime)
			for _, l := range all {
				for _, fp := range []Fingerprint{poison, innocent, other} {
					assert.Equal(t, l.Quarantined(fp), slices.Contains(test.guilty, fp), "%s", fp)
				}
			}
		})
	}
}

func TestSuspectIsHeldBackUntilTheVerdict(t *testing.T) {
	all, clock := lists(2)
	crashWith(all, clock, "t1", poison, innocent)
	crashWith(all, clock, "t2", poison, innocent)
	assert.Assert(t, all[0].Quarantined(poison) && all[0].Quarantined(innocent))
	clock.Advance(SettleTime)
	assert.Assert(t, !all[0].Quarantined(poison) && !all[0].Quarantined(innocent))
}

func TestSuspectsRunApart(t *testing.T) {
	all, clock := lists(1)
	l := all[0]
	crashWith(all, clock, "t1", poison, innocent)
	assert.Assert(t, !l.MayRun(poison, "t1"), "not where it may have caused a crash")
	assert.Assert(t, l.MayRun(poison, "t2"))
	l.Running(innocent, "t2")
	assert.Assert(t, !l.MayRun(poison, "t2"))
	assert.Assert(t, l.MayRun(other, "t2"))
	l.Done(innocent, "t2", true)
	assert.Assert(t, l.MayRun(poison, "t2"))
	assert.Assert(t, !l.Suspect(innocent))
}

func TestListAgesAndIsBounded(t *testing.T) {
	all, clock := lists(2)
	crashWith(all, clock, "t1", poison)
	crashWith(all, clock, "t2", poison)
	clock.Advance(SettleTime)
	assert.Assert(t, all[1].Quarantined(poison))
	clock.Advance(DefaultKeep + time.Second)
	assert.Assert(t, !all[1].Quarantined(poison))
	for i := range 100 {
		crashWith(all, clock, "t1", Fingerprint(strconv.Itoa(i)))
	}
	assert.Assert(t, len(all[1].cases) <= 16)
	assert.Assert(t, all[1].Suspect("99"))
}

func TestFingerprintTellsRequestsApart(t *testing.T) {
	one := FingerprintOf("acme", "/v1/completions", []byte("x"))
	assert.Equal(t, one, FingerprintOf("acme", "/v1/completions", []byte("x")))
	assert.Assert(t, one != FingerprintOf("acme", "/v1/completions", []byte("y")))
	assert.Assert(t, one != FingerprintOf("bolt", "/v1/completions", []byte("x")))
}
