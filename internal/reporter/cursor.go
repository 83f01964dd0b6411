package reporter

import (
	"strconv"

	"github.com/hibiscuspost/hibiscuspost/internal/routing"
)

const (
	// opStored and opEvicted are the operations in cache events.
	opStored  = "stored"
	opEvicted = "evicted"
	// maxLostEvents limits the number of lost events in a gap.
	maxLostEvents = 1 << 30
)

// cacheEventsResponse is the response to GET /cache/events.
type cacheEventsResponse struct {
	Next   uint64           `json:"next"`
	Events []cacheEventJSON `json:"events"`
}

// cacheEventJSON is one event in a cacheEventsResponse.
type cacheEventJSON struct {
	Seq uint64 `json:"seq"`
	Op  string `json:"op"`
	// Block is the hash of the block, in 16 hexadecimal digits.
	Block string `json:"block"`
}

// eventCursor is the position in the sequence of a target's cache events.
type eventCursor struct {
	// since is the sequence number for the next request.
	since uint64
	// lastSeq is the sequence number of the last event; valid when hasLastSeq
	// is set. Events before the first one received are not reported as a gap,
	// since the index holds nothing of them.
	lastSeq    uint64
	hasLastSeq bool
	// cacheMayBeLost is set when the target may have lost its cache.
	cacheMayBeLost bool
}

// recordFailure records the error of a poll: a refused connection means that
// the target may have restarted without its cache. A nil error has no effect.
func (c *eventCursor) recordFailure(err error) {
	if isConnectionRefused(err) {
		c.cacheMayBeLost = true
	}
}

// advance moves the cursor past a response and returns its events, with gaps
// where sequence numbers are missing. Events received before are left out;
// malformed events count as lost. A response whose next number is below the
// cursor means that the target has restarted its numbering: the response is
// dropped, and the next request asks from the start.
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

// appendEvent appends one event, after a gap if sequence numbers before it
// are missing.
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

// parseCacheEvent reports false for an unknown operation or a malformed hash.
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
