// Package baseline implements the naive load balancer that the measures compare
// the system with: a reverse proxy that sends requests to the targets of a pool
// round-robin, in order of arrival, without credits, tiers, deadlines or
// deduplication by idempotency key. When a target fails before its response
// starts, the request is retried at the next one, as plain proxies do.
//
// Its main type is Proxy.
package baseline

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
)

const (
	// maxAttempts bounds the targets that one request is sent to.
	maxAttempts = 2
	// maxIdleConnsPerTarget bounds the idle connections kept open to each target.
	maxIdleConnsPerTarget = 256
	// copyBufferBytes is the size of the buffer that copies a response.
	copyBufferBytes = 16 << 10
)

// Proxy is a running naive load balancer.
type Proxy struct {
	engines  roundRobin
	services roundRobin
	limiter  chan struct{} // semaphore of the requests at targets, in order of arrival
	client   *http.Client
	listener net.Listener
	server   *http.Server
	serving  conc.WaitGroup
}

// roundRobin selects its targets in turn.
type roundRobin struct {
	urls    atomic.Pointer[[]string]
	counter atomic.Uint64
}

func (r *roundRobin) setURLs(urls []string) {
	urlsCopy := append([]string(nil), urls...)
	r.urls.Store(&urlsCopy)
}

func (r *roundRobin) nextURL() string {
	urls := *r.urls.Load()
	if len(urls) == 0 {
		return ""
	}
	return urls[r.counter.Add(1)%uint64(len(urls))]
}

// Start starts a proxy on a free loopback port. At most limit requests are at
// targets at once; the others wait in order of arrival.
func Start(engines, services []string, limit int) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "baseline: listen")
	}
	p := &Proxy{
		limiter:  make(chan struct{}, limit),
		client:   &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerTarget}},
		listener: listener,
	}
	p.engines.setURLs(engines)
	p.services.setURLs(services)
	p.server = &http.Server{Handler: p}
	p.serving.Go(func() { _ = p.server.Serve(listener) })
	return p, nil
}

// URL returns the base URL for clients.
func (p *Proxy) URL() string { return "http://" + p.listener.Addr().String() }

// SetEngines replaces the base URLs of the engines.
func (p *Proxy) SetEngines(urls []string) { p.engines.setURLs(urls) }

// Close closes the listener and all connections.
func (p *Proxy) Close() {
	_ = p.server.Close()
	p.serving.Wait()
	p.client.CloseIdleConnections()
}

// ServeHTTP forwards one request to an engine if its path starts with /v1/, else
// to a service.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	select {
	case p.limiter <- struct{}{}:
		defer func() { <-p.limiter }()
	case <-r.Context().Done():
		return
	}
	targets := &p.services
	if strings.HasPrefix(r.URL.Path, "/v1/") {
		targets = &p.engines
	}
	for range maxAttempts {
		response, err := p.forward(r.Context(), r, targets.nextURL(), body)
		if err != nil {
			continue
		}
		copyResponse(w, response)
		return
	}
	http.Error(w, "no target answers", http.StatusBadGateway)
}

// forward sends the request to the target with the given base URL.
func (p *Proxy) forward(ctx context.Context, r *http.Request, baseURL string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, r.Method, baseURL+r.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header = r.Header.Clone()
	return p.client.Do(request)
}

// copyResponse copies a response to the client and flushes after each read. It
// aborts the client's connection when the target's connection fails.
func copyResponse(w http.ResponseWriter, response *http.Response) {
	defer response.Body.Close()
	for name, values := range response.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(response.StatusCode)
	controller := http.NewResponseController(w)
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 {
			_, _ = w.Write(buffer[:n])
			_ = controller.Flush()
		}
		if err == io.EOF {
			return
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
	}
}
