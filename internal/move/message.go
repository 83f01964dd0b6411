package move

import (
	"github.com/vmihailenco/msgpack/v5"

	"github.com/hibiscuspost/hibiscuspost/internal/evidence"
)

// The first byte of a datagram of peer.KindCounter is the type of the message.
const (
	tagReportPart     = 'r'
	tagReportResponse = 's'
)

// reportResponse is the analyzer's response to a report: the newest row that it
// knows and a summary of its evidence.
type reportResponse struct {
	Stored  storedRow       `msgpack:"k"`
	Summary EvidenceSummary `msgpack:"s"`
}

// EvidenceSummary is the evidence of a move in numbers.
type EvidenceSummary struct {
	evidence.Totals `msgpack:"t"`
	// LogEvidence is the natural logarithm of the evidence against the new
	// version; RollbackThreshold is the value from which the version is rolled
	// back.
	LogEvidence       float64 `json:"log_evidence" msgpack:"l"`
	RollbackThreshold float64 `json:"take_back_at" msgpack:"a"`
	// ExcludedTargets are the targets that alone showed a regression; the tests
	// leave them out.
	ExcludedTargets []string `json:"excluded_targets,omitempty" msgpack:"x,omitempty"`
	// OldDegraded is set while the old version does worse than in its own past.
	OldDegraded bool `json:"old_degraded,omitempty" msgpack:"d,omitempty"`
	// HoldReason is the reason why the share is held, empty when it is not.
	HoldReason string `json:"hold,omitempty" msgpack:"h,omitempty"`
}

func withTag(tag byte, body []byte) []byte { return append([]byte{tag}, body...) }

func encodeReportResponse(response *reportResponse) ([]byte, error) {
	body, err := msgpack.Marshal(response)
	if err != nil {
		return nil, err
	}
	return withTag(tagReportResponse, body), nil
}

// rollbackRumorBody is the body of a rumor of kind membership.RumorRollback.
type rollbackRumorBody struct {
	DeadlineMillis int64  `msgpack:"d"`
	Reason         string `msgpack:"r"`
}

// maxReasonBytes limits the length of a rollback's reason.
const maxReasonBytes = 200
