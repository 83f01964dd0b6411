// Package headscan checks the lines of HTTP heads and trailers as they are read, before they are
// parsed: parsers accept names with blanks, and lines that continue the one before, which others
// read differently.
package headscan

import (
	"bytes"
	"encoding/binary"
	"math"

	"github.com/cockroachdb/errors"
)

// ErrInvalid is returned for a line that is no field: its name is no token (RFC 9110, section
// 5.6.2), it has no colon, or it continues the line before. It is also returned for a field
// Transfer-Encoding in a version other than HTTP/1.1, where parsers ignore it (RFC 9112, section
// 6.1).
var ErrInvalid = errors.New("invalid field line")

const (
	versionLength = uint8(len("HTTP/1.1"))
	// statusOffset is where the status is in the start line of a response.
	statusOffset = versionLength + 1
	// transferEncoding is in lower case.
	transferEncoding = "transfer-encoding"
	// otherName is the count of matching bytes of another name.
	otherName = math.MaxUint8
)

// http11 is the version as the last bytes of a start line are kept.
var http11 = binary.BigEndian.Uint64([]byte("HTTP/1.1"))

type state uint8

const (
	// beforeStart is the state until a start line: empty lines before it are skipped.
	beforeStart state = iota
	startLine
	lineStart
	// emptyLine is the state after the CR of an empty line.
	emptyLine
	fieldName
	fieldValue
	done
	invalid
)

// Head follows a head. The zero value begins with the start line of a response.
type Head struct {
	state state
	// isRequest is set if the version is at the end of the start line.
	isRequest bool
	// last holds the last bytes of the start line, otherVersion is set if the version is not
	// HTTP/1.1.
	last         uint64
	otherVersion bool
	// nameMatch counts the bytes of the name, as long as they are those of transferEncoding.
	nameMatch uint8
	// startBytes counts the bytes of the start line, up to its status, interim is set if that
	// is 1xx.
	startBytes uint8
	interim    bool
	// untilFinal is set if interim heads are skipped, so that their status must be seen.
	untilFinal bool
}

// Request returns a Head that begins with the start line of a request.
func Request() Head { return Head{isRequest: true} }

// Trailer returns a Head that begins with a field line.
func Trailer() Head { return Head{state: lineStart} }

// Next scans data and returns how much of it belongs to the head. An error is final.
func (h *Head) Next(data []byte) (int, error) {
	switch h.state {
	case done:
		return 0, nil
	case invalid:
		return 0, ErrInvalid
	}
	for i := 0; i < len(data); i++ {
		b := data[i]
		switch h.state {
		case beforeStart:
			if b != '\r' && b != '\n' {
				h.state = startLine
				h.startByte(b)
			}
		case startLine:
			h.startByte(b)
		case fieldValue:
			end := bytes.IndexByte(data[i:], '\n')
			if end < 0 {
				return len(data), nil
			}
			i += end
			h.state = lineStart
		case lineStart:
			h.state, h.nameMatch = nextState(b), 0
			h.matchName(b)
		case emptyLine:
			h.state = invalid
			if b == '\n' {
				h.state = done
			}
		case fieldName:
			h.nameByte(b)
		}
		switch h.state {
		case done:
			return i + 1, nil
		case invalid:
			return i, ErrInvalid
		}
	}
	return len(data), nil
}

// startByte scans a byte of the start line.
func (h *Head) startByte(b byte) {
	if b == '\n' {
		h.state = lineStart
		if h.isRequest {
			h.otherVersion = h.last != http11
		}
		return
	}
	if b != '\r' {
		h.last = h.last<<8 | uint64(b)
	}
	if h.isRequest || h.startBytes > statusOffset {
		return
	}
	if h.startBytes == statusOffset {
		h.interim = b == '1'
		if b == ' ' && h.untilFinal {
			h.state = invalid
		}
	}
	if h.startBytes++; h.startBytes == versionLength {
		h.otherVersion = h.last != http11
	}
}

// nameByte scans a byte after the first of a field's name.
func (h *Head) nameByte(b byte) {
	switch {
	case b == ':' && h.otherVersion && h.nameMatch == uint8(len(transferEncoding)):
		h.state = invalid
	case b == ':':
		h.state = fieldValue
	case !isToken[b]:
		h.state = invalid
	default:
		h.matchName(b)
	}
}

func (h *Head) matchName(b byte) {
	if int(h.nameMatch) < len(transferEncoding) && b|0x20 == transferEncoding[h.nameMatch] {
		h.nameMatch++
	} else {
		h.nameMatch = otherName
	}
}

// NextFinal scans data like Next, and goes on with the next head after that of an interim response.
// It also returns ErrInvalid for a start line with several blanks before its status, which parsers
// skip: the status is looked for at statusOffset.
func (h *Head) NextFinal(data []byte) (int, error) {
	scanned := 0
	for {
		h.untilFinal = true
		n, err := h.Next(data[scanned:])
		scanned += n
		if err != nil || h.state != done || !h.interim {
			return scanned, err
		}
		*h = Head{}
	}
}

// nextState returns the state after the first byte of a line.
func nextState(b byte) state {
	switch {
	case b == '\n':
		return done
	case b == '\r':
		return emptyLine
	case isToken[b]:
		return fieldName
	}
	return invalid
}

// isToken tells which bytes a token consists of.
var isToken = func() (table [256]bool) {
	const tokenBytes = "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
	for _, b := range []byte(tokenBytes) {
		table[b] = true
	}
	return table
}()
