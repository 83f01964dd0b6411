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
	// loadBytes bounds the body of a load report.
	loadBytes = 64 << 10
	// eventsBytes bounds the body of cache events, about 30,000 events.
	eventsBytes = 2 << 20
	// mostReported bounds each number of a load report.
	mostReported = 1 << 30
	// readID names the reads in a target's log.
	readID = "report"
)

// errTooLarge means that a body is above its bound.
var errTooLarge = errors.New("reporter: the body is too large")

// loadBody is the answer to GET /load.
type loadBody struct {
	Running int   `json:"running"`
	Queued  int   `json:"queued"`
	KVUsed  int   `json:"kv_used"`
	KVTotal int   `json:"kv_total"`
	AtMS    int64 `json:"at_ms"`
}

// read makes the two reads of a visit. A target that does not serve a path is
// no error: it gives no reports of that kind.
func (r *Poller) read(ctx context.Context, t *target) error {
	if err := r.readLoad(ctx, t); err != nil {
		t.cursor.lostContact(err)
		return err
	}
	err := r.readCache(ctx, t)
	t.cursor.lostContact(err)
	return err
}

func (r *Poller) readLoad(ctx context.Context, t *target) error {
	sent := r.clock.Now()
	var body loadBody
	found, err := get(ctx, t.info.Address, "/load", loadBytes, &body)
	if err != nil || !found {
		return err
	}
	r.options.OnLoadReport(t.info.Name, admission.LoadReport{
		Running: clamp(body.Running), Queued: clamp(body.Queued),
		KVUsed: clamp(body.KVUsed), KVTotal: clamp(body.KVTotal),
		MeasuredAt: t.age.trueAt(sent, body.AtMS),
	})
	return nil
}

func (r *Poller) readCache(ctx context.Context, t *target) error {
	uri := "/cache/events?since=" + strconv.FormatUint(t.cursor.ask, 10)
	var body eventsBody
	found, err := get(ctx, t.info.Address, uri, eventsBytes, &body)
	if err != nil || !found {
		return err
	}
	if events := t.cursor.take(&body); len(events) > 0 {
		r.options.OnCacheEvents(t.info.Name, events)
	}
	return nil
}

// get reads a JSON body of at most limit bytes. It reports false when the
// target does not serve the path; errors are at fault.StepDispatch.
func get(ctx context.Context, address, uri string, limit int64, into any) (bool, error) {
	response, err := dispatch.Send(ctx, &dispatch.Request{
		Target: address, ID: readID, Method: http.MethodGet, URI: uri,
	})
	if err != nil {
		return false, err
	}
	defer response.Close()
	if response.Status == http.StatusNotFound {
		return false, nil
	}
	if response.Status != http.StatusOK {
		return false, fault.At(fault.StepDispatch, address, errors.Newf("reporter: status %d", response.Status))
	}
	text, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err == nil && int64(len(text)) > limit {
		err = errTooLarge
	}
	if err == nil {
		err = json.Unmarshal(text, into)
	}
	if err != nil {
		return false, fault.At(fault.StepDispatch, address, err)
	}
	return true, nil
}

// refused reports whether nothing listens at the target, as after a crash.
func refused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

func clamp(n int) int { return min(max(n, 0), mostReported) }
