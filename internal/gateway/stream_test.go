package gateway

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/catalog"
	"github.com/hibiscuspost/hibiscuspost/internal/rollout"
)

// The log line of a stream states why it ended. One that ran into its deadline was
// logged like one that its target had cut.
func TestLogStatesWhyAStreamEnded(t *testing.T) {
	for _, tc := range []struct {
		stream stream
		want   int
	}{
		{stream{completed: true}, http.StatusOK},
		{stream{}, statusCallerGone},
		{stream{err: errors.Wrap(context.Canceled, "read")}, statusCallerGone},
		{stream{err: errors.Wrap(context.DeadlineExceeded, "read")}, http.StatusGatewayTimeout},
		{stream{err: io.ErrUnexpectedEOF}, http.StatusBadGateway},
		{stoppedStream(), http.StatusBadGateway},
	} {
		status, reason := tc.stream.finalStatus()
		assert.Equal(t, status, tc.want, "%v", tc.stream.err)
		assert.Equal(t, reason == "", status == http.StatusOK)
	}
}

// stoppedStream returns a stream that was interrupted by the end of its instance.
func stoppedStream() stream {
	ctx, cancel := context.WithCancelCause(context.Background())
	cancel(errStopping)
	s := stream{ctx: ctx}
	_ = s.interrupt()
	return s
}

// A stream that is resumed needs a target for the rest only. With the length of
// the whole, no target would seem to finish in time, and with the objective for
// the first event it would be refused sooner than a new request.
func TestResumedStreamIsPlacedForTheRest(t *testing.T) {
	clock := clockwork.NewFakeClock()
	r := &inflightRequest{
		Gateway: New(Options{Clock: clock, Rollouts: rollout.New(clock)}),
		request: &Request{ReceivedAt: clock.Now(), RequestMetadata: RequestMetadata{PromptTokens: 1000, LengthHint: 300}},
		route:   &catalog.Route{LatencyObjective: time.Second}, service: &catalog.Service{IsEngine: true, TokensPerEvent: 10},
	}
	whole := r.scheduleRequest()
	assert.Equal(t, whole.PromptTokens, 1000)
	assert.Equal(t, whole.OutputTokens, 300)
	assert.Equal(t, whole.LatencyObjective, time.Second)
	r.receivedTokens = 180
	rest := r.scheduleRequest()
	assert.Equal(t, rest.PromptTokens, 1180)
	assert.Equal(t, rest.OutputTokens, 120)
	assert.Equal(t, rest.LatencyObjective, time.Duration(0))
	r.receivedTokens = 500
	assert.Equal(t, r.scheduleRequest().OutputTokens, 10, "longer than expected")
}
