package quarantine

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// prompts are requests that share parts; no two are alike.
type prompts struct {
	*fleet
	sent int
}

// attempt starts the next request with the given parts.
func (p *prompts) attempt(r *Registry, target string, parts ...string) *Attempt {
	p.sent++
	return r.Start(NewFingerprint("a", "/p", fmt.Append(nil, p.sent)), target, 0, NewPartFingerprints(parts)...)
}

// crash runs a request with the given parts at a target that crashes, beside others.
func (p *prompts) crash(r *Registry, target string, others []*Attempt, parts ...string) {
	a := p.attempt(r, target, parts...)
	p.clock.Advance(50 * time.Millisecond)
	for _, other := range others {
		other.End(Broken)
	}
	a.End(Broken)
}

// complete runs a request with the given parts to its end.
func (p *prompts) complete(r *Registry, parts ...string) {
	a := p.attempt(r, "sound", parts...)
	p.clock.Advance(50 * time.Millisecond)
	a.End(Completed)
}

// refusing returns how many registries refuse a new request with the given parts.
func (p *prompts) refusing(parts ...string) int {
	refusing := 0
	for _, r := range p.registries {
		if r.ShouldRefuse(NewFingerprint("a", "/p", []byte("new")), NewPartFingerprints(parts)...) {
			refusing++
		}
	}
	return refusing
}

// crashThreeWith crashes three targets with requests that have the given parts, each
// at another registry.
func (p *prompts) crashThreeWith(parts ...string) {
	for i := range 3 {
		p.crash(p.registries[i%len(p.registries)], fmt.Sprint("target ", i), nil, parts...)
		p.exchange(300*time.Millisecond, Changes)
	}
	p.exchange(time.Second, Changes)
}

func TestPartThatCrashesTargetsIsRefusedEverywhere(t *testing.T) {
	p := &prompts{fleet: newFleet(3)}
	for i := range 3 {
		p.complete(p.registries[i], "shared", fmt.Sprint("document", i))
		p.crash(p.registries[i], fmt.Sprint("target ", i), nil, "shared", "bad", fmt.Sprint("document", i))
		p.exchange(300*time.Millisecond, Changes)
	}
	p.complete(p.registries[0], "shared")
	p.exchange(time.Second, Changes)
	assert.Equal(t, p.refusing("shared", "bad"), 3)
	assert.Equal(t, p.refusing("bad", "unknown"), 3)
	assert.Equal(t, p.refusing("shared", "document1"), 0)
	assert.Equal(t, p.refusing("unknown"), 0)
	p.clock.Advance(DefaultRetention + time.Second)
	assert.Equal(t, p.refusing("bad"), 0)
}

// As long as nothing tells which of two parts crashes targets, requests with one of
// them are sent, and those with both are not.
func TestPartThatTravelsWithTheCauseIsServed(t *testing.T) {
	p := &prompts{fleet: newFleet(3)}
	p.crashThreeWith("shared", "bad")
	assert.Equal(t, p.refusing("shared", "bad"), 3)
	assert.Equal(t, p.refusing("shared", "document"), 0)
	p.complete(p.registries[0], "shared", "document")
	p.exchange(time.Second, Changes)
	assert.Equal(t, p.refusing("bad", "document"), 3)
	assert.Equal(t, p.refusing("shared", "bad"), 3)
	assert.Equal(t, p.refusing("shared"), 0)
}

// Requests beside the one that crashes a target have parts in common, too.
func TestPartsBesideACrashAreNotTheCause(t *testing.T) {
	p := &prompts{fleet: newFleet(3)}
	for i := range 3 {
		target := fmt.Sprint("target ", i)
		var others []*Attempt
		for j := range 4 {
			others = append(others, p.attempt(p.registries[j%3], target, "popular", fmt.Sprint("document", i, j)))
		}
		p.crash(p.registries[i], target, others, "other", "bad")
		p.exchange(300*time.Millisecond, Changes)
	}
	p.exchange(time.Second, Changes)
	assert.Equal(t, p.refusing("popular"), 0)
	assert.Equal(t, p.refusing("popular", "document11"), 0)
	assert.Equal(t, p.refusing("popular", "other", "bad"), 3)
	assert.Equal(t, p.refusing("bad"), 0, "either may be the cause")
	for i := range minUnexplained {
		p.crash(p.registries[i], fmt.Sprint("another ", i), nil, "bad")
		p.exchange(300*time.Millisecond, Changes)
	}
	assert.Equal(t, p.refusing("bad"), 3)
	assert.Equal(t, p.refusing("popular"), 0)
}

// Targets of one host end together, with requests that share parts.
func TestTargetsThatEndTogetherChargeNoPart(t *testing.T) {
	p := &prompts{fleet: newFleet(2)}
	var attempts []*Attempt
	for i := range 10 {
		attempts = append(attempts, p.attempt(p.registries[i%2], fmt.Sprint("target ", i), "popular"))
	}
	p.clock.Advance(time.Second)
	for _, a := range attempts {
		a.End(Broken)
		p.clock.Advance(5 * time.Millisecond)
	}
	p.exchange(2*time.Second, Changes)
	assert.Equal(t, p.refusing("popular"), 0)
}

func TestBreaksOfLivingTargetsChargeNoPart(t *testing.T) {
	p := &prompts{fleet: newFleet(2)}
	p.crashThreeWith("popular")
	assert.Equal(t, p.refusing("popular"), 2)
	for _, r := range p.registries {
		r.Resolve(func(string, time.Time) Liveness { return Survived })
	}
	assert.Equal(t, p.refusing("popular"), 0)
}

// A part that is taken for the cause by mistake must be served again, and a trial
// must not cost more than one target.
func TestRefusedPartIsTriedByOneRequest(t *testing.T) {
	for _, sound := range []bool{true, false} {
		p := &prompts{fleet: newFleet(3)}
		for _, r := range p.registries {
			p.complete(r, "shared")
		}
		p.clock.Advance(time.Minute)
		p.crashThreeWith("shared")
		assert.Equal(t, p.refusing("shared"), 3)
		p.exchange(provenTrialPause, Changes)
		sent := 0
		for range 3 {
			for _, r := range p.registries {
				parts := NewPartFingerprints([]string{"shared"})
				if r.RefuseDispatch(NewFingerprint("a", "/p", fmt.Append(nil, p.sent)), parts...) {
					continue
				}
				sent++
				if sound {
					p.complete(r, "shared")
				} else {
					p.crash(r, "target of the trial", nil, "shared")
				}
			}
			p.exchange(100*time.Millisecond, Changes)
		}
		p.exchange(10*time.Second, Changes)
		if sound {
			assert.Equal(t, p.refusing("shared"), 0)
		} else {
			assert.Equal(t, p.refusing("shared"), 3)
			assert.Equal(t, sent, 1)
		}
	}
}

func TestNewInstanceLearnsOfRefusedParts(t *testing.T) {
	p := &prompts{fleet: newFleet(2)}
	p.crashThreeWith("bad")
	p.exchange(time.Minute/2, Changes)
	p.registries = append(p.registries, New(Options{Clock: p.clock, CountsUnresolved: true}))
	p.exchange(time.Second, Repeated)
	assert.Equal(t, p.refusing("bad"), 3)
}

func TestVerdictAboutAPartSurvivesARestart(t *testing.T) {
	p := &prompts{fleet: newFleet(1)}
	r := p.registries[0]
	p.crashThreeWith("bad")
	r.Resolve(func(string, time.Time) Liveness { return Ended })
	verdicts, own := r.Verdicts()
	assert.Assert(t, len(verdicts) == 1 && own)
	p.registries[0] = New(Options{Clock: p.clock, CountsUnresolved: true})
	p.registries[0].AddVerdict(verdicts[0])
	assert.Equal(t, p.refusing("bad"), 1)
	assert.Equal(t, p.refusing("sound"), 0)
	p.complete(p.registries[0], "bad")
	assert.Equal(t, p.refusing("bad"), 0)
}

// Crashes of targets that are full mark many requests, each with many parts.
func TestDigestOfManyPartsIsBounded(t *testing.T) {
	p := &prompts{fleet: newFleet(1)}
	r := p.registries[0]
	for i := range 64 {
		parts := make([]string, 100)
		for j := range parts {
			parts[j] = fmt.Sprint(i, " ", j)
		}
		p.crash(r, fmt.Sprint("target ", i), nil, append(parts, "bad")...)
	}
	d := r.Digest(Everything)
	size := 0
	for _, m := range d.Marks {
		size += len(m.Request) + len(m.Target)
	}
	assert.Assert(t, size <= 1200, "%d bytes", size)
	assert.Equal(t, p.refusing("bad"), 1)
	assert.Assert(t, len(r.suspects) <= DefaultMaxFingerprints)
	for _, s := range r.suspects {
		assert.Assert(t, len(s.marks) <= maxPartMarks)
	}
}

// A response that ends with its connection is complete only if its target survives.
func TestOrderlyEndsCountOnceTheirTargetsAreKnown(t *testing.T) {
	for _, crashed := range []bool{true, false} {
		p := &prompts{fleet: newFleet(1)}
		r := p.registries[0]
		for i := range 3 {
			target := fmt.Sprint("target ", i)
			suspect, other := p.attempt(r, target, "part"), p.attempt(r, target, "other")
			suspect.Heard(p.openedAt)
			suspect.End(EndedInOrder)
			if crashed {
				other.End(Broken)
			}
			p.exchange(settleTime, Changes)
			if !crashed {
				p.serve(r, target)
				p.crash(r, "another target", nil, "part")
				p.exchange(settleTime, Changes)
			}
		}
		assert.Equal(t, p.refusing("part", "other"), map[bool]int{true: 1, false: 0}[crashed])
	}
}

// An error is no answer on the prompt, and a target that reports one need not have
// begun to write.
func TestErrorsClearNoPart(t *testing.T) {
	p := &prompts{fleet: newFleet(1)}
	for i := range 3 {
		p.crash(p.registries[0], fmt.Sprint("target ", i), nil, "bad")
		p.clock.Advance(time.Second)
		p.attempt(p.registries[0], "faulty", "bad").End(CompletedWithError)
	}
	assert.Equal(t, p.refusing("bad"), 1)
}
