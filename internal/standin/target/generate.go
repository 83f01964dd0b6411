package target

import (
	"context"
	"net/http"
	"strconv"
	"time"
)

// prefillSpeedInterval is how often a prefill re-evaluates its speed.
const prefillSpeedInterval = 10 * time.Millisecond

// admitResult holds either the started run or the HTTP status of a refusal.
type admitResult struct {
	run           *engineRun
	refusalStatus int
}

// admit starts a run unless the engine is stopped, leaving or full, or already
// has a run with the same request ID.
func (e *Engine) admit(r *http.Request, request CompletionRequest, crashesEngine bool) admitResult {
	now := e.options.Clock.Now()
	version, servingSince := e.orders.servingVersion(now)
	prompt := request.PromptText()
	e.mu.Lock()
	defer e.mu.Unlock()
	id := e.requestID(r)
	if status := e.refusalStatus(id); status != 0 {
		e.recordRefusal(Refusal{ReceivedAt: now, RequestID: id, Key: r.Header.Get("Idempotency-Key"), StatusCode: status})
		return admitResult{refusalStatus: status}
	}
	cachedTokens := e.cache.lookUpAndStore(prompt, now)
	run := &engineRun{id: id, request: request, prompt: prompt, path: r.URL.Path, crashesEngine: crashesEngine, status: StatusRunning}
	run.changed = make(chan struct{})
	run.kvTokens = PromptTokens(prompt) + request.MaxTokens
	run.uncachedTokens = PromptTokens(prompt) - cachedTokens
	run.fault = e.evaluateFault(version, now.Sub(servingSince), r.URL.Path, request.Model)
	run.recordIndex = e.recordStart(Run{
		Target: e.options.Name, RequestID: id, Path: r.URL.Path, Version: version,
		Key: r.Header.Get("Idempotency-Key"), Account: r.Header.Get("Hibiscus-Account"),
		Model: request.Model, User: request.User, StartedAt: now,
		PromptTokens: PromptTokens(prompt), CachedTokens: cachedTokens, Faulty: run.fault.affected,
	})
	ctx, cancel := context.WithCancel(e.lifetimeCtx)
	run.cancel = cancel
	e.runsByID[id] = run
	e.active[run] = struct{}{}
	e.kvTokensUsed += run.kvTokens
	e.runGroup.Go(func() { e.generate(ctx, run) })
	return admitResult{run: run}
}

// requestID returns the request's ID, or a generated one if it has none. The
// caller holds e.mu.
func (e *Engine) requestID(r *http.Request) string {
	if id := r.Header.Get("X-Request-Id"); id != "" {
		return id
	}
	e.anonymousRequests++
	return "unnamed-" + strconv.Itoa(e.anonymousRequests)
}

// refusalStatus returns the HTTP status with which to refuse a request, or 0 if
// it may run. The caller holds e.mu.
func (e *Engine) refusalStatus(id string) int {
	switch {
	case e.lifetimeCtx.Err() != nil:
		return http.StatusServiceUnavailable
	case e.runsByID[id] != nil:
		return http.StatusConflict
	case e.leaving.Load():
		return http.StatusServiceUnavailable
	case len(e.active) >= e.options.MaxConcurrentRequests:
		return http.StatusTooManyRequests
	}
	return 0
}

// evaluateFault determines the effects of the version's fault on one request.
// The caller holds e.mu.
func (e *Engine) evaluateFault(version string, servingTime time.Duration, path, model string) faultEffects {
	e.requestsByVersion[version]++
	fault := e.versionFaults[version]
	applies := e.requestsByVersion[version] > fault.AfterRequests &&
		servingTime >= fault.AfterTime &&
		len(e.active) >= fault.MinRunning &&
		(fault.Path == "" || fault.Path == path) &&
		(fault.Model == "" || fault.Model == model)
	if !applies {
		return faultEffects{slowdown: 1}
	}
	factor := fault.SlowdownFactor
	if factor <= 0 {
		factor = 1
	}
	fails := fault.FailureRatio > 0 && e.rng.Float64() < fault.FailureRatio
	affected := fails || factor != 1 || fault.OmitStreamEnd
	if affected {
		e.faultyRunCount.Add(1)
	}
	return faultEffects{affected: affected, fails: fails, slowdown: factor, omitEnd: fault.OmitStreamEnd}
}

// generate executes one run: prefill, then decoding token by token. If ctx is
// done, the run was either cancelled, which has already been recorded, or lost
// in a crash.
func (e *Engine) generate(ctx context.Context, run *engineRun) {
	e.recordLoad()
	if run.fault.fails {
		e.finish(run, StatusFailed)
		return
	}
	if !e.prefill(ctx, run) {
		e.finish(run, StatusCrashed)
		return
	}
	if run.crashesEngine {
		e.Crash()
		return
	}
	if !e.decode(ctx, run) {
		e.finish(run, StatusCrashed)
		return
	}
	if run.fault.omitEnd {
		e.finish(run, StatusNoEnd)
		return
	}
	e.finish(run, StatusComplete)
}

// prefill waits for the time that processing the uncached prompt tokens takes.
// It returns false if ctx is done first.
func (e *Engine) prefill(ctx context.Context, run *engineRun) bool {
	remainingTokens := float64(run.uncachedTokens)
	for remainingTokens > 0 {
		tokensPerSecond := e.options.PrefillTokensPerSecond / (e.slowdownFactor() * run.fault.slowdown)
		remainingTime := time.Duration(remainingTokens / tokensPerSecond * float64(time.Second))
		step := min(remainingTime, prefillSpeedInterval)
		if !e.sleep(ctx, step) {
			return false
		}
		if remainingTime <= prefillSpeedInterval {
			return true
		}
		remainingTokens -= tokensPerSecond * step.Seconds()
	}
	return ctx.Err() == nil
}

// decode generates the tokens and returns false if ctx is done first. Each token
// is scheduled relative to the due time of the previous one, so that late timers
// do not add up.
func (e *Engine) decode(ctx context.Context, run *engineRun) bool {
	due := e.options.Clock.Now()
	for range run.request.MaxTokens {
		step := float64(e.options.DecodeTimePerToken) * e.slowdownFactor() * run.fault.slowdown
		due = due.Add(time.Duration(step))
		if !e.sleep(ctx, due.Sub(e.options.Clock.Now())) {
			return false
		}
		run.addToken()
	}
	return true
}
