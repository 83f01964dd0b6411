package reporter

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"syscall"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuspost/hibiscuspost/internal/admission"
	"github.com/hibiscuspost/hibiscuspost/internal/dispatch"
	"github.com/hibiscuspost/hibiscuspost/internal/fault"
)

const (
	// maxLoadBytes limits the body of a load report.
	maxLoadBytes = 64 << 10
	// maxEventsBytes limits the body of a response with cache events, about
	// 30,000 events.
	maxEventsBytes = 2 << 20
	// maxReportedValue limits each number in a load report.
	maxReportedValue = 1 << 30
	// requestID identifies the requests in the log of a target.
	requestID = "report"
)

// errBodyTooLarge means that a response body exceeds its limit.
var errBodyTooLarge = errors.New("reporter: response body too large")

// loadResponse is the response to GET /load.
type loadResponse struct {
	Running      int   `json:"running"`
	Queued       int   `json:"queued"`
	KVUsed       int   `json:"kv_used"`
	KVTotal      int   `json:"kv_total"`
	MeasuredAtMS int64 `json:"at_ms"`
}

// fetchReports makes the two requests of a poll. A target without one of the
// endpoints is not an error; it has no reports of that kind.
func (p *Poller) fetchReports(ctx context.Context, t *polledTarget) error {
	if err := p.fetchLoad(ctx, t); err != nil {
		t.cursor.recordFailure(err)
		return err
	}
	err := p.fetchCacheEvents(ctx, t)
	t.cursor.recordFailure(err)
	return err
}

func (p *Poller) fetchLoad(ctx context.Context, t *polledTarget) error {
	requestedAt := p.clock.Now()
	var body loadResponse
	found, err := getJSON(ctx, t.info.Address, "/load", maxLoadBytes, &body)
	if err != nil || !found {
		return err
	}
	p.options.OnLoadReport(t.info.Name, admission.LoadReport{
		Running: clampReported(body.Running), Queued: clampReported(body.Queued),
		KVUsed: clampReported(body.KVUsed), KVTotal: clampReported(body.KVTotal),
		MeasuredAt: t.age.measuredAt(requestedAt, body.MeasuredAtMS),
	})
	return nil
}

func (p *Poller) fetchCacheEvents(ctx context.Context, t *polledTarget) error {
	uri := "/cache/events?since=" + strconv.FormatUint(t.cursor.since, 10)
	var body cacheEventsResponse
	found, err := getJSON(ctx, t.info.Address, uri, maxEventsBytes, &body)
	if err != nil || !found {
		return err
	}
	if events := t.cursor.advance(&body); len(events) > 0 {
		p.options.OnCacheEvents(t.info.Name, events)
	}
	return nil
}

// getJSON fetches a JSON body of at most maxBytes. It returns false if the
// target responds with 404; errors have the step fault.StepDispatch.
func getJSON(ctx context.Context, address, uri string, maxBytes int64, into any) (bool, error) {
	response, err := dispatch.Send(ctx, &dispatch.Request{
		Address: address, ID: requestID, Method: http.MethodGet, URI: uri,
	})
	if err != nil {
		return false, err
	}
	defer response.Close()
	if response.Status == http.StatusNotFound {
		return false, nil
	}
	if response.Status != http.StatusOK {
		return false, fault.At(fault.StepDispatch, address, errors.Newf("reporter: GET %s: unexpected status %d", uri, response.Status))
	}
	text, err := io.ReadAll(io.LimitReader(response.Body, maxBytes+1))
	if err == nil && int64(len(text)) > maxBytes {
		err = errBodyTooLarge
	}
	if err == nil {
		err = json.Unmarshal(text, into)
	}
	if err != nil {
		return false, fault.At(fault.StepDispatch, address, err)
	}
	return true, nil
}

// isConnectionRefused reports whether no process listens at the target, as
// after a crash.
func isConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

func clampReported(n int) int { return min(max(n, 0), maxReportedValue) }
