package evidence

import (
	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/hibiscuspost/hibiscuspost/internal/fault"
	"github.com/hibiscuspost/hibiscuspost/internal/peer"
)

// Report is a part of one snapshot of an entry's counters for a pool. The
// parts of one snapshot count only together, so that both versions are always
// seen at the same instant.
type Report struct {
	Entry       string `msgpack:"e"`
	Incarnation uint64 `msgpack:"i"`
	Pool        string `msgpack:"p"`
	// Version is the new version of the move as the entry knows it.
	Version string `msgpack:"v"`
	// Rank is the configuration version that named it.
	Rank uint64 `msgpack:"k"`
	// Sequence rises with each snapshot; Part counts from 0 to Parts-1.
	Sequence uint64   `msgpack:"s"`
	Part     int      `msgpack:"a"`
	Parts    int      `msgpack:"z"`
	Records  []Record `msgpack:"r"`
	// Full is set when the snapshot holds all counters; others hold those that
	// changed lately.
	Full bool `msgpack:"f,omitempty"`
}

// maxRecords is the room for records in a datagram, in bytes.
const maxRecords = peer.MaxDatagramBytes - 250

// Encode splits the records over as few datagrams as hold them.
func Encode(header Report, records []Record) ([][]byte, error) {
	groups := [][]Record{nil}
	room := maxRecords
	for _, r := range records {
		encoded, err := msgpack.Marshal(r)
		if err != nil {
			return nil, errors.Wrap(err, "encode a record")
		}
		if len(encoded) > room && len(groups[len(groups)-1]) > 0 {
			groups = append(groups, nil)
			room = maxRecords
		}
		groups[len(groups)-1] = append(groups[len(groups)-1], r)
		room -= len(encoded)
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

// Decode reads one part.
func Decode(from string, body []byte) (Report, error) {
	var r Report
	if err := msgpack.Unmarshal(body, &r); err != nil {
		return Report{}, fault.At(fault.StepPeer, from, err)
	}
	if r.Parts < 1 || r.Parts > maxParts || r.Part < 0 || r.Part >= r.Parts {
		return Report{}, fault.At(fault.StepPeer, from, errors.Newf("part %d of %d", r.Part, r.Parts))
	}
	return r, nil
}

// maxParts bounds the parts of one snapshot.
const maxParts = 256

// Assembler joins the parts of an entry's newest snapshot.
type Assembler struct {
	sequence uint64
	parts    map[int][]Record
	done     bool
}

// Add takes a part. When it completes the newest snapshot, it returns all
// records and true.
func (a *Assembler) Add(r *Report) ([]Record, bool) {
	if r.Sequence < a.sequence || r.Sequence == a.sequence && a.done {
		return nil, false
	}
	if r.Sequence > a.sequence || a.parts == nil {
		a.sequence, a.done = r.Sequence, false
		a.parts = make(map[int][]Record, r.Parts)
	}
	a.parts[r.Part] = r.Records
	if len(a.parts) < r.Parts {
		return nil, false
	}
	var all []Record
	for part := range r.Parts {
		all = append(all, a.parts[part]...)
	}
	a.done, a.parts = true, nil
	return all, true
}
