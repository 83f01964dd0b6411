package placement

import (
	"bytes"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/hibiscuspost/hibiscuspost/internal/catalog"
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
	kindTerms
)

// slotRequest requests a slot from a coordinator.
type slotRequest struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	// ID identifies the request at the sender.
	ID      uint32
	Service string
	Group   int
	// Epoch is that of the sender's roster.
	Epoch uint64
	// Cancel ends the request; only ID is set then.
	Cancel bool
	// Redirected requests come from another group and are redirected again only
	// after a while in the queue; VersionConstrained ones are never redirected.
	Redirected         bool
	VersionConstrained bool
	Priority           int
	PromptTokens       int
	OutputTokens       int
	TokensPerEvent     int
	// AgeMs is the time since the request arrived, RetryAgeMs the time since it
	// was retried after a target had failed it; 0 if none has.
	AgeMs, RetryAgeMs                   int64
	ObjectiveMs, EventGapMs, TimeLeftMs int64
	FailureDomain                       string
	Version, ExcludedVersion            string
	ExcludedTargets                     []targetID

	// addition is nil if the sender is of an earlier build.
	addition *slotAddition
}

// slotAddition are the parts of a slotRequest that earlier builds do not have. It is
// encoded by the names of its fields: others may be added.
type slotAddition struct {
	Account     string       `msgpack:"a,omitempty"`
	Weight      float64      `msgpack:"w,omitempty"`
	Fingerprint uint64       `msgpack:"f,omitempty"`
	Prefix      []prefixPart `msgpack:"p,omitempty"`
	// MaxOutputTokens is the limit on the output; 0 if there is none.
	MaxOutputTokens int `msgpack:"m,omitempty"`
}

// prefixPart is one of the leading parts of a prompt.
type prefixPart struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	Hash   uint64
	Tokens int
}

func newSlotAddition(r *schedule.Request) *slotAddition {
	addition := &slotAddition{Account: r.Account, Weight: r.Weight, Fingerprint: r.Fingerprint, MaxOutputTokens: r.MaxOutputTokens}
	for _, part := range r.Prefix {
		addition.Prefix = append(addition.Prefix, prefixPart{Hash: part.Hash, Tokens: part.Tokens})
	}
	return addition
}

// setOn sets what the addition states on a request.
func (a *slotAddition) setOn(r *schedule.Request) {
	if a == nil {
		return
	}
	r.Account, r.Weight, r.Fingerprint = a.Account, a.Weight, a.Fingerprint
	r.MaxOutputTokens = a.MaxOutputTokens
	for _, part := range a.Prefix {
		r.Prefix = append(r.Prefix, schedule.PrefixPart{Hash: part.Hash, Tokens: part.Tokens})
	}
}

// encodeSlotRequest encodes a request with its addition.
func encodeSlotRequest(r *slotRequest) ([]byte, error) {
	body, err := encode(kindSlotRequest, r)
	if err != nil || r.addition == nil {
		return body, err
	}
	return appendAddition(body, r.addition)
}

// decodeSlotRequest decodes a request with its addition, if there is one.
func decodeSlotRequest(body []byte) (*slotRequest, error) {
	var r slotRequest
	if err := decodeWithAddition(body, &r, &r.addition); err != nil {
		return nil, err
	}
	return &r, nil
}

// appendAddition appends a value that instances of earlier builds do not read.
func appendAddition(body []byte, addition any) ([]byte, error) {
	var encoded bytes.Buffer
	encoder := msgpack.NewEncoder(&encoded)
	encoder.UseCompactInts(true)
	err := encoder.Encode(addition)
	return append(body, encoded.Bytes()...), errors.Wrap(err, "encode placement message")
}

// decodeWithAddition decodes a message and the value appended to it, if there is one.
func decodeWithAddition(body []byte, message, addition any) error {
	reader := bytes.NewReader(body)
	decoder := msgpack.NewDecoder(reader)
	if err := decoder.Decode(message); err != nil {
		return errors.Wrap(err, "decode placement message")
	}
	if reader.Len() == 0 {
		return nil
	}
	return errors.Wrap(decoder.Decode(addition), "decode placement message")
}

// decision is how a coordinator decides on a slot request.
type decision byte

const (
	decisionGranted decision = iota + 1
	// decisionQueued means that the request is queued and has to be sent again.
	decisionQueued
	decisionRefused
	// decisionRedirected names a group with free slots.
	decisionRedirected
	// decisionMoved names the instance that coordinates the group instead.
	decisionMoved
	// decisionNotCoordinator means that the instance does not coordinate now.
	decisionNotCoordinator
	// decisionUnknownService means that the instance knows no targets of the
	// service.
	decisionUnknownService
)

// slotResponse is a coordinator's response to a slotRequest.
type slotResponse struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	ID       uint32
	Decision decision
	// Target, RunningBefore, Ahead (prompt tokens in prefill) and ExpectedMs
	// (time to the first part of the response) belong to a grant.
	Target        targetID
	RunningBefore int
	Ahead         int
	ExpectedMs    int64
	// Reason, RetryAfterMs, Ahead (requests in the queue), Slots and ExpectedMs
	// (wait) belong to a refusal.
	Reason       string
	RetryAfterMs int64
	Slots        int
	// Group is the group with free slots, Coordinator the instance that
	// coordinates the group instead.
	Group       int
	Coordinator string
	// FreeSlots is the number of free slots in the group of the request.
	FreeSlots int

	// addition is nil if there is nothing to add or the sender is of an earlier build.
	addition *responseAddition
}

// termsReport tells another instance what targets state about the requests that they
// take. It is followed by a termsAddition for each of the terms, which instances of
// earlier builds do not read.
type termsReport struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	// ID is the request whose response states the terms; 0 if they are repeated.
	ID    uint32
	Terms []targetTerms
}

// targetTerms are what a target states about the requests that it takes.
type targetTerms struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	Target targetID
	// AgeMs is the time since the response arrived that stated the terms.
	AgeMs          int64
	HasRateLimit   bool
	RateLimit      float64
	IsBrittle      bool
	RejectionLimit int

	// addition is nil if the sender is of an earlier build.
	addition *termsAddition
}

// termsAddition are the parts of targetTerms that earlier builds do not have. It is
// encoded by the names of its fields: others may be added.
type termsAddition struct {
	IsLeaving bool `msgpack:"l,omitempty"`
	// RestLeftMs is the time for which the target wants no requests from the sender of
	// the report.
	RestLeftMs int64 `msgpack:"r,omitempty"`
}

func newTargetTerms(key catalog.TargetKey, heard schedule.HeardTerms, now time.Time) targetTerms {
	return targetTerms{
		Target: idOf(key), AgeMs: toMillis(now.Sub(heard.At)), HasRateLimit: heard.HasRateLimit, RateLimit: heard.RateLimit,
		IsBrittle: heard.IsBrittle, RejectionLimit: heard.RejectionLimit,
		addition: &termsAddition{IsLeaving: heard.IsLeaving, RestLeftMs: toMillis(heard.At.Add(heard.Rest).Sub(now))},
	}
}

// later returns the terms as they are told some time later.
func (t targetTerms) later(by time.Duration) targetTerms {
	addition := *t.addition
	addition.RestLeftMs = max(0, addition.RestLeftMs-by.Milliseconds())
	t.AgeMs, t.addition = t.AgeMs+by.Milliseconds(), &addition
	return t
}

// encodeTerms encodes a report with its additions.
func encodeTerms(r *termsReport) ([]byte, error) {
	body, err := encode(kindTerms, r)
	if err != nil {
		return nil, err
	}
	additions := make([]*termsAddition, len(r.Terms))
	for i := range r.Terms {
		additions[i] = r.Terms[i].addition
	}
	return appendAddition(body, additions)
}

// decodeTerms decodes a report with its additions, if there are any.
func decodeTerms(body []byte) (*termsReport, error) {
	var r termsReport
	var additions []*termsAddition
	if err := decodeWithAddition(body, &r, &additions); err != nil {
		return nil, err
	}
	for i := range min(len(additions), len(r.Terms)) {
		r.Terms[i].addition = additions[i]
	}
	return &r, nil
}

// heard returns the terms as received from another instance.
func (t *targetTerms) heard(from string, now time.Time) schedule.HeardTerms {
	heard := schedule.HeardTerms{
		Terms: schedule.Terms{
			HasRateLimit: t.HasRateLimit, RateLimit: t.RateLimit, IsBrittle: t.IsBrittle, RejectionLimit: t.RejectionLimit,
		},
		At: now.Add(-fromMillis(t.AgeMs)), By: from, OmitsLeaving: t.addition == nil,
	}
	if t.addition != nil {
		heard.IsLeaving = t.addition.IsLeaving
		if t.addition.RestLeftMs > 0 {
			heard.Rest = fromMillis(t.AgeMs + t.addition.RestLeftMs)
		}
	}
	return heard
}

// progressReport reports the progress of a request at its target to the
// coordinator.
type progressReport struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	ID uint32
	// TimeToFirstMicros is the time to the first part of the response; 0 in all
	// other reports.
	TimeToFirstMicros int64
	// Tokens is the number of output tokens received in TokenSpanMicros.
	Tokens          int
	TokenSpanMicros int64
	// Done is set if the request has ended, with Result after TotalMicros.
	Done        bool
	Result      schedule.Result
	TotalMicros int64
}

// leaseRenewal lists the requests that an instance runs on the targets of a
// coordinator's groups.
type leaseRenewal struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	// Partial renewals do not list all requests; those that are missing may still
	// run.
	Partial bool
	Running []runningRequest
}

// runningRequest is one running request.
type runningRequest struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	ID     uint32
	Target targetID
	// PrefillTokens is the number of prompt tokens if the first event has not
	// arrived; 0 otherwise.
	PrefillTokens int

	// heldTokens is the memory counted for the request if that of the target is known; 0 if
	// it is not or the sender is of an earlier build.
	heldTokens int
}

// takeoverNotice announces to all instances that the sender coordinates a group
// from now on, and requests reports of what they run there.
type takeoverNotice struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	// Epoch is that of the sender's roster.
	Epoch   uint64
	Service string
	Group   int
}

// groupProbe checks whether the coordinator of a group responds; the coordinator
// sends it back as the response.
type groupProbe struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	Service string
	Group   int
}

// capacityReport reports to other coordinators how many slots are free.
type capacityReport struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	// IntervalMs is the time to the next report.
	IntervalMs int64
	Groups     []groupCapacity
}

type groupCapacity struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	// Position is the position of the group in Groups.
	Position  int
	FreeSlots int
	// Queued counts the queued requests by priority, without trailing zeros.
	Queued []int
	// SlotMicros is the expected time between two slots that become free; 0 if it
	// is not known.
	SlotMicros int64
}

// newGroupCapacity returns the report of a group. As many free slots as there are
// queued requests are held back, for the requests that reached the coordinator
// first.
func newGroupCapacity(position int, a *schedule.Availability) groupCapacity {
	g := groupCapacity{Position: position, FreeSlots: max(0, a.FreeSlots-a.Queued()), SlotMicros: a.SlotInterval.Microseconds()}
	for priority, queued := range a.QueuedByPriority {
		if queued > 0 {
			g.Queued = append(g.Queued, make([]int, priority+1-len(g.Queued))...)
			g.Queued[priority] = queued
		}
	}
	return g
}

func (g *groupCapacity) availability() schedule.Availability {
	a := schedule.Availability{FreeSlots: g.FreeSlots, SlotInterval: time.Duration(g.SlotMicros) * time.Microsecond}
	copy(a.QueuedByPriority[:], g.Queued)
	return a
}

// encode encodes a message, with integers in their shortest form.
func encode(k messageKind, message any) ([]byte, error) {
	var body bytes.Buffer
	body.WriteByte(byte(k))
	encoder := msgpack.NewEncoder(&body)
	encoder.UseCompactInts(true)
	if err := encoder.Encode(message); err != nil {
		return nil, errors.Wrap(err, "encode placement message")
	}
	return body.Bytes(), nil
}

// decode decodes the body of a message, without its kind.
func decode(body []byte, message any) error {
	return errors.Wrap(msgpack.Unmarshal(body, message), "decode placement message")
}

func toMillis(d time.Duration) int64 { return max(0, d.Milliseconds()) }

func fromMillis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
