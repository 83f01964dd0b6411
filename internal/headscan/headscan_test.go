package headscan

import (
	"bufio"
	"bytes"
	"math/rand/v2"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// checkSplit checks data in parts of each size; next gets the parts.
func checkSplit(t *testing.T, data string, valid bool, begin func() func([]byte) error) {
	t.Helper()
	for size := 1; size <= len(data); size++ {
		next := begin()
		var err error
		for at := 0; at < len(data) && err == nil; at += size {
			err = next([]byte(data[at:min(at+size, len(data))]))
		}
		assert.Equal(t, err == nil, valid, "%q in parts of %d: %v", data, size, err)
	}
}

func TestInvalidLinesAreFoundAtAnySplit(t *testing.T) {
	for head, valid := range map[string]bool{
		"HTTP/1.1 200 OK\r\nA: b\r\n\r\nbody x: y\r\n z": true, "HTTP/1.1 200 OK\nA: b\n\n body": true, "\r\n\r\nHTTP/1.1 200\r\n\r\n": true,
		"HTTP/1.1 200 OK\r\nA:\r\nB:b : c\r\n\r\n": true, "HTTP/1.1 103 H\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nA: b\r\n\r\n x : y\r\n": true,
		"HTTP/1.1 200 OK\r\nA : b\r\n": false, "HTTP/1.1 200 OK\r\nA: b\r\n c": false, "HTTP/1.1 200 OK\r\n\tA: b": false, "HTTP/1.1 200 OK\r\nA\r\n": false,
		"HTTP/1.1 200 OK\r\n: b": false, "HTTP/1.1 200 OK\r\n\rA: b": false, "HTTP/1.1 200 OK\r\n \r\n": false, "HTTP/1.1 200 OK\r\nA\x00: b": false,
		"HTTP/1.1 103 H\r\nA : b\r\n": false, "HTTP/1.1 103 H\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nA : b": false,
	} {
		checkSplit(t, head, valid, func() func([]byte) error {
			h := new(Head)
			return func(data []byte) error {
				_, err := h.NextFinal(data)
				return err
			}
		})
	}
	for body, valid := range map[string]bool{
		"5\r\n x : \r\n0\r\n\r\n x : y": true, "A;x = y\r\n0123456789\r\n00 \r\nA: b\r\n\r\n": true, "1\nx\r\n0\nA: b\n\n": true,
		"3\r\nabc\r\n0\r\nA : b\r\n": false, "0;x\r\n A: b": false, "0\r\nA: b\r\n c": false,
	} {
		checkSplit(t, body, valid, func() func([]byte) error { return new(Chunks).Next })
	}
}

func TestScanAllocatesNothing(t *testing.T) {
	head, body := []byte("HTTP/1.1 200 OK\r\nA: b\r\nContent-Type: text/plain\r\n\r\n"), []byte("5\r\nwhole\r\n0\r\nA: b\r\n\r\n")
	allocations := testing.AllocsPerRun(100, func() {
		var h Head
		var c Chunks
		_, err := h.NextFinal(head)
		assert.NilError(t, err)
		assert.NilError(t, c.Next(body))
	})
	assert.Equal(t, allocations, 0.0)
}

// A head that is found valid must end where the parser ends it.
func TestValidHeadsEndWhereTheParserEndsThem(t *testing.T) {
	parts := []string{"HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\n", "A: b\r\n", "A:\r\n", "B: c\n", "\r\n", "\n", "\r", " ", "\t", ":", "A", "x y", "\x00", "b: c\rd\r\n", "\r\r\n"}
	random := rand.New(rand.NewPCG(1, 2))
	valid := 0
	for range 200_000 {
		data := []byte(parts[random.IntN(2)])
		for range random.IntN(8) {
			data = append(data, parts[random.IntN(len(parts))]...)
		}
		data = append(data, "\r\n\r\nbody"...)
		reader := bufio.NewReader(bytes.NewReader(data))
		if _, err := http.ReadResponse(reader, nil); err != nil {
			continue
		}
		var h Head
		n, err := h.Next(data)
		if err != nil {
			continue
		}
		valid++
		assert.Equal(t, n, len(data)-reader.Buffered(), "%q", data)
	}
	assert.Assert(t, valid > 1000, "%d valid heads", valid)
}

// Parsers drop Transfer-Encoding in HTTP/1.0 and take the chunks for the body.
func TestTransferEncodingInAnotherVersion(t *testing.T) {
	const field = "Transfer-Encoding: chunked\r\n"
	for head, valid := range map[string]bool{
		"HTTP/1.1 200 OK\r\n" + field + "\r\n": true, "HTTP/1.0 200 OK\r\nA: Transfer-Encoding: b\r\n\r\n": true,
		"HTTP/1.0 200 OK\r\nTransfer-Encodin: b\r\nTransfer-Encodings: b\r\nX-Transfer-Encoding: b\r\n\r\n": true,
		"HTTP/1.0 200 OK\r\n" + field: false, "\r\nHTTP/1.0 200 OK\nA: b\ntRANSFER-eNCODING:\n": false, "HTTP/0.9 200 OK\r\n" + field: false,
		"HTTP/1.0 200 HTTP/1.1\r\n" + field: false, "HTTP/1.1 103 H\r\n\r\nHTTP/1.0 200 OK\r\n" + field: false, "HTTP/1.0 103 H\r\n\r\nHTTP/1.1 200 OK\r\n" + field + "\r\n": true,
	} {
		checkSplit(t, head, valid, func() func([]byte) error {
			h := new(Head)
			return func(data []byte) error {
				_, err := h.NextFinal(data)
				return err
			}
		})
	}
	for head, valid := range map[string]bool{
		"POST /x HTTP/1.1\r\n" + field + "\r\n": true, "\r\nPOST /x HTTP/1.1\n" + field + "\n": true, "POST /x HTTP/1.0\r\nA: b\r\n\r\n": true,
		"POST /x HTTP/1.0\r\n" + field: false, "POST /HTTP/1.1 HTTP/1.0\n" + field: false, "HTTP/1.1 /x HTTP/1.0\r\n" + field: false,
	} {
		checkSplit(t, head, valid, func() func([]byte) error {
			h := Request()
			return func(data []byte) error {
				_, err := h.Next(data)
				return err
			}
		})
	}
	checkSplit(t, "0\r\n"+field+"\r\n", true, func() func([]byte) error { return new(Chunks).Next })
}

// Parsers skip further blanks before the status; the scan ended after the interim head.
func TestInterimStatusAfterTwoBlanks(t *testing.T) {
	for _, blanks := range []string{"  ", "   "} {
		head := "HTTP/1.1" + blanks + "103 H\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nA : b\r\n\r\n"
		checkSplit(t, head, false, func() func([]byte) error {
			h := new(Head)
			return func(data []byte) error {
				_, err := h.NextFinal(data)
				return err
			}
		})
		var h Head
		n, err := h.NextFinal([]byte(head))
		assert.ErrorIs(t, err, ErrInvalid)
		// The parser must not get a whole start line.
		assert.Equal(t, n, int(statusOffset))
	}
}
