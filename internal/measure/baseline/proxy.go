// Package baseline is the naive balancer that measures compare the system
// with: requests go to the pool's targets in turn, first come first served,
// without credits, tiers, deadlines or memory of idempotency keys. When a
// target fails before an answer starts, the request goes to the next one, as
// plain proxies do.
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
	// maxAttempts is how many targets a request is tried at.
	maxAttempts = 2
	// maxIdleConnsPerTarget bounds the connections kept to each target.
	maxIdleConnsPerTarget = 256
	// copyBufferBytes is the size of one read of an answer.
	copyBufferBytes = 16 << 10
)

// Proxy is a running naive balancer.
type Proxy struct {
	engines  roundRobin
	services roundRobin
	limiter  chan struct{} // first come first served
	client   *http.Client
	listener net.Listener
	server   *http.Server
	serving  conc.WaitGroup
}

// roundRobin gives its targets in turn.
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

// Start listens on a loopback port that the system chooses. At most limit
// requests are at targets at once; the others wait in the order of arrival.
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

// URL is the base address for callers.
func (p *Proxy) URL() string { return "http://" + p.listener.Addr().String() }

// SetEngines replaces the engines.
func (p *Proxy) SetEngines(urls []string) { p.engines.setURLs(urls) }

// Close ends the listener and all connections.
func (p *Proxy) Close() {
	_ = p.server.Close()
	p.serving.Wait()
	p.client.CloseIdleConnections()
}

// ServeHTTP passes one request on.
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

// forward sends the request to one target.
func (p *Proxy) forward(ctx context.Context, r *http.Request, base string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, r.Method, base+r.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header = r.Header.Clone()
	return p.client.Do(request)
}

// copyResponse copies an answer and flushes what has come.
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
