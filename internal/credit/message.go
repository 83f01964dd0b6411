package credit

import (
	"bytes"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/hibiscuspost/hibiscuspost/internal/peer"
	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

// LeaseDuration is how long a grant is good for. An entry counts it from the sending
// of the report that the grant answers, the coordinator from the sending of the
// grant, so that it ends at the entry first, whatever the clocks show.
const LeaseDuration = time.Second

// StaticShareDelay is how long an entry without a valid lease waits before it
// uses its static share: by then the coordinator has missed its reports, and leases
// granted to others out of that share have run out.
const StaticShareDelay = 2 * LeaseDuration

// PerTier holds one amount for each tier.
type PerTier [tables.TierCount]Amount

// Total returns the sum over all tiers.
func (p *PerTier) Total() Amount {
	var sum Amount
	for _, a := range p {
		sum = sum.Plus(a)
	}
	return sum
}

// Report is an entry's whole state at one target, told to the target's coordinator.
// A later one replaces an earlier one, so that losses and repeats do no harm.
type Report struct {
	// Target is the target's name.
	Target string
	// Seq rises with each report of this entry on the target.
	Seq uint32
	// Ack is the last grant seen from this coordinator, 0 for none.
	Ack uint32
	// LeasedAmount is what the entry may use now by leases of earlier coordinators.
	LeasedAmount Amount
	// Running is what runs there for the entry, by tier.
	Running PerTier
	// Cancelling is the part of Running that is being cancelled.
	Cancelling Amount
	// Demand is what the entry would start there now, by tier.
	Demand PerTier
	// UrgentDemand is the part of Demand whose deadline cannot wait for lower tiers
	// to end.
	UrgentDemand PerTier
	// Overloads counts answers by which the target refused for overload.
	Overloads uint32
	// TimePerToken is the entry's observed time per output token there; 0: unknown.
	TimePerToken time.Duration
	// KnownLimit is the last limit heard for the target; 0: unknown.
	KnownLimit Slots
}

// Grant is a coordinator's answer to an entry: what the entry may run at the target.
type Grant struct {
	// Target is the target's name.
	Target string
	// Seq rises with each grant of this coordinator to the entry on the target.
	Seq uint32
	// ReportSeq is the newest report that the coordinator had when it sent the grant.
	ReportSeq uint32
	// Amount bounds all that the entry runs there; Lease bounds its time.
	Amount Amount
	// Limit is what the coordinator believes the target takes from all entries.
	Limit Amount
	// LowestAdmittedTier is the lowest tier (highest number) that may be started there.
	LowestAdmittedTier tables.Tier
	// MaxRunning bounds the requests of each tier that may go on; the entry cancels
	// those above it. Negative means no bound.
	MaxRunning [tables.TierCount]Slots
	// TotalRunning counts the requests of all entries by tier.
	TotalRunning [tables.TierCount]Slots
	// OldestReportAge is the age of the oldest report that Running rests on.
	OldestReportAge time.Duration
	// CoversAllMembers is set when Running rests on reports of all members.
	CoversAllMembers bool
}

// Datagram is what instances send each other under peer.KindCredit.
type Datagram struct {
	// From and Incarnation name the sender.
	From        string
	Incarnation uint64
	Reports     []Report
	Grants      []Grant
}

// Decode reads a datagram.
func Decode(body []byte) (*Datagram, error) {
	d := &Datagram{}
	if err := msgpack.Unmarshal(body, d); err != nil {
		return nil, errors.Wrap(err, "credit: datagram")
	}
	return d, nil
}

// Encode writes the messages into as many datagrams as needed, with structs as
// arrays and integers in their shortest form.
func Encode(d *Datagram) ([][]byte, error) {
	var buffer bytes.Buffer
	encoder := msgpack.NewEncoder(&buffer)
	encoder.UseArrayEncodedStructs(true)
	encoder.UseCompactInts(true)
	if err := encoder.Encode(d); err != nil {
		return nil, errors.Wrap(err, "credit: datagram")
	}
	body := buffer.Bytes()
	if len(body) <= peer.MaxDatagram {
		return [][]byte{body}, nil
	}
	first, second, ok := d.split()
	if !ok {
		return nil, errors.Newf("credit: one message takes %d bytes", len(body))
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
