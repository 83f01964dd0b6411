package peer

import (
	"crypto/hmac"
	"crypto/sha256"
	"hash"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuspost/hibiscuspost/internal/backoff"
	"github.com/hibiscuspost/hibiscuspost/internal/contain"
	"github.com/hibiscuspost/hibiscuspost/internal/eventlog"
	"github.com/hibiscuspost/hibiscuspost/internal/fault"
)

// A packet consists of the kind (1 byte), the length of the sender's address
// (1 byte), the address, the body, and the first macBytes of an HMAC-SHA256 over
// all preceding bytes. Whoever can read packets can replay them, so the handling
// of datagrams must be idempotent.
const (
	macBytes       = 16
	maxPacketBytes = 2 + maxAddressBytes + MaxDatagramBytes + macBytes
)

// datagramRetryDelay is the delay after a failed read.
const datagramRetryDelay = 50 * time.Millisecond

// sealer adds and verifies the MACs of packets.
type sealer struct{ macPool sync.Pool }

func newSealer(secret []byte) *sealer {
	key := append([]byte("hibiscuspost datagram\x00"), secret...)
	s := &sealer{}
	s.macPool.New = func() any { return hmac.New(sha256.New, key) }
	return s
}

// appendMAC appends the truncated MAC of data to dst.
func (s *sealer) appendMAC(dst, data []byte) []byte {
	mac := s.macPool.Get().(hash.Hash)
	defer s.macPool.Put(mac)
	mac.Reset()
	_, _ = mac.Write(data)
	var full [sha256.Size]byte
	return append(dst, mac.Sum(full[:0])[:macBytes]...)
}

func (s *sealer) seal(kind DatagramKind, from string, body []byte) []byte {
	packet := make([]byte, 0, 2+len(from)+len(body)+macBytes)
	packet = append(packet, byte(kind), byte(len(from)))
	packet = append(packet, from...)
	packet = append(packet, body...)
	return s.appendMAC(packet, packet)
}

// open verifies and parses a packet; ok is false if the packet is malformed or not
// sealed with the secret.
func (s *sealer) open(packet []byte) (kind DatagramKind, from string, body []byte, ok bool) {
	if len(packet) < 2+macBytes {
		return 0, "", nil, false
	}
	signed := packet[:len(packet)-macBytes]
	var expected [macBytes]byte
	if !hmac.Equal(packet[len(signed):], s.appendMAC(expected[:0], signed)) {
		return 0, "", nil, false
	}
	addressLen := int(signed[1])
	if len(signed) < 2+addressLen {
		return 0, "", nil, false
	}
	return DatagramKind(signed[0]), string(signed[2 : 2+addressLen]), signed[2+addressLen:], true
}

// Send implements Bus.
func (b *NetBus) Send(address string, kind DatagramKind, body []byte) error {
	if len(body) > MaxDatagramBytes {
		return fault.At(fault.StepPeer, address, errors.Newf("datagram of %d bytes is too long", len(body)))
	}
	destination, err := netip.ParseAddrPort(address)
	if err != nil {
		return fault.At(fault.StepPeer, address, err)
	}
	n, err := b.sendPacket(b.udpConn, b.sealer.seal(kind, b.address, body), destination)
	transferredBytes.Add(uint64(n))
	return fault.At(fault.StepPeer, address, err)
}

// receiveDatagrams passes datagrams to their handlers until the bus is closed.
// Invalid packets and those without a handler are dropped. After an error, which may last,
// the socket is read again after datagramRetryDelay.
func (b *NetBus) receiveDatagrams() {
	buffer := make([]byte, maxPacketBytes+1)
	isFailing := false
	for {
		n, _, err := b.udpConn.ReadFromUDPAddrPort(buffer)
		if b.ctx.Err() != nil {
			return
		}
		if err != nil {
			datagramReadFailures.Add(1)
			if !isFailing {
				b.logger.Warn("datagrams cannot be read; it is tried again", eventlog.ErrorField(err))
			}
			isFailing = true
			if backoff.Sleep(b.ctx, b.clock, datagramRetryDelay) != nil {
				return
			}
			continue
		}
		if isFailing {
			isFailing = false
			b.logger.Info("datagrams are read again")
		}
		kind, from, body, ok := b.sealer.open(buffer[:n])
		if !ok {
			continue
		}
		if handler := b.datagramHandlers[kind]; handler != nil {
			contain.Run(b.logger, "datagram of a peer", func() { handler(from, body) })
		}
	}
}
