package headscan

import "math"

// Chunks follows a chunked body and checks its trailer. It accepts all sizes of chunks that it can
// follow: others are errors for the parser.
type Chunks struct {
	state chunkState
	// size is the size of the current chunk, left what is missing of it and of its end.
	size, left uint64
	trailer    Head
}

type chunkState uint8

const (
	chunkSize chunkState = iota
	// chunkExtension is the rest of the line of a size.
	chunkExtension
	chunkData
	chunkTrailer
)

// Next scans data, up to the end of the body. An error is final.
func (c *Chunks) Next(data []byte) error {
	for len(data) > 0 {
		switch c.state {
		case chunkTrailer:
			_, err := c.trailer.Next(data)
			return err
		case chunkData:
			n := min(c.left, uint64(len(data)))
			data = data[n:]
			if c.left -= n; c.left == 0 {
				c.state, c.size = chunkSize, 0
			}
		default:
			c.sizeByte(data[0])
			data = data[1:]
		}
	}
	return nil
}

// sizeByte scans a byte of the line of a size.
func (c *Chunks) sizeByte(b byte) {
	if b == '\n' {
		if c.size == 0 {
			c.state, c.trailer = chunkTrailer, Trailer()
			return
		}
		c.state, c.left = chunkData, c.size+uint64(len("\r\n"))
		return
	}
	digit, ok := hexDigit(b)
	if c.state == chunkExtension || !ok {
		c.state = chunkExtension
		return
	}
	const maxSize = math.MaxUint64 >> 8
	c.size = min(c.size<<4|digit, maxSize)
}

func hexDigit(b byte) (uint64, bool) {
	switch {
	case b >= '0' && b <= '9':
		return uint64(b - '0'), true
	case b|0x20 >= 'a' && b|0x20 <= 'f':
		return uint64(b|0x20-'a') + 10, true
	}
	return 0, false
}
