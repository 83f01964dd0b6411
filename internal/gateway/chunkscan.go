package gateway

// chunkScan follows a chunked body as it is read, before it is parsed. What it cannot follow
// is an error for the parser as well, which closes the connection.
type chunkScan struct {
	// length is the length of the body as far as its chunks state it.
	length int
	// trailerLines and trailerBytes count what follows the last chunk.
	trailerLines, trailerBytes int
	done                       bool

	state chunkState
	// size is the size of the current chunk, left what is missing of it and of its end.
	size, left int
	lineLength int
}

type chunkState int

const (
	chunkSize chunkState = iota
	// chunkExtension is the rest of the line of a size.
	chunkExtension
	chunkData
	chunkTrailer
)

// maxChunkSize keeps sums of sizes within an int; longer chunks are refused by the parser.
const maxChunkSize = 1 << 40

// next scans data and returns how much of it belongs to the body.
func (s *chunkScan) next(data []byte) int {
	for i := 0; i < len(data) && !s.done; {
		if s.state == chunkData {
			n := min(s.left, len(data)-i)
			i += n
			if s.left -= n; s.left == 0 {
				s.state, s.size = chunkSize, 0
			}
			continue
		}
		s.nextByte(data[i])
		i++
		if s.done {
			return i
		}
	}
	return len(data)
}

// nextByte scans a byte that is not of a chunk's data.
func (s *chunkScan) nextByte(b byte) {
	switch {
	case s.state == chunkTrailer:
		s.trailerByte(b)
	case b == '\n':
		s.length = min(s.length+s.size, maxChunkSize)
		s.state, s.left = chunkData, s.size+len("\r\n")
		if s.size == 0 {
			s.state = chunkTrailer
		}
	case s.state == chunkSize:
		digit, ok := hexDigit(b)
		if !ok {
			s.state = chunkExtension
			return
		}
		s.size = min(s.size<<4|digit, maxChunkSize)
	}
}

func (s *chunkScan) trailerByte(b byte) {
	s.trailerBytes++
	switch {
	case b == '\r':
	case b != '\n':
		s.lineLength++
	case s.lineLength == 0:
		s.done = true
	default:
		s.trailerLines++
		s.lineLength = 0
	}
}

func hexDigit(b byte) (int, bool) {
	switch {
	case b >= '0' && b <= '9':
		return int(b - '0'), true
	case b|0x20 >= 'a' && b|0x20 <= 'f':
		return int(b|0x20-'a') + 10, true
	}
	return 0, false
}
