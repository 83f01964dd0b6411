package rollout

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

// An order with a duration of a few nanoseconds ended each instance that read it, and one of a
// few microseconds occupied a processor.
func TestOrderOfNanosecondsDoesNotEndInstances(t *testing.T) {
	const waitTimeout = 20 * time.Second
	for _, duration := range []time.Duration{1, 9, 10, time.Microsecond} {
		clock := clockwork.NewFakeClock()
		c := New(clock)
		c.AddOrder(Order{Service: "engines", To: "v2", Duration: duration})
		c.Start("engines", "v2", "read", 0)
		done := make(chan struct{})
		go func() {
			defer close(done)
			clock.Advance(10 * time.Minute)
			c.Decide(true)
		}()
		select {
		case <-done:
		case <-time.After(waitTimeout):
			t.Fatalf("an order of %v is still being evaluated", duration)
		}
	}
}
