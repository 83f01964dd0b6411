package schedule

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func noSpread() float64 { return 0 }

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// The load pattern of these cases is unlike targets under mixed sizes: fast
// ones that are full of short requests, slow ones with room, long prompts.
func TestPlace(t *testing.T) {
	ask := Requirements{TimeLeft: ms(600), EventGap: ms(250), MayWait: true}
	fast := Candidate{Available: true, TimeToFirst: ms(50), TotalTime: ms(500)}
	slow := Candidate{Available: true, TimeToFirst: ms(300), TotalTime: ms(3000)}
	late := Candidate{Available: true, TimeToFirst: ms(900), TotalTime: ms(950)}
	harmful := Candidate{Available: true, TimeToFirst: ms(100), TotalTime: ms(300), StreamPause: ms(400)}
	full := func(c Candidate) Candidate { c.Available = false; return c }
	for _, c := range []struct {
		name       string
		ask        Requirements
		candidates []Candidate
		want       int
	}{
		{"the one that ends first", ask, []Candidate{slow, fast}, 1},
		{"in time before sooner at an end", ask, []Candidate{late, slow}, 1},
		{"no harm before sooner at an end", ask, []Candidate{harmful, slow}, 1},
		{"no place", ask, []Candidate{full(fast), full(slow)}, NoCandidate},
		{"holds out for a better one", ask, []Candidate{full(fast), late}, NoCandidate},
		{"takes what there is once it may not hold", Requirements{TimeLeft: ms(600), EventGap: ms(250)}, []Candidate{full(fast), late}, 1},
		{"takes a bad one where no good exists", ask, []Candidate{late, full(late)}, 0},
		{"none that the caller does not outwait", Requirements{TimeLeft: ms(600), MaxTimeToFirst: ms(800)}, []Candidate{late}, NoCandidate},
		{"no gap stated", Requirements{TimeLeft: ms(600), MayWait: true}, []Candidate{harmful, slow}, 0},
		{"nearer one of equals", ask, []Candidate{{Available: true, TimeToFirst: ms(50), TotalTime: ms(500), OtherDomain: true}, fast}, 1},
	} {
		assert.Equal(t, SelectCandidate(c.ask, c.candidates, noSpread), c.want, c.name)
	}
}

func TestWaitBoundLeavesTimeToAnswerAndToReturn(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		objective, deadline, want time.Duration
	}{
		{ms(500), ms(12000), ms(400)},
		{ms(1500), ms(3000), ms(900)},
		{0, ms(12000), time.Second},
		{ms(500), -ms(1), 0},
	} {
		r := &Request{ArrivedAt: now, Objective: c.objective, Deadline: now.Add(c.deadline)}
		assert.Equal(t, waitBound(r), c.want)
	}
}

func TestReturnAfterIsSpreadAndLeavesTime(t *testing.T) {
	assert.Equal(t, returnAfter(0, time.Minute, 0), minReturn)
	assert.Equal(t, returnAfter(0, time.Minute, 0.99), maxReturn)
	assert.Equal(t, returnAfter(0, ms(2500), 0), ms(750))
	assert.Equal(t, returnAfter(0, -ms(1), 0), time.Duration(0))
}
