package rollout

import (
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/evidence"
)

// The operator allows a version on trial a tenth of all requests, and fifty more.
const (
	// minCanaryShare is the share of requests sent to a version on trial.
	minCanaryShare = 0.06
	// trialRequests is the number of requests that a trial should have; where traffic
	// is low, the share is increased for it, up to maxCanaryShare.
	trialRequests  = 60
	maxCanaryShare = 0.25
	// allowedShare and usedSlack bound the increased share: a part of the fifty is
	// left for traffic that is not known yet.
	allowedShare = 0.1
	usedSlack    = 25
	// shareTimeShare is the share of the order's duration after which the traffic is
	// known.
	shareTimeShare = 0.1
)

const (
	// These are shares of the order's duration: trialTimeShare after which a version
	// is completed if nothing speaks against it, doubtTimeShare after which it is
	// rolled back if something does, and lastTimeShare after which one that has had
	// few requests is decided on. The rest is reserve before the deadline.
	trialTimeShare = 0.7
	doubtTimeShare = 0.75
	lastTimeShare  = 0.85
	// enoughRequests is the number of requests of the new version that are enough.
	enoughRequests = 30
	// minWatchedShare is the share of the order's duration that an instance must have
	// known it for to have seen enough.
	minWatchedShare = 0.35
	// alpha bounds the probability that a version that is no worse is rolled back
	// before its trial is over.
	alpha = 0.001
	// doubtLogEvidence is the log evidence against a version from which it is more
	// likely bad than good, and not completed at the end of its trial.
	doubtLogEvidence = 0
	// extraTolerance is the slowdown in buckets of a quarter octave that is not held
	// against a version besides that of package evidence, since targets of one
	// version differ in speed.
	extraTolerance = 1
	// referenceTokens is the length of a response whose time counts as measured.
	referenceTokens = 100
)

const (
	// completionLead is how long before its storing a completion is published:
	// targets of the old version are stopped once it is stored, and a rollback that
	// the analyzer has not heard of replaces it in that time.
	completionLead = 400 * time.Millisecond
	// storeDelay is how much later an instance stores an end than the one before it in
	// rank, so that it mostly finds the end stored. lastStoringRank is the last one that
	// stores any.
	storeDelay      = 250 * time.Millisecond
	lastStoringRank = 3
	// maxJudgeGap is the longest interval between two evaluations of an instance that is
	// not paused. After a longer one, it completes nothing for resumeTime, in which it
	// hears what the others have decided.
	maxJudgeGap = time.Second
	resumeTime  = time.Second
)

// Assessment is what an instance makes of the evidence. Its field names are part of
// the encoding between instances.
type Assessment struct {
	// Watched is how long the instance has known the order.
	Watched time.Duration
	// LogEvidence is that of the evidence.Verdict, Requests the number of requests
	// that the new version has had.
	LogEvidence float64
	Requests    int
}

// peerAssessment is the assessment of another instance and when it was received.
type peerAssessment struct {
	Assessment
	receivedAt time.Time
}

// assessmentTimeout is the age from which an assessment is not relied on.
const assessmentTimeout = time.Second

// trial is an order with its state and counts; Controller.mu guards it.
type trial struct {
	order     Order
	state     State
	startedAt time.Time
	// endedAt is when this instance learned of the end, endStored whether the control
	// plane holds it.
	endedAt   time.Time
	endStored bool
	// judgedAt is the time of the last evaluation, resumedAt that of the first one after
	// a gap.
	judgedAt, resumedAt time.Time
	// learnedAt is when this instance heard of the order.
	learnedAt time.Time
	// share is the share of requests sent to the new version.
	share    float64
	counters *evidence.CounterSet
	analyzer *evidence.Analyzer
	local    Evidence
	// peers holds the counts of other instances, by instance.
	peers map[string]Evidence
	// assessment is this instance's latest one, peerAssessments are those of others.
	assessment      Assessment
	peerAssessments map[string]peerAssessment
}

// self identifies this instance's own records.
var self = evidence.InstanceID{}

func newTrial(order Order, startedAt, now time.Time) *trial {
	return &trial{
		order: order, state: InProgress, startedAt: startedAt, learnedAt: now, share: minCanaryShare,
		peers: make(map[string]Evidence), peerAssessments: make(map[string]peerAssessment),
		counters: &evidence.CounterSet{},
		analyzer: evidence.NewAnalyzer(evidence.Options{
			NewVersion: order.To, Alpha: alpha, PlannedDuration: order.Duration, WholeRequestsOnly: true, ExtraTolerance: extraTolerance,
		}, now),
	}
}

// addRecords adds counters, which cover the whole trial, to the evidence.
func (t *trial) addRecords(instance evidence.InstanceID, records []evidence.Record, now time.Time) {
	t.analyzer.InitBaseline(instance)
	t.analyzer.AddRecords(instance, records, true, now)
}

func (t *trial) status(service string) Status {
	return Status{Service: service, To: t.order.To, State: t.state, Stored: t.endStored}
}

// applyEnd applies an end and reports whether the state changes.
func (t *trial) applyEnd(end Status, now time.Time) (changed bool) {
	switch {
	case t.endStored:
		return false
	case end.Stored, t.state == InProgress, t.state == Completed && end.State == RolledBack:
	default:
		return false
	}
	t.endStored = end.Stored
	if t.state == end.State {
		return false
	}
	t.state, t.endedAt = end.State, now
	return true
}

// shouldStore reports whether the instance of a rank should store the state now. The
// analyzer does so also if it is stored: the control plane may have lost it.
func (t *trial) shouldStore(rank int, now time.Time) bool {
	if rank > 0 && (t.state == InProgress || t.endStored || rank > lastStoringRank) {
		return false
	}
	delay := time.Duration(rank) * storeDelay
	if t.state == Completed && !t.endStored {
		delay += completionLead
	}
	return now.Sub(t.endedAt) >= delay
}

func (t *trial) judge(now time.Time) evidence.Verdict {
	if !t.judgedAt.IsZero() && now.Sub(t.judgedAt) > maxJudgeGap {
		t.resumedAt = now
	}
	t.judgedAt = now
	t.addRecords(self, t.counters.Snapshot(now), now)
	t.analyzer.Tick(now)
	verdict := t.analyzer.Verdict(now)
	t.assessment = Assessment{
		Watched: now.Sub(t.learnedAt), LogEvidence: verdict.LogEvidence, Requests: verdict.Totals.NewStarted,
	}
	t.share = t.shareFor(verdict.Totals.Started, now.Sub(t.startedAt))
	return verdict
}

// shareFor returns the share if so many requests of both versions have started
// since the order.
func (t *trial) shareFor(started int, elapsed time.Duration) float64 {
	duration := float64(t.order.Duration)
	if float64(elapsed) < shareTimeShare*duration {
		return minCanaryShare
	}
	expected := float64(max(1, started)) * duration / float64(elapsed)
	wanted := trialRequests / (trialTimeShare * expected)
	return max(minCanaryShare, min(wanted, maxCanaryShare, allowedShare+usedSlack/expected))
}

// bestAssessment returns the assessment of the live instance that has known the
// order for longest: one that has restarted has not seen the trial.
func (t *trial) bestAssessment(now time.Time) Assessment {
	best := t.assessment
	for _, a := range t.peerAssessments {
		if now.Sub(a.receivedAt) < assessmentTimeout && a.Watched > best.Watched+assessmentTimeout {
			best = a.Assessment
		}
	}
	return best
}

// decide returns the state that follows from the verdict.
func (t *trial) decide(verdict *evidence.Verdict, analyzer bool, now time.Time) State {
	passed := func(share float64) bool {
		return now.Sub(t.startedAt) >= time.Duration(share*float64(t.order.Duration))
	}
	best := t.bestAssessment(now)
	watchedEnough := best.Watched >= time.Duration(minWatchedShare*float64(t.order.Duration))
	enough := watchedEnough && best.Requests >= enoughRequests
	inDoubt := best.LogEvidence >= doubtLogEvidence
	switch {
	case verdict.Finding == evidence.Regressed:
		return RolledBack
	case !analyzer, !passed(trialTimeShare), !enough && !passed(lastTimeShare), inDoubt && !passed(doubtTimeShare):
		return InProgress
	case inDoubt:
		return RolledBack
	case now.Sub(t.resumedAt) < resumeTime:
		return InProgress
	case t.total().New.Answers > t.total().New.Failures:
		return Completed
	}
	return InProgress
}

func (t *trial) total() Evidence {
	sum := t.local
	for _, e := range t.peers {
		sum.Old, sum.New = sum.Old.add(e.Old), sum.New.add(e.New)
	}
	return sum
}

// Attempt is an attempt of a request during a trial. The methods of a nil Attempt
// do nothing.
type Attempt struct {
	controller *Controller
	trial      *trial
	isNew      bool
	counted    *evidence.Attempt
}

// start counts an attempt. The old version has no name in the counters.
func (t *trial) start(c *Controller, version, route string, outputTokens int) *Attempt {
	isNew := version == t.order.To
	if !isNew {
		version = ""
	}
	scale := referenceTokens / float64(referenceTokens+max(0, outputTokens))
	return &Attempt{c, t, isNew, t.counters.Start(evidence.Key{Version: version, Route: route}, scale, c.clock.Now())}
}

// End records the end of the attempt; further calls have no effect.
func (a *Attempt) End(ending evidence.Ending) {
	if a == nil {
		return
	}
	took, first := a.counted.End(ending, a.controller.clock.Now())
	if !first || ending == evidence.GivenUp {
		return
	}
	a.controller.mu.Lock()
	defer a.controller.mu.Unlock()
	counts := &a.trial.local.Old
	if a.isNew {
		counts = &a.trial.local.New
	}
	counts.Answers++
	counts.Seconds += took.Seconds()
	counts.SquaredSeconds += took.Seconds() * took.Seconds()
	if ending == evidence.Failed {
		counts.Failures++
	}
}

// Decision is the final status of an order and the counts of all instances on
// which it is based.
type Decision struct {
	Status   Status
	Evidence Evidence
	// LogEvidence and Reason are those of the evidence.Verdict.
	LogEvidence float64
	Reason      string
	// Assessment is the one that the end of a trial is decided by.
	Assessment Assessment
}
