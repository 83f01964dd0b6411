package evidence

import (
	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/hibiscuspost/hibiscuspost/internal/fault"
	"github.com/hibiscuspost/hibiscuspost/internal/peer"
)

// ReportPart is one datagram of a report, which is a snapshot of an instance's
// counters for a pool. The analyzer uses a report only when all of its parts
// have arrived, so that both versions are always seen at the same instant.
type ReportPart struct {
	Instance    string `msgpack:"e"`
	Incarnation uint64 `msgpack:"i"`
	Pool        string `msgpack:"p"`
	// Version is the new version of the move as known to the instance.
	Version string `msgpack:"v"`
	// ConfigVersion is the configuration version that named Version.
	ConfigVersion uint64 `msgpack:"k"`
	// Sequence increases with each report; Part counts from 0 to Parts-1.
	Sequence uint64   `msgpack:"s"`
	Part     int      `msgpack:"a"`
	Parts    int      `msgpack:"z"`
	Records  []Record `msgpack:"r"`
	// Full is set when the report holds all counters; other reports hold only
	// the counters that changed recently.
	Full bool `msgpack:"f,omitempty"`
}

// maxRecordBytes is the space for records in a datagram; the rest is left for
// the header.
const maxRecordBytes = peer.MaxDatagramBytes - 250

// GroupRecords divides the records into groups of at most maxBytes each, encoded; at
// least one group, which may be empty.
func GroupRecords(records []Record, maxBytes int) ([][]Record, error) {
	groups := [][]Record{nil}
	roomBytes := maxBytes
	for _, r := range records {
		encoded, err := msgpack.Marshal(r)
		if err != nil {
			return nil, errors.Wrap(err, "encode counter record")
		}
		if len(encoded) > roomBytes && len(groups[len(groups)-1]) > 0 {
			groups = append(groups, nil)
			roomBytes = maxBytes
		}
		groups[len(groups)-1] = append(groups[len(groups)-1], r)
		roomBytes -= len(encoded)
	}
	return groups, nil
}

// EncodeReport distributes the records over datagrams of at most
// peer.MaxDatagramBytes bytes.
func EncodeReport(header ReportPart, records []Record) ([][]byte, error) {
	groups, err := GroupRecords(records, maxRecordBytes)
	if err != nil {
		return nil, err
	}
	datagrams := make([][]byte, len(groups))
	for i, group := range groups {
		header.Part, header.Parts, header.Records = i, len(groups), group
		body, err := msgpack.Marshal(&header)
		if err != nil {
			return nil, errors.Wrap(err, "encode report part")
		}
		datagrams[i] = body
	}
	return datagrams, nil
}

// DecodeReportPart decodes one datagram of a report.
func DecodeReportPart(from string, body []byte) (ReportPart, error) {
	var part ReportPart
	if err := msgpack.Unmarshal(body, &part); err != nil {
		return ReportPart{}, fault.At(fault.StepPeer, from, err)
	}
	if part.Parts < 1 || part.Parts > maxParts || part.Part < 0 || part.Part >= part.Parts {
		return ReportPart{}, fault.At(fault.StepPeer, from, errors.Newf("invalid report part index or count: part %d of %d", part.Part, part.Parts))
	}
	return part, nil
}

// maxParts bounds the parts of one report.
const maxParts = 256

// Assembler joins the parts of an instance's newest report.
type Assembler struct {
	sequence  uint64
	parts     map[int][]Record
	completed bool
}

// Add adds a part. When the part completes the newest report, it returns all
// records of the report and true.
func (a *Assembler) Add(p *ReportPart) ([]Record, bool) {
	if p.Sequence < a.sequence || p.Sequence == a.sequence && a.completed {
		return nil, false
	}
	if p.Sequence > a.sequence || a.parts == nil {
		a.sequence, a.completed = p.Sequence, false
		a.parts = make(map[int][]Record, p.Parts)
	}
	a.parts[p.Part] = p.Records
	if len(a.parts) < p.Parts {
		return nil, false
	}
	var all []Record
	for part := range p.Parts {
		all = append(all, a.parts[part]...)
	}
	a.completed, a.parts = true, nil
	return all, true
}
