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

// Options are what a Service works with; all are required.
type Options struct {
	// Self is the instance's address for others.
	Self  string
	Clock clockwork.Clock
	Send  Sender
	// Away tells that the instance shuts down; it coordinates until the roster
	// names another.
	Away func() bool
	// Others returns the addresses of the other instances.
	Others func() []string
	// Random returns a source of random numbers for one user.
	Random func() *rand.Rand
	Logger *zap.Logger
}

// Service is an instance's part in placing requests: it asks for its own, and
// coordinates the groups that fall to it.
type Service struct {
	client   *Client
	server   *Server
	logger   *zap.Logger
	Counters *Counters
}

// New returns a service that knows no targets and no coordinators.
func New(o Options) *Service {
	s := &Service{Counters: &Counters{}, logger: o.Logger}
	direct := o.Send
	o.Send = func(address string, body []byte) error {
		if address == o.Self {
			s.Hear(address, body)
			return nil
		}
		return direct(address, body)
	}
	s.client, s.server = newClient(&o, s.Counters), newServer(&o, s.Counters)
	s.server.roster, s.server.expected = s.client.roster.Load, s.client.expectedCoordinator
	return s
}

// Run keeps places alive until the context ends.
func (s *Service) Run(ctx context.Context) {
	go s.server.run(ctx)
	s.client.run(ctx)
}

// Acquire waits until the request may start. The error is a
// *schedule.RefusedError or the context's.
func (s *Service) Acquire(ctx context.Context, r *schedule.Request) (*schedule.Grant, error) {
	return s.client.Acquire(ctx, r)
}

// SetTargets replaces the targets.
func (s *Service) SetTargets(targets []*catalog.Target) {
	groups := Divide(targets)
	s.server.setGroups(groups)
	s.client.groups.Store(groups)
	s.client.alone.SetTargets(targets)
}

// SetRoster replaces the list of coordinators.
func (s *Service) SetRoster(r *Roster) {
	s.client.roster.Store(r)
	s.client.renew()
}

// Roster returns the list of coordinators in use.
func (s *Service) Roster() *Roster { return s.client.roster.Load() }

// GroupCount is the number of groups of targets.
func (s *Service) GroupCount() int { return s.client.groups.Load().Count() }

// Snapshot returns the state of each service by what this instance runs, and of
// the groups that it coordinates.
func (s *Service) Snapshot() (own, coordinated map[string]schedule.ServiceState) {
	return s.client.alone.Snapshot(), s.server.scheduler.Snapshot()
}

// Hear takes a message of another instance.
func (s *Service) Hear(from string, body []byte) {
	if len(body) == 0 {
		s.Counters.Unread.Add(1)
		return
	}
	var err error
	switch rest := body[1:]; kind(body[0]) {
	case kindQuestion:
		err = handle(rest, func(q *question) { s.server.question(from, q) })
	case kindAnswer:
		err = handle(rest, func(a *answer) { s.client.answer(from, a) })
	case kindProgress:
		err = handle(rest, func(p *progress) { s.server.progress(from, p) })
	case kindRenewal:
		err = handle(rest, func(r *renewal) { s.server.renewal(from, r) })
	case kindTakeover:
		err = handle(rest, func(message *takeover) {
			s.server.takenOver(from, message)
			s.client.takenOver(from, message)
		})
	case kindProbe:
		err = handle(rest, func(about *aboutGroup) { s.server.probed(from, about) })
	case kindAlive:
		err = handle(rest, func(about *aboutGroup) { s.server.alive(from, about) })
	case kindRoom:
		err = handle(rest, s.server.room)
	}
	if err != nil {
		s.Counters.Unread.Add(1)
		s.logger.Debug("message not understood", zap.String("peer", from), eventlog.ErrorField(err))
	}
}

// handle decodes a message for its handler.
func handle[T any](body []byte, handler func(*T)) error {
	var message T
	if err := decode(body, &message); err != nil {
		return err
	}
	handler(&message)
	return nil
}
