package gateway

import (
	"context"
	"io"
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
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
	} {
		status, reason := tc.stream.finalStatus()
		assert.Equal(t, status, tc.want, "%v", tc.stream.err)
		assert.Equal(t, reason == "", status == http.StatusOK)
	}
}
