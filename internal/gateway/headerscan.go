package gateway

import (
	"bytes"
	"strconv"
	"strings"
)

// maxHeaderLines bounds the lines of a request header, each of which is held in many times its
// bytes, and those of a trailer, which has no other bound. A field has three bytes at least, so
// that no header within maxHeaderBytes has more lines; the memory for them is reserved.
const maxHeaderLines = maxHeaderBytes / 3

// headerScan follows a request header as it is read, before it is parsed.
type headerScan struct {
	// bytes and lines count what has been read of the header.
	bytes, lines int
	// line holds the start of the current line, lineLength its length.
	line       [64]byte
	lineLength int
	// bodyLength is the stated length of the body, chunked is set if it is chunked.
	bodyLength int
	chunked    bool
	// hidden is set if a line that determines the body is longer than what is kept of it.
	hidden, done bool
}

// next scans data and returns how much of it belongs to the header.
func (h *headerScan) next(data []byte) int {
	for i, b := range data {
		h.bytes++
		if b != '\n' {
			if h.lineLength < len(h.line) {
				h.line[h.lineLength] = b
			}
			h.lineLength++
			continue
		}
		line := bytes.TrimRight(h.line[:min(h.lineLength, len(h.line))], "\r")
		length := h.lineLength
		h.lineLength = 0
		if len(line) == 0 {
			// Empty lines before the request line are skipped by the parser.
			if h.lines > 0 {
				h.done = true
				return i + 1
			}
			continue
		}
		h.lines++
		h.endLine(line, length > len(h.line))
	}
	return len(data)
}

// endLine follows a line; isCut is set if only its beginning is kept.
func (h *headerScan) endLine(line []byte, isCut bool) {
	name, value, _ := strings.Cut(string(line), ":")
	name, value = strings.TrimSpace(name), strings.TrimSpace(value)
	switch {
	case strings.EqualFold(name, "Content-Length"):
		length, _ := strconv.Atoi(value)
		h.bodyLength, h.hidden = max(h.bodyLength, length), h.hidden || isCut
	case strings.EqualFold(name, "Transfer-Encoding"):
		h.chunked, h.hidden = h.chunked || !strings.EqualFold(value, "identity"), h.hidden || isCut
	}
}

// memory returns the memory for the header.
func (h *headerScan) memory() int64 {
	return requestBytes + headerCopies*int64(h.bytes) + lineBytes*int64(h.lines)
}
