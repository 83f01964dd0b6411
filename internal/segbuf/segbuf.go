// Package segbuf provides buffers for data whose length is not known in advance.
//
// A buffer that grows by doubling leaves as much garbage as it holds. With responses that do not end,
// the runtime's collections cannot keep up with that. A Buffer therefore grows by segments that are
// reused, and copies its content only once, when it is complete.
package segbuf

import "sync"

const (
	// SegmentBytes is the size of a segment.
	SegmentBytes = 32 << 10
	// minFirstBytes and maxFirstBytes are the sizes between which a buffer grows by doubling, so
	// that short data occupies no segment.
	minFirstBytes = 512
	maxFirstBytes = 4 << 10
)

type segment [SegmentBytes]byte

var unused = sync.Pool{New: func() any { return new(segment) }}

// Buffer is a growing buffer; the zero value is an empty one. It must not be copied.
type Buffer struct {
	first []byte
	// segments follow first once that is full. All but the last are full, which holds lastBytes.
	segments  []*segment
	lastBytes int
	size      int
}

// New returns a buffer that holds the first size bytes in one piece.
func New(size int) *Buffer { return &Buffer{first: make([]byte, 0, max(size, minFirstBytes))} }

// Len returns the number of bytes held.
func (b *Buffer) Len() int { return b.size }

// Cap returns the number of bytes that the buffer occupies.
func (b *Buffer) Cap() int { return cap(b.first) + len(b.segments)*SegmentBytes }

// Spare returns the free space at the end, which is never empty. The buffer grows by at most
// SegmentBytes for it.
func (b *Buffer) Spare() []byte {
	if b.segments == nil {
		if len(b.first) < cap(b.first) {
			return b.first[len(b.first):cap(b.first)]
		}
		if cap(b.first) < maxFirstBytes {
			b.first = append(make([]byte, 0, max(2*cap(b.first), minFirstBytes)), b.first...)
			return b.first[len(b.first):cap(b.first)]
		}
	}
	if b.segments == nil || b.lastBytes == SegmentBytes {
		b.segments = append(b.segments, unused.Get().(*segment))
		b.lastBytes = 0
	}
	return b.segments[len(b.segments)-1][b.lastBytes:]
}

// Advance adds the first n bytes of what Spare returned to the content.
func (b *Buffer) Advance(n int) {
	b.size += n
	if b.segments == nil {
		b.first = b.first[:len(b.first)+n]
	} else {
		b.lastBytes += n
	}
}

// Append adds data to the content.
func (b *Buffer) Append(data []byte) {
	if b.segments == nil && b.size+len(data) <= maxFirstBytes {
		b.first = append(b.first, data...)
		b.size += len(data)
		return
	}
	for len(data) > 0 {
		n := copy(b.Spare(), data)
		b.Advance(n)
		data = data[n:]
	}
}

// Bytes returns the content and empties the buffer.
func (b *Buffer) Bytes() []byte {
	content := b.first
	if b.segments != nil {
		content = append(make([]byte, 0, b.size), b.first...)
		for _, s := range b.segments {
			content = append(content, s[:min(SegmentBytes, b.size-len(content))]...)
		}
	}
	b.Release()
	return content
}

// Release empties the buffer, so that its segments can be reused.
func (b *Buffer) Release() {
	for _, s := range b.segments {
		unused.Put(s)
	}
	*b = Buffer{}
}
