package load

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
)

const (
	// resendPause is how long a caller waits before it sends again.
	resendPause = 200 * time.Millisecond
	// connectTries is how many instances an attempt is offered to.
	connectTries = 4
	// idleConnections bounds the connections kept to each instance.
	idleConnections = 512
)

// Balancer stands for the platform's balancer: it gives each attempt the next
// instance in turn.
type Balancer struct {
	urls atomic.Pointer[[]string]
	turn atomic.Uint64
}

// NewBalancer returns a balancer over the base URLs of instances.
func NewBalancer(urls []string) *Balancer {
	b := &Balancer{}
	b.SetURLs(urls)
	return b
}

// SetURLs replaces the instances.
func (b *Balancer) SetURLs(urls []string) {
	own := append([]string(nil), urls...)
	b.urls.Store(&own)
}

// next returns the next instance, or "" when there is none.
func (b *Balancer) next() string {
	urls := *b.urls.Load()
	if len(urls) == 0 {
		return ""
	}
	return urls[b.turn.Add(1)%uint64(len(urls))]
}

// Generator sends a plan.
type Generator struct {
	balancer *Balancer
	timeout  time.Duration
	http     *http.Client
}

// NewGenerator returns a sender whose attempts last at most timeout.
func NewGenerator(balancer *Balancer, timeout time.Duration) *Generator {
	transport := &http.Transport{MaxIdleConnsPerHost: idleConnections, DisableCompression: true}
	return &Generator{balancer: balancer, timeout: timeout, http: &http.Client{Transport: transport}}
}

// Close ends the idle connections.
func (s *Generator) Close() { s.http.CloseIdleConnections() }

// Send sends all calls at their times and waits for their outcomes, which are
// in the order of the plan. Calls that were not sent when ctx ended have no
// attempts.
func (s *Generator) Send(ctx context.Context, calls []*Request) []*Outcome {
	outcomes := make([]*Outcome, len(calls))
	start := time.Now()
	var inFlight conc.WaitGroup
	for i, call := range calls {
		outcomes[i] = &Outcome{Request: call}
		if !sleepUntil(ctx, start.Add(call.Offset)) {
			continue
		}
		outcome := outcomes[i]
		inFlight.Go(func() { s.carryOut(ctx, outcome) })
	}
	inFlight.Wait()
	return outcomes
}

// carryOut sends one call, with its twin and resends.
func (s *Generator) carryOut(ctx context.Context, outcome *Outcome) {
	var mu sync.Mutex // guards outcome.Attempts while twins run
	var twins conc.WaitGroup
	series := func() {
		var attempt Attempt
		for n := 0; ; n++ {
			attempt = s.next(ctx, outcome.Request, &attempt)
			mu.Lock()
			outcome.Attempts = append(outcome.Attempts, attempt)
			mu.Unlock()
			if !s.followUp(ctx, outcome.Request, &attempt, n) {
				return
			}
		}
	}
	twins.Go(series)
	if outcome.Request.SendDuplicate {
		twins.Go(series)
	}
	twins.Wait()
}

// followUp decides whether a caller tries again after an attempt, and waits
// before it does. A lost stream is resumed by its handle; a keyed call is sent
// again.
func (s *Generator) followUp(ctx context.Context, call *Request, last *Attempt, tries int) bool {
	isLost := last.Verdict == VerdictConnectionLost || last.Verdict == VerdictTruncated
	hasWay := call.IdempotencyKey != "" || last.canResume()
	// A resumption that is refused leaves the other way to a keyed call.
	isRefusedResume := last.IsResumption && last.Verdict == VerdictRefused && call.IdempotencyKey != ""
	if tries >= call.MaxRetries || !(isLost && hasWay || isRefusedResume) {
		return false
	}
	return sleepUntil(ctx, time.Now().Add(resendPause))
}

// canResume reports whether a stream was lost that can be resumed.
func (a *Attempt) canResume() bool {
	isLost := a.Verdict == VerdictConnectionLost || a.Verdict == VerdictTruncated
	return isLost && a.Handle != "" && a.lastID != ""
}

// next resumes the last attempt's stream where it can, else sends the call.
func (s *Generator) next(ctx context.Context, call *Request, last *Attempt) Attempt {
	if last.canResume() {
		return s.resume(ctx, call, last)
	}
	return s.attempt(ctx, call)
}

// resume asks the next instance for the rest of a lost stream.
func (s *Generator) resume(ctx context.Context, call *Request, last *Attempt) Attempt {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	attempt := Attempt{
		SentAt: time.Now(), IsResumption: true, Handle: last.Handle,
		FirstTokenAt: last.FirstTokenAt, text: last.text, lastID: last.lastID,
	}
	return s.exchange(call, attempt, func(attempt *Attempt) (*http.Response, error) {
		return s.offer(attempt, func(base string) (*http.Response, error) {
			return s.getRest(ctx, call, attempt, base)
		})
	})
}

// getRest asks one instance for the events after the last one.
func (s *Generator) getRest(ctx context.Context, call *Request, attempt *Attempt, base string) (*http.Response, error) {
	url := base + "/v1/requests/" + attempt.Handle
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Hibiscus-Account", call.Account)
	request.Header.Set("Last-Event-ID", attempt.lastID)
	return s.http.Do(request)
}

// attempt sends the call once and reads the answer to its end.
func (s *Generator) attempt(ctx context.Context, call *Request) Attempt {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	return s.exchange(call, Attempt{SentAt: time.Now()}, func(attempt *Attempt) (*http.Response, error) {
		return s.offer(attempt, func(base string) (*http.Response, error) {
			return s.post(ctx, call, base)
		})
	})
}

// SendTo sends the call once to one base URL.
func (s *Generator) SendTo(ctx context.Context, call *Request, base string) Attempt {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	return s.exchange(call, Attempt{URL: base, SentAt: time.Now()}, func(*Attempt) (*http.Response, error) {
		return s.post(ctx, call, base)
	})
}

// exchange sends by the given function and reads the answer to its end.
func (s *Generator) exchange(call *Request, attempt Attempt, send func(*Attempt) (*http.Response, error)) Attempt {
	response, err := send(&attempt)
	if err != nil {
		attempt.Verdict = VerdictConnectionLost
		attempt.Detail = err.Error()
		attempt.EndedAt = time.Now()
		return attempt
	}
	defer response.Body.Close()
	attempt.Status = response.StatusCode
	if handle := response.Header.Get("Hibiscus-Request"); handle != "" {
		attempt.Handle = handle
	}
	read(call, response, &attempt)
	_, _ = io.Copy(io.Discard, response.Body)
	attempt.EndedAt = time.Now()
	return attempt
}

// offer sends a request to the next instance that takes a connection. As a
// balancer does, it passes over instances that refuse one, which have not seen
// a byte of the request.
func (s *Generator) offer(attempt *Attempt, send func(base string) (*http.Response, error)) (*http.Response, error) {
	for tries := 1; ; tries++ {
		attempt.URL = s.balancer.next()
		response, err := send(attempt.URL)
		if err == nil || tries == connectTries || !isDial(err) {
			return response, err
		}
	}
}

// isDial reports whether no connection could be made.
func isDial(err error) bool {
	var network *net.OpError
	return errors.As(err, &network) && network.Op == "dial"
}

// post sends the request once. GetBody is removed, since the library sends a
// request with an Idempotency-Key again by itself when it has one.
func (s *Generator) post(ctx context.Context, call *Request, base string) (*http.Response, error) {
	body, err := call.body()
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, base+call.uri(), bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Hibiscus-Account", call.Account)
	if call.IdempotencyKey != "" {
		request.Header.Set("Idempotency-Key", call.IdempotencyKey)
	}
	return s.http.Do(request)
}

// sleepUntil waits; it reports false when ctx ended first.
func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
