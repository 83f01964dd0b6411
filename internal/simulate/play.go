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
	// service names the engines' service.
	service = "engines"
	// patienceObjectives and minPatience tell when a caller leaves that has had no
	// first event.
	patienceObjectives = 4
	minPatience        = 2 * time.Second
	// returnShare is the part of its time left that a caller waits at most before
	// it comes back.
	returnShare = 1.0 / 3
	// networkTime is the way to an engine and back.
	networkTime = 2 * time.Millisecond
)

// event is something that happens at a time.
type event struct {
	at   time.Duration
	turn int
	do   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].turn < e[j].turn
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// play is one play of a pattern.
type play struct {
	world   Environment
	pattern Pattern
	random  *rand.Rand
	clock   *clockwork.FakeClock
	origin  time.Time
	events  events
	turns   int
	engines []*engine
	// scheduler is nil where requests are forwarded at once.
	scheduler *schedule.Scheduler
	waiting   []*call
	report    *Report
}

// engine is a modelled engine with its target.
type engine struct {
	model *enginemodel.Engine
	calls map[*call]bool
	// planned is set while an event for its next step exists.
	planned bool
	gone    bool
}

// call is one attempt of a caller.
type call struct {
	class          *Class
	prompt, output int
	// began is when the caller first asked, again whether it has come back.
	began time.Duration
	again bool

	request *schedule.Request
	wait    *schedule.QueuedRequest
	grant   *schedule.Grant
	engine  *engine
	run     *enginemodel.Request
	sent    time.Duration
	first   time.Duration
	latest  time.Duration
	gap     time.Duration
	tokens  int
	ended   bool
}

// Run plays a pattern. With forward set, requests go at once to the engine with
// the fewest, as a plain forwarder would do.
func Run(world Environment, pattern Pattern, seed uint64, forward bool) *Report {
	p := &play{
		world: world, pattern: pattern, random: rand.New(rand.NewPCG(seed, 1)), clock: clockwork.NewFakeClock(),
		report: newReport(world),
	}
	p.origin = p.clock.Now()
	targets := make([]*catalog.Target, len(world.EngineSpeeds))
	for i, speed := range world.EngineSpeeds {
		settings := world.Engine
		settings.Speed = speed
		p.engines = append(p.engines, &engine{model: enginemodel.New(settings), calls: make(map[*call]bool)})
		targets[i] = &catalog.Target{ID: fmt.Sprintf("%03d", i), Service: service, Slots: world.Engine.Slots}
	}
	if !forward {
		p.scheduler = schedule.New(p.clock, rand.New(rand.NewPCG(seed, 2)))
		p.scheduler.SetTargets(targets)
	}
	p.arrivals()
	p.disturb()
	p.loop()
	return p.report
}

func (p *play) now() time.Duration { return p.clock.Now().Sub(p.origin) }

func (p *play) at(at time.Duration, do func()) {
	p.turns++
	heap.Push(&p.events, event{at: at, turn: p.turns, do: do})
}

// loop runs all events in order.
func (p *play) loop() {
	// pumpPeriod is how often requests that hold out are looked at.
	const pumpPeriod = 100 * time.Millisecond
	if p.scheduler != nil {
		for at := pumpPeriod; at < p.world.Duration; at += pumpPeriod {
			p.at(at, p.scheduler.StartQueued)
		}
	}
	for p.events.Len() > 0 {
		next := heap.Pop(&p.events).(event)
		p.clock.Advance(next.at - p.now())
		next.do()
		p.startGranted()
	}
}

// arrivals draws all first attempts.
func (p *play) arrivals() {
	for i := range p.world.Classes {
		class := &p.world.Classes[i]
		for at := p.gapTo(class, 0); at < p.world.Duration; at += p.gapTo(class, at) {
			c := &call{class: class, began: at, prompt: p.draw(class.MeanPromptTokens, class.PromptLogStdDev), output: p.draw(class.MeanOutputTokens, class.OutputLogStdDev)}
			if p.pattern.DeferArrivals && p.disturbed(at) {
				at := p.pattern.End + time.Duration(p.random.Float64()*float64(time.Second))
				c.began = at
				p.at(at, func() { p.submit(c) })
				continue
			}
			p.at(at, func() { p.submit(c) })
		}
	}
}

// gapTo draws the time from one arrival to the next.
func (p *play) gapTo(class *Class, at time.Duration) time.Duration {
	rate := class.ArrivalsPerSecond
	if p.pattern.ArrivalFactor > 0 && p.disturbed(at) && (p.pattern.OnlyClass == "" || p.pattern.OnlyClass == class.Name) {
		rate *= p.pattern.ArrivalFactor
	}
	return time.Duration(p.random.ExpFloat64() / rate * float64(time.Second))
}

func (p *play) disturbed(at time.Duration) bool { return at >= p.pattern.Begin && at < p.pattern.End }

// draw draws a size of a given mean.
func (p *play) draw(mean, spread float64) int {
	const most = 8
	drawn := mean * math.Exp(spread*p.random.NormFloat64()-spread*spread/2)
	return max(1, int(min(drawn, most*mean)))
}

// disturb plans what happens to engines.
func (p *play) disturb() {
	gone, slow := int(p.pattern.DownShare*float64(len(p.engines))), int(p.pattern.SlowShare*float64(len(p.engines)))
	for i, e := range p.engines {
		// Engines are drawn across all speeds.
		switch at := (i * 5) % len(p.engines); {
		case at < gone:
			p.at(p.pattern.Begin, func() { p.breakOff(e) })
			p.at(p.pattern.End, func() { e.gone = false })
		case at < slow:
			p.at(p.pattern.Begin, func() { e.model.SetSlowdown(p.pattern.SlowFactor) })
			p.at(p.pattern.End, func() { e.model.SetSlowdown(1) })
		}
	}
}

// breakOff ends all that an engine runs.
func (p *play) breakOff(e *engine) {
	e.gone = true
	for c := range e.calls {
		e.model.Cancel(c.run)
		p.end(c, schedule.Outcome{Result: schedule.Failed}, failed)
	}
}

// submit asks for a place.
func (p *play) submit(c *call) {
	deadline := p.origin.Add(c.began + c.class.Deadline)
	c.request = &schedule.Request{
		Service: service, Priority: c.class.Priority, PromptTokens: c.prompt, OutputTokens: int(c.class.MeanOutputTokens),
		TokensPerEvent: p.world.TokensPerEvent, ArrivedAt: p.clock.Now(), Objective: c.class.FirstTokenObjective, EventGap: c.class.EventGapObjective,
		Deadline: deadline,
	}
	if p.scheduler == nil {
		p.send(c, p.leastLoaded())
		return
	}
	grant, wait, err := p.scheduler.Submit(c.request)
	switch {
	case grant != nil:
		p.start(c, grant)
	case wait != nil:
		c.wait = wait
		p.waiting = append(p.waiting, c)
		p.at(wait.WaitDeadline().Sub(p.origin), func() { p.expire(c) })
	default:
		p.refused(c, err)
	}
}

func (p *play) leastLoaded() *engine {
	var best *engine
	for _, e := range p.engines {
		if !e.gone && (best == nil || len(e.calls) < len(best.calls)) {
			best = e
		}
	}
	return best
}

// expire ends a wait that has taken too long.
func (p *play) expire(c *call) {
	if c.wait == nil {
		return
	}
	grant, err := c.wait.Dequeue()
	p.forget(c)
	if grant != nil {
		p.start(c, grant)
		return
	}
	p.refused(c, err)
}

func (p *play) forget(c *call) {
	c.wait = nil
	kept := p.waiting[:0]
	for _, other := range p.waiting {
		if other != c {
			kept = append(kept, other)
		}
	}
	p.waiting = kept
}

// startGranted starts what has been given a place.
func (p *play) startGranted() {
	for started := true; started; {
		started = false
		for _, c := range p.waiting {
			select {
			case grant := <-c.wait.Granted():
				p.forget(c)
				p.start(c, grant)
				started = true
			default:
			}
			if started {
				break
			}
		}
	}
}

func (p *play) start(c *call, grant *schedule.Grant) {
	c.grant = grant
	var index int
	_, _ = fmt.Sscan(grant.Target.ID, &index)
	e := p.engines[index]
	if e.gone {
		p.end(c, schedule.Outcome{Result: schedule.Unreachable}, failed)
		return
	}
	p.send(c, e)
}

// send lets an engine run the request.
func (p *play) send(c *call, e *engine) {
	now := p.now()
	if e == nil {
		p.end(c, schedule.Outcome{Result: schedule.Unreachable}, failed)
		return
	}
	c.engine, c.sent = e, now
	c.run = &enginemodel.Request{PromptTokens: c.prompt, OutputTokens: c.output}
	c.run.OnToken = func(at time.Duration, first, last bool) { p.token(c, at, first, last) }
	e.calls[c] = true
	p.report.waited(c.class, now-c.began)
	patience := max(minPatience, patienceObjectives*c.class.FirstTokenObjective)
	p.at(now+patience, func() {
		if !c.ended && c.tokens == 0 {
			e.model.Cancel(c.run)
			p.end(c, schedule.Outcome{Result: schedule.Cancelled}, left)
		}
	})
	p.at(now+networkTime/2, func() {
		if !c.ended {
			e.model.Submit(c.run, p.now())
			p.plan(e)
		}
	})
}

// plan makes an event of the engine's next step.
func (p *play) plan(e *engine) {
	at, busy := e.model.NextStepEnd()
	if e.planned || !busy {
		return
	}
	e.planned = true
	p.at(at, func() {
		e.planned = false
		e.model.FinishStep()
		p.plan(e)
	})
}

// token takes one output token.
func (p *play) token(c *call, at time.Duration, first, last bool) {
	if c.ended {
		return
	}
	c.tokens++
	if first {
		c.first, c.latest = at, at
		if c.grant != nil {
			c.grant.ResponseStarted(at - c.sent)
		}
	} else if c.tokens%p.world.TokensPerEvent == 0 || last {
		c.gap, c.latest = max(c.gap, at-c.latest), at
	}
	if !last {
		return
	}
	result := late
	if c.first+networkTime-c.began <= c.class.FirstTokenObjective && c.gap <= c.class.EventGapObjective {
		result = inTime
	}
	p.end(c, schedule.Outcome{
		Result: schedule.Complete, TotalTime: at - c.sent, Tokens: c.tokens - 1, TokenSpan: at - c.first,
	}, result)
}

// end closes an attempt.
func (p *play) end(c *call, o schedule.Outcome, result result) {
	if c.ended {
		return
	}
	c.ended = true
	if c.engine != nil {
		delete(c.engine.calls, c)
	}
	if c.grant != nil {
		c.grant.Done(o)
	}
	p.report.ended(c.class, c.began, result)
}

// refused lets the caller come back once, as it is told to.
func (p *play) refused(c *call, err error) {
	var refusal *schedule.RefusedError
	now := p.now()
	left := c.began + c.class.Deadline - now
	if c.again || !errors.As(err, &refusal) || refusal.RetryAfter <= 0 {
		p.report.ended(c.class, c.began, refused)
		return
	}
	pause := min(refusal.RetryAfter, time.Duration(returnShare*float64(left)))
	again := &call{class: c.class, prompt: c.prompt, output: c.output, began: c.began, again: true}
	p.at(now+pause, func() { p.submit(again) })
}
