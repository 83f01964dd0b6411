package placement

import (
	"bytes"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/hibiscuspost/hibiscuspost/internal/schedule"
)

// messageKind is the first byte of a message.
type messageKind byte

const (
	kindSlotRequest messageKind = iota + 1
	kindSlotResponse
	kindProgress
	kindRenewal
	kindCapacity
	kindTakeover
	kindProbe
	kindProbeResponse
)

// slotRequest asks a coordinator for a place. Times are in milliseconds.
type slotRequest struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	// ID names the request at the instance that asks.
	ID      uint32
	Service string
	Group   int
	// Epoch is that of the asker's roster.
	Epoch uint64
	// Cancelled ends the wait; all else is empty then.
	Cancelled bool
	// Redirected questions come from another group and are at first not answered
	// with a further one; Bound ones never are.
	Redirected         bool
	VersionConstrained bool
	Priority           int
	PromptTokens       int
	OutputTokens       int
	TokensPerEvent     int
	// AgeMs is the time since the request arrived, RetryAgeMs since a target failed
	// it; 0 if none has.
	AgeMs, RetryAgeMs                   int64
	ObjectiveMs, EventGapMs, TimeLeftMs int64
	FailureDomain                       string
	Version, ExcludedVersion            string
	ExcludedTargets                     []targetID
}

// decision is how a question is answered.
type decision byte

const (
	decisionGranted decision = iota + 1
	// decisionQueued means that the request waits; the question is to be repeated.
	decisionQueued
	decisionRefused
	// decisionRedirected names a group with room.
	decisionRedirected
	// decisionMoved names the instance that has taken the group over.
	decisionMoved
	// decisionNotCoordinator means that the instance does not coordinate now.
	decisionNotCoordinator
	// decisionUnknownService means that the instance does not know the service.
	decisionUnknownService
)

// slotResponse is what a coordinator says to a question. Times are in milliseconds.
type slotResponse struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	ID       uint32
	Decision decision
	// Target, Running, Ahead and Expected belong to a place.
	Target        targetID
	RunningBefore int
	Ahead         int
	ExpectedMs    int64
	// Reason, ReturnAfter, Ahead, Places and Expected belong to a refusal.
	Reason       string
	RetryAfterMs int64
	Slots        int
	// Group is where there is room, Coordinator who has taken the group over.
	Group       int
	Coordinator string
	// FreeSlots is the number of places that are free in the group that was asked
	// for.
	FreeSlots int
}

// progressReport tells how a request fares at its target.
type progressReport struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	ID uint32
	// TimeToFirstMicros is the time to the first part of the answer; 0 when it has not
	// come.
	TimeToFirstMicros int64
	// Tokens have come in PaceMicros.
	Tokens          int
	TokenSpanMicros int64
	// Done tells that the request has ended, with Result after WholeMicros.
	Done        bool
	Result      schedule.Result
	TotalMicros int64
}

// leaseRenewal tells all that an instance runs on the targets of a coordinator's
// groups.
type leaseRenewal struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	// Partial renewals are followed by more.
	Partial bool
	Running []runningRequest
}

// runningRequest is one request that runs.
type runningRequest struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	ID     uint32
	Target targetID
	// PrefillTokens is the number of prompt tokens without a first event yet.
	PrefillTokens int
}

// takeoverNotice tells all instances that the sender coordinates a group from now on,
// and asks them what they run there.
type takeoverNotice struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	// Epoch is that of the sender's roster.
	Epoch   uint64
	Service string
	Group   int
}

// groupProbe asks the coordinator of a group whether it answers, and says that it
// does.
type groupProbe struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	Service string
	Group   int
}

// capacityReport tells other coordinators which places are free.
type capacityReport struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	// IntervalMs is the time to the next message.
	IntervalMs int64
	Groups     []groupCapacity
}

type groupCapacity struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	// Position is the group's place in the division.
	Position  int
	FreeSlots int
}

// encode writes a message with each number as short as it is.
func encode(k messageKind, message any) ([]byte, error) {
	var body bytes.Buffer
	body.WriteByte(byte(k))
	encoder := msgpack.NewEncoder(&body)
	encoder.UseCompactInts(true)
	if err := encoder.Encode(message); err != nil {
		return nil, errors.Wrap(err, "encode a message about places")
	}
	return body.Bytes(), nil
}

// decode reads what encode has written.
func decode(body []byte, message any) error {
	return errors.Wrap(msgpack.Unmarshal(body, message), "decode a message about places")
}

func toMillis(d time.Duration) int64 { return max(0, d.Milliseconds()) }

func fromMillis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
