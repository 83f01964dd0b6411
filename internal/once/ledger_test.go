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

// progress is how far a keyed request has advanced when a fault is injected.
type progress int

const (
	progressNone progress = iota
	progressQueued
	progressDispatched
	progressTargetKnown
	progressEnded
	progressCount
)

func (p progress) String() string {
	return [...]string{"before begin", "queued", "dispatched", "target known", "ended"}[p]
}

// keyedRequest is a request that a forwarder sends to its key owner, which
// dispatches it to a target.
type keyedRequest struct {
	cluster             *testCluster
	forwarder, keyOwner *node
	key                 Key
	ticket              *Ticket
	// sends counts how often the request was sent to a target.
	sends int
}

var testLocation = Location{Instance: "key owner", Target: "10.0.0.9:80", RequestID: "r1"}

// newKeyedRequest returns a request with a key owned by node 0 that arrives at
// the given node.
func newKeyedRequest(t *testing.T, cluster *testCluster, forwarder int) *keyedRequest {
	t.Helper()
	return &keyedRequest{
		cluster: cluster, forwarder: cluster.nodes[forwarder], keyOwner: cluster.nodes[0], key: cluster.nodes[0].heldKey(t),
	}
}

// advance takes the request to the given progress.
func (r *keyedRequest) advance(t *testing.T, to progress) {
	t.Helper()
	if to >= progressQueued {
		from := ""
		if r.forwarder != r.keyOwner {
			from = r.forwarder.member.Name
			assert.NilError(t, r.forwarder.forwards.Track(r.key, testHash, r.keyOwner.member, time.Now().Add(3*DefaultResendWindow)))
		}
		decision := r.keyOwner.ledger.Begin(r.key, testHash, from)
		assert.Equal(t, decision.Kind, DecideRun)
		r.ticket = decision.Ticket
	}
	if to >= progressDispatched {
		assert.NilError(t, r.send())
	}
	if to >= progressTargetKnown {
		r.forwarder.forwards.SetLocation(r.key, testLocation)
	}
	if to >= progressEnded {
		r.ticket.Answer().End(answer.Complete)
		r.ticket.Finish()
	}
}

// send dispatches the request if its ticket allows it.
func (r *keyedRequest) send() error {
	ctx, cancel := context.WithTimeout(r.cluster.t.Context(), time.Minute)
	defer cancel()
	err := r.ticket.Dispatch(ctx, testLocation)
	if err == nil {
		r.sends++
	}
	return err
}

// resend requests a decision at a node until it is final, as the instance does
// that receives a request, and dispatches it if the decision is to run it.
func (r *keyedRequest) resend(node *node) Decision {
	var decision Decision
	for range 300 {
		decision = r.requestDecision(node)
		if decision.Kind != DecideWait {
			break
		}
		time.Sleep(collectRetryInterval)
	}
	if decision.Kind == DecideRun {
		r.ticket = decision.Ticket
		_ = r.send()
	}
	return decision
}

// requestDecision requests a decision once, following redirects to the key
// owner.
func (r *keyedRequest) requestDecision(entry *node) Decision {
	wait := Decision{Kind: DecideWait, Refusal: noKeyOwnerRefusal()}
	for range 3 {
		keyOwner, ok := entry.shards.KeyOwnerOf(r.key)
		ownerNode := r.cluster.nodeByName(keyOwner.Name)
		if !ok || !r.cluster.network.Deliver(entry.member.PeerAddress, ownerNode.member.PeerAddress) {
			return wait
		}
		_ = entry.forwards.Track(r.key, testHash, keyOwner, time.Now().Add(time.Minute))
		decision := ownerNode.ledger.Begin(r.key, testHash, entry.member.Name)
		if decision.Kind == DecideForward || decision.Kind == DecideWait {
			entry.forwards.Done(r.key, ForwardNotRun)
		}
		if decision.Kind != DecideForward {
			return decision
		}
		entry.shards.SetKeyOwnerHint(r.key, decision.KeyOwner)
	}
	return wait
}

func (c *testCluster) nodeByName(name string) *node {
	for _, n := range c.nodes {
		if n.member.Name == name {
			return n
		}
	}
	return nil
}

// ledgerFault is a fault that is injected while a request is in progress.
type ledgerFault struct {
	name   string
	inject func(*keyedRequest)
	// want is the expected decision for a resend at a third instance, by
	// progress.
	want [progressCount]DecisionKind
}

func ledgerFaults() []ledgerFault {
	return []ledgerFault{
		{
			name: "no fault", inject: func(*keyedRequest) {},
			want: [...]DecisionKind{DecideRun, DecideJoin, DecideJoin, DecideJoin, DecideJoin},
		},
		{
			name: "key owner crashes", inject: func(r *keyedRequest) { r.cluster.crashNode(r.keyOwner) },
			want: [...]DecisionKind{DecideRun, DecideRefuse, DecideRefuse, DecideResume, DecideResume},
		},
		{
			name: "forwarder crashes", inject: func(r *keyedRequest) { r.cluster.crashNode(r.forwarder) },
			want: [...]DecisionKind{DecideRun, DecideJoin, DecideJoin, DecideJoin, DecideJoin},
		},
		{
			name: "both crash",
			inject: func(r *keyedRequest) {
				r.cluster.isolate(r.forwarder)
				r.cluster.isolate(r.keyOwner)
				r.cluster.setViews(func(n *node) bool { return n != r.forwarder && n != r.keyOwner })
				r.forwarder.stop()
				r.keyOwner.stop()
			},
			want: [...]DecisionKind{DecideRefuse, DecideRefuse, DecideRefuse, DecideRefuse, DecideRefuse},
		},
		{
			name: "key owner paused past its lease", inject: pauseKeyOwner,
			want: [...]DecisionKind{DecideRun, DecideRefuse, DecideJoin, DecideJoin, DecideJoin},
		},
		{
			name: "key owner leaves", inject: func(r *keyedRequest) {
				_ = r.keyOwner.shards.Release(r.cluster.t.Context())
				r.cluster.crashNode(r.keyOwner)
			},
			want: [...]DecisionKind{DecideRun, DecideRun, DecideResume, DecideResume, DecideResume},
		},
		{
			name: "table service down", inject: func(r *keyedRequest) {
				r.cluster.setFault(tableDown)
				time.Sleep(time.Minute)
			},
			want: [...]DecisionKind{DecideRun, DecideJoin, DecideJoin, DecideJoin, DecideJoin},
		},
		{
			name: "table service down and key owner crashed", inject: func(r *keyedRequest) {
				r.cluster.setFault(tableDown)
				r.cluster.crashNode(r.keyOwner)
			},
			want: [...]DecisionKind{DecideWait, DecideWait, DecideWait, DecideWait, DecideWait},
		},
		{
			name: "commit responses lost and key owner crashed", inject: func(r *keyedRequest) {
				r.cluster.setFault(loseCommitResponses)
				r.cluster.crashNode(r.keyOwner)
			},
			want: [...]DecisionKind{DecideRun, DecideRefuse, DecideRefuse, DecideResume, DecideResume},
		},
	}
}

// pauseKeyOwner stops the key owner's loops until other instances have taken
// its shards, and then lets it take them back.
func pauseKeyOwner(r *keyedRequest) {
	r.cluster.isolate(r.keyOwner)
	r.keyOwner.stop()
	r.cluster.setViews(func(n *node) bool { return n != r.keyOwner })
	time.Sleep(MaxLeaseTTL + 4*ConfirmTTL)
	r.cluster.reconnect(r.keyOwner)
	r.cluster.setViews(func(*node) bool { return true })
	r.keyOwner.start()
	time.Sleep(4 * stepInterval)
}

func TestResendUnderEachFaultAtEachStep(t *testing.T) {
	for _, f := range ledgerFaults() {
		for stage := range progressCount {
			t.Run(f.name+"/"+stage.String(), func(t *testing.T) {
				t.Parallel()
				runCluster(t, 4, func(t *testing.T, cluster *testCluster) {
					r := newKeyedRequest(t, cluster, 1)
					r.advance(t, stage)
					first := r.ticket
					f.inject(r)

					decision := r.resend(cluster.nodes[2])

					assert.Equal(t, decision.Kind, f.want[stage], "%+v", decision.Refusal)
					r.dispatchFirst(first)
					assert.Assert(t, r.sends <= 1, "sent %d times, want at most once", r.sends)
				})
			})
		}
	}
}

// dispatchFirst lets the first key owner continue with its ticket, if the
// request was not sent.
func (r *keyedRequest) dispatchFirst(first *Ticket) {
	if first == nil || first.entry.stage != entryQueued {
		return
	}
	r.ticket = first
	_ = r.send()
}

func TestKeyOwnerReplicatesRecordOfDirectRequest(t *testing.T) {
	runCluster(t, 4, func(t *testing.T, cluster *testCluster) {
		r := newKeyedRequest(t, cluster, 0)
		r.advance(t, progressDispatched)
		cluster.crashNode(r.keyOwner)
		assert.Equal(t, r.resend(cluster.nodes[2]).Kind, DecideResume)
		assert.Equal(t, r.sends, 1)
	})
}

func TestTicketOfAnEarlierTermIsVoid(t *testing.T) {
	for _, stage := range []progress{progressQueued, progressDispatched} {
		t.Run(stage.String(), func(t *testing.T) { testEarlierTermTicket(t, stage) })
	}
}

func testEarlierTermTicket(t *testing.T, stage progress) {
	runCluster(t, 4, func(t *testing.T, cluster *testCluster) {
		r := newKeyedRequest(t, cluster, 0)
		r.advance(t, stage)
		first, keyOwner := r.ticket, r.keyOwner
		cluster.isolate(keyOwner)
		keyOwner.stop()
		cluster.setViews(func(n *node) bool { return n != keyOwner })
		want := DecideRun // no other instance has a record
		if stage == progressDispatched {
			want = DecideResume
		}
		assert.Equal(t, r.resend(cluster.nodes[2]).Kind, want)
		assert.Equal(t, r.sends, 1)
		cluster.reconnect(keyOwner)
		cluster.setViews(func(*node) bool { return true })
		keyOwner.start()
		time.Sleep(MaxLeaseTTL)
		assert.Assert(t, keyOwner.shards.Holds(r.key.Shard()))

		r.ticket = first
		assertRefusal(t, r.send(), fault.NotRun)
		assert.Equal(t, r.sends, 1)
	})
}

// addNode adds another instance, visible to all.
func (c *testCluster) addNode() *node {
	member := c.nodes[0].member
	member.Name, member.PeerAddress, member.Incarnation = "z", "peer-z", 26
	n := c.newNode(member, nil)
	c.nodes = append(c.nodes, n)
	c.setViews(func(*node) bool { return true })
	n.start()
	time.Sleep(4 * stepInterval)
	return n
}

// handedOverRequest returns a request that was queued at its key owner when the
// shard was handed over to a new instance.
func handedOverRequest(t *testing.T, cluster *testCluster) (r *keyedRequest, next *node) {
	t.Helper()
	var queued []*keyedRequest
	for i := range 200 {
		key := Key{Account: "queue", Key: strconv.Itoa(i)}
		keyOwner := cluster.nodeByName(cluster.holderNames(key.Shard())[0])
		r := &keyedRequest{cluster: cluster, forwarder: keyOwner, keyOwner: keyOwner, key: key}
		r.advance(t, progressQueued)
		r.ticket.SetQueuedLocation(Location{Instance: keyOwner.member.Name, Handle: "h"})
		queued = append(queued, r)
	}
	next = cluster.addNode()
	for _, r := range queued {
		if next.shards.Holds(r.key.Shard()) {
			return r, next
		}
	}
	t.Fatal("no shard was handed over to the new instance")
	return nil, nil
}

func TestQueuedRequestSurvivesHandover(t *testing.T) {
	tests := []struct {
		name          string
		afterHandover func(r *keyedRequest, next *node)
		sends         int
	}{
		{"dispatched", func(*keyedRequest, *node) {}, 1},
		{"next key owner crashes", func(r *keyedRequest, next *node) { r.cluster.crashNode(next) }, 1},
		{"after a pause", func(*keyedRequest, *node) { time.Sleep(DefaultResendWindow) }, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runCluster(t, 4, func(t *testing.T, cluster *testCluster) {
				r, next := handedOverRequest(t, cluster)
				first := r.ticket
				test.afterHandover(r, next)
				other := cluster.nodes[0]
				if other == r.keyOwner {
					other = cluster.nodes[1]
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

func TestRecordWithSelfAsSoleKeyOwnerIsIgnored(t *testing.T) {
	runCluster(t, 3, func(t *testing.T, cluster *testCluster) {
		a, b := cluster.nodes[0], cluster.nodes[1]
		key, until := a.heldKey(t), time.Now().Add(time.Minute)
		for _, test := range []struct {
			keyOwners []*node
			want      DecisionKind
		}{
			{[]*node{a}, DecideRun},
			{[]*node{a, b}, DecideRefuse},
			{[]*node{b, a}, DecideRefuse},
		} {
			forwards := NewForwards(cluster.clock, 0)
			for _, keyOwner := range test.keyOwners {
				assert.NilError(t, forwards.Track(key, testHash, keyOwner.member, until))
			}
			a.ledger.mergeRecords(forwards.collect(func(Key) bool { return true }))
			decision := a.ledger.Begin(key, testHash, "c")
			assert.Equal(t, decision.Kind, test.want)
			if decision.Ticket != nil {
				decision.Ticket.MarkNotRun(notRunRefusal("end of the case"))
			}
		}
	})
}

func TestRequestWithoutReplicaIsNotSent(t *testing.T) {
	runCluster(t, 4, func(t *testing.T, cluster *testCluster) {
		r := newKeyedRequest(t, cluster, 0)
		r.advance(t, progressQueued)
		cluster.isolate(r.keyOwner)
		assertRefusal(t, r.send(), fault.NotRun)
	})
}

func TestSoleInstanceRunsWithoutReplica(t *testing.T) {
	runCluster(t, 1, func(t *testing.T, cluster *testCluster) {
		r := newKeyedRequest(t, cluster, 0)
		r.advance(t, progressDispatched)
		assert.Equal(t, r.sends, 1)
		cluster.nodes[0].stop()
		restarted := cluster.nodes[0].member
		restarted.Incarnation = 9
		successor := cluster.newNode(restarted, nil)
		cluster.nodes = append(cluster.nodes[:0], successor)
		successor.start()
		time.Sleep(MaxLeaseTTL + LeaseSafetyMargin)

		decision := r.resend(successor)

		assert.Equal(t, decision.Kind, DecideRefuse)
		assert.Equal(t, decision.Refusal.Execution, fault.ExecutionUnknown)
	})
}

func TestKeyIsReusableAfterNotRun(t *testing.T) {
	runCluster(t, 3, func(t *testing.T, cluster *testCluster) {
		r := newKeyedRequest(t, cluster, 1)
		r.advance(t, progressQueued)
		joined := r.requestDecision(cluster.nodes[2])
		r.ticket.MarkNotRun(notRunRefusal("connection refused"))
		_, err := joined.Answer.Follow(0).Next(t.Context())
		assertRefusal(t, err, fault.NotRun)
		assert.Equal(t, r.resend(cluster.nodes[2]).Kind, DecideRun)
		assert.Equal(t, r.keyOwner.ledger.Begin(r.key, RequestHash{}, "b").Kind, DecideRefuse)
	})
}

func TestRecordsOutliveLongRuns(t *testing.T) {
	const runTime = 3 * DefaultResendWindow
	for _, forwarder := range []int{0, 1} {
		t.Run(strconv.Itoa(forwarder), func(t *testing.T) {
			runCluster(t, 4, func(t *testing.T, cluster *testCluster) {
				r := newKeyedRequest(t, cluster, forwarder)
				r.advance(t, progressQueued)
				ctx, cancel := context.WithTimeout(t.Context(), runTime)
				defer cancel()
				assert.NilError(t, r.ticket.Dispatch(ctx, testLocation))
				r.forwarder.forwards.Done(r.key, ForwardInterrupted) // its caller disconnected
				recordCount := func() (count int) {
					for _, n := range cluster.nodes {
						count += n.forwards.Count()
					}
					return count
				}
				time.Sleep(runTime - time.Second)
				assert.Equal(t, recordCount(), 1, "want one record while the request runs")
				time.Sleep(DefaultResendWindow)
				assert.Equal(t, recordCount(), 1, "want one record within the resend window")
				time.Sleep(2 * expiryInterval)
				assert.Equal(t, recordCount(), 0)
			})
		})
	}
}

func TestRecordsAgeAndAreBounded(t *testing.T) {
	runCluster(t, 2, func(t *testing.T, cluster *testCluster) {
		r := newKeyedRequest(t, cluster, 1)
		r.advance(t, progressEnded)
		r.forwarder.forwards.Done(r.key, ForwardEnded)
		time.Sleep(DefaultResendWindow + 2*expiryInterval)
		assert.Equal(t, r.keyOwner.ledger.Count(), 0)
		assert.Equal(t, r.forwarder.forwards.Count(), 0)
		forwards := r.forwarder.forwards
		for i := range maxForwards {
			assert.NilError(t, forwards.Track(Key{Key: strconv.Itoa(i)}, testHash, r.keyOwner.member, time.Now()))
		}
		assertRefusal(t, forwards.Track(Key{Key: "one too many"}, testHash, r.keyOwner.member, time.Now()), fault.NotRun)
	})
}
