// Package headscan checks the lines of HTTP heads and trailers as they are read, before they are
// parsed: parsers accept names with blanks, and lines that continue the one before, which others
// read differently.
package headscan

import (
	"bytes"

	"github.com/cockroachdb/errors"
)

// ErrInvalid is returned for a line that is no field: its name is no token (RFC 9110, section
// 5.6.2), it has no colon, or it continues the line before.
var ErrInvalid = errors.New("invalid field line")

// statusOffset is where the status is in the start line of a response.
const statusOffset = uint8(len("HTTP/1.1 "))

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

// Head follows a head. The zero value begins with a start line.
type Head struct {
	state state
	// startBytes counts the bytes of the start line, up to its status, interim is set if that
	// is 1xx.
	startBytes uint8
	interim    bool
}

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
				h.state, h.startBytes = startLine, 1
			}
		case startLine:
			if b == '\n' {
				h.state = lineStart
			} else if h.startBytes <= statusOffset {
				h.interim = h.startBytes == statusOffset && b == '1'
				h.startBytes++
			}
		case fieldValue:
			end := bytes.IndexByte(data[i:], '\n')
			if end < 0 {
				return len(data), nil
			}
			i += end
			h.state = lineStart
		case lineStart:
			h.state = nextState(b)
		case emptyLine:
			h.state = invalid
			if b == '\n' {
				h.state = done
			}
		case fieldName:
			if b == ':' {
				h.state = fieldValue
			} else if !isToken[b] {
				h.state = invalid
			}
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

// NextFinal scans data like Next, and goes on with the next head after that of an interim response.
func (h *Head) NextFinal(data []byte) (int, error) {
	scanned := 0
	for {
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
