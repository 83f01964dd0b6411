package placement

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/hibiscuspost/hibiscuspost/internal/catalog"
	"github.com/hibiscuspost/hibiscuspost/internal/eventlog"
	"github.com/hibiscuspost/hibiscuspost/internal/schedule"
)

var (
	// errSilent means that a coordinator did not answer in time.
	errSilent = errors.New("the coordinator is silent")
	// errAway means that the instance that was asked does not coordinate.
	errAway = errors.New("the instance does not coordinate the group")
	// errUnknown means that the lists of targets differ for a moment.
	errUnknown = errors.New("the target or the group is not known")
)

// Client is the side of an instance that has requests.
type Client struct {
	clock    clockwork.Clock
	logger   *zap.Logger
	send     Sender
	counters *Counters
	// alone places requests by what this instance knows itself; it counts all
	// that the instance runs.
	alone  *schedule.Scheduler
	groups atomic.Pointer[Groups]
	roster atomic.Pointer[Roster]
	nextID atomic.Uint32

	// mu guards the fields below.
	mu      sync.Mutex
	random  *rand.Rand
	pending map[uint32]chan heardAnswer
	running map[uint32]*execution
	// passedOver is until when an instance is not asked.
	passedOver map[string]time.Time
	// overrides are the groups that others than the roster says have taken over.
	overrides map[group]override
	// rooms is what coordinators said of the room in their groups.
	rooms map[group]otherRoom
}

// heardAnswer is an answer with who gave it.
type heardAnswer struct {
	from string
	*answer
}

func newClient(o *Options, counters *Counters) *Client {
	c := &Client{
		clock: o.Clock, logger: o.Logger, send: o.Send, counters: counters,
		alone: schedule.New(o.Clock, o.Random()), random: o.Random(),
		pending: make(map[uint32]chan heardAnswer), running: make(map[uint32]*execution),
		passedOver: make(map[string]time.Time), overrides: make(map[group]override), rooms: make(map[group]otherRoom),
	}
	c.nextID.Store(c.random.Uint32())
	c.groups.Store(Divide(nil))
	c.roster.Store(&Roster{})
	return c
}

// Acquire waits until the request may start. The error is a
// *schedule.RefusedError or the context's.
func (c *Client) Acquire(ctx context.Context, r *schedule.Request) (*schedule.Grant, error) {
	for range maxAsked {
		of, coordinator := c.choose(r)
		if coordinator == "" {
			break
		}
		grant, asked, err := c.ask(ctx, coordinator, of, r)
		switch {
		case errors.Is(err, errUnknown):
		case errors.Is(err, errSilent), errors.Is(err, errAway):
			c.passOver(asked, of, err)
		default:
			return grant, err
		}
	}
	c.counters.Alone.Add(1)
	grant, err := c.alone.Acquire(ctx, r)
	if err != nil {
		return nil, err
	}
	return c.start(c.nextID.Add(1), r, *grant, grant), nil
}

// choose returns a group with targets for the request, in proportion to their
// number, and its coordinator. Of two it takes the one that had more room when
// it was last heard of.
func (c *Client) choose(r *schedule.Request) (group, string) {
	groups := c.groups.Load()
	targets := allowed(groups.byService[r.Service], r)
	if len(targets) == 0 {
		return group{}, ""
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	pick := func() group { return groups.groupOf[idOf(targets[c.random.IntN(len(targets))].Key())] }
	best := pick()
	if other := pick(); c.roomier(other, best, now) {
		best = other
	}
	return best, c.coordinatorOf(best, now)
}

// allowed returns the targets of the versions that the request may go to, or
// all if there are none.
func allowed(targets []*catalog.Target, r *schedule.Request) []*catalog.Target {
	if !r.Versioned() {
		return targets
	}
	var fitting []*catalog.Target
	for _, t := range targets {
		if r.Allows(t.Version) {
			fitting = append(fitting, t)
		}
	}
	if len(fitting) == 0 {
		return targets
	}
	return fitting
}

// roomier compares what was last said of two groups; c.mu is held.
func (c *Client) roomier(a, b group, now time.Time) bool {
	roomA, roomB := c.rooms[a], c.rooms[b]
	return now.Sub(roomA.at) <= roomA.fresh && now.Sub(roomB.at) <= roomB.fresh && roomA.free > roomB.free
}

// noteRoom takes what an answer says of the room in a group.
func (c *Client) noteRoom(of group, answer *answer) {
	if answer.Verdict != granted && answer.Verdict != queued {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rooms[of] = otherRoom{free: answer.Free, at: c.clock.Now(), fresh: roomPeriods * roomPeriod}
}

// passOver leaves an instance alone that does not answer or coordinate.
func (c *Client) passOver(address string, of group, cause error) {
	if errors.Is(cause, errSilent) {
		c.counters.Silent.Add(1)
	}
	now := c.clock.Now()
	c.mu.Lock()
	again := now.Before(c.passedOver[address])
	c.passedOver[address] = now.Add(passOver)
	c.mu.Unlock()
	if !again {
		c.logger.Info("coordinator passed over", zap.String("peer", address), zap.String("group", of.name()),
			zap.Uint64("roster", c.roster.Load().Epoch), zap.Duration("for", passOver), eventlog.ErrorField(cause))
		c.renew()
	}
}

// ask asks a coordinator, and those that it names, until there is a place, a
// refusal, or no answer. It returns who was asked last.
func (c *Client) ask(
	ctx context.Context, coordinator string, of group, r *schedule.Request,
) (grant *schedule.Grant, last string, err error) {
	id := c.nextID.Add(1)
	answers := make(chan heardAnswer, 4)
	c.mu.Lock()
	c.pending[id] = answers
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.pending, id)
		c.mu.Unlock()
	}()
	asked := &asked{client: c, id: id, request: r, group: of, coordinator: coordinator}
	grant, err = asked.run(ctx, answers)
	return grant, asked.coordinator, err
}

// asked is one question under way.
type asked struct {
	client      *Client
	id          uint32
	request     *schedule.Request
	group       group
	coordinator string
	// redirected is set once a coordinator has named another group.
	redirected bool
	// queued is set while the request waits at the coordinator.
	queued bool
	// hops counts how often the question was sent on.
	hops  int
	heard time.Time
}

func (a *asked) run(ctx context.Context, answers <-chan heardAnswer) (*schedule.Grant, error) {
	clock := a.client.clock
	a.heard = clock.Now()
	a.ask()
	pause := resendFirst
	timer := clock.NewTimer(pause)
	defer timer.Stop()
	due := a.heard.Add(pause)
	for {
		select {
		case <-ctx.Done():
			a.withdraw()
			return nil, ctx.Err()
		case heard := <-answers:
			if heard.from != a.coordinator {
				a.client.giveBack(heard)
				continue
			}
			a.heard = clock.Now()
			a.queued = heard.Verdict == queued
			grant, err, final := a.take(heard.answer)
			if final {
				return grant, err
			}
		case <-timer.Chan():
			now := clock.Now()
			if late := now.Sub(due); late > lateTimer {
				a.heard = a.heard.Add(late)
			}
			pause = a.pause()
			if len(answers) == 0 && now.Sub(a.heard) >= answerTime+pause-resendNext {
				a.withdraw()
				return nil, errors.Wrap(errSilent, a.coordinator)
			}
			a.ask()
			due = now.Add(pause)
			timer.Reset(pause)
		}
	}
}

// pause returns the time to the next repetition.
func (a *asked) pause() time.Duration {
	if a.queued {
		return resendQueued
	}
	return resendNext
}

// take deals with an answer; final tells that no other is awaited.
func (a *asked) take(answer *answer) (grant *schedule.Grant, err error, final bool) {
	a.client.noteRoom(a.group, answer)
	switch answer.Verdict {
	case granted:
		grant, err = a.granted(answer)
		return grant, err, true
	case refused:
		return nil, &schedule.RefusedError{
			Reason: answer.Reason, ReturnAfter: fromMillis(answer.ReturnAfter), Ahead: answer.Ahead,
			Places: answer.Places, Expected: fromMillis(answer.Expected),
		}, true
	case elsewhere, moved:
		if a.hops++; a.hops > maxHops {
			return nil, errors.Wrap(errUnknown, "sent on too often"), true
		}
		if answer.Verdict == elsewhere {
			a.redirect(answer.Group)
			break
		}
		a.coordinator = answer.Coordinator
		a.ask()
	case away:
		return nil, errors.Wrap(errAway, a.coordinator), true
	case unknown:
		return nil, errors.Wrap(errUnknown, a.group.name()), true
	}
	return nil, nil, false
}

// redirect asks for a place in another group; where nobody is to be asked, the
// question is repeated as it was.
func (a *asked) redirect(index int) {
	c := a.client
	of := group{a.group.service, index}
	if _, known := c.groups.Load().place[of]; !known {
		return
	}
	c.mu.Lock()
	next := c.coordinatorOf(of, c.clock.Now())
	c.mu.Unlock()
	if next == "" {
		return
	}
	a.group, a.coordinator, a.redirected = of, next, true
	a.ask()
}

// granted builds the grant, unless the target is not known here or has left.
func (a *asked) granted(answer *answer) (*schedule.Grant, error) {
	c := a.client
	target := c.groups.Load().byID[answer.Target]
	if target == nil || target.Draining {
		// The list of targets there is newer, or older, for a moment.
		a.withdraw()
		return nil, errors.Wrap(errUnknown, "target")
	}
	grant := schedule.Grant{
		Target: target, Waited: c.clock.Since(a.request.Arrived), Running: answer.Running, Ahead: answer.Ahead,
		Expected: fromMillis(answer.Expected), Coordinator: a.coordinator,
	}
	return c.start(a.id, a.request, grant, c.alone.Resume(target.Key(), a.request)), nil
}

// ask sends the question.
func (a *asked) ask() {
	now, r := a.client.clock.Now(), a.request
	q := &question{
		ID: a.id, Service: r.Service, Group: a.group.index, Epoch: a.client.roster.Load().Epoch, Redirected: a.redirected, Bound: r.Versioned(), Priority: r.Priority,
		PromptTokens: r.PromptTokens, OutputTokens: r.OutputTokens, TokensPerEvent: r.TokensPerEvent,
		Age: millis(now.Sub(r.Arrived)), Objective: millis(r.Objective), Gap: millis(r.Gap),
		Left: millis(r.Deadline.Sub(now)), FailureDomain: r.FailureDomain, Version: r.Version, NotVersion: r.NotVersion,
	}
	if !r.Resent.IsZero() {
		q.ResentAge = max(1, millis(now.Sub(r.Resent)))
	}
	for _, key := range r.Avoid {
		q.Avoid = append(q.Avoid, idOf(key))
	}
	a.client.tell(a.coordinator, kindQuestion, q)
}

func (a *asked) withdraw() {
	a.client.tell(a.coordinator, kindQuestion, &question{ID: a.id, Withdrawn: true})
}

// answer hands an answer to who waits for it. A place that nobody waits for
// any more is given back.
func (c *Client) answer(from string, heard *answer) {
	c.mu.Lock()
	answers, waited := c.pending[heard.ID]
	_, runs := c.running[heard.ID]
	c.mu.Unlock()
	if waited {
		select {
		case answers <- heardAnswer{from, heard}:
			return
		default:
			// Questions are repeated, and so are their answers.
			return
		}
	}
	if !runs {
		c.giveBack(heardAnswer{from, heard})
	}
}

// giveBack ends a place that is not needed.
func (c *Client) giveBack(heard heardAnswer) {
	if heard.Verdict == granted {
		c.tell(heard.from, kindProgress, &progress{ID: heard.ID, Done: true, Result: schedule.Cancelled})
	}
}

// tell sends a message to a coordinator.
func (c *Client) tell(address string, k kind, message any) {
	body, err := encode(k, message)
	if err != nil {
		c.logger.Error("coordinator not told", eventlog.ErrorField(err))
		return
	}
	c.counters.sent(c.send(address, body))
}
