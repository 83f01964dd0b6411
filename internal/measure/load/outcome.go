package load

import (
	"strings"
	"time"
)

// Verdict is the result of one attempt as the client saw it.
type Verdict string

// The values of Verdict.
const (
	// VerdictComplete is a complete response with the expected content.
	VerdictComplete Verdict = "whole"
	// VerdictRefused is an error status or an error event.
	VerdictRefused Verdict = "refused"
	// VerdictWrong is a response that ended as complete without the expected
	// content, a stream whose text differs from the expected one, or a malformed
	// event.
	VerdictWrong Verdict = "wrong"
	// VerdictTruncated is a stream whose connection was closed normally before the
	// [DONE] event.
	VerdictTruncated Verdict = "partial"
	// VerdictConnectionLost is a failed connection or a timeout; the client cannot
	// know whether the request ran.
	VerdictConnectionLost Verdict = "broken"
)

// Attempt is one HTTP exchange of a request and its result.
type Attempt struct {
	// URL is the base URL that the request was sent to.
	URL string
	// SentAt, FirstTokenAt and EndedAt are by the client's clock; FirstTokenAt is
	// zero when no text was received. A resumption has the FirstTokenAt of the
	// attempt that it resumes.
	SentAt, FirstTokenAt, EndedAt time.Time
	// Verdict is set when the attempt has ended.
	Verdict Verdict
	// Status is the HTTP status; 0 without a response.
	Status int
	// RunStatus is the field "run" of a refusal: "not_run", "ran_in_part" or
	// "unknown", which says whether the request ran.
	RunStatus string
	// Detail describes the error or the unexpected content.
	Detail string
	// Handle identifies the request for a resumption; empty when the response had
	// none.
	Handle string
	// IsResumption is set when the attempt resumes the stream of an earlier one.
	IsResumption bool

	// receivedText is the text of the stream so far, with that of the attempts that
	// it resumes, and lastEventID the ID of its last event.
	receivedText string
	lastEventID  string
}

// Outcome is a request with all its attempts.
type Outcome struct {
	Request  *Request
	Attempts []Attempt
}

// Final returns the first complete attempt, or the last one when none is complete.
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

// SendCount returns the number of attempts that sent the request, which excludes
// resumptions.
func (o *Outcome) SendCount() int {
	count := 0
	for _, attempt := range o.Attempts {
		if !attempt.IsResumption {
			count++
		}
	}
	return count
}

// CompletedWithin reports whether the complete response was received within the
// deadline, counted from the first attempt.
func (o *Outcome) CompletedWithin(deadline time.Duration) bool {
	final := o.Final()
	return final.Verdict == VerdictComplete && final.EndedAt.Sub(o.Attempts[0].SentAt) <= deadline
}

// cutRequestID splits the URI of a service request into its path and request ID.
func cutRequestID(path string) (plain, id string, found bool) {
	return strings.Cut(path, "?call=")
}
