package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/catalog"
)

var account = catalog.Account{Name: "a", Rate: 100, Burst: 100, CountsTokens: true, DefaultTokens: 1}

func newLedger(clock clockwork.Clock, seed uint64, tolerance Tolerance, first bool) *Limiter {
	return New(clock, rand.New(rand.NewPCG(seed, 8)), tolerance, first)
}

func TestTakeRefusesBeyondBurstAndRefills(t *testing.T) {
	clock := clockwork.NewFakeClock()
	l := newLedger(clock, 1, Tolerance{}, true)
	ok, _ := l.Take(&account, 0, 100)
	assert.Assert(t, ok)
	ok, wait := l.Take(&account, 0, 10)
	assert.Assert(t, !ok)
	assert.Equal(t, wait, 100*time.Millisecond)
	clock.Advance(100 * time.Millisecond)
	ok, _ = l.Take(&account, 0, 10)
	assert.Assert(t, ok)
}

func TestLowerPrioritiesLeaveTheRestToHigherOnes(t *testing.T) {
	l := newLedger(clockwork.NewFakeClock(), 1, Tolerance{}, true)
	taken := [3]int{}
	for range 100 {
		for p := len(taken) - 1; p >= 0; p-- {
			if ok, _ := l.Take(&account, p, 5); ok {
				taken[p]++
			}
		}
	}
	assert.DeepEqual(t, taken, [3]int{9, 6, 5})
}

func TestHearTakesOffDifferencesOnce(t *testing.T) {
	clock := clockwork.NewFakeClock()
	l := newLedger(clock, 1, Tolerance{}, true)
	_, _ = l.Take(&account, 0, 1)
	l.ApplyUsage(Peer{Name: "b", Incarnation: 1}, nil)
	l.ApplyUsage(Peer{Name: "b", Incarnation: 1}, []Usage{{Account: "a", Total: 60, Level: 40}})
	l.ApplyUsage(Peer{Name: "b", Incarnation: 1}, []Usage{{Account: "a", Total: 60, Level: 40}})
	ok, _ := l.Take(&account, 0, 40)
	assert.Assert(t, !ok)
	ok, _ = l.Take(&account, 0, 39)
	assert.Assert(t, ok)
}

// What was assumed of a silent instance is given back for each account that it
// names, in however many messages.
func TestAssumedUseIsGivenBackInParts(t *testing.T) {
	clock := clockwork.NewFakeClock()
	l := newLedger(clock, 1, Tolerance{}, true)
	other := account
	other.Name = "b"
	for _, a := range []*catalog.Account{&account, &other} {
		_, _ = l.Take(a, 0, 1)
	}
	l.ApplyUsage(Peer{Name: "peer", Incarnation: 1}, []Usage{{Account: "a", Level: 99}, {Account: "b", Level: 99}})
	clock.Advance(silence)
	ok, _ := l.Take(&account, 0, 90)
	assert.Assert(t, !ok, "half is assumed to be taken")
	l.ApplyUsage(Peer{Name: "peer", Incarnation: 1}, []Usage{{Account: "a", Level: 99}})
	l.ApplyUsage(Peer{Name: "peer", Incarnation: 1}, []Usage{{Account: "b", Level: 99}})
	for _, a := range []*catalog.Account{&account, &other} {
		ok, _ = l.Take(a, 0, 90)
		assert.Assert(t, ok, a.Name)
	}
}

func TestTotalOfAPeerThatHasJustStartedIsTakenOff(t *testing.T) {
	for _, young := range []bool{false, true} {
		l := newLedger(clockwork.NewFakeClock(), 1, Tolerance{}, true)
		_, _ = l.Take(&account, 0, 1)
		l.ApplyUsage(Peer{Name: "b", Incarnation: 1, JustStarted: young}, []Usage{{Account: "a", Total: 60, Level: 99}})
		ok, _ := l.Take(&account, 0, 50)
		assert.Equal(t, ok, !young)
	}
}

func TestReportsNameWhatHasChangedAndTheRestInTurn(t *testing.T) {
	clock := clockwork.NewFakeClock()
	l := newLedger(clock, 1, Tolerance{}, true)
	const accounts = 200
	for i := range accounts {
		a := account
		a.Name = fmt.Sprint("account ", i)
		_, _ = l.Take(&a, 0, 1)
	}
	assert.Equal(t, len(l.OwnUsage()), accounts)
	clock.Advance(tellFor + time.Millisecond)
	told := make(map[string]bool)
	for range tellAgain {
		usages := l.OwnUsage()
		assert.Assert(t, len(usages) < accounts/3, "%d told at once", len(usages))
		for _, u := range usages {
			told[u.Account] = true
		}
	}
	assert.Equal(t, len(told), accounts)
}

func TestNewInstanceTakesOverLevel(t *testing.T) {
	clock := clockwork.NewFakeClock()
	l := newLedger(clock, 1, Tolerance{}, false)
	_, _ = l.Take(&account, 0, 1)
	l.ApplyUsage(Peer{Name: "b", Incarnation: 1}, []Usage{{Account: "a", Total: 500, Level: 3}})
	ok, _ := l.Take(&account, 0, 4)
	assert.Assert(t, !ok)
}

// TestPartedInstancesStayWithinQuota plays instances that lose and regain each
// other at random, under load far over the quota, and bounds what all take in
// any window by what the operator tolerates.
func TestPartedInstancesStayWithinQuota(t *testing.T) {
	const seeds = 100
	for seed := range uint64(seeds) {
		playParted(t, rand.New(rand.NewPCG(seed, 1)))
	}
}

// TestRestartOfAllStaysWithinQuota plays the moment at which all of many
// instances lose what they know, start again under load far over the quota, and
// have not heard each other for a while.
func TestRestartOfAllStaysWithinQuota(t *testing.T) {
	for _, instances := range []int{2, 7, 78, 380} {
		playRestart(t, instances)
	}
}

func playRestart(t *testing.T, instances int) {
	const (
		step, silentSteps = 50 * time.Millisecond, 8
		charge            = 7000
	)
	tolerance := Tolerance{Window: 8 * time.Second, Overrun: 0.1, Slack: 140000}
	account := catalog.Account{Name: "a", Rate: 585000, Burst: 585000, CountsTokens: true}
	clock := clockwork.NewFakeClock()
	ledgers := make([]*Limiter, instances)
	for i := range ledgers {
		ledgers[i] = newLedger(clock, uint64(i), tolerance, false)
		ledgers[i].SetInstanceCount(instances)
	}
	taken := 0.0
	for at := range 30 {
		for i, from := range ledgers {
			for range 2 {
				if ok, _ := from.Take(&account, 0, charge); ok {
					taken += charge
				}
			}
			if at < silentSteps {
				continue
			}
			for j, to := range ledgers {
				if i != j {
					to.ApplyUsage(Peer{Name: fmt.Sprint(i), Incarnation: 1, JustStarted: true}, from.OwnUsage())
				}
			}
		}
		clock.Advance(step)
	}
	// What was taken before the restart may have been all that a window allows
	// but for the tolerance.
	since := account.Rate*(30*step).Seconds() + tolerance.Overrun*(account.Rate*8+account.Burst) + tolerance.Slack
	assert.Assert(t, taken <= since, "%d instances took %.0f of %.0f", instances, taken, since)
	assert.Assert(t, taken >= account.Rate*(20*step).Seconds()/2, "%d instances took %.0f", instances, taken)
}

func playParted(t *testing.T, random *rand.Rand) {
	const (
		instances = 4
		steps     = 400
		step      = 50 * time.Millisecond
		window    = 8 * time.Second
		cutChance = 0.03
	)
	account := catalog.Account{Name: "a", Rate: 36000, Burst: 36000, CountsTokens: true}
	tolerance := Tolerance{Window: window, Overrun: 0.1, Slack: 140000}
	allowed := (account.Rate*window.Seconds()+account.Burst)*(1+tolerance.Overrun) + tolerance.Slack
	clock := clockwork.NewFakeClock()
	ledgers := make([]*Limiter, instances)
	for i := range ledgers {
		ledgers[i] = newLedger(clock, uint64(i), tolerance, true)
	}
	var cut [instances]bool
	taken := make([]float64, steps)
	for at := range taken {
		if at > 10 && random.Float64() < cutChance {
			i := random.IntN(instances)
			cut[i] = !cut[i]
		}
		for i, from := range ledgers {
			// Each instance is asked for three times the whole rate.
			for range 9 {
				if ok, _ := from.Take(&account, 0, 600); ok {
					taken[at] += 600
				}
			}
			for j, to := range ledgers {
				if i != j && !cut[i] && !cut[j] {
					to.ApplyUsage(Peer{Name: string(rune('a' + i)), Incarnation: 1}, from.OwnUsage())
				}
			}
		}
		clock.Advance(step)
		sum := 0.0
		for back := range int(window / step) {
			if at-back >= 0 {
				sum += taken[at-back]
			}
		}
		assert.Assert(t, sum <= allowed, "took %.0f of %.0f at step %d", sum, allowed, at)
	}
}
