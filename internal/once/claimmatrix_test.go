package once

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/fault"
)

// claimStep is how far an attempt has come when a fault strikes.
type claimStep int

const (
	stepBeforeClaim claimStep = iota
	stepClaimed
	stepSent
	stepAnswered
	stepRecorded
	claimStepCount
)

func (s claimStep) String() string {
	return [...]string{"before the claim", "claimed", "sent", "answered", "recorded"}[s]
}

// claimFault is what strikes.
type claimFault int

const (
	faultHolderDies claimFault = iota
	faultHolderPaused
	faultTableDown
	faultTableSlow
	faultAnswerLost
	faultHolderCutOff
	faultOtherBody
	claimFaultCount
)

func (f claimFault) String() string {
	return [...]string{
		"holder dies", "holder paused past its deadline", "table service down", "table service slow",
		"answers lost", "holder cut off from its peers", "same key, other body",
	}[f]
}

// told is what a resend at another instance is told while the fault lasts.
type told string

const (
	toldGranted told = "granted"
	toldJoin    told = "join"
	toldStored  told = "stored"
	toldNotRun  told = "not_run"
	toldUnknown told = "unknown"
)

// claimCells lists what a resend is told under each fault at each step.
var claimCells = [claimFaultCount][claimStepCount]told{
	faultHolderDies:   {toldGranted, toldUnknown, toldUnknown, toldUnknown, toldStored},
	faultHolderPaused: {toldGranted, toldGranted, toldJoin, toldJoin, toldStored},
	faultTableDown:    {toldNotRun, toldNotRun, toldNotRun, toldNotRun, toldNotRun},
	faultTableSlow:    {toldGranted, toldJoin, toldJoin, toldStored, toldStored},
	faultAnswerLost:   {toldGranted, toldJoin, toldJoin, toldStored, toldStored},
	faultHolderCutOff: {toldGranted, toldUnknown, toldUnknown, toldStored, toldStored},
	faultOtherBody:    {toldGranted, toldNotRun, toldNotRun, toldNotRun, toldNotRun},
}

// claimRun is one attempt and its resend.
type claimRun struct {
	*world
	holder, other *node
	claim         *Claim
	sends         int
}

// strike brings a fault about.
func (r *claimRun) strike(f claimFault) {
	switch f {
	case faultHolderDies:
		r.die(r.holder)
	case faultHolderPaused:
		time.Sleep(2 * time.Second)
	case faultTableDown:
		r.setFault(down)
	case faultTableSlow:
		r.setFault(func(string) error { time.Sleep(300 * time.Millisecond); return nil })
	case faultAnswerLost:
		r.setFault(lostCommits)
	case faultHolderCutOff:
		r.isolate(r.holder)
	}
}

// reach takes the attempt to the step; the fault strikes just before its last
// action, so that this meets the fault.
func (r *claimRun) reach(t *testing.T, step claimStep, f claimFault) {
	if step == stepBeforeClaim {
		r.strike(f)
		return
	}
	granted := r.holder.ask(testKey, testHash, time.Second)
	assert.Equal(t, granted.result.Kind, ClaimGranted)
	r.claim = granted.result.Claim
	if step == stepClaimed {
		r.strike(f)
		r.wake()
		return
	}
	r.wake()
	if step == stepRecorded {
		assert.NilError(t, r.claim.Complete(t.Context(), storedAnswer("done")))
	}
	r.strike(f)
	if step == stepAnswered && f != faultHolderDies && f != faultHolderPaused {
		_ = r.claim.Complete(t.Context(), storedAnswer("done"))
	}
}

// wake lets the holder send, if it may and still lives.
func (r *claimRun) wake() {
	_, dead := r.cut.Load(r.holder.member.PeerAddress)
	if dead || r.claim.stage.Load() == stageSent {
		return
	}
	if r.claim.Dispatch() == nil {
		r.sends++
	}
}

// resend asks at the other instance.
func (r *claimRun) resend(f claimFault) told {
	hash := testHash
	if f == faultOtherBody {
		hash = HashBody("POST", "/other", nil)
	}
	got := r.other.ask(testKey, hash, 5*time.Second)
	if refusal, ok := fault.AsRefusal(got.err); ok {
		return told(refusal.Execution)
	}
	switch got.result.Kind {
	case ClaimGranted:
		if got.result.Claim.Dispatch() == nil {
			r.sends++
		}
		return toldGranted
	case ClaimJoin:
		return toldJoin
	default:
		return toldStored
	}
}

func TestClaimUnderEachFaultAtEachStep(t *testing.T) {
	for f := range claimFaultCount {
		for step := range claimStepCount {
			t.Run(f.String()+"/"+step.String(), func(t *testing.T) {
				t.Parallel()
				want := claimCells[f][step]
				assert.Assert(t, want != "", "this cell is missing")
				inWorld(t, 3, func(t *testing.T, w *world) {
					r := &claimRun{world: w, holder: w.nodes[0], other: w.nodes[1]}
					r.reach(t, step, f)
					assert.Equal(t, r.resend(f), want)
					w.setFault(nil)
					synctest.Wait()
					if r.claim != nil {
						r.wake()
					}
					if f != faultOtherBody {
						assert.Assert(t, r.sends <= 1, "sent %d times", r.sends)
					}
				})
			})
		}
	}
}
