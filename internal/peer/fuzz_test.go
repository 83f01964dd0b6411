package peer

import (
	"testing"

	"gotest.tools/v3/assert"
)

func FuzzOpen(f *testing.F) {
	s := newSealer([]byte("a secret of sixteen"))
	f.Add(s.seal(KindProbe, "127.0.0.1:1", []byte("body")), uint16(3))
	f.Add([]byte{1, 200, 3}, uint16(0))
	f.Fuzz(func(t *testing.T, packet []byte, flippedByte uint16) {
		kind, from, body, ok := s.open(packet)
		if !ok {
			return
		}
		assert.DeepEqual(t, s.seal(kind, from, body), packet)
		packet[int(flippedByte)%len(packet)] ^= 1
		_, _, _, ok = s.open(packet)
		assert.Assert(t, !ok, "a modified packet was accepted")
	})
}
