package dispatch

import (
	"bufio"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuspost/hibiscuspost/internal/headscan"
)

// ErrInvalidHeader is returned for a response whose header, interim header or trailer has an
// invalid field line. A trailer is checked as the body is read: the header has been used before.
var ErrInvalidHeader = errors.New("response has an invalid header")

// responseScan checks a response as it is read. Once it has found an error, nothing more is read.
type responseScan struct {
	head headscan.Head
	// inBody is set after the header, chunked if the body is chunked.
	inBody, chunked bool
	chunks          headscan.Chunks
	err             error
	// skipsInterim is set if the reader of the header skips interim responses itself.
	skipsInterim bool
}

// beginHead begins with a header, of which the reader may have bytes already.
func (s *responseScan) beginHead(reader *bufio.Reader) error {
	if s.err != nil {
		return s.err
	}
	*s = responseScan{}
	return s.nextBuffered(reader)
}

// beginBody goes on with a body, of which the reader may have bytes already. An error in them is
// returned at the end of the body.
func (s *responseScan) beginBody(reader *bufio.Reader, chunked bool) {
	s.inBody, s.chunked, s.chunks = true, chunked, headscan.Chunks{}
	_ = s.nextBuffered(reader)
}

func (s *responseScan) nextBuffered(reader *bufio.Reader) error {
	buffered, _ := reader.Peek(reader.Buffered())
	return s.next(buffered)
}

// next checks bytes that follow those before.
func (s *responseScan) next(data []byte) error {
	switch {
	case s.err != nil:
	case !s.inBody && s.skipsInterim:
		_, err := s.head.NextFinal(data)
		s.fail(err)
	case !s.inBody:
		_, err := s.head.Next(data)
		s.fail(err)
	case s.chunked:
		s.fail(s.chunks.Next(data))
	}
	return s.err
}

func (s *responseScan) fail(err error) {
	if err != nil {
		s.err = errors.Mark(err, ErrInvalidHeader)
	}
}

// explain returns why a reader of the response has failed or has found its end, by its error.
func (s *responseScan) explain(err error) error {
	if err != nil && s.err != nil {
		return s.err
	}
	return err
}
