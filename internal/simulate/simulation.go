package simulate

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/hibiscuspost/hibiscuspost/internal/catalog"
	"github.com/hibiscuspost/hibiscuspost/internal/enginemodel"
	"github.com/hibiscuspost/hibiscuspost/internal/schedule"
)

const (
	// serviceName is the service of all simulated targets.
	serviceName = "engines"
	// A caller without a first token disconnects after abandonAfterObjectives
	// times the first-token objective, and not before minAbandonAfter,
	// counted from the dispatch.
	abandonAfterObjectives = 4
	minAbandonAfter        = 2 * time.Second
	// maxRetryDelayShare limits the delay of a retry to this share of the
	// time left until the deadline.
	maxRetryDelayShare = 1.0 / 3
	// networkRoundTrip is the network time to an engine and back.
	networkRoundTrip = 2 * time.Millisecond
)

// event is a function to run at a simulated time; events of the same time run
// in order of sequence.
type event struct {
	at       time.Duration
	sequence int
	run      func()
}

// eventQueue is a heap of events by time.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// simulation is the state of one run.
type simulation struct {
	env          Environment
	pattern      Pattern
	rng          *rand.Rand
	clock        *clockwork.FakeClock
	startTime    time.Time
	events       eventQueue
	lastSequence int
	engines      []*engine
	// scheduler is nil when requests are dispatched to the least loaded
	// engine.
	scheduler *schedule.Scheduler
	queued    []*attempt
	report    *Report
}

// engine is a modelled engine with the attempts dispatched to it.
type engine struct {
	model    *enginemodel.Engine
	attempts map[*attempt]bool
	// stepScheduled is set while the event for the end of the current step is
	// pending.
	stepScheduled bool
	isDown        bool
}

// attempt is the first attempt or the retry of a request.
type attempt struct {
	class                      *Class
	promptTokens, outputTokens int
	// arrivedAt is the arrival of the first attempt, also for a retry.
	arrivedAt time.Duration
	isRetry   bool

	request       *schedule.Request
	queued        *schedule.QueuedRequest
	grant         *schedule.Grant
	engine        *engine
	engineRequest *enginemodel.Request
	dispatchedAt  time.Duration
	firstTokenAt  time.Duration
	lastEventAt   time.Duration
	maxEventGap   time.Duration
	tokenCount    int
	hasEnded      bool
}

// Run simulates a pattern. With leastLoaded set, each request is dispatched
// at once to the engine with the fewest requests; otherwise package schedule
// decides.
func Run(env Environment, pattern Pattern, seed uint64, leastLoaded bool) *Report {
	s := &simulation{
		env: env, pattern: pattern, rng: rand.New(rand.NewPCG(seed, 1)), clock: clockwork.NewFakeClock(),
		report: newReport(env),
	}
	s.startTime = s.clock.Now()
	targets := make([]*catalog.Target, len(env.EngineSpeeds))
	for i, speed := range env.EngineSpeeds {
		settings := env.Engine
		settings.Speed = speed
		s.engines = append(s.engines, &engine{model: enginemodel.New(settings), attempts: make(map[*attempt]bool)})
		targets[i] = &catalog.Target{ID: fmt.Sprintf("%03d", i), Service: serviceName, Slots: env.Engine.Slots}
	}
	if !leastLoaded {
		s.scheduler = schedule.New(s.clock, rand.New(rand.NewPCG(seed, 2)))
		s.scheduler.SetTargets(targets)
	}
	s.scheduleArrivals()
	s.scheduleDisturbance()
	s.runEvents()
	return s.report
}

func (s *simulation) now() time.Duration { return s.clock.Now().Sub(s.startTime) }

func (s *simulation) scheduleEvent(at time.Duration, run func()) {
	s.lastSequence++
	heap.Push(&s.events, event{at: at, sequence: s.lastSequence, run: run})
}

// runEvents runs all events in order of time.
func (s *simulation) runEvents() {
	// queueScanInterval is how often the scheduler reconsiders queued
	// requests.
	const queueScanInterval = 100 * time.Millisecond
	if s.scheduler != nil {
		for at := queueScanInterval; at < s.env.Duration; at += queueScanInterval {
			s.scheduleEvent(at, s.scheduler.StartQueued)
		}
	}
	for s.events.Len() > 0 {
		next := heap.Pop(&s.events).(event)
		s.clock.Advance(next.at - s.now())
		next.run()
		s.startGranted()
	}
}

// scheduleArrivals schedules the first attempts of all requests.
func (s *simulation) scheduleArrivals() {
	for i := range s.env.Classes {
		class := &s.env.Classes[i]
		for at := s.interarrivalTime(class, 0); at < s.env.Duration; at += s.interarrivalTime(class, at) {
			a := &attempt{class: class, arrivedAt: at, promptTokens: s.sampleLogNormal(class.MeanPromptTokens, class.PromptLogStdDev), outputTokens: s.sampleLogNormal(class.MeanOutputTokens, class.OutputLogStdDev)}
			if s.pattern.DeferArrivals && s.isDisturbed(at) {
				at := s.pattern.End + time.Duration(s.rng.Float64()*float64(time.Second))
				a.arrivedAt = at
				s.scheduleEvent(at, func() { s.submit(a) })
				continue
			}
			s.scheduleEvent(at, func() { s.submit(a) })
		}
	}
}

// interarrivalTime samples the time from an arrival at the given time to the
// next one.
func (s *simulation) interarrivalTime(class *Class, at time.Duration) time.Duration {
	rate := class.ArrivalsPerSecond
	if s.pattern.ArrivalFactor > 0 && s.isDisturbed(at) && (s.pattern.OnlyClass == "" || s.pattern.OnlyClass == class.Name) {
		rate *= s.pattern.ArrivalFactor
	}
	return time.Duration(s.rng.ExpFloat64() / rate * float64(time.Second))
}

func (s *simulation) isDisturbed(at time.Duration) bool {
	return at >= s.pattern.Begin && at < s.pattern.End
}

// sampleLogNormal samples a size of at least 1 from a log-normal distribution
// with the given mean, limited to eight times the mean.
func (s *simulation) sampleLogNormal(mean, logStdDev float64) int {
	const maxMultipleOfMean = 8
	sample := mean * math.Exp(logStdDev*s.rng.NormFloat64()-logStdDev*logStdDev/2)
	return max(1, int(min(sample, maxMultipleOfMean*mean)))
}

// scheduleDisturbance schedules the failures and slowdowns of engines.
func (s *simulation) scheduleDisturbance() {
	downCount, slowEnd := int(s.pattern.DownShare*float64(len(s.engines))), int(s.pattern.SlowShare*float64(len(s.engines)))
	for i, e := range s.engines {
		// Speeds repeat every three engines; steps of five spread the
		// affected engines over all speeds.
		switch position := (i * 5) % len(s.engines); {
		case position < downCount:
			s.scheduleEvent(s.pattern.Begin, func() { s.takeDown(e) })
			s.scheduleEvent(s.pattern.End, func() { e.isDown = false })
		case position < slowEnd:
			s.scheduleEvent(s.pattern.Begin, func() { e.model.SetSlowdown(s.pattern.SlowFactor) })
			s.scheduleEvent(s.pattern.End, func() { e.model.SetSlowdown(1) })
		}
	}
}

// takeDown makes an engine unavailable and fails all its requests.
func (s *simulation) takeDown(e *engine) {
	e.isDown = true
	for a := range e.attempts {
		e.model.Cancel(a.engineRequest)
		s.finish(a, schedule.Outcome{Result: schedule.Failed}, failed)
	}
}

// submit requests a slot for the attempt, or dispatches it at once when there
// is no scheduler.
func (s *simulation) submit(a *attempt) {
	deadline := s.startTime.Add(a.arrivedAt + a.class.Deadline)
	a.request = &schedule.Request{
		Service: serviceName, Priority: a.class.Priority, PromptTokens: a.promptTokens, OutputTokens: int(a.class.MeanOutputTokens),
		TokensPerEvent: s.env.TokensPerEvent, ArrivedAt: s.clock.Now(), LatencyObjective: a.class.FirstTokenObjective, EventGapObjective: a.class.EventGapObjective,
		Deadline: deadline,
	}
	if s.scheduler == nil {
		s.dispatch(a, s.leastLoadedEngine())
		return
	}
	grant, queued, err := s.scheduler.Submit(a.request)
	switch {
	case grant != nil:
		s.startGrant(a, grant)
	case queued != nil:
		a.queued = queued
		s.queued = append(s.queued, a)
		s.scheduleEvent(queued.WaitDeadline().Sub(s.startTime), func() { s.onWaitDeadline(a) })
	default:
		s.onRefusal(a, err)
	}
}

func (s *simulation) leastLoadedEngine() *engine {
	var best *engine
	for _, e := range s.engines {
		if !e.isDown && (best == nil || len(e.attempts) < len(best.attempts)) {
			best = e
		}
	}
	return best
}

// onWaitDeadline removes an attempt from the queue when its longest wait has
// passed.
func (s *simulation) onWaitDeadline(a *attempt) {
	if a.queued == nil {
		return
	}
	if a.queued.ExtendWait() {
		s.scheduleEvent(a.queued.WaitDeadline().Sub(s.startTime), func() { s.onWaitDeadline(a) })
		return
	}
	grant, err := a.queued.Dequeue()
	s.removeQueued(a)
	if grant != nil {
		s.startGrant(a, grant)
		return
	}
	s.onRefusal(a, err)
}

func (s *simulation) removeQueued(a *attempt) {
	a.queued = nil
	kept := s.queued[:0]
	for _, other := range s.queued {
		if other != a {
			kept = append(kept, other)
		}
	}
	s.queued = kept
}

// startGranted starts all queued attempts that have been granted a slot.
func (s *simulation) startGranted() {
	for started := true; started; {
		started = false
		for _, a := range s.queued {
			select {
			case grant := <-a.queued.Granted():
				s.removeQueued(a)
				s.startGrant(a, grant)
				started = true
			default:
			}
			if started {
				break
			}
		}
	}
}

func (s *simulation) startGrant(a *attempt, grant *schedule.Grant) {
	a.grant = grant
	var index int
	_, _ = fmt.Sscan(grant.Target.ID, &index)
	e := s.engines[index]
	if e.isDown {
		s.finish(a, schedule.Outcome{Result: schedule.Unreachable}, failed)
		return
	}
	s.dispatch(a, e)
}

// dispatch sends the request to an engine; a nil engine means that none is
// up.
func (s *simulation) dispatch(a *attempt, e *engine) {
	now := s.now()
	if e == nil {
		s.finish(a, schedule.Outcome{Result: schedule.Unreachable}, failed)
		return
	}
	a.engine, a.dispatchedAt = e, now
	a.engineRequest = &enginemodel.Request{PromptTokens: a.promptTokens, OutputTokens: a.outputTokens}
	a.engineRequest.OnToken = func(at time.Duration, first, last bool) { s.onToken(a, at, first, last) }
	e.attempts[a] = true
	s.report.recordQueueTime(a.class, now-a.arrivedAt)
	abandonAfter := max(minAbandonAfter, abandonAfterObjectives*a.class.FirstTokenObjective)
	s.scheduleEvent(now+abandonAfter, func() {
		if !a.hasEnded && a.tokenCount == 0 {
			e.model.Cancel(a.engineRequest)
			s.finish(a, schedule.Outcome{Result: schedule.Cancelled}, abandoned)
		}
	})
	s.scheduleEvent(now+networkRoundTrip/2, func() {
		if !a.hasEnded {
			e.model.Submit(a.engineRequest, s.now())
			s.scheduleStep(e)
		}
	})
}

// scheduleStep schedules the end of the engine's current step.
func (s *simulation) scheduleStep(e *engine) {
	at, busy := e.model.NextStepEnd()
	if e.stepScheduled || !busy {
		return
	}
	e.stepScheduled = true
	s.scheduleEvent(at, func() {
		e.stepScheduled = false
		e.model.FinishStep()
		s.scheduleStep(e)
	})
}

// onToken records an output token and finishes the attempt with the last one.
func (s *simulation) onToken(a *attempt, at time.Duration, first, last bool) {
	if a.hasEnded {
		return
	}
	a.tokenCount++
	if first {
		a.firstTokenAt, a.lastEventAt = at, at
		if a.grant != nil {
			a.grant.ResponseStarted(at - a.dispatchedAt)
		}
	} else if a.tokenCount%s.env.TokensPerEvent == 0 || last {
		a.maxEventGap, a.lastEventAt = max(a.maxEventGap, at-a.lastEventAt), at
	}
	if !last {
		return
	}
	result := late
	if a.firstTokenAt+networkRoundTrip-a.arrivedAt <= a.class.FirstTokenObjective && a.maxEventGap <= a.class.EventGapObjective {
		result = onTime
	}
	s.finish(a, schedule.Outcome{
		Result: schedule.Complete, TotalTime: at - a.dispatchedAt, Tokens: a.tokenCount - 1, TokenSpan: at - a.firstTokenAt,
	}, result)
}

// finish ends an attempt and records its outcome; later calls have no effect.
func (s *simulation) finish(a *attempt, scheduleOutcome schedule.Outcome, result outcome) {
	if a.hasEnded {
		return
	}
	a.hasEnded = true
	if a.engine != nil {
		delete(a.engine.attempts, a)
	}
	if a.grant != nil {
		a.grant.Done(scheduleOutcome)
	}
	s.report.recordOutcome(a.class, a.arrivedAt, result)
}

// onRefusal schedules one retry after the delay that the refusal advises.
func (s *simulation) onRefusal(a *attempt, err error) {
	var refusal *schedule.RefusedError
	now := s.now()
	timeLeft := a.arrivedAt + a.class.Deadline - now
	if a.isRetry || !errors.As(err, &refusal) || refusal.RetryAfter <= 0 {
		s.report.recordOutcome(a.class, a.arrivedAt, refused)
		return
	}
	delay := min(refusal.RetryAfter, time.Duration(maxRetryDelayShare*float64(timeLeft)))
	retry := &attempt{class: a.class, promptTokens: a.promptTokens, outputTokens: a.outputTokens, arrivedAt: a.arrivedAt, isRetry: true}
	s.scheduleEvent(now+delay, func() { s.submit(retry) })
}
