package configsync

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/hibiscuspost/hibiscuspost/internal/catalog"
)

const (
	// partBytes is the size above which the entries of a change go into another part,
	// before compression: a few milliseconds of the slowest link and processor.
	partBytes = 32 << 10
	// maxPartBytes bounds a decompressed part, in which a single entry may be larger
	// than partBytes.
	maxPartBytes = 8 << 20
)

// Update is a change as it is sent to other instances. It is immutable.
type Update struct {
	// ID is a digest of the content. Updates with the same ID consist of the same parts.
	ID       uint64
	From, To catalog.Revision
	// Parts are the compressed entries, in order.
	Parts [][]byte
	bytes int
}

// Bytes returns the size of all parts.
func (u *Update) Bytes() int { return u.bytes }

// NewUpdate encodes a change.
func NewUpdate(change *catalog.Change) (*Update, error) {
	u := &Update{From: change.From, To: change.To}
	digest := xxhash.New()
	for _, number := range []uint64{u.From.Version, u.From.Digest, u.To.Version, u.To.Digest} {
		_, _ = digest.Write(binary.BigEndian.AppendUint64(nil, number))
	}
	for entries := change.Entries; len(entries) > 0 || len(u.Parts) == 0; {
		n, size := 0, 0
		for n < len(entries) && (n == 0 || size < partBytes) {
			size += len(entries[n].Key) + len(entries[n].Value)
			n++
		}
		part, err := encodePart(entries[:n])
		if err != nil {
			return nil, err
		}
		entries = entries[n:]
		_, _ = digest.Write(part)
		u.Parts = append(u.Parts, part)
		u.bytes += len(part)
	}
	u.ID = digest.Sum64()
	return u, nil
}

func encodePart(entries []catalog.Entry) ([]byte, error) {
	var compressed bytes.Buffer
	compressor, err := flate.NewWriter(&compressed, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compress configuration change")
	}
	if err := msgpack.NewEncoder(compressor).Encode(entries); err != nil {
		return nil, errors.Wrap(err, "encode configuration change")
	}
	if err := compressor.Close(); err != nil {
		return nil, errors.Wrap(err, "compress configuration change")
	}
	return compressed.Bytes(), nil
}

func decodePart(part []byte) ([]catalog.Entry, error) {
	decompressor := flate.NewReader(bytes.NewReader(part))
	defer func() { _ = decompressor.Close() }()
	decompressed, err := io.ReadAll(io.LimitReader(decompressor, maxPartBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress configuration change")
	}
	if len(decompressed) > maxPartBytes {
		return nil, errors.Newf("part of a configuration change exceeds %d bytes", maxPartBytes)
	}
	var entries []catalog.Entry
	if err := msgpack.Unmarshal(decompressed, &entries); err != nil {
		return nil, errors.Wrap(err, "decode configuration change")
	}
	return entries, nil
}

// Download collects the parts of an Update.
type Download struct {
	ID       uint64
	From, To catalog.Revision
	// PartCount is the number of parts, Next the index of the next one.
	PartCount, Next int
	// Bytes is the size of the parts so far.
	Bytes   int
	entries []catalog.Entry
}

// Add adds the next part.
func (d *Download) Add(part []byte) error {
	entries, err := decodePart(part)
	if err != nil {
		return err
	}
	d.entries = append(d.entries, entries...)
	d.Next++
	d.Bytes += len(part)
	return nil
}

// IsComplete reports whether all parts have been added.
func (d *Download) IsComplete() bool { return d.Next >= d.PartCount }

// Change returns the change of a complete download.
func (d *Download) Change() *catalog.Change {
	return &catalog.Change{From: d.From, To: d.To, Entries: d.entries}
}
