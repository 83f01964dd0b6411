package load

import (
	"strings"
	"time"
)

// Verdict is what a caller saw of one attempt.
type Verdict string

// The values of Verdict.
const (
	// VerdictComplete is the complete answer to the very request.
	VerdictComplete Verdict = "whole"
	// VerdictRefused is an explicit refusal or error.
	VerdictRefused Verdict = "refused"
	// VerdictWrong is an answer that claims to be complete and is not the expected
	// one, or the start of a stream that is not the start of the expected one.
	VerdictWrong Verdict = "wrong"
	// VerdictTruncated is a stream that ended in good order without its explicit end.
	VerdictTruncated Verdict = "partial"
	// VerdictConnectionLost is a connection that failed; the caller knows nothing.
	VerdictConnectionLost Verdict = "broken"
)

// Attempt is one request on the wire and what became of it.
type Attempt struct {
	// URL is the instance that was called.
	URL string
	// SentAt, FirstTokenAt and EndedAt are by the caller's clock; FirstTokenAt is zero
	// when there was none.
	SentAt, FirstTokenAt, EndedAt time.Time
	// Verdict is what the caller saw.
	Verdict Verdict
	// Status is the HTTP status; 0 when there was no answer.
	Status int
	// RunStatus is the statement of a refusal: "not_run", "ran_in_part", "unknown".
	RunStatus string
	// Detail is a short text for people on what was not as expected.
	Detail string
	// Handle names the request for a resumption; empty when none came.
	Handle string
	// IsResumption is set for an attempt that resumes an earlier one's stream.
	IsResumption bool

	// receivedText is what the stream gave so far, with the attempts that it resumes,
	// and lastID the number of its last event.
	receivedText string
	lastEventID  string
}

// Outcome is a call with all its attempts.
type Outcome struct {
	Request  *Request
	Attempts []Attempt
}

// Final is the attempt that decides: the first whole one, else the last.
func (o *Outcome) Final() Attempt {
	for _, attempt := range o.Attempts {
		if attempt.Verdict == VerdictComplete {
			return attempt
		}
	}
	if len(o.Attempts) == 0 {
		return Attempt{}
	}
	return o.Attempts[len(o.Attempts)-1]
}

// SendCount counts the attempts that sent the request itself; resumptions do not.
func (o *Outcome) SendCount() int {
	count := 0
	for _, attempt := range o.Attempts {
		if !attempt.IsResumption {
			count++
		}
	}
	return count
}

// CompletedWithin reports whether the whole answer came within the deadline, counted
// from the first attempt.
func (o *Outcome) CompletedWithin(deadline time.Duration) bool {
	final := o.Final()
	return final.Verdict == VerdictComplete && final.EndedAt.Sub(o.Attempts[0].SentAt) <= deadline
}

// cutRequestID splits a service path at the query that names its call.
func cutRequestID(path string) (plain, id string, found bool) {
	return strings.Cut(path, "?call=")
}
