package credit

import (
	"bytes"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/hibiscuspost/hibiscuspost/internal/peer"
	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

// LeaseDuration is the validity of a grant. An entry counts it from when it sent the
// report that the grant answers, the coordinator from when it sent the grant. The lease
// therefore expires at the entry first, whatever the offset of their clocks.
const LeaseDuration = time.Second

// StaticShareDelay is how long an entry without a valid lease waits before it uses its
// static share. By then the coordinator has missed the entry's reports, and the leases
// granted to others from that share have expired.
const StaticShareDelay = 2 * LeaseDuration

// PerTier is an amount for each tier.
type PerTier [tables.TierCount]Amount

// Total returns the sum of all tiers.
func (p *PerTier) Total() Amount {
	var sum Amount
	for _, a := range p {
		sum = sum.Plus(a)
	}
	return sum
}

// Report is an entry's complete state at one target, sent to the target's coordinator.
// A later one replaces an earlier one, so that loss and repetition are harmless.
type Report struct {
	// Target is the target's name.
	Target string
	// Seq increases with each of the entry's reports on the target.
	Seq uint32
	// Ack is the sequence number of the last grant received from this coordinator; 0
	// means none.
	Ack uint32
	// LeasedAmount is the amount of the entry's unexpired lease. A new coordinator counts
	// it as held until the leases of earlier coordinators have expired.
	LeasedAmount Amount
	// Running is what the entry runs on the target, by tier.
	Running PerTier
	// Cancelling is the part of Running that is being cancelled.
	Cancelling Amount
	// Demand is what the entry would start on the target now, by tier.
	Demand PerTier
	// UrgentDemand is the part of Demand that cannot wait until lower-tier requests
	// end.
	UrgentDemand PerTier
	// Overloads counts the responses by which the target refused requests due to
	// overload.
	Overloads uint32
	// TimePerToken is the entry's observed time per output token on the target; 0
	// means unknown.
	TimePerToken time.Duration
	// KnownLimit is the last limit received for the target; 0 means unknown.
	KnownLimit Slots
}

// Grant is a coordinator's response to an entry's report: what the entry may run on
// the target.
type Grant struct {
	// Target is the target's name.
	Target string
	// Seq increases with each grant of this coordinator to the entry for the target.
	Seq uint32
	// ReportSeq is the sequence number of the entry's newest report known to the
	// coordinator when it sent the grant.
	ReportSeq uint32
	// Amount bounds all that the entry runs on the target during the lease.
	Amount Amount
	// Limit is the estimated capacity of the target for all entries.
	Limit Amount
	// LowestAdmittedTier is the lowest tier (highest number) that may be started.
	LowestAdmittedTier tables.Tier
	// MaxRunning bounds the requests of each tier that may continue; the entry cancels
	// those above it. Negative means no bound.
	MaxRunning [tables.TierCount]Slots
	// TotalRunning counts the running requests of all entries by tier.
	TotalRunning [tables.TierCount]Slots
	// OldestReportAge is the age of the oldest report counted in TotalRunning.
	OldestReportAge time.Duration
	// CoversAllMembers reports whether TotalRunning is based on recent reports of all
	// members.
	CoversAllMembers bool
}

// Datagram is the message that instances exchange under peer.KindCredit.
type Datagram struct {
	// From and Incarnation identify the sender.
	From        string
	Incarnation uint64
	Reports     []Report
	Grants      []Grant
}

// Decode decodes a datagram.
func Decode(body []byte) (*Datagram, error) {
	d := &Datagram{}
	if err := msgpack.Unmarshal(body, d); err != nil {
		return nil, errors.Wrap(err, "credit: decode datagram")
	}
	return d, nil
}

// Encode encodes the messages into as many datagrams as needed, with structs as arrays
// and integers in their shortest form.
func Encode(d *Datagram) ([][]byte, error) {
	var buffer bytes.Buffer
	encoder := msgpack.NewEncoder(&buffer)
	encoder.UseArrayEncodedStructs(true)
	encoder.UseCompactInts(true)
	if err := encoder.Encode(d); err != nil {
		return nil, errors.Wrap(err, "credit: encode datagram")
	}
	body := buffer.Bytes()
	if len(body) <= peer.MaxDatagramBytes {
		return [][]byte{body}, nil
	}
	first, second, ok := d.split()
	if !ok {
		return nil, errors.Newf("credit: message does not fit into a datagram: %d bytes", len(body))
	}
	head, err := Encode(first)
	if err != nil {
		return nil, err
	}
	tail, err := Encode(second)
	return append(head, tail...), err
}

func (d *Datagram) split() (first, second *Datagram, ok bool) {
	if len(d.Reports)+len(d.Grants) < 2 {
		return nil, nil, false
	}
	a, b := *d, *d
	r, g := len(d.Reports)/2, len(d.Grants)/2
	if r+g == 0 {
		r = len(d.Reports)
	}
	a.Reports, b.Reports = d.Reports[:r], d.Reports[r:]
	a.Grants, b.Grants = d.Grants[:g], d.Grants[g:]
	return &a, &b, true
}
