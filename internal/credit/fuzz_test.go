package credit

import (
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"
)

func FuzzDecode(f *testing.F) {
	seed, err := msgpack.Marshal(&Datagram{})
	assert.NilError(f, err)
	f.Add(seed)
	f.Add([]byte{0x93, 0xc0, 0x01})
	f.Fuzz(func(t *testing.T, body []byte) {
		d, err := Decode(body)
		assert.Equal(t, d == nil, err != nil)
	})
}
