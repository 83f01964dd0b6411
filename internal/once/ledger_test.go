package once

import (
	"context"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/answer"
	"github.com/hibiscuspost/hibiscuspost/internal/fault"
)

// progress is how far a keyed request has come when a fault strikes.
type progress int

const (
	beforeBegin progress = iota
	queued
	dispatched
	targetKnown
	ended
	progressCount
)

func (p progress) String() string {
	return [...]string{"before begin", "queued", "dispatched", "target known", "ended"}[p]
}

// keyedRequest is one request on its way from a forwarder over its key owner to a
// target.
type keyedRequest struct {
	world               *world
	forwarder, keyOwner *node
	key                 Key
	ticket              *Ticket
	// sends counts how often it has been sent to a target.
	sends int
}

var targetSite = Dispatched{Instance: "key owner", Target: "10.0.0.9:80", RequestID: "r1"}

// newKeyedRequest picks a key of node 0 that comes in at the given node.
func newKeyedRequest(t *testing.T, w *world, forwarder int) *keyedRequest {
	t.Helper()
	return &keyedRequest{
		world: w, forwarder: w.nodes[forwarder], keyOwner: w.nodes[0], key: w.nodes[0].keyOf(t),
	}
}

// advance takes the request to the given progress.
func (r *keyedRequest) advance(t *testing.T, to progress) {
	t.Helper()
	if to >= queued {
		from := ""
		if r.forwarder != r.keyOwner {
			from = r.forwarder.member.Name
			assert.NilError(t, r.forwarder.forwards.Note(r.key, testHash, r.keyOwner.member, time.Now().Add(3*DefaultResendWindow)))
		}
		decision := r.keyOwner.ledger.Begin(r.key, testHash, from)
		assert.Equal(t, decision.Kind, DecideRun)
		r.ticket = decision.Ticket
	}
	if to >= dispatched {
		assert.NilError(t, r.send())
	}
	if to >= targetKnown {
		r.forwarder.forwards.Dispatched(r.key, targetSite)
	}
	if to >= ended {
		r.ticket.Answer().End(answer.Complete)
		r.ticket.Finish()
	}
}

// send dispatches the ticket if it may.
func (r *keyedRequest) send() error {
	ctx, cancel := context.WithTimeout(r.world.t.Context(), time.Minute)
	defer cancel()
	err := r.ticket.Dispatch(ctx, targetSite)
	if err == nil {
		r.sends++
	}
	return err
}

// resend asks again at a node until the decision is final, as an entry does,
// and sends if it may.
func (r *keyedRequest) resend(at *node) Decision {
	var decision Decision
	for range 300 {
		decision = r.ask(at)
		if decision.Kind != DecideWait {
			break
		}
		time.Sleep(settleRetry)
	}
	if decision.Kind == DecideRun {
		r.ticket = decision.Ticket
		_ = r.send()
	}
	return decision
}

// ask follows the request to its key owner once.
func (r *keyedRequest) ask(at *node) Decision {
	wait := Decision{Kind: DecideWait, Refusal: refuseNoKeyOwner()}
	for range 3 {
		keyOwner, ok := at.shards.KeyOwnerOf(r.key)
		node := r.world.find(keyOwner.Name)
		if !ok || !r.world.network.Deliver(at.member.PeerAddress, node.member.PeerAddress) {
			return wait
		}
		_ = at.forwards.Note(r.key, testHash, keyOwner, time.Now().Add(time.Minute))
		decision := node.ledger.Begin(r.key, testHash, at.member.Name)
		if decision.Kind == DecideForward || decision.Kind == DecideWait {
			at.forwards.Done(r.key, ForwardNotRun)
		}
		if decision.Kind != DecideForward {
			return decision
		}
		at.shards.Learn(r.key, decision.KeyOwner)
	}
	return wait
}

func (w *world) find(name string) *node {
	for _, n := range w.nodes {
		if n.member.Name == name {
			return n
		}
	}
	return nil
}

// ledgerFault is something that strikes while a request is under way.
type ledgerFault struct {
	name   string
	strike func(*keyedRequest)
	// want is what a resend at a third instance gets, by progress.
	want [progressCount]DecisionKind
}

func ledgerFaults() []ledgerFault {
	return []ledgerFault{
		{
			name: "none", strike: func(*keyedRequest) {},
			want: [...]DecisionKind{DecideRun, DecideJoin, DecideJoin, DecideJoin, DecideJoin},
		},
		{
			name: "key owner dies", strike: func(r *keyedRequest) { r.world.die(r.keyOwner) },
			want: [...]DecisionKind{DecideRun, DecideRefuse, DecideRefuse, DecideResume, DecideResume},
		},
		{
			name: "forwarder dies", strike: func(r *keyedRequest) { r.world.die(r.forwarder) },
			want: [...]DecisionKind{DecideRun, DecideJoin, DecideJoin, DecideJoin, DecideJoin},
		},
		{
			name: "both die",
			strike: func(r *keyedRequest) {
				r.world.isolate(r.forwarder)
				r.world.isolate(r.keyOwner)
				r.world.see(func(n *node) bool { return n != r.forwarder && n != r.keyOwner })
				r.forwarder.stop()
				r.keyOwner.stop()
			},
			want: [...]DecisionKind{DecideRefuse, DecideRefuse, DecideRefuse, DecideRefuse, DecideRefuse},
		},
		{
			name: "key owner paused past its lease", strike: pauseKeyOwner,
			want: [...]DecisionKind{DecideRun, DecideRefuse, DecideJoin, DecideJoin, DecideJoin},
		},
		{
			name: "key owner leaves", strike: func(r *keyedRequest) {
				_ = r.keyOwner.shards.Release(r.world.t.Context())
				r.world.die(r.keyOwner)
			},
			want: [...]DecisionKind{DecideRun, DecideRun, DecideResume, DecideResume, DecideResume},
		},
		{
			name: "table service down", strike: func(r *keyedRequest) {
				r.world.setFault(down)
				time.Sleep(time.Minute)
			},
			want: [...]DecisionKind{DecideRun, DecideJoin, DecideJoin, DecideJoin, DecideJoin},
		},
		{
			name: "table service down and key owner dead", strike: func(r *keyedRequest) {
				r.world.setFault(down)
				r.world.die(r.keyOwner)
			},
			want: [...]DecisionKind{DecideWait, DecideWait, DecideWait, DecideWait, DecideWait},
		},
		{
			name: "answers of commits lost and key owner dead", strike: func(r *keyedRequest) {
				r.world.setFault(lostCommits)
				r.world.die(r.keyOwner)
			},
			want: [...]DecisionKind{DecideRun, DecideRefuse, DecideRefuse, DecideResume, DecideResume},
		},
	}
}

// pauseKeyOwner stops the key owner's loops until the others have taken its shards,
// and lets it take them again.
func pauseKeyOwner(r *keyedRequest) {
	r.world.isolate(r.keyOwner)
	r.keyOwner.stop()
	r.world.see(func(n *node) bool { return n != r.keyOwner })
	time.Sleep(LeaseTTL + 4*VouchTTL)
	r.world.rejoin(r.keyOwner)
	r.world.see(func(*node) bool { return true })
	r.keyOwner.start()
	time.Sleep(4 * shardTick)
}

func TestResendUnderEachFaultAtEachStep(t *testing.T) {
	for _, f := range ledgerFaults() {
		for at := range progressCount {
			t.Run(f.name+"/"+at.String(), func(t *testing.T) {
				t.Parallel()
				inWorld(t, 4, func(t *testing.T, w *world) {
					r := newKeyedRequest(t, w, 1)
					r.advance(t, at)
					first := r.ticket
					f.strike(r)

					decision := r.resend(w.nodes[2])

					assert.Equal(t, decision.Kind, f.want[at], "%+v", decision.Refusal)
					r.wakeFirst(first)
					assert.Assert(t, r.sends <= 1, "sent %d times", r.sends)
				})
			})
		}
	}
}

// wakeFirst lets the first key owner go on with its ticket, if it was not sent.
func (r *keyedRequest) wakeFirst(first *Ticket) {
	if first == nil || first.entry.stage != entryQueued {
		return
	}
	r.ticket = first
	_ = r.send()
}

func TestEntryThatIsKeyOwnerLeavesACopy(t *testing.T) {
	inWorld(t, 4, func(t *testing.T, w *world) {
		r := newKeyedRequest(t, w, 0)
		r.advance(t, dispatched)
		w.die(r.keyOwner)
		assert.Equal(t, r.resend(w.nodes[2]).Kind, DecideResume)
		assert.Equal(t, r.sends, 1)
	})
}

func TestTicketOfAnEarlierTermIsVoid(t *testing.T) {
	for _, at := range []progress{queued, dispatched} {
		t.Run(at.String(), func(t *testing.T) { checkEarlierTerm(t, at) })
	}
}

func checkEarlierTerm(t *testing.T, at progress) {
	inWorld(t, 4, func(t *testing.T, w *world) {
		r := newKeyedRequest(t, w, 0)
		r.advance(t, at)
		first, keyOwner := r.ticket, r.keyOwner
		w.isolate(keyOwner)
		keyOwner.stop()
		w.see(func(n *node) bool { return n != keyOwner })
		want := DecideRun // nobody knew of it
		if at == dispatched {
			want = DecideResume
		}
		assert.Equal(t, r.resend(w.nodes[2]).Kind, want)
		assert.Equal(t, r.sends, 1)
		w.rejoin(keyOwner)
		w.see(func(*node) bool { return true })
		keyOwner.start()
		time.Sleep(LeaseTTL)
		assert.Assert(t, keyOwner.shards.Holds(r.key.Shard()))

		r.ticket = first
		refusedAs(t, r.send(), fault.NotRun)
		assert.Equal(t, r.sends, 1)
	})
}

// newcomer makes a fifth instance join that all see.
func (w *world) newcomer() *node {
	member := w.nodes[0].member
	member.Name, member.PeerAddress, member.Incarnation = "z", "peer-z", 26
	n := w.newNode(member, nil)
	w.nodes = append(w.nodes, n)
	w.see(func(*node) bool { return true })
	n.start()
	time.Sleep(4 * shardTick)
	return n
}

// passedOn returns a request that was queued at its key owner when the shard was
// passed on to a newcomer.
func passedOn(t *testing.T, w *world) (r *keyedRequest, next *node) {
	t.Helper()
	var waiting []*keyedRequest
	for i := range 200 {
		key := Key{Account: "queue", Key: strconv.Itoa(i)}
		keyOwner := w.find(w.holders(key.Shard())[0])
		r := &keyedRequest{world: w, forwarder: keyOwner, keyOwner: keyOwner, key: key}
		r.advance(t, queued)
		r.ticket.Queued(Dispatched{Instance: keyOwner.member.Name, Handle: "h"})
		waiting = append(waiting, r)
	}
	next = w.newcomer()
	for _, r := range waiting {
		if next.shards.Holds(r.key.Shard()) {
			return r, next
		}
	}
	t.Fatal("no shard was passed on")
	return nil, nil
}

func TestQueuedRequestOutlivesThePassingOn(t *testing.T) {
	tests := []struct {
		name  string
		then  func(r *keyedRequest, next *node)
		sends int
	}{
		{"dispatched", func(*keyedRequest, *node) {}, 1},
		{"the next key owner dies", func(r *keyedRequest, next *node) { r.world.die(next) }, 1},
		{"after a pause", func(*keyedRequest, *node) { time.Sleep(DefaultResendWindow) }, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			inWorld(t, 4, func(t *testing.T, w *world) {
				r, next := passedOn(t, w)
				first := r.ticket
				test.then(r, next)
				other := w.nodes[0]
				if other == r.keyOwner {
					other = w.nodes[1]
				}
				decision := r.resend(other)
				assert.Assert(t, decision.Kind == DecideResume || decision.Kind == DecideJoin, "%+v", decision)
				r.ticket = first
				_ = r.send()
				assert.Equal(t, r.sends, test.sends)
			})
		})
	}
}

func TestRecordOfARequestThatOnlyWaitedHere(t *testing.T) {
	inWorld(t, 3, func(t *testing.T, w *world) {
		a, b := w.nodes[0], w.nodes[1]
		key, until := a.keyOf(t), time.Now().Add(time.Minute)
		for _, test := range []struct {
			keyOwners []*node
			want      DecisionKind
		}{
			{[]*node{a}, DecideRun},
			{[]*node{a, b}, DecideRefuse},
			{[]*node{b, a}, DecideRefuse},
		} {
			forwards := NewForwards(w.clock, 0)
			for _, keyOwner := range test.keyOwners {
				assert.NilError(t, forwards.Note(key, testHash, keyOwner.member, until))
			}
			a.ledger.merge(forwards.collect(func(Key) bool { return true }))
			decision := a.ledger.Begin(key, testHash, "c")
			assert.Equal(t, decision.Kind, test.want)
			if decision.Ticket != nil {
				decision.Ticket.NotRun(refuseNotRun("end of the case"))
			}
		}
	})
}

func TestNoCopyMeansNotSent(t *testing.T) {
	inWorld(t, 4, func(t *testing.T, w *world) {
		r := newKeyedRequest(t, w, 0)
		r.advance(t, queued)
		w.isolate(r.keyOwner)
		refusedAs(t, r.send(), fault.NotRun)
	})
}

func TestLoneInstanceRunsWithoutCopy(t *testing.T) {
	inWorld(t, 1, func(t *testing.T, w *world) {
		r := newKeyedRequest(t, w, 0)
		r.advance(t, dispatched)
		assert.Equal(t, r.sends, 1)
		w.nodes[0].stop()
		again := w.nodes[0].member
		again.Incarnation = 9
		successor := w.newNode(again, nil)
		w.nodes = append(w.nodes[:0], successor)
		successor.start()
		time.Sleep(LeaseTTL + LeaseMargin)

		decision := r.resend(successor)

		assert.Equal(t, decision.Kind, DecideRefuse)
		assert.Equal(t, decision.Refusal.Execution, fault.ExecutionUnknown)
	})
}

func TestKeyIsFreeAfterProvedNotRun(t *testing.T) {
	inWorld(t, 3, func(t *testing.T, w *world) {
		r := newKeyedRequest(t, w, 1)
		r.advance(t, queued)
		joined := r.ask(w.nodes[2])
		r.ticket.NotRun(refuseNotRun("connection refused"))
		_, err := joined.Answer.Follow(0).Next(t.Context())
		refusedAs(t, err, fault.NotRun)
		assert.Equal(t, r.resend(w.nodes[2]).Kind, DecideRun)
		assert.Equal(t, r.keyOwner.ledger.Begin(r.key, BodyHash{}, "b").Kind, DecideRefuse)
	})
}

func TestRecordsOutliveLongRuns(t *testing.T) {
	const long = 3 * DefaultResendWindow
	for _, forwarder := range []int{0, 1} {
		t.Run(strconv.Itoa(forwarder), func(t *testing.T) {
			inWorld(t, 4, func(t *testing.T, w *world) {
				r := newKeyedRequest(t, w, forwarder)
				r.advance(t, queued)
				ctx, cancel := context.WithTimeout(t.Context(), long)
				defer cancel()
				assert.NilError(t, r.ticket.Dispatch(ctx, targetSite))
				r.forwarder.forwards.Done(r.key, ForwardBroken) // its caller hung up
				known := func() (count int) {
					for _, n := range w.nodes {
						count += n.forwards.Count()
					}
					return count
				}
				time.Sleep(long - time.Second)
				assert.Equal(t, known(), 1, "still running")
				time.Sleep(DefaultResendWindow)
				assert.Equal(t, known(), 1, "may still be sent again")
				time.Sleep(2 * ageEvery)
				assert.Equal(t, known(), 0)
			})
		})
	}
}

func TestRecordsAgeAndAreBounded(t *testing.T) {
	inWorld(t, 2, func(t *testing.T, w *world) {
		r := newKeyedRequest(t, w, 1)
		r.advance(t, ended)
		r.forwarder.forwards.Done(r.key, ForwardEnded)
		time.Sleep(DefaultResendWindow + 2*ageEvery)
		assert.Equal(t, r.keyOwner.ledger.Count(), 0)
		assert.Equal(t, r.forwarder.forwards.Count(), 0)
		forwards := r.forwarder.forwards
		for i := range maxForwards {
			assert.NilError(t, forwards.Note(Key{Key: strconv.Itoa(i)}, testHash, r.keyOwner.member, time.Now()))
		}
		refusedAs(t, forwards.Note(Key{Key: "one too many"}, testHash, r.keyOwner.member, time.Now()), fault.NotRun)
	})
}
