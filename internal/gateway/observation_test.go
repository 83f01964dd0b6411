package gateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/catalog"
	"github.com/hibiscuspost/hibiscuspost/internal/dispatch"
	"github.com/hibiscuspost/hibiscuspost/internal/evidence"
	"github.com/hibiscuspost/hibiscuspost/internal/quarantine"
	"github.com/hibiscuspost/hibiscuspost/internal/rollout"
	"github.com/hibiscuspost/hibiscuspost/internal/schedule"
)

// An attempt that ended with its deadline or its caller was not recorded for the
// trial of a version: neither as answered nor as unanswered.
func TestEveryEndOfAnAttemptIsRecordedForTheTrial(t *testing.T) {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	broken := errors.New("connection reset")
	response := func(status int) *dispatch.PooledResponse {
		r := respondWith(t, "Content-Length: 4\r\n")
		r.Status = status
		return r
	}
	for _, tc := range []struct {
		name                          string
		end                           func(*observation)
		answers, failures, unanswered uint32
	}{
		{"deadline", func(o *observation) { endBroken(ended, o, broken, false) }, 0, 0, 1},
		{"caller left a stream", func(o *observation) { o.End(quarantine.Unanswered) }, 0, 0, 1},
		{"not executed", func(o *observation) { o.End(quarantine.NoEvidence) }, 0, 0, 1},
		{"broken", func(o *observation) { endBroken(context.Background(), o, broken, false) }, 1, 1, 0},
		{"path lost", func(o *observation) { endBroken(context.Background(), o, broken, true) }, 0, 0, 1},
		{"answered", func(o *observation) { endComplete(o, response(http.StatusOK)) }, 1, 0, 0},
		{"error of the target", func(o *observation) { endComplete(o, response(http.StatusInternalServerError)) }, 1, 1, 0},
		{"not the target's own", func(o *observation) { endBroken(context.Background(), o, errUntrusted, false) }, 1, 1, 0},
	} {
		clock := clockwork.NewFakeClock()
		r := &inflightRequest{
			Gateway: New(Options{
				Clock: clock, Rollouts: rollout.New(clock), Quarantine: quarantine.New(quarantine.Options{Clock: clock}),
			}),
			request: &Request{ReceivedAt: clock.Now()}, route: &catalog.Route{Name: "r"}, service: &catalog.Service{Name: "s"},
		}
		r.Rollouts.AddOrder(rollout.Order{Service: "s", To: "v2", Duration: time.Minute})
		o := r.observe(&schedule.Grant{Target: &catalog.Target{ID: "i", Version: "v2"}})
		clock.Advance(time.Second)
		tc.end(o)
		o.End(quarantine.Completed)
		reports, err := r.Rollouts.Reports(1000)
		assert.NilError(t, err)
		assert.Equal(t, len(reports[0].Records), 1)
		record := reports[0].Records[0]
		assert.Equal(t, record.Key, evidence.Key{Version: "v2", Route: "r"})
		assert.Equal(t, record.Counts.Requests, tc.answers, tc.name)
		assert.Equal(t, record.Counts.Failures, tc.failures, tc.name)
		assert.Equal(t, record.Counts.Unanswered, tc.unanswered, tc.name)
	}
}
