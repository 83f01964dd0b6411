package placement

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/hibiscuspost/hibiscuspost/internal/catalog"
	"github.com/hibiscuspost/hibiscuspost/internal/schedule"
)

// newFuzzedService returns a service on two groups of full and free targets.
func newFuzzedService(clock clockwork.Clock) *Service {
	s := New(Options{
		Self: "self", Clock: clock, Logger: zap.NewNop(), Send: func(string, []byte) error { return nil },
		Draining: func() bool { return false }, IsResuming: func() bool { return false },
		PeerAddresses: func() []string { return []string{"other"} },
		Random:        func() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) },
	})
	var targets []*catalog.Target
	for i := range targetsPerGroup + 1 {
		targets = append(targets, newEngine(fmt.Sprint("e", i), 1))
	}
	s.SetTargets(targets)
	s.SetRoster(&Roster{Epoch: 1, Addresses: []string{"self"}})
	return s
}

// FuzzHandleMessage applies messages of an instance of any build, and places requests after them.
func FuzzHandleMessage(f *testing.F) {
	add := func(k messageKind, message any) {
		body, err := encode(k, message)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(body)
	}
	add(kindCapacity, &capacityReport{IntervalMs: 1 << 40, Groups: []groupCapacity{{Position: 1, FreeSlots: 1, Queued: []int{1, 2}, SlotMicros: 1 << 50}}})
	add(kindCapacity, &capacityReport{IntervalMs: 1 << 40, Groups: []groupCapacity{{Position: -1, FreeSlots: 1}}})
	add(kindSlotRequest, &slotRequest{ID: 1, Service: "engines", Priority: -3, TimeLeftMs: 1 << 60, ObjectiveMs: -1, TokensPerEvent: -1, OutputTokens: 1 << 60})
	add(kindRenewal, &leaseRenewal{Running: []runningRequest{{ID: 2, Target: 3, PrefillTokens: -1}}})
	add(kindTakeover, &takeoverNotice{Epoch: 9, Service: "engines", Group: 1})
	add(kindProgress, &progressReport{ID: 1, Tokens: -1, TokenSpanMicros: 1 << 60, Done: true, Result: 77})
	add(kindSlotResponse, &slotResponse{ID: 1, Decision: decisionRedirected, Group: -1})
	add(kindTerms, &termsReport{Terms: []targetTerms{{Target: 1, AgeMs: -1, HasRateLimit: true, RateLimit: -1}}})
	add(kindProbe, &groupProbe{Service: "engines", Group: -1})
	f.Fuzz(func(_ *testing.T, body []byte) {
		clock := clockwork.NewFakeClock()
		s := newFuzzedService(clock)
		request, err := encode(kindSlotRequest, &slotRequest{ID: 7, Service: "engines", PromptTokens: 9, TimeLeftMs: 9000, ObjectiveMs: 900})
		if err != nil {
			return
		}
		s.HandleMessage("peer", request)
		clock.Advance(time.Second)
		s.HandleMessage("peer", body)
		for id := range uint32(2 * targetsPerGroup) {
			request, _ := encode(kindSlotRequest, &slotRequest{ID: 100 + id, Service: "engines", PromptTokens: 9, TimeLeftMs: 9000, ObjectiveMs: 900})
			s.HandleMessage("another", request)
		}
		s.HandleMessage("peer", body)
		clock.Advance(time.Second)
		s.server.expireLeases()
		s.server.scheduler.StartQueued()
		s.server.sendCapacityReports(s.Roster())
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, _ = s.Acquire(ctx, &schedule.Request{Service: "engines", Deadline: clock.Now().Add(time.Second)})
		s.Snapshot()
	})
}
