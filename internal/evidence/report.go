package evidence

import (
	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/hibiscuspost/hibiscuspost/internal/fault"
	"github.com/hibiscuspost/hibiscuspost/internal/peer"
)

// ReportPart is a part of one snapshot of an entry's counters for a pool. The
// parts of one snapshot count only together, so that both versions are always
// seen at the same instant.
type ReportPart struct {
	Instance    string `msgpack:"e"`
	Incarnation uint64 `msgpack:"i"`
	Pool        string `msgpack:"p"`
	// Version is the new version of the move as the entry knows it.
	Version string `msgpack:"v"`
	// ConfigVersion is the configuration version that named it.
	ConfigVersion uint64 `msgpack:"k"`
	// Sequence rises with each snapshot; Part counts from 0 to Parts-1.
	Sequence uint64   `msgpack:"s"`
	Part     int      `msgpack:"a"`
	Parts    int      `msgpack:"z"`
	Records  []Record `msgpack:"r"`
	// Full is set when the snapshot holds all counters; others hold those that
	// changed lately.
	Full bool `msgpack:"f,omitempty"`
}

// maxRecordBytes is the room for records in a datagram, in bytes.
const maxRecordBytes = peer.MaxDatagram - 250

// EncodeReport splits the records over as few datagrams as hold them.
func EncodeReport(header ReportPart, records []Record) ([][]byte, error) {
	groups := [][]Record{nil}
	roomBytes := maxRecordBytes
	for _, r := range records {
		encoded, err := msgpack.Marshal(r)
		if err != nil {
			return nil, errors.Wrap(err, "encode a record")
		}
		if len(encoded) > roomBytes && len(groups[len(groups)-1]) > 0 {
			groups = append(groups, nil)
			roomBytes = maxRecordBytes
		}
		groups[len(groups)-1] = append(groups[len(groups)-1], r)
		roomBytes -= len(encoded)
	}
	datagrams := make([][]byte, len(groups))
	for i, group := range groups {
		header.Part, header.Parts, header.Records = i, len(groups), group
		body, err := msgpack.Marshal(&header)
		if err != nil {
			return nil, errors.Wrap(err, "encode a report")
		}
		datagrams[i] = body
	}
	return datagrams, nil
}

// DecodeReportPart reads one part.
func DecodeReportPart(from string, body []byte) (ReportPart, error) {
	var part ReportPart
	if err := msgpack.Unmarshal(body, &part); err != nil {
		return ReportPart{}, fault.At(fault.StepPeer, from, err)
	}
	if part.Parts < 1 || part.Parts > maxParts || part.Part < 0 || part.Part >= part.Parts {
		return ReportPart{}, fault.At(fault.StepPeer, from, errors.Newf("part %d of %d", part.Part, part.Parts))
	}
	return part, nil
}

// maxParts bounds the parts of one snapshot.
const maxParts = 256

// Assembler joins the parts of an entry's newest snapshot.
type Assembler struct {
	sequence  uint64
	parts     map[int][]Record
	completed bool
}

// Add takes a part. When it completes the newest snapshot, it returns all
// records and true.
func (a *Assembler) Add(part *ReportPart) ([]Record, bool) {
	if part.Sequence < a.sequence || part.Sequence == a.sequence && a.completed {
		return nil, false
	}
	if part.Sequence > a.sequence || a.parts == nil {
		a.sequence, a.completed = part.Sequence, false
		a.parts = make(map[int][]Record, part.Parts)
	}
	a.parts[part.Part] = part.Records
	if len(a.parts) < part.Parts {
		return nil, false
	}
	var all []Record
	for part := range part.Parts {
		all = append(all, a.parts[part]...)
	}
	a.completed, a.parts = true, nil
	return all, true
}
