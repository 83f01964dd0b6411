package reporter

import (
	"strconv"

	"github.com/hibiscuspost/hibiscuspost/internal/routing"
)

const (
	// opStored and opEvicted are the operations of cache events.
	opStored  = "stored"
	opEvicted = "evicted"
	// maxLostEvents bounds the count in a gap.
	maxLostEvents = 1 << 30
)

// cacheEventsResponse is the answer to GET /cache/events.
type cacheEventsResponse struct {
	Next   uint64           `json:"next"`
	Events []cacheEventJSON `json:"events"`
}

// cacheEventJSON is one cache event as the target gives it.
type cacheEventJSON struct {
	Seq uint64 `json:"seq"`
	Op  string `json:"op"`
	// Block is a hash in 16 hexadecimal digits.
	Block string `json:"block"`
}

// eventCursor follows a target's cache events.
type eventCursor struct {
	// since is the number to since from next.
	since uint64
	// lastSeq is the number of the last event; valid when begun is set. What came
	// before the first event was never believed, so it is no gap.
	lastSeq    uint64
	hasLastSeq bool
	// cacheMayBeLost is set when the target may have lost its cache.
	cacheMayBeLost bool
}

// recordFailure notes that a visit ended with err; nil has no effect.
func (c *eventCursor) recordFailure(err error) {
	if isConnectionRefused(err) {
		c.cacheMayBeLost = true
	}
}

// advance moves the cursor over an answer and returns its events, with gaps.
// Events that were seen before are left out; events that cannot be understood
// count as lost.
func (c *eventCursor) advance(response *cacheEventsResponse) []routing.CacheEvent {
	events := make([]routing.CacheEvent, 0, len(response.Events)+1)
	if response.Next < c.since {
		*c = eventCursor{cacheMayBeLost: true}
		response = &cacheEventsResponse{}
	}
	if c.cacheMayBeLost {
		events = append(events, routing.CacheEvent{Op: routing.CacheGap})
		c.cacheMayBeLost = false
	}
	for i := range response.Events {
		events = c.appendEvent(events, &response.Events[i])
	}
	c.since = max(response.Next, c.lastSeq)
	return events
}

// appendEvent appends one event, after a gap when numbers are missing before it.
func (c *eventCursor) appendEvent(events []routing.CacheEvent, event *cacheEventJSON) []routing.CacheEvent {
	if c.hasLastSeq && event.Seq <= c.lastSeq {
		return events
	}
	lost := uint64(0)
	if c.hasLastSeq {
		lost = event.Seq - c.lastSeq - 1
	}
	parsed, ok := parseCacheEvent(event)
	if !ok {
		lost++
	}
	c.lastSeq, c.hasLastSeq = event.Seq, true
	if lost > 0 {
		gap := routing.CacheEvent{Op: routing.CacheGap, Lost: int(min(lost, maxLostEvents))}
		events = append(events, gap)
	}
	if ok {
		events = append(events, parsed)
	}
	return events
}

func parseCacheEvent(event *cacheEventJSON) (routing.CacheEvent, bool) {
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
