package peer

import (
	"crypto/hmac"
	"crypto/sha256"
	"hash"
	"net/netip"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuspost/hibiscuspost/internal/fault"
)

// A packet is: kind (1 byte), length of the sender's address (1 byte), the
// address, the body, and the first macBytes of an HMAC-SHA256 over all before.
// Packets may be replayed by whoever can read them; flows are idempotent.
const (
	macBytes  = 16
	maxPacket = 2 + maxAddress + MaxDatagramBytes + macBytes
)

// sealer adds and checks the MACs of packets.
type sealer struct{ pool sync.Pool }

func newSealer(secret []byte) *sealer {
	key := append([]byte("hibiscuspost datagram\x00"), secret...)
	s := &sealer{}
	s.pool.New = func() any { return hmac.New(sha256.New, key) }
	return s
}

// sum appends the truncated MAC of data to out.
func (s *sealer) sum(out, data []byte) []byte {
	mac := s.pool.Get().(hash.Hash)
	defer s.pool.Put(mac)
	mac.Reset()
	_, _ = mac.Write(data)
	var full [sha256.Size]byte
	return append(out, mac.Sum(full[:0])[:macBytes]...)
}

func (s *sealer) seal(kind DatagramKind, from string, body []byte) []byte {
	packet := make([]byte, 0, 2+len(from)+len(body)+macBytes)
	packet = append(packet, byte(kind), byte(len(from)))
	packet = append(packet, from...)
	packet = append(packet, body...)
	return s.sum(packet, packet)
}

// open checks a packet; ok is false for anything not sealed with the secret.
func (s *sealer) open(packet []byte) (kind DatagramKind, from string, body []byte, ok bool) {
	if len(packet) < 2+macBytes {
		return 0, "", nil, false
	}
	signed := packet[:len(packet)-macBytes]
	var expected [macBytes]byte
	if !hmac.Equal(packet[len(signed):], s.sum(expected[:0], signed)) {
		return 0, "", nil, false
	}
	size := int(signed[1])
	if len(signed) < 2+size {
		return 0, "", nil, false
	}
	return DatagramKind(signed[0]), string(signed[2 : 2+size]), signed[2+size:], true
}

// Send implements Bus.
func (b *NetBus) Send(address string, kind DatagramKind, body []byte) error {
	if len(body) > MaxDatagramBytes {
		return fault.At(fault.StepPeer, address, errors.Newf("a datagram of %d bytes", len(body)))
	}
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return fault.At(fault.StepPeer, address, err)
	}
	n, err := b.packets.WriteToUDPAddrPort(b.sealer.seal(kind, b.address, body), to)
	carried.Add(uint64(n))
	return fault.At(fault.StepPeer, address, err)
}

// receive hands datagrams to their handlers until the socket is closed.
func (b *NetBus) receive() {
	buffer := make([]byte, maxPacket+1)
	for {
		n, _, err := b.packets.ReadFromUDPAddrPort(buffer)
		if b.ctx.Err() != nil {
			return
		}
		if err != nil {
			continue
		}
		kind, from, body, ok := b.sealer.open(buffer[:n])
		if !ok {
			continue
		}
		if handler := b.datagrams[kind]; handler != nil {
			handler(from, body)
		}
	}
}
