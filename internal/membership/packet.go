package membership

import (
	"bytes"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/hibiscuspost/hibiscuspost/internal/peer"
)

// packetType is the type of a datagram.
type packetType uint8

const (
	// typePing requests an acknowledgement from Target.
	typePing packetType = 1
	// typeAck acknowledges the ping with the same sequence number.
	typeAck packetType = 2
	// typeIndirectPing requests the receiver to ping Target at TargetAddress.
	typeIndirectPing packetType = 3
	// typeRelayedAck reports to the sender of an indirect ping that its target
	// has acknowledged.
	typeRelayedAck packetType = 4
	// typeGossip carries only updates and rumors.
	typeGossip packetType = 5
	// typeMemberRequest requests the receiver's own member update and carries
	// that of the sender. It is not itself answered by a typeMemberRequest, so that two
	// instances that do not know each other do not exchange requests without
	// end.
	typeMemberRequest packetType = 6
)

// packet is one datagram. Updates and rumors are encoded in advance, so that
// their sizes are known when the packet is filled.
type packet struct {
	Type     packetType
	Sequence uint32
	// Sender and Incarnation identify the sending process.
	Sender      string
	Incarnation uint64
	// Target is the name of the intended receiver, or of the member to be
	// probed. A ping is answered by whichever process is at the address, under
	// its own name.
	Target        string
	TargetAddress string
	// ConfigVersion and TableAgeMillis are the sender's Status; a negative age
	// means that none is known.
	ConfigVersion  uint64
	TableAgeMillis int64
	Updates        []msgpack.RawMessage
	Rumors         []msgpack.RawMessage
}

// arrayHeaderReserve is the space in bytes for the longer length prefixes of
// non-empty arrays.
const arrayHeaderReserve = 8

// Status is the configuration status that an instance sends with each packet.
type Status struct {
	// Version is the current configuration version of the instance.
	Version uint64
	// TableAge is the time since the start of the latest read of the
	// configuration row that is known to the instance, by whichever instance.
	// The instance holds at least the version that this read found. It is valid
	// if TableAgeKnown is true.
	TableAge      time.Duration
	TableAgeKnown bool
}

// ReceivedStatus is a Status received from another instance.
type ReceivedStatus struct {
	Member Member
	Status Status
	// AsOf is a lower bound of the time at which the status was sent: the time
	// of the probe whose acknowledgement carried it. It is zero for an
	// unsolicited status, which may have been buffered for an unknown time.
	AsOf time.Time
}

// statusOf returns the sender's status.
func statusOf(p *packet) Status {
	return Status{
		Version:       p.ConfigVersion,
		TableAge:      time.Duration(p.TableAgeMillis) * time.Millisecond,
		TableAgeKnown: p.TableAgeMillis >= 0,
	}
}

// encode encodes structs as arrays, which omits the field names. It cannot fail
// for the types of this package.
func encode(v any) []byte {
	var body bytes.Buffer
	encoder := msgpack.GetEncoder()
	defer msgpack.PutEncoder(encoder)
	encoder.Reset(&body)
	encoder.UseArrayEncodedStructs(true)
	encoder.UseCompactInts(true)
	if err := encoder.Encode(v); err != nil {
		panic(err)
	}
	return body.Bytes()
}

// send queues a packet to a member. If the member is not alive, the packet
// carries its recorded state, so that it can refute. m.mu is held.
func (m *Membership) send(to *record, p packet, priorityUpdates ...[]byte) {
	if to.state != stateAlive {
		priorityUpdates = append(priorityUpdates, encode(to.toUpdate()))
	}
	p.Target = to.member.Name
	m.sendToAddress(to.member.PeerAddress, p, priorityUpdates...)
}

// sendToAddress fills a packet with the given updates and then with queued
// gossip, and queues it; m.mu is held.
func (m *Membership) sendToAddress(address string, p packet, priorityUpdates ...[]byte) {
	p.Sender, p.Incarnation = m.self.Name, m.self.Incarnation
	status := m.localStatus()
	p.ConfigVersion, p.TableAgeMillis = status.Version, -1
	if status.TableAgeKnown {
		// Rounded up, so that a status never appears fresher than it is.
		p.TableAgeMillis = int64((status.TableAge + time.Millisecond - 1) / time.Millisecond)
	}
	space := peer.MaxDatagramBytes - len(encode(p)) - arrayHeaderReserve
	for _, u := range priorityUpdates {
		if len(u) <= space {
			p.Updates = append(p.Updates, u)
			space -= len(u)
		}
	}
	m.gossipQueue.fillPacket(space, &p)
	m.outgoing = append(m.outgoing, datagram{address: address, body: encode(p)})
}
