// Package enginemodel models an inference engine with continuous batching on
// a virtual clock (Engine). Each step prefills a chunk of the pending prompts
// and then generates one token for each running request whose prompt is
// complete; all running requests share a KV cache.
//
// The model yields the time that a request takes next to others, which
// decisions about queueing and placement depend on. It has neither texts nor
// model weights.
package enginemodel

import "time"

// Settings describes an engine. Times are those of an engine of speed 1.
type Settings struct {
	// Slots is the number of requests that run concurrently; others are
	// queued.
	Slots int
	// Speed divides all times.
	Speed float64
	// StepTime is the base duration of a step. StepTimePerRequest is added
	// for each running request, and StepTimePerThousandTokens for each
	// thousand tokens in the KV cache.
	StepTime, StepTimePerRequest, StepTimePerThousandTokens time.Duration
	// PrefillTokensPerMs is the number of prompt tokens prefilled in a
	// millisecond, PrefillChunkTokens the largest number in one step.
	PrefillTokensPerMs float64
	PrefillChunkTokens int
	// KVCacheTokens is the capacity of the KV cache, shared by the running
	// requests.
	KVCacheTokens int
}

// Request is a request at an engine.
type Request struct {
	PromptTokens, OutputTokens int
	// OnToken is called with each output token; first and last mark the first
	// and the last one.
	OnToken func(at time.Duration, first, last bool)

	// prefilled and generated are the tokens processed so far.
	prefilled, generated int
}

// kvTokens returns the number of tokens that the request holds in the KV
// cache.
func (r *Request) kvTokens() int { return r.prefilled + r.generated }

// Engine is a modelled engine. Times are durations since the start of the
// simulation.
type Engine struct {
	settings Settings
	queue    []*Request
	running  []*Request
	// stepEnd is when the current step ends; valid while the engine is busy.
	stepEnd  time.Duration
	busy     bool
	slowdown float64
	// Preemptions counts the requests that were preempted because the KV
	// cache was full.
	Preemptions int
}

// New returns an idle engine.
func New(settings Settings) *Engine { return &Engine{settings: settings, slowdown: 1} }

// Submit queues a request at the given time, and starts a step if the engine
// is idle.
func (e *Engine) Submit(r *Request, at time.Duration) {
	e.queue = append(e.queue, r)
	if !e.busy {
		e.admit()
		e.startStep(at)
	}
}

// SetSlowdown multiplies the durations of all further steps by factor.
func (e *Engine) SetSlowdown(factor float64) { e.slowdown = factor }

// Cancel removes a request, for example after its caller has disconnected.
func (e *Engine) Cancel(r *Request) {
	e.queue = removeRequest(e.queue, r)
	e.running = removeRequest(e.running, r)
}

// removeRequest removes a request from the slice in place.
func removeRequest(requests []*Request, removed *Request) []*Request {
	kept := requests[:0]
	for _, r := range requests {
		if r != removed {
			kept = append(kept, r)
		}
	}
	return kept
}

// NextStepEnd returns when the current step ends; ok is false when the engine
// is idle.
func (e *Engine) NextStepEnd() (at time.Duration, ok bool) { return e.stepEnd, e.busy }

// FinishStep ends the current step and starts the next one.
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

// prefillChunk prefills the prompts of running requests, in the order in
// which they were admitted, by one chunk in total.
func (e *Engine) prefillChunk() {
	budget := e.settings.PrefillChunkTokens
	for _, r := range e.running {
		tokens := min(budget, r.PromptTokens-r.prefilled)
		r.prefilled += tokens
		budget -= tokens
	}
}

// preempt returns the newest running requests to the head of the queue while
// the KV cache is over its capacity. A preempted request is prefilled again
// from the start; generated tokens are kept.
func (e *Engine) preempt() {
	for len(e.running) > 1 && e.kvTokens() > e.settings.KVCacheTokens {
		newest := e.running[len(e.running)-1]
		e.running = e.running[:len(e.running)-1]
		newest.prefilled = 0
		e.queue = append([]*Request{newest}, e.queue...)
		e.Preemptions++
	}
}

// kvTokens returns the number of tokens in the KV cache.
func (e *Engine) kvTokens() int {
	sum := 0
	for _, r := range e.running {
		sum += r.kvTokens()
	}
	return sum
}

// admit moves queued requests to the batch while there are slots and KV cache
// for their prompts; an empty batch always admits one.
func (e *Engine) admit() {
	for len(e.queue) > 0 && len(e.running) < e.settings.Slots {
		if len(e.running) > 0 && e.kvTokens()+e.queue[0].PromptTokens > e.settings.KVCacheTokens {
			return
		}
		e.running = append(e.running, e.queue[0])
		e.queue = e.queue[1:]
	}
}

// startStep starts a step if there are running requests. Its duration depends
// on the running requests, the tokens in the KV cache and the chunk to
// prefill.
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
