package lease

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/hibiscuspost/hibiscuspost/internal/fault"
	"github.com/hibiscuspost/hibiscuspost/internal/headscan"
)

// HTTPTarget is a Target that is reached over HTTP.
type HTTPTarget struct {
	address string
	client  *fasthttp.Client
}

// NewHTTPTarget returns the target at "ip:port".
func NewHTTPTarget(address string) *HTTPTarget {
	return &HTTPTarget{address: address, client: &fasthttp.Client{
		// The client does not retry; Reconciler does.
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		MaxResponseBodySize:       1 << 20,
		DialTimeout: func(address string, timeout time.Duration) (net.Conn, error) {
			conn, err := fasthttp.DialTimeout(address, timeout)
			if err != nil {
				return nil, err
			}
			return &headscan.Conn{Conn: conn}, nil
		},
	}}
}

// SendOrder implements Target.
func (t *HTTPTarget) SendOrder(ctx context.Context, order Order) (TargetState, error) {
	body, err := json.Marshal(order)
	if err != nil {
		return TargetState{}, fault.At(fault.StepLoad, t.address, err)
	}
	return t.do(ctx, fasthttp.MethodPost, "/orders", body)
}

// ReadState implements Target.
func (t *HTTPTarget) ReadState(ctx context.Context) (TargetState, error) {
	return t.do(ctx, fasthttp.MethodGet, "/state", nil)
}

func (t *HTTPTarget) do(ctx context.Context, method, path string, body []byte) (TargetState, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + t.address + path)
	if body != nil {
		request.Header.SetContentType("application/json")
		request.SetBody(body)
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(OrderTimeout)
	}
	if err := t.client.DoDeadline(request, response, deadline); err != nil {
		return TargetState{}, fault.At(fault.StepLoad, t.address, err)
	}
	state, err := parseState(response)
	return state, fault.At(fault.StepLoad, t.address, err)
}

// parseState parses the state from a successful response. A response with
// status conflict is a FencedError.
func parseState(response *fasthttp.Response) (TargetState, error) {
	var state TargetState
	switch status := response.StatusCode(); status {
	case fasthttp.StatusOK, fasthttp.StatusAccepted:
		return state, json.Unmarshal(response.Body(), &state)
	case fasthttp.StatusConflict:
		if err := json.Unmarshal(response.Body(), &state); err != nil {
			return state, err
		}
		return state, &FencedError{FencingToken: state.FencingToken}
	default:
		return state, errors.Newf("unexpected response status %d", status)
	}
}
