package placement

import (
	"context"
	"math/rand/v2"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/hibiscuspost/hibiscuspost/internal/catalog"
	"github.com/hibiscuspost/hibiscuspost/internal/eventlog"
	"github.com/hibiscuspost/hibiscuspost/internal/schedule"
)

// Options configure a Service; all are required.
type Options struct {
	// Self is the address of this instance for others.
	Self  string
	Clock clockwork.Clock
	Send  SendFunc
	// Draining reports whether the instance is shutting down. It coordinates
	// until the roster no longer lists it.
	Draining func() bool
	// IsResuming reports whether the instance has been paused and may not have heard from the
	// others since; it holds for ResumeHold after a pause. Meanwhile, no leases expire and no
	// groups are taken over here.
	IsResuming func() bool
	// PeerAddresses returns the addresses of the other instances.
	PeerAddresses func() []string
	// Random returns a source of random numbers for one user.
	Random func() *rand.Rand
	Logger *zap.Logger
}

// Service places the requests of this instance and coordinates the groups
// assigned to it.
type Service struct {
	client   *Client
	server   *Server
	logger   *zap.Logger
	Counters *Counters
}

// New returns a service without targets and coordinators.
func New(o Options) *Service {
	s := &Service{Counters: &Counters{}, logger: o.Logger}
	sendToPeer := o.Send
	o.Send = func(address string, body []byte) error {
		if address == o.Self {
			s.HandleMessage(address, body)
			return nil
		}
		return sendToPeer(address, body)
	}
	s.client, s.server = newClient(&o, s.Counters), newServer(&o, s.Counters)
	s.Counters.schedulers = []*schedule.Counters{s.client.local.Counters(), s.server.scheduler.Counters()}
	s.server.roster, s.server.lookUpCoordinator = s.client.roster.Load, s.client.expectedCoordinator
	return s
}

// Run expires leases of this instance's groups until the context ends.
func (s *Service) Run(ctx context.Context) { s.server.run(ctx) }

// RunClient renews the leases of this instance's requests until the context ends.
func (s *Service) RunClient(ctx context.Context) { s.client.run(ctx) }

// Acquire waits until the request may start. The error is a
// *schedule.RefusedError or that of the context.
func (s *Service) Acquire(ctx context.Context, r *schedule.Request) (*schedule.Grant, error) {
	return s.client.Acquire(ctx, r)
}

// SetTargets replaces the targets.
func (s *Service) SetTargets(targets []*catalog.Target) {
	groups := NewGroups(targets)
	s.server.setGroups(groups)
	s.client.groups.Store(groups)
	s.client.local.SetTargets(targets)
}

// SetRoster replaces the list of coordinators and renews all leases.
func (s *Service) SetRoster(r *Roster) {
	s.client.roster.Store(r)
	s.client.renewLeases()
}

// Roster returns the current list of coordinators.
func (s *Service) Roster() *Roster { return s.client.roster.Load() }

// GroupCount returns the number of groups of targets.
func (s *Service) GroupCount() int { return s.client.groups.Load().Count() }

// Blocks reports whether a target takes no requests from this instance now, by its own
// word.
func (s *Service) Blocks(key catalog.TargetKey) bool { return s.client.local.Blocks(key) }

// IsLeaving reports whether a target states that it leaves.
func (s *Service) IsLeaving(key catalog.TargetKey) bool { return s.client.local.IsLeaving(key) }

// Snapshot returns the state of each service by the requests of this instance,
// and that of the groups that it coordinates.
func (s *Service) Snapshot() (own, coordinated map[string]schedule.ServiceState) {
	return s.client.local.Snapshot(), s.server.scheduler.Snapshot()
}

// HandleMessage handles a message of another instance.
func (s *Service) HandleMessage(from string, body []byte) {
	if len(body) == 0 {
		s.Counters.DecodeErrors.Add(1)
		return
	}
	var err error
	switch payload := body[1:]; messageKind(body[0]) {
	case kindSlotRequest:
		var request *slotRequest
		if request, err = decodeSlotRequest(payload); err == nil {
			s.server.handleSlotRequest(from, request)
		}
	case kindSlotResponse:
		var response *slotResponse
		if response, err = decodeResponse(payload); err == nil {
			s.client.handleResponse(from, response)
		}
	case kindProgress:
		err = decodeAndHandle(payload, func(p *progressReport) { s.server.handleProgress(from, p) })
	case kindRenewal:
		var renewal *leaseRenewal
		if renewal, err = decodeRenewal(payload); err == nil {
			s.server.handleRenewal(from, renewal)
		}
	case kindTakeover:
		err = decodeAndHandle(payload, func(notice *takeoverNotice) {
			s.server.handleTakeover(from, notice)
			s.client.handleTakeover(from, notice)
		})
	case kindProbe:
		err = decodeAndHandle(payload, func(probe *groupProbe) { s.server.handleProbe(from, probe) })
	case kindProbeResponse:
		err = decodeAndHandle(payload, func(probe *groupProbe) { s.server.handleProbeResponse(from, probe) })
	case kindTerms:
		var report *termsReport
		if report, err = decodeTerms(payload); err == nil {
			s.server.handleTerms(from, report)
			s.client.handleTerms(from, report)
		}
	case kindCapacity:
		err = decodeAndHandle(payload, s.server.handleCapacityReport)
	}
	if err != nil {
		s.Counters.DecodeErrors.Add(1)
		s.logger.Debug("decoding a placement message failed", zap.String("peer", from), eventlog.ErrorField(err))
	}
}

// decodeAndHandle decodes a message and passes it to its handler.
func decodeAndHandle[T any](body []byte, handler func(*T)) error {
	var message T
	if err := decode(body, &message); err != nil {
		return err
	}
	handler(&message)
	return nil
}
