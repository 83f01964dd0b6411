// Package enginemodel imitates an inference engine on a virtual clock: requests
// run in a batch, prompts are read in chunks between the steps that produce one
// token for each running request, and requests share a memory of tokens.
//
// It answers how long a request takes behind others, which is what decisions
// about waiting and placing depend on; it holds no text and no weights.
package enginemodel

import "time"

// Settings describe an engine. Times are for an engine of speed 1.
type Settings struct {
	// Slots is the number of requests that run at once; others queue.
	Slots int
	// Speed divides all times.
	Speed float64
	// StepTime is the time of a step, StepTimePerRequest what each running request adds to it,
	// StepTimePerThousandTokens what each thousand tokens in memory add.
	StepTime, StepTimePerRequest, StepTimePerThousandTokens time.Duration
	// PrefillTokensPerMs is the number of prompt tokens read in a millisecond, Chunk the
	// most that are read between two steps.
	PrefillTokensPerMs float64
	PrefillChunkTokens int
	// KVCacheTokens bounds the tokens of running requests.
	KVCacheTokens int
}

// Request is a request at an engine.
type Request struct {
	// PromptTokens and OutputTokens are its tokens.
	PromptTokens, OutputTokens int
	// OnToken is called with each output token; first and last mark the ends.
	OnToken func(at time.Duration, first, last bool)

	prefilled, generated int
}

// kvTokens is the tokens that the run holds.
func (r *Request) kvTokens() int { return r.prefilled + r.generated }

// Engine is one engine. Time is what has passed since the start of the play.
type Engine struct {
	settings Settings
	queue    []*Request
	running  []*Request
	// stepEnd is when the present step ends; idle engines have none.
	stepEnd  time.Duration
	busy     bool
	slowdown float64
	// Preemptions counts runs that lost their memory to older ones.
	Preemptions int
}

// New returns an idle engine.
func New(settings Settings) *Engine { return &Engine{settings: settings, slowdown: 1} }

// Submit takes a request at a time.
func (e *Engine) Submit(r *Request, at time.Duration) {
	e.queue = append(e.queue, r)
	if !e.busy {
		e.admit()
		e.startStep(at)
	}
}

// SetSlowdown multiplies the times of all further steps.
func (e *Engine) SetSlowdown(factor float64) { e.slowdown = factor }

// Cancel ends a request whose caller has gone.
func (e *Engine) Cancel(r *Request) {
	e.queue = removeRequest(e.queue, r)
	e.running = removeRequest(e.running, r)
}

func removeRequest(requests []*Request, removed *Request) []*Request {
	kept := requests[:0]
	for _, r := range requests {
		if r != removed {
			kept = append(kept, r)
		}
	}
	return kept
}

// NextStepEnd returns when the present step ends; ok is false when the engine is idle.
func (e *Engine) NextStepEnd() (at time.Duration, ok bool) { return e.stepEnd, e.busy }

// FinishStep ends the present step and begins the next.
func (e *Engine) FinishStep() {
	at := e.stepEnd
	e.prefillChunk()
	for _, r := range append([]*Request(nil), e.running...) {
		if r.prefilled < r.PromptTokens {
			continue
		}
		r.generated++
		last := r.generated >= r.OutputTokens
		if last {
			e.running = removeRequest(e.running, r)
		}
		r.OnToken(at, r.generated == 1, last)
	}
	e.preempt()
	e.admit()
	e.startStep(at)
}

// prefillChunk reads the prompts of running requests, in order of arrival, up to
// one chunk.
func (e *Engine) prefillChunk() {
	budget := e.settings.PrefillChunkTokens
	for _, r := range e.running {
		tokens := min(budget, r.PromptTokens-r.prefilled)
		r.prefilled += tokens
		budget -= tokens
	}
}

// preempt takes the newest request out of a memory that is too full; it is read
// again from the start.
func (e *Engine) preempt() {
	for len(e.running) > 1 && e.kvTokens() > e.settings.KVCacheTokens {
		newest := e.running[len(e.running)-1]
		e.running = e.running[:len(e.running)-1]
		newest.prefilled = 0
		e.queue = append([]*Request{newest}, e.queue...)
		e.Preemptions++
	}
}

func (e *Engine) kvTokens() int {
	sum := 0
	for _, r := range e.running {
		sum += r.kvTokens()
	}
	return sum
}

func (e *Engine) admit() {
	for len(e.queue) > 0 && len(e.running) < e.settings.Slots {
		if len(e.running) > 0 && e.kvTokens()+e.queue[0].PromptTokens > e.settings.KVCacheTokens {
			return
		}
		e.running = append(e.running, e.queue[0])
		e.queue = e.queue[1:]
	}
}

// startStep starts a step, which ends after the time for its tokens and its chunk.
func (e *Engine) startStep(at time.Duration) {
	e.busy = len(e.running) > 0
	if !e.busy {
		return
	}
	s := &e.settings
	pendingPrefill := 0
	for _, r := range e.running {
		pendingPrefill += r.PromptTokens - r.prefilled
	}
	stepTime := s.StepTime + time.Duration(len(e.running))*s.StepTimePerRequest +
		time.Duration(float64(e.kvTokens())/1000*float64(s.StepTimePerThousandTokens)) +
		time.Duration(float64(min(pendingPrefill, s.PrefillChunkTokens))/s.PrefillTokensPerMs*float64(time.Millisecond))
	e.stepEnd = at + time.Duration(float64(stepTime)*e.slowdown/s.Speed)
}
