package once

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/fault"
)

// claimStep is the progress of an attempt when a fault is injected.
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

// claimFault is the fault that is injected.
type claimFault int

const (
	faultHolderCrashes claimFault = iota
	faultHolderPaused
	faultTableDown
	faultTableSlow
	faultCommitResponseLost
	faultHolderIsolated
	faultDifferentBody
	claimFaultCount
)

func (f claimFault) String() string {
	return [...]string{
		"holder crashes", "holder paused past its deadline", "table service down", "table service slow",
		"commit responses lost", "holder isolated from its peers", "same key, different body",
	}[f]
}

// resendResult is the result of a resend at another instance during the fault.
type resendResult string

const (
	resendGranted resendResult = "granted"
	resendJoin    resendResult = "join"
	resendStored  resendResult = "stored"
	resendNotRun  resendResult = "not_run"
	resendUnknown resendResult = "unknown"
)

// wantResend is the expected result of a resend for each fault at each step.
var wantResend = [claimFaultCount][claimStepCount]resendResult{
	faultHolderCrashes:      {resendGranted, resendUnknown, resendUnknown, resendUnknown, resendStored},
	faultHolderPaused:       {resendGranted, resendGranted, resendJoin, resendJoin, resendStored},
	faultTableDown:          {resendNotRun, resendNotRun, resendNotRun, resendNotRun, resendNotRun},
	faultTableSlow:          {resendGranted, resendJoin, resendJoin, resendStored, resendStored},
	faultCommitResponseLost: {resendGranted, resendJoin, resendJoin, resendStored, resendStored},
	faultHolderIsolated:     {resendGranted, resendUnknown, resendUnknown, resendStored, resendStored},
	faultDifferentBody:      {resendGranted, resendNotRun, resendNotRun, resendNotRun, resendNotRun},
}

// claimScenario is an attempt and its resend.
type claimScenario struct {
	*testCluster
	holder, other *node
	claim         *Claim
	sends         int
}

// inject causes a fault.
func (s *claimScenario) inject(f claimFault) {
	switch f {
	case faultHolderCrashes:
		s.crashNode(s.holder)
	case faultHolderPaused:
		time.Sleep(2 * time.Second)
	case faultTableDown:
		s.setFault(tableDown)
	case faultTableSlow:
		s.setFault(func(string) error { time.Sleep(300 * time.Millisecond); return nil })
	case faultCommitResponseLost:
		s.setFault(loseCommitResponses)
	case faultHolderIsolated:
		s.isolate(s.holder)
	}
}

// advanceTo takes the attempt to the step. The fault is injected just before
// the last action of the step, so that it affects this action.
func (s *claimScenario) advanceTo(t *testing.T, step claimStep, f claimFault) {
	if step == stepBeforeClaim {
		s.inject(f)
		return
	}
	granted := s.holder.requestClaim(testKey, testHash, time.Second)
	assert.Equal(t, granted.result.Kind, ClaimGranted)
	s.claim = granted.result.Claim
	if step == stepClaimed {
		s.inject(f)
		s.dispatchIfAlive()
		return
	}
	s.dispatchIfAlive()
	if step == stepRecorded {
		assert.NilError(t, s.claim.Complete(t.Context(), storedAnswer("done")))
	}
	s.inject(f)
	if step == stepAnswered && f != faultHolderCrashes && f != faultHolderPaused {
		_ = s.claim.Complete(t.Context(), storedAnswer("done"))
	}
}

// dispatchIfAlive dispatches the request if the holder has not crashed and has
// not sent it before.
func (s *claimScenario) dispatchIfAlive() {
	_, crashed := s.unreachable.Load(s.holder.member.PeerAddress)
	if crashed || s.claim.stage.Load() == stageSent {
		return
	}
	if s.claim.Dispatch() == nil {
		s.sends++
	}
}

// resend sends the request again at the other instance.
func (s *claimScenario) resend(f claimFault) resendResult {
	hash := testHash
	if f == faultDifferentBody {
		hash = HashRequest("POST", "/other", nil)
	}
	resent := s.other.requestClaim(testKey, hash, 5*time.Second)
	if refusal, ok := fault.AsRefusal(resent.err); ok {
		return resendResult(refusal.Execution)
	}
	switch resent.result.Kind {
	case ClaimGranted:
		if resent.result.Claim.Dispatch() == nil {
			s.sends++
		}
		return resendGranted
	case ClaimJoin:
		return resendJoin
	default:
		return resendStored
	}
}

func TestClaimUnderEachFaultAtEachStep(t *testing.T) {
	for f := range claimFaultCount {
		for step := range claimStepCount {
			t.Run(f.String()+"/"+step.String(), func(t *testing.T) {
				t.Parallel()
				want := wantResend[f][step]
				assert.Assert(t, want != "", "no expected result for this fault and step")
				runCluster(t, 3, func(t *testing.T, cluster *testCluster) {
					scenario := &claimScenario{testCluster: cluster, holder: cluster.nodes[0], other: cluster.nodes[1]}
					scenario.advanceTo(t, step, f)
					assert.Equal(t, scenario.resend(f), want)
					cluster.setFault(nil)
					synctest.Wait()
					if scenario.claim != nil {
						scenario.dispatchIfAlive()
					}
					if f != faultDifferentBody {
						assert.Assert(t, scenario.sends <= 1, "sent %d times, want at most once", scenario.sends)
					}
				})
			})
		}
	}
}
