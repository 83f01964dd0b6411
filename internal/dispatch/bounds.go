package dispatch

import (
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuspost/hibiscuspost/internal/segbuf"
)

const (
	// maxHeaderBytes bounds what is read of a target until the header of the
	// response is complete, including 1xx responses and responses to other requests
	// that precede it.
	maxHeaderBytes = 64 << 10
	// headerTimeout bounds the time in which a header, or the body of a response to
	// another request, is being received. Of a pause, maxCountedPause counts: a sound
	// target may be silent inside a header.
	headerTimeout   = time.Second
	maxCountedPause = 100 * time.Millisecond
	// maxInformationalResponses bounds the 1xx responses before a response.
	maxInformationalResponses = 8
	// maxDiscardedBytes and discardTimeout bound what is read of a body only to keep
	// the connection.
	maxDiscardedBytes = 64 << 10
	discardTimeout    = 250 * time.Millisecond
	// unsharedBufferBytes is what each body may occupy without drawing on the memory for
	// larger bodies of all targets, which is maxBufferedBytes unless it is set lower.
	unsharedBufferBytes = 64 << 10
	maxBufferedBytes    = 32 << 20
	// bodyMemoryShare is the part of an instance's memory for such bodies and for what is
	// held for slow callers. Each body is held twice when it is complete, until the next
	// collection.
	bodyMemoryShare = 0.125
)

// ErrResponseTooLong is returned for a header or body that exceeds a bound. The
// target may send without end.
var ErrResponseTooLong = errors.New("response exceeds the bound on its length")

// boundedReader reads from a connection. While a response header is awaited, the
// bytes and the time in which they are received are bounded.
type boundedReader struct {
	source io.Reader
	// bounded is set while a header is awaited, with left bytes to read.
	bounded bool
	left    int
	// receivedAt is the time of the last bytes of the current header; zero before the
	// first. receiving is the time in which it has been received.
	receivedAt time.Time
	receiving  time.Duration
	// received is set once any bytes have been read since awaitHeader.
	received bool
	// scan checks the bytes of the response.
	scan responseScan
}

// awaitHeader sets the bounds for a response header.
func (r *boundedReader) awaitHeader() {
	*r = boundedReader{source: r.source, bounded: true, left: maxHeaderBytes}
}

// awaitNextHeader waits for another header within the same bytes. buffered states
// whether bytes of it have been read already.
func (r *boundedReader) awaitNextHeader(buffered bool) {
	r.receivedAt, r.receiving = time.Time{}, 0
	if buffered {
		r.receivedAt = time.Now()
	}
}

// headerComplete ends the bounds.
func (r *boundedReader) headerComplete() { r.bounded = false }

// Read implements io.Reader.
func (r *boundedReader) Read(buffer []byte) (int, error) {
	if r.scan.err != nil {
		return 0, r.scan.err
	}
	n, err := r.readBounded(buffer)
	if n > 0 && r.scan.next(buffer[:n]) != nil && !r.scan.inBody {
		return 0, r.scan.err
	}
	return n, err
}

func (r *boundedReader) readBounded(buffer []byte) (int, error) {
	if !r.bounded {
		return r.source.Read(buffer)
	}
	if r.left == 0 || r.receiving > headerTimeout {
		return 0, errors.Wrapf(ErrResponseTooLong, "header received for %s, %d bytes left", r.receiving, r.left)
	}
	n, err := r.source.Read(buffer[:min(len(buffer), r.left)])
	r.left -= n
	if n > 0 {
		now := time.Now()
		if !r.receivedAt.IsZero() {
			r.receiving += min(now.Sub(r.receivedAt), maxCountedPause)
		}
		r.receivedAt, r.received = now, true
	}
	return n, err
}

// ReadBody reads the body to its end. It returns ErrResponseTooLong, as early as
// possible, for one of more than maxBytes, and for one that does not fit into the
// memory for the bodies of all targets. The memory counts until Close, or until what TakeMemory
// returns is released.
func (r *PooledResponse) ReadBody(maxBytes int) ([]byte, error) {
	body, err := r.readBody(maxBytes)
	return body, r.pool.countTooLong(err)
}

func (r *PooledResponse) readBody(maxBytes int) ([]byte, error) {
	if r.body == http.NoBody {
		r.bodyComplete = true
		return []byte{}, nil
	}
	if r.ContentLength > int64(maxBytes) {
		return nil, errors.Wrapf(ErrResponseTooLong, "body of %d bytes", r.ContentLength)
	}
	buffer := segbuf.New(min(int(r.ContentLength)+1, unsharedBufferBytes))
	defer buffer.Release()
	for {
		if buffer.Len() > maxBytes {
			return nil, errors.Wrapf(ErrResponseTooLong, "body of more than %d bytes", maxBytes)
		}
		if buffer.Len() == buffer.Cap() && !r.Reserve(buffer.Cap()+segbuf.SegmentBytes) {
			if r.isCancelled() {
				return nil, errors.Wrap(net.ErrClosed, "request cancelled while memory was short")
			}
			return nil, errors.Wrapf(ErrResponseTooLong, "body of more than %d bytes beside other long ones", buffer.Len())
		}
		n, err := r.Read(buffer.Spare())
		buffer.Advance(n)
		if err == io.EOF {
			return buffer.Bytes(), nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// SetMemoryLimit bounds the memory for the bodies of all targets and for slow callers
// together by the instance's memory limit in bytes.
func (p *Pool) SetMemoryLimit(bytes int64) {
	p.maxBuffered.Store(min(maxBufferedBytes, int64(bodyMemoryShare*float64(bytes))))
	p.heldMu.Lock()
	defer p.heldMu.Unlock()
	p.recheck()
}

// Reserve reserves memory for parts of the body of size bytes in total until Close,
// and reports whether there is enough. If there is not, slow callers are given up first, and what is
// being released is waited for, unless the request is cancelled.
func (r *PooledResponse) Reserve(size int) bool {
	additional := int64(size-unsharedBufferBytes) - r.reserved
	if additional <= 0 {
		return true
	}
	if !r.pool.reserve(additional, r.cancelled) {
		return false
	}
	r.reserved += additional
	return true
}

func (r *PooledResponse) isCancelled() bool {
	select {
	case <-r.cancelled:
		return true
	default:
		return false
	}
}

// unreserve releases the memory reserved for the body.
func (r *PooledResponse) unreserve() {
	if r.reserved == 0 {
		return
	}
	r.pool.heldMu.Lock()
	defer r.pool.heldMu.Unlock()
	r.pool.free(r.reserved)
	r.reserved = 0
}

// Discard ends the exchange like Close, after reading the rest of a short body so
// that the connection can be kept.
func (r *PooledResponse) Discard() {
	if r.ContentLength <= maxDiscardedBytes {
		r.WatchSilence(SilenceWatch{After: discardTimeout, OnSilence: r.conn.close})
		// After an error, Close closes the connection.
		_, _ = io.Copy(io.Discard, io.LimitReader(r, maxDiscardedBytes+1))
	}
	r.Close()
}
