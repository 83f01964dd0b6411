package placement

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/hibiscuspost/hibiscuspost/internal/schedule"
)

// Server is the coordinator's side.
type Server struct {
	clock  clockwork.Clock
	logger *zap.Logger
	send   SendFunc
	self   string
	away   func() bool
	others func() []string
	roster func() *Roster
	// expected returns who coordinates a group as far as is known.
	expected  func(group) string
	scheduler *schedule.Scheduler
	counters  *Counters
	groups    atomic.Pointer[Groups]

	// mu guards the fields below.
	mu sync.Mutex
	// held are the requests of other instances that wait or run, by the instance
	// and the request's id.
	held map[string]map[uint32]*held
	// rooms is what other coordinators have said of the room in their groups, by
	// the place of the group.
	rooms map[int]otherRoom
	// active is when a group was last asked for here.
	active map[group]time.Time
	// taken is when a group was last taken over here.
	taken map[group]time.Time
	// settling holds the questions about groups that are being taken over.
	settling map[group][]asker
	// moves are the groups that others have taken over.
	moves map[group]move
}

// asker is an instance with its question.
type asker struct {
	from     string
	question *question
}

// move is a group's way to another coordinator.
type move struct {
	to    string
	until time.Time
}

// held is a request of another instance; Server.mu guards it.
type held struct {
	group group
	// grant is nil while the request waits.
	grant   *schedule.Grant
	waiting *schedule.QueuedRequest
	answer  *answer
	// since is when the place was given, named when a message last named it.
	since, named time.Time
}

func newServer(o *Options, counters *Counters) *Server {
	s := &Server{
		clock: o.Clock, logger: o.Logger, send: o.Send, self: o.Self, away: o.Draining, others: o.PeerAddresses,
		counters: counters, scheduler: schedule.New(o.Clock, o.Random()), roster: func() *Roster { return &Roster{} },
		expected: func(group) string { return "" },
		held:     make(map[string]map[uint32]*held), rooms: make(map[int]otherRoom), active: make(map[group]time.Time),
		taken: make(map[group]time.Time), settling: make(map[group][]asker), moves: make(map[group]move),
	}
	s.groups.Store(NewGroups(nil))
	return s
}

// setGroups takes a new division; requests that run keep their targets.
func (s *Server) setGroups(groups *Groups) {
	s.groups.Store(groups)
	s.scheduler.SetTargets(groups.scheduled())
}

// question answers an instance that asks for a place.
func (s *Server) question(from string, q *question) {
	known := s.find(from, q.ID)
	switch {
	case q.Withdrawn:
		if known != nil {
			s.end(from, q.ID, schedule.Outcome{Result: schedule.Cancelled})
		}
	case known != nil && known.Verdict == queued && !q.Bound && s.moveOn(from, q.ID):
	case known != nil:
		s.reply(from, known)
	case s.leaving():
		s.reply(from, &answer{ID: q.ID, Verdict: away})
	default:
		s.receive(from, q)
	}
}

// leaving reports whether the instance shuts down and others know of it.
func (s *Server) leaving() bool {
	return s.away() && !slices.Contains(s.roster().Addresses, s.self)
}

// receive takes a new question to the group that it is about.
func (s *Server) receive(from string, q *question) {
	of, known := s.groups.Load().find(q.Service, q.Group)
	if !known {
		s.reply(from, &answer{ID: q.ID, Verdict: unknown})
		return
	}
	if to := s.movedTo(of); to != "" {
		s.reply(from, &answer{ID: q.ID, Verdict: moved, Coordinator: to})
		return
	}
	if s.ready(of, asker{from, q}) {
		s.place(from, q, of)
	}
}

// find returns the answer to a question that has been asked before, or nil.
func (s *Server) find(from string, id uint32) *answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.held[from][id]
	if h == nil {
		return nil
	}
	h.named = s.clock.Now()
	return h.answer
}

// place lets the scheduler decide on a new question.
func (s *Server) place(from string, q *question, of group) {
	groups := s.groups.Load()
	s.counters.RequestsDecided.Add(1)
	request := q.request(s.clock.Now(), of, groups)
	grant, waiting, err := s.scheduler.Submit(request)
	if grant == nil && !q.Bound && !q.Redirected {
		if other, ok := s.roomElsewhere(of); ok {
			if grant = s.giveUpWaiting(waiting); grant == nil {
				s.redirect(from, q.ID, other)
				return
			}
		}
	}
	s.keep(from, q.ID, &held{group: of, grant: grant, waiting: waiting}, err)
}

func (s *Server) redirect(from string, id uint32, to group) {
	s.counters.RequestsRedirected.Add(1)
	s.reply(from, &answer{ID: id, Verdict: elsewhere, Group: to.index})
}

// moveOn sends a request that has waited for a while to a group with room, if
// there is none here.
func (s *Server) moveOn(from string, id uint32) bool {
	s.mu.Lock()
	h := s.held[from][id]
	if h == nil || h.waiting == nil || s.clock.Since(h.since) < moveAfter {
		s.mu.Unlock()
		return false
	}
	waiting, of := h.waiting, h.group
	s.mu.Unlock()
	if free, _ := s.scheduler.Availability(of.name()); free > 0 {
		return false
	}
	other, ok := s.roomElsewhere(of)
	if !ok {
		return false
	}
	s.mu.Lock()
	if s.held[from][id] != h || h.waiting != waiting {
		// It has been answered meanwhile.
		s.mu.Unlock()
		return true
	}
	delete(s.held[from], id)
	s.mu.Unlock()
	waiting.Cancel()
	s.redirect(from, id, other)
	return true
}

// giveUpWaiting ends a wait; it returns the place if there is one after all.
func (s *Server) giveUpWaiting(waiting *schedule.QueuedRequest) *schedule.Grant {
	if waiting == nil {
		return nil
	}
	grant, err := waiting.Dequeue()
	if err != nil {
		return nil
	}
	return grant
}

// keep keeps what was decided and answers.
func (s *Server) keep(from string, id uint32, h *held, err error) {
	now := s.clock.Now()
	h.named, h.since = now, now
	switch {
	case h.grant != nil:
		h.waiting = nil
		h.answer = grantedAnswer(id, h.grant)
	case h.waiting != nil:
		h.answer = &answer{ID: id, Verdict: queued}
	default:
		s.reply(from, refusedAnswer(id, err))
		return
	}
	h.answer.Free, _ = s.scheduler.Availability(h.group.name())
	s.mu.Lock()
	of := s.held[from]
	if of == nil {
		of = make(map[uint32]*held)
		s.held[from] = of
	}
	if of[id] != nil {
		// The same question was answered meanwhile.
		s.mu.Unlock()
		h.drop()
		return
	}
	of[id] = h
	reply, waiting := h.answer, h.waiting
	s.mu.Unlock()
	s.reply(from, reply)
	if waiting != nil {
		go s.await(from, id, h, waiting)
	}
}

// drop gives up the place or the wait.
func (h *held) drop() {
	if h.grant != nil {
		h.grant.Done(schedule.Outcome{Result: schedule.Cancelled})
	} else if h.waiting != nil {
		h.waiting.Cancel()
	}
}

// await answers a request that waits once it has a place or its time is over.
func (s *Server) await(from string, id uint32, h *held, waiting *schedule.QueuedRequest) {
	timer := s.clock.NewTimer(waiting.WaitDeadline().Sub(s.clock.Now()))
	defer timer.Stop()
	var grant *schedule.Grant
	var err error
	select {
	case grant = <-waiting.Granted():
	case <-timer.Chan():
		grant, err = waiting.Dequeue()
	}
	s.mu.Lock()
	if s.held[from][id] != h {
		// It was withdrawn or is not asked for any more.
		s.mu.Unlock()
		if grant != nil {
			grant.Done(schedule.Outcome{Result: schedule.Cancelled})
		}
		return
	}
	now := s.clock.Now()
	if grant == nil {
		delete(s.held[from], id)
		s.mu.Unlock()
		s.reply(from, refusedAnswer(id, err))
		return
	}
	h.grant, h.waiting = grant, nil
	h.answer = grantedAnswer(id, grant)
	h.since, h.named = now, now
	reply := h.answer
	s.mu.Unlock()
	s.reply(from, reply)
}

// end ends a request that waits or runs.
func (s *Server) end(from string, id uint32, o schedule.Outcome) {
	s.mu.Lock()
	h := s.held[from][id]
	if h == nil {
		s.mu.Unlock()
		return
	}
	delete(s.held[from], id)
	grant, waiting := h.grant, h.waiting
	s.mu.Unlock()
	switch {
	case grant != nil:
		grant.Done(o)
	case waiting != nil:
		waiting.Cancel()
	}
}

// progress takes news of a request that runs.
func (s *Server) progress(from string, p *progress) {
	s.mu.Lock()
	h := s.held[from][p.ID]
	var grant *schedule.Grant
	if h != nil {
		h.named = s.clock.Now()
		grant = h.grant
	}
	s.mu.Unlock()
	if grant == nil {
		if h != nil && p.Done {
			s.end(from, p.ID, schedule.Outcome{Result: schedule.Cancelled})
		}
		return
	}
	if p.FirstMicros > 0 {
		grant.ResponseStarted(time.Duration(p.FirstMicros) * time.Microsecond)
	}
	span := time.Duration(p.PaceMicros) * time.Microsecond
	if !p.Done {
		grant.TokensReceived(p.Tokens, span)
		return
	}
	s.end(from, p.ID, schedule.Outcome{
		Result: p.Result, TotalTime: time.Duration(p.WholeMicros) * time.Microsecond, Tokens: p.Tokens, TokenSpan: span,
	})
}

func (s *Server) reply(to string, a *answer) {
	s.tell(to, kindAnswer, a)
}

// request turns a question into what the scheduler knows of a request.
func (q *question) request(now time.Time, of group, groups *Groups) *schedule.Request {
	r := &schedule.Request{
		Service: of.name(), Priority: q.Priority, PromptTokens: q.PromptTokens, OutputTokens: q.OutputTokens,
		TokensPerEvent: q.TokensPerEvent, ArrivedAt: now.Add(-fromMillis(q.Age)),
		Objective: fromMillis(q.Objective), EventGap: fromMillis(q.Gap), Deadline: now.Add(fromMillis(q.Left)),
		FailureDomain: q.FailureDomain, Version: q.Version, ExcludedVersion: q.NotVersion,
	}
	if q.ResentAge > 0 {
		r.RetriedAt = now.Add(-fromMillis(q.ResentAge))
	}
	for _, id := range q.Avoid {
		if t := groups.byID[id]; t != nil {
			r.ExcludedTargets = append(r.ExcludedTargets, t.Key())
		}
	}
	return r
}

func grantedAnswer(id uint32, g *schedule.Grant) *answer {
	return &answer{
		ID: id, Verdict: granted, Target: idOf(g.Target.Key()), Running: g.RunningBefore, Ahead: g.PrefillAhead,
		Expected: millis(g.ExpectedFirst),
	}
}

func refusedAnswer(id uint32, err error) *answer {
	a := &answer{ID: id, Verdict: refused, Reason: "no place could be given"}
	var refusal *schedule.RefusedError
	if errors.As(err, &refusal) {
		a.Reason, a.Ahead, a.Places = refusal.Reason, refusal.QueuedAhead, refusal.Slots
		a.ReturnAfter, a.Expected = millis(refusal.RetryAfter), millis(refusal.ExpectedWait)
	}
	return a
}

// run sweeps and tells the room until the context ends.
func (s *Server) run(ctx context.Context) {
	sweep, tell := s.clock.NewTicker(sweepPeriod), s.clock.NewTimer(roomPeriod)
	defer sweep.Stop()
	defer tell.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-sweep.Chan():
			s.sweep()
			s.scheduler.StartQueued()
		case <-tell.Chan():
			listed := s.roster()
			s.tellRoom(listed)
			tell.Reset(listed.roomPeriod())
		}
	}
}
