package schedule

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/catalog"
)

func brittleTerms(rejections int) Terms { return Terms{IsBrittle: true, RejectionLimit: rejections} }

// The slots counted here may be taken at the target: all that start before the first
// rejection is known may be rejected.
func TestRejectionsOfABrittleTargetStayWithinItsLimit(t *testing.T) {
	const limit, perSecond, seconds = 3, 200, 10
	clock := clockwork.NewFakeClock()
	s := newScheduler(clock, newEngine("brittle", 50))
	stateTerms(s, "brittle", brittleTerms(limit))
	var rejections []time.Time
	for range seconds * perSecond {
		if g, entry, _ := s.submit(newRequest(clock, 0, 0)); g != nil {
			rejections = append(rejections, clock.Now())
			clock.AfterFunc(10*time.Millisecond, func() { g.Done(Outcome{Result: Full}) })
		} else if entry != nil {
			s.cancel(entry)
		}
		clock.Advance(time.Second / perSecond)
		time.Sleep(100 * time.Microsecond)
	}
	for i := limit; i < len(rejections); i++ {
		assert.Assert(t, rejections[i].Sub(rejections[i-limit]) > time.Second, "more than %d in a second", limit)
	}
	assert.Assert(t, len(rejections) > seconds/2, "it has to be tried again: %d", len(rejections))
}

func TestSlotOfAnAbandonedRequestStaysTakenAtABrittleTarget(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := newScheduler(clock, newEngine("one", 1))
	acquire(t, s, newRequest(clock, 0, 100)).Done(Outcome{Result: Cancelled})
	g := acquire(t, s, newRequest(clock, 0, 100))
	stateTerms(s, "one", brittleTerms(3))
	g.Done(Outcome{Result: Cancelled})
	clock.Advance(confirmationTime + time.Millisecond)
	entry := enqueue(t, s, newRequest(clock, 0, 100))
	clock.Advance(abandonedSlotTime)
	select {
	case g = <-entry.granted:
	case <-time.After(20 * time.Second):
		t.Fatal("not started")
	}
	g.Done(Outcome{Result: Complete})
	clock.Advance(confirmationTime + time.Millisecond)
	acquire(t, s, newRequest(clock, 0, 100))
	assert.Equal(t, len(s.targets), 1)
	s.SetTargets([]*catalog.Target{})
}

// Without a coordinator, each instance counts only its own requests.
func TestSlotsOfABrittleTargetAreDividedAmongInstances(t *testing.T) {
	const slots = 13
	for _, instances := range []int{2, 5, 7, 40} {
		total := 0
		for index := range instances {
			clock := clockwork.NewFakeClock()
			s := newScheduler(clock, newEngine("brittle", slots))
			s.SetShare(index, instances)
			stateTerms(s, "brittle", brittleTerms(100))
			for range slots {
				if g, _, _ := s.submit(newRequest(clock, 0, 0)); g != nil {
					total++
				}
			}
		}
		assert.Equal(t, total, slots/2, "%d instances", instances)
	}
}
