package quota

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/hibiscuspost/hibiscuspost/internal/catalog"
)

var account = catalog.Account{Name: "a", Rate: 100, Burst: 100, CountsTokens: true, DefaultTokens: 1}

func TestTakeRefusesBeyondBurstAndRefills(t *testing.T) {
	clock := clockwork.NewFakeClock()
	l := New(clock, true)
	ok, _ := l.Take(&account, 100)
	assert.Assert(t, ok)
	ok, wait := l.Take(&account, 10)
	assert.Assert(t, !ok)
	assert.Equal(t, wait, 100*time.Millisecond)
	clock.Advance(100 * time.Millisecond)
	ok, _ = l.Take(&account, 10)
	assert.Assert(t, ok)
}

func TestHearTakesOffDifferencesOnce(t *testing.T) {
	clock := clockwork.NewFakeClock()
	l := New(clock, true)
	_, _ = l.Take(&account, 1)
	l.Hear("b", 1, nil)
	l.Hear("b", 1, []Usage{{"a", 60, 40}})
	l.Hear("b", 1, []Usage{{"a", 60, 40}})
	ok, _ := l.Take(&account, 40)
	assert.Assert(t, !ok)
	ok, _ = l.Take(&account, 39)
	assert.Assert(t, ok)
}

func TestNewInstanceTakesOverLevel(t *testing.T) {
	clock := clockwork.NewFakeClock()
	l := New(clock, false)
	_, _ = l.Take(&account, 1)
	l.Hear("b", 1, []Usage{{"a", 500, 3}})
	ok, _ := l.Take(&account, 4)
	assert.Assert(t, !ok)
}

// TestPartedInstancesStayWithinQuota plays instances that lose and regain each
// other, under load far over the quota.
func TestPartedInstancesStayWithinQuota(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClock()
		const instances = 4
		names := []string{"0", "1", "2", "3"}
		var ledgers []*Ledger
		for range instances {
			ledgers = append(ledgers, New(clock, true))
		}
		cut := make([]bool, instances)
		step := 50 * time.Millisecond
		taken := 0.0
		const steps = 200
		for range steps {
			if rapid.IntRange(0, 30).Draw(t, "cut") == 0 {
				i := rapid.IntRange(0, instances-1).Draw(t, "which")
				cut[i] = !cut[i]
			}
			for i, from := range ledgers {
				for range 20 {
					if ok, _ := from.Take(&account, 1); ok {
						taken++
					}
				}
				for j, to := range ledgers {
					if i != j && !cut[i] && !cut[j] {
						to.Hear(names[i], 1, from.Usages())
					}
				}
			}
			clock.Advance(step)
		}
		span := float64(steps) * step.Seconds()
		// An instance that leaves and returns may have used, unseen, one silence
		// and one share; the platform's tolerance is 10 % and a fixed slack.
		allowed := (account.Rate*span+account.Burst)*1.1 + 10*account.Burst
		if taken > allowed {
			t.Fatalf("took %.0f of %.0f", taken, allowed)
		}
	})
}
