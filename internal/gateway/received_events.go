package gateway

import (
	"io"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuspost/hibiscuspost/internal/catalog"
)

var (
	// errOutOfOrder is returned when the event IDs of a stream are not consecutive.
	errOutOfOrder = errors.New("stream events out of order")
	// errNoEvent is returned for text in a stream that is no event, and for an event without
	// an ID among those with IDs.
	errNoEvent = errors.New("text in the stream is no event of it")
	// errNoEvents is returned for a stream that ends with its connection before its
	// first event.
	errNoEvents = errors.New("event stream without a framing ended before its first event")
)

// receivedEvents are the events of a stream that one target has sent.
type receivedEvents struct {
	reader *eventReader
	// lastID is the ID of the last event read, initially the one after which the
	// target was to begin.
	lastID string
	// unread holds the events that were read and not passed on yet.
	unread []byte
	count  int
	// identified is the number of events with an ID, of this target and of those
	// before it, unidentifiedBytes the size of the events without one since the last
	// of them.
	identified, unidentifiedBytes int

	// fault is the error of an event behind those that were read with it; it ends the
	// stream once these have been passed on.
	fault error

	firstAt, lastAt time.Time
	// maxGap is the longest gap between events.
	maxGap time.Duration
}

// readEvents reads the next event and those buffered behind it. It returns io.EOF
// at the regular end of the stream.
func (x *exchange) readEvents() error {
	events := x.events
	if events.reader == nil {
		events.reader = newEventReader(x.response, x.response.Reserve)
	}
	if events.fault != nil {
		return events.fault
	}
	for read := 0; ; read++ {
		e, err := events.reader.next()
		if err == io.EOF && events.count == 0 && !x.response.IsFramed() {
			return errNoEvents
		}
		if err != nil {
			return err
		}
		if err := events.check(e, x.inflight.request.MaxOutputTokens); err != nil {
			if read == 0 {
				return err
			}
			events.fault = err
			return nil
		}
		x.tracked.Heard(x.response.ConnOpenedAt())
		now := x.inflight.Clock.Now()
		if events.count == 0 {
			x.grant.ResponseStarted(x.inflight.unlessPaused(now.Sub(x.startedAt), x.startedAt))
		}
		events.add(e, now)
		if events.count == tokenReportEvents {
			x.grant.TokensReceived(x.progress())
		}
		if !events.reader.hasBufferedEvent() {
			return nil
		}
	}
}

// check verifies that events are consecutive, also across targets, that none lacks an ID
// among those with IDs, and that there are no more than the caller's limit on output tokens
// allows; 0 means no limit.
func (e *receivedEvents) check(next event, maxTokens int) error {
	if next.id == "" {
		if next.hasFields && (!next.hasKnownFields || e.lastID != "") {
			const shownBytes = 40
			return errors.Wrapf(errNoEvent, "%q after %q", next.raw[:min(len(next.raw), shownBytes)], e.lastID)
		}
		if e.unidentifiedBytes += len(next.raw); e.unidentifiedBytes > maxEventBytes {
			return errors.Wrap(errEndless, "events without IDs")
		}
		return nil
	}
	if !catalog.IsHeaderValue(next.id) {
		// It is sent in a header when the stream is resumed.
		return errors.Wrapf(errNoEvent, "ID %.40q", next.id)
	}
	e.unidentifiedBytes = 0
	e.identified++
	if maxTokens > 0 && e.identified > maxTokens+maxUncountedEvents {
		return errors.Wrapf(errTooManyEvents, "more events than %d output tokens", maxTokens)
	}
	if e.lastID != "" && !follows(e.lastID, next.id) {
		return errors.Wrapf(errOutOfOrder, "%s after %s", next.id, e.lastID)
	}
	e.lastID = next.id
	return nil
}

// add adds an event that was read at the given time.
func (e *receivedEvents) add(next event, now time.Time) {
	if e.count == 0 {
		e.firstAt = now
	} else {
		e.maxGap = max(e.maxGap, now.Sub(e.lastAt))
	}
	e.count++
	e.lastAt = now
	e.unread = append(e.unread, next.raw...)
}

// follows reports whether next is the successor of last; IDs that are not
// numbers are not compared.
func follows(last, next string) bool {
	a, errA := strconv.ParseUint(last, 10, 64)
	b, errB := strconv.ParseUint(next, 10, 64)
	return errA != nil || errB != nil || b == a+1
}

// tokenReportEvents is the number of events after which a stream reports the
// tokens received so far, before it ends.
const tokenReportEvents = 8

// progress returns the number of tokens since the first event and the time they
// took.
func (e *receivedEvents) progress(service *catalog.Service) (tokens int, span time.Duration) {
	return max(0, e.count-1) * service.TokensPerEvent, e.lastAt.Sub(e.firstAt)
}
