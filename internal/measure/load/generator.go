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
	// retryDelay is the pause before a retry or a resumption.
	retryDelay = 200 * time.Millisecond
	// maxConnectAttempts bounds the connections that are tried for one attempt.
	maxConnectAttempts = 4
	// maxIdleConnsPerInstance bounds the idle connections kept open to each
	// instance.
	maxIdleConnsPerInstance = 512
)

// Balancer selects an instance for each attempt, round-robin, in place of the
// platform's load balancer.
type Balancer struct {
	urls    atomic.Pointer[[]string]
	counter atomic.Uint64
}

// NewBalancer returns a balancer over the given base URLs of instances.
func NewBalancer(urls []string) *Balancer {
	b := &Balancer{}
	b.SetURLs(urls)
	return b
}

// SetURLs replaces the base URLs of the instances.
func (b *Balancer) SetURLs(urls []string) {
	urlsCopy := append([]string(nil), urls...)
	b.urls.Store(&urlsCopy)
}

// nextURL returns the base URL of the next instance, or "" when there is none.
func (b *Balancer) nextURL() string {
	urls := *b.urls.Load()
	if len(urls) == 0 {
		return ""
	}
	return urls[b.counter.Add(1)%uint64(len(urls))]
}

// Generator sends the requests of a plan.
type Generator struct {
	balancer *Balancer
	timeout  time.Duration
	client   *http.Client
}

// NewGenerator returns a generator whose attempts time out after timeout.
func NewGenerator(balancer *Balancer, timeout time.Duration) *Generator {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerInstance, DisableCompression: true}
	return &Generator{balancer: balancer, timeout: timeout, client: &http.Client{Transport: transport}}
}

// Close closes the idle connections.
func (g *Generator) Close() { g.client.CloseIdleConnections() }

// Send sends all requests at their offsets and waits for their outcomes, which
// are in the order of the plan. Requests that were not sent when ctx ended have no
// attempts.
func (g *Generator) Send(ctx context.Context, requests []*Request) []*Outcome {
	outcomes := make([]*Outcome, len(requests))
	start := time.Now()
	var inFlight conc.WaitGroup
	for i, request := range requests {
		outcomes[i] = &Outcome{Request: request}
		if !sleepUntil(ctx, start.Add(request.Offset)) {
			continue
		}
		outcome := outcomes[i]
		inFlight.Go(func() { g.sendWithRetries(ctx, outcome) })
	}
	inFlight.Wait()
	return outcomes
}

// sendWithRetries sends one request and, if set, its duplicate, each with retries.
func (g *Generator) sendWithRetries(ctx context.Context, outcome *Outcome) {
	var mu sync.Mutex // guards outcome.Attempts while duplicates run
	var sequences conc.WaitGroup
	runSequence := func() {
		var attempt Attempt
		for retries := 0; ; retries++ {
			attempt = g.nextAttempt(ctx, outcome.Request, &attempt)
			mu.Lock()
			outcome.Attempts = append(outcome.Attempts, attempt)
			mu.Unlock()
			if !g.waitToRetry(ctx, outcome.Request, &attempt, retries) {
				return
			}
		}
	}
	sequences.Go(runSequence)
	if outcome.Request.SendDuplicate {
		sequences.Go(runSequence)
	}
	sequences.Wait()
}

// waitToRetry reports whether a client retries after an attempt, and waits
// retryDelay before it returns true. An incomplete stream is resumed by its
// handle; a request with an idempotency key is sent again.
func (g *Generator) waitToRetry(ctx context.Context, request *Request, last *Attempt, retries int) bool {
	isIncomplete := last.Verdict == VerdictConnectionLost || last.Verdict == VerdictTruncated
	canRetry := request.IdempotencyKey != "" || last.canResume()
	// After a refused resumption, a request with a key can still be sent again.
	isResumptionRefused := last.IsResumption && last.Verdict == VerdictRefused && request.IdempotencyKey != ""
	if retries >= request.MaxRetries || !(isIncomplete && canRetry || isResumptionRefused) {
		return false
	}
	return sleepUntil(ctx, time.Now().Add(retryDelay))
}

// canResume reports whether the attempt is an incomplete stream that can be
// resumed.
func (a *Attempt) canResume() bool {
	isIncomplete := a.Verdict == VerdictConnectionLost || a.Verdict == VerdictTruncated
	return isIncomplete && a.Handle != "" && a.lastEventID != ""
}

// nextAttempt resumes the last attempt's stream if possible, else sends the request.
func (g *Generator) nextAttempt(ctx context.Context, request *Request, last *Attempt) Attempt {
	if last.canResume() {
		return g.resumeStream(ctx, request, last)
	}
	return g.sendOnce(ctx, request)
}

// resumeStream requests the rest of an incomplete stream from the next instance.
func (g *Generator) resumeStream(ctx context.Context, request *Request, last *Attempt) Attempt {
	ctx, cancel := context.WithTimeout(ctx, g.timeout)
	defer cancel()
	attempt := Attempt{
		SentAt: time.Now(), IsResumption: true, Handle: last.Handle,
		FirstTokenAt: last.FirstTokenAt, receivedText: last.receivedText, lastEventID: last.lastEventID,
	}
	return g.exchange(request, attempt, func(attempt *Attempt) (*http.Response, error) {
		return g.tryInstances(attempt, func(baseURL string) (*http.Response, error) {
			return g.getRemainingEvents(ctx, request, attempt, baseURL)
		})
	})
}

// getRemainingEvents requests the events after the last received one from one
// instance.
func (g *Generator) getRemainingEvents(ctx context.Context, request *Request, attempt *Attempt, baseURL string) (*http.Response, error) {
	url := baseURL + "/v1/requests/" + attempt.Handle
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	httpRequest.Header.Set("Hibiscus-Account", request.Account)
	httpRequest.Header.Set("Last-Event-ID", attempt.lastEventID)
	return g.client.Do(httpRequest)
}

// sendOnce sends the request once through the balancer and reads the response.
func (g *Generator) sendOnce(ctx context.Context, request *Request) Attempt {
	ctx, cancel := context.WithTimeout(ctx, g.timeout)
	defer cancel()
	return g.exchange(request, Attempt{SentAt: time.Now()}, func(attempt *Attempt) (*http.Response, error) {
		return g.tryInstances(attempt, func(baseURL string) (*http.Response, error) {
			return g.post(ctx, request, baseURL)
		})
	})
}

// SendTo sends the request once to the given base URL, without retries.
func (g *Generator) SendTo(ctx context.Context, request *Request, baseURL string) Attempt {
	ctx, cancel := context.WithTimeout(ctx, g.timeout)
	defer cancel()
	return g.exchange(request, Attempt{URL: baseURL, SentAt: time.Now()}, func(*Attempt) (*http.Response, error) {
		return g.post(ctx, request, baseURL)
	})
}

// exchange calls send and reads the response to its end.
func (g *Generator) exchange(request *Request, attempt Attempt, send func(*Attempt) (*http.Response, error)) Attempt {
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
	readResponse(request, response, &attempt)
	_, _ = io.Copy(io.Discard, response.Body)
	attempt.EndedAt = time.Now()
	return attempt
}

// tryInstances sends a request to the next instance that accepts a connection. As
// load balancers do, it skips instances that refuse the connection, since those
// have not received a byte of the request.
func (g *Generator) tryInstances(attempt *Attempt, send func(baseURL string) (*http.Response, error)) (*http.Response, error) {
	for attempts := 1; ; attempts++ {
		attempt.URL = g.balancer.nextURL()
		response, err := send(attempt.URL)
		if err == nil || attempts == maxConnectAttempts || !isDialError(err) {
			return response, err
		}
	}
}

// isDialError reports whether err is a failure to connect.
func isDialError(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}

// post sends the request once. GetBody is cleared, since with it net/http retries
// a request that has an Idempotency-Key by itself.
func (g *Generator) post(ctx context.Context, request *Request, baseURL string) (*http.Response, error) {
	body, err := request.body()
	if err != nil {
		return nil, err
	}
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, baseURL+request.uri(), bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	httpRequest.GetBody = nil
	httpRequest.Header.Set("Content-Type", "application/json")
	httpRequest.Header.Set("Hibiscus-Account", request.Account)
	if request.IdempotencyKey != "" {
		httpRequest.Header.Set("Idempotency-Key", request.IdempotencyKey)
	}
	return g.client.Do(httpRequest)
}

// sleepUntil waits until the deadline; it returns false when ctx ended first.
func sleepUntil(ctx context.Context, deadline time.Time) bool {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
