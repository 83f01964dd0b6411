package node

import "time"

const (
	// minTransitTime is the least time that a message is taken to have been held up.
	// Below it, an instance that waits for a processor cannot be told from a queue.
	minTransitTime = 150 * time.Millisecond
	// clockDrift is by how much the clocks of two instances may drift apart, as a share.
	clockDrift = 0.001
)

// transit tells how long messages of an instance were held up on the way, as on a link
// whose queue is full: by how much later they arrive than the fastest one did. Ages in a
// message are of the time at which it was sent.
type transit struct {
	// startedAt is the latest time at which the sender can have started, by the fastest
	// message until receivedAt.
	startedAt, receivedAt time.Time
	// time is that of the last message.
	time time.Duration
}

// record records a message that was sent some time after the sender's start; 0 if it does
// not state that.
func (t *transit) record(sentAfter time.Duration, now time.Time) {
	t.time = 0
	if sentAfter <= 0 {
		return
	}
	startedAt := now.Add(-sentAfter)
	if !t.startedAt.IsZero() {
		t.startedAt = t.startedAt.Add(time.Duration(clockDrift * float64(now.Sub(t.receivedAt))))
	}
	if t.startedAt.IsZero() || startedAt.Before(t.startedAt) {
		t.startedAt = startedAt
	}
	t.receivedAt = now
	if late := startedAt.Sub(t.startedAt); late >= minTransitTime {
		t.time = late
	}
}
