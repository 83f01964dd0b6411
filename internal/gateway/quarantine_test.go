package gateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/catalog"
	"github.com/hibiscuspost/hibiscuspost/internal/quarantine"
	"github.com/hibiscuspost/hibiscuspost/internal/rollout"
	"github.com/hibiscuspost/hibiscuspost/internal/schedule"
)

// crashingPlacer grants a place after other attempts of the same request have
// crashed three targets.
type crashingPlacer struct {
	registry    *quarantine.Registry
	fingerprint quarantine.Fingerprint
	ended       schedule.Result
}

func (p *crashingPlacer) Acquire(context.Context, *schedule.Request) (*schedule.Grant, error) {
	for _, target := range []string{"one", "two", "three"} {
		p.registry.Start(p.fingerprint, target, 0).End(quarantine.Broken)
	}
	return schedule.NewGrant(schedule.Grant{Target: &catalog.Target{ID: "four", Address: "127.0.0.1:1"}}, p), nil
}

func (p *crashingPlacer) ResponseStarted(time.Duration)     {}
func (p *crashingPlacer) TokensReceived(int, time.Duration) {}
func (p *crashingPlacer) Done(o schedule.Outcome)           { p.ended = o.Result }

// A request was checked only when it arrived. One that was waiting for a place,
// was retried or was resumed reached a target after it had crashed others.
func TestRequestQuarantinedWhileWaitingIsNotSent(t *testing.T) {
	for _, mayHaveRun := range []bool{false, true} {
		clock := clockwork.NewFakeClock()
		placer := &crashingPlacer{
			registry:    quarantine.New(quarantine.Options{Clock: clock, CountsUnresolved: true}),
			fingerprint: quarantine.NewFingerprint("", "/x", nil),
		}
		r := &inflightRequest{
			Gateway: New(Options{
				Clock: clock, Rollouts: rollout.New(clock), Placer: placer, Quarantine: placer.registry,
				Counters: &Counters{}, Logger: zap.NewNop(),
			}),
			request: &Request{ReceivedAt: clock.Now()}, route: &catalog.Route{}, service: &catalog.Service{},
			fingerprint: placer.fingerprint, mayHaveRun: mayHaveRun,
		}
		grant, response := r.acquire(context.Background())
		assert.Assert(t, grant == nil, "the request would be sent to a fourth target")
		assert.Equal(t, placer.ended, schedule.Cancelled)
		assert.Equal(t, response.Reason, reasonQuarantined)
		want := map[bool]int{false: http.StatusServiceUnavailable, true: http.StatusBadGateway}[mayHaveRun]
		assert.Equal(t, response.Status, want)
	}
}
