package membership

import (
	"testing"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/peer"
)

// FuzzDatagram checks that no datagram crashes a membership or changes its own
// name.
func FuzzDatagram(f *testing.F) {
	network := peer.NewNetwork()
	bus := network.Bus("127.0.0.1:1")
	m := New(Options{Self: Member{Name: "self", PeerAddress: "127.0.0.1:1"}, Bus: bus, Clock: clockwork.NewFakeClock()})
	assert.NilError(f, bus.Start())
	sender := network.Bus("127.0.0.1:2")
	f.Add([]byte{0x80})
	f.Add([]byte{0x82, 0xa1, 0x74, 0x01, 0xa1, 0x75, 0x91, 0xc4, 0x01, 0x80})
	f.Fuzz(func(t *testing.T, body []byte) {
		_ = sender.Send("127.0.0.1:1", peer.KindProbe, body)
		assert.Equal(t, m.View().Self.Name, "self")
	})
}
