package quarantine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestVerdictNeedsTargetsThatHaveEnded(t *testing.T) {
	f := newFleet(2)
	r, restarted := f.registries[0], f.registries[1]
	f.crashThree(r)
	verdicts, own := r.Verdicts()
	assert.Assert(t, r.ShouldRefuse(crashing) && len(verdicts) == 0 && !own, "the targets may have survived")
	r.Resolve(func(string, time.Time) Liveness { return Ended })
	verdicts, own = r.Verdicts()
	assert.Assert(t, len(verdicts) == 1 && own)
	_, own = r.Verdicts()
	assert.Assert(t, !own, "a verdict is new once")

	restarted.AddVerdict(verdicts[0])
	assert.Assert(t, restarted.ShouldRefuse(crashing))
	verdicts, own = restarted.Verdicts()
	assert.Assert(t, len(verdicts) == 1 && !own, "a verdict that was read is stored on, but not at once")
	f.clock.Advance(DefaultRetention + time.Second)
	assert.Assert(t, !restarted.ShouldRefuse(crashing))
}

func TestCompletionOverridesAVerdict(t *testing.T) {
	f := newFleet(1)
	r := f.registries[0]
	a := r.Start(crashing, "four", 0)
	r.AddVerdict(Verdict{crashing, f.clock.Now()})
	assert.Assert(t, r.ShouldRefuse(crashing))
	f.clock.Advance(time.Second)
	a.End(Completed)
	assert.Assert(t, !r.ShouldRefuse(crashing))
	r.AddVerdict(Verdict{crashing, f.clock.Now().Add(-time.Second)})
	assert.Assert(t, !r.ShouldRefuse(crashing), "an old verdict was read again")
}

func TestInvalidVerdictIsIgnored(t *testing.T) {
	f := newFleet(1)
	r := f.registries[0]
	r.AddVerdict(Verdict{"not hexadecimal", f.clock.Now()})
	r.AddVerdict(Verdict{"00", f.clock.Now()})
	r.AddVerdict(Verdict{crashing, f.clock.Now().Add(-2 * DefaultRetention)})
	assert.Equal(t, len(r.suspects), 0)
}
