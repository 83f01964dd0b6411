package reporter

import (
	"strconv"

	"github.com/hibiscuspost/hibiscuspost/internal/routing"
)

const (
	// opStored and opEvicted are the operations of cache events.
	opStored  = "stored"
	opEvicted = "evicted"
	// mostLost bounds the count in a gap.
	mostLost = 1 << 30
)

// eventsBody is the answer to GET /cache/events.
type eventsBody struct {
	Next   uint64      `json:"next"`
	Events []eventBody `json:"events"`
}

// eventBody is one cache event as the target gives it.
type eventBody struct {
	Seq uint64 `json:"seq"`
	Op  string `json:"op"`
	// Block is a hash in 16 hexadecimal digits.
	Block string `json:"block"`
}

// cursor follows a target's cache events.
type cursor struct {
	// ask is the number to ask from next.
	ask uint64
	// seen is the number of the last event; valid when begun is set. What came
	// before the first event was never believed, so it is no gap.
	seen  uint64
	begun bool
	// doubt is set when the target may have lost its cache.
	doubt bool
}

// lostContact notes that a visit ended with err; nil has no effect.
func (c *cursor) lostContact(err error) {
	if refused(err) {
		c.doubt = true
	}
}

// take moves the cursor over an answer and returns its events, with gaps.
// Events that were seen before are left out; events that cannot be understood
// count as lost.
func (c *cursor) take(body *eventsBody) []routing.CacheEvent {
	events := make([]routing.CacheEvent, 0, len(body.Events)+1)
	if body.Next < c.ask {
		*c = cursor{doubt: true}
		body = &eventsBody{}
	}
	if c.doubt {
		events = append(events, routing.CacheEvent{Op: routing.CacheGap})
		c.doubt = false
	}
	for i := range body.Events {
		events = c.add(events, &body.Events[i])
	}
	c.ask = max(body.Next, c.seen)
	return events
}

// add appends one event, after a gap when numbers are missing before it.
func (c *cursor) add(events []routing.CacheEvent, event *eventBody) []routing.CacheEvent {
	if c.begun && event.Seq <= c.seen {
		return events
	}
	lost := uint64(0)
	if c.begun {
		lost = event.Seq - c.seen - 1
	}
	parsed, ok := parse(event)
	if !ok {
		lost++
	}
	c.seen, c.begun = event.Seq, true
	if lost > 0 {
		gap := routing.CacheEvent{Op: routing.CacheGap, Lost: int(min(lost, mostLost))}
		events = append(events, gap)
	}
	if ok {
		events = append(events, parsed)
	}
	return events
}

func parse(event *eventBody) (routing.CacheEvent, bool) {
	block, err := strconv.ParseUint(event.Block, 16, 64)
	if err != nil {
		return routing.CacheEvent{}, false
	}
	switch event.Op {
	case opStored:
		return routing.CacheEvent{Op: routing.CacheStored, Block: block}, true
	case opEvicted:
		return routing.CacheEvent{Op: routing.CacheEvicted, Block: block}, true
	}
	return routing.CacheEvent{}, false
}
