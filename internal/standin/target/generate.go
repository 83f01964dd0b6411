package target

import (
	"context"
	"net/http"
	"strconv"
	"time"
)

// prefillSlice is how often the speed of a prefill is taken anew.
const prefillSlice = 10 * time.Millisecond

// admission is the outcome of asking for a run: a run or a refusal's status.
type admission struct {
	run     *progress
	refusal int
}

// admit starts a run unless the engine is leaving, full, or knows the id.
func (e *Engine) admit(r *http.Request, request CompletionRequest, crashes bool) admission {
	now := e.options.Clock.Now()
	version, since := e.orders.serving(now)
	prompt := request.PromptText()
	e.mu.Lock()
	defer e.mu.Unlock()
	id := e.requestID(r)
	if refusal := e.refusal(id); refusal != 0 {
		e.refuse(Refusal{ReceivedAt: now, RequestID: id, Key: r.Header.Get("Idempotency-Key"), StatusCode: refusal})
		return admission{refusal: refusal}
	}
	cached := e.cache.use(prompt, now)
	p := &progress{id: id, request: request, prompt: prompt, path: r.URL.Path, crashes: crashes, end: StatusRunning}
	p.changed = make(chan struct{})
	p.kv = PromptTokens(prompt) + request.MaxTokens
	p.uncache = PromptTokens(prompt) - cached
	p.bad = e.symptoms(version, now.Sub(since), r.URL.Path, request.Model)
	p.index = e.open(Run{
		Target: e.options.Name, RequestID: id, Path: r.URL.Path, Version: version,
		Key: r.Header.Get("Idempotency-Key"), Account: r.Header.Get("Hibiscus-Account"),
		Model: request.Model, User: request.User, StartedAt: now,
		PromptTokens: PromptTokens(prompt), CachedTokens: cached, Faulty: p.bad.shows,
	})
	ctx, cancel := context.WithCancel(e.lifetime)
	p.cancel = cancel
	e.runs[id] = p
	e.active[p] = struct{}{}
	e.kvUsed += p.kv
	e.generator.Go(func() { e.generate(ctx, p) })
	return admission{run: p}
}

// requestID is the request's id, or a new one for a request that has none;
// e.mu is held.
func (e *Engine) requestID(r *http.Request) string {
	if id := r.Header.Get("X-Request-Id"); id != "" {
		return id
	}
	e.unnamed++
	return "unnamed-" + strconv.Itoa(e.unnamed)
}

// refusal is the status of a request that may not run, or 0; e.mu is held.
func (e *Engine) refusal(id string) int {
	switch {
	case e.lifetime.Err() != nil:
		return http.StatusServiceUnavailable
	case e.runs[id] != nil:
		return http.StatusConflict
	case e.leaving.Load():
		return http.StatusServiceUnavailable
	case len(e.active) >= e.options.MaxConcurrentRequests:
		return http.StatusTooManyRequests
	}
	return 0
}

// symptoms decides how a version treats one request; e.mu is held.
func (e *Engine) symptoms(version string, age time.Duration, path, model string) symptoms {
	e.served[version]++
	bad := e.badness[version]
	shows := e.served[version] > bad.AfterRequests &&
		age >= bad.AfterTime &&
		len(e.active) >= bad.MinRunning &&
		(bad.Path == "" || bad.Path == path) &&
		(bad.Model == "" || bad.Model == model)
	if !shows {
		return symptoms{slow: 1}
	}
	slow := bad.SlowdownFactor
	if slow <= 0 {
		slow = 1
	}
	fails := bad.FailureRatio > 0 && e.random.Float64() < bad.FailureRatio
	marked := fails || slow != 1 || bad.OmitStreamEnd
	if marked {
		e.badRuns.Add(1)
	}
	return symptoms{shows: marked, fails: fails, slow: slow, noEnd: bad.OmitStreamEnd}
}

// generate carries out one run: prefill, then one token after the other. When
// ctx ends, the run was cancelled, which is on record by then, or is lost.
func (e *Engine) generate(ctx context.Context, p *progress) {
	e.noteLoad()
	if p.bad.fails {
		e.finish(p, StatusFailed)
		return
	}
	if !e.prefill(ctx, p) {
		e.finish(p, StatusCrashed)
		return
	}
	if p.crashes {
		e.Crash()
		return
	}
	if !e.decode(ctx, p) {
		e.finish(p, StatusCrashed)
		return
	}
	if p.bad.noEnd {
		e.finish(p, StatusNoEnd)
		return
	}
	e.finish(p, StatusComplete)
}

// prefill spends the time that the uncached prompt tokens take.
func (e *Engine) prefill(ctx context.Context, p *progress) bool {
	left := float64(p.uncache)
	for left > 0 {
		perSecond := e.options.PrefillTokensPerSecond / (e.slowdown() * p.bad.slow)
		need := time.Duration(left / perSecond * float64(time.Second))
		step := min(need, prefillSlice)
		if !e.sleep(ctx, step) {
			return false
		}
		if need <= prefillSlice {
			return true
		}
		left -= perSecond * step.Seconds()
	}
	return ctx.Err() == nil
}

// decode produces the tokens. Each is due one token time after the one before
// was due, so that late timers do not slow the engine down.
func (e *Engine) decode(ctx context.Context, p *progress) bool {
	due := e.options.Clock.Now()
	for range p.request.MaxTokens {
		step := float64(e.options.DecodeTimePerToken) * e.slowdown() * p.bad.slow
		due = due.Add(time.Duration(step))
		if !e.sleep(ctx, due.Sub(e.options.Clock.Now())) {
			return false
		}
		p.add()
	}
	return true
}
