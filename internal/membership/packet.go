package membership

import (
	"bytes"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/hibiscuspost/hibiscuspost/internal/peer"
)

// packetType tells the datagrams of the protocol apart.
type packetType uint8

const (
	// typePing asks To for an acknowledgement.
	typePing packetType = 1
	// typeAck answers a ping with its sequence number.
	typeAck packetType = 2
	// typeIndirectPing asks a helper to ping To at Via.
	typeIndirectPing packetType = 3
	// typeRelayedAck tells the asker that its indirect ping was answered.
	typeRelayedAck packetType = 4
	// typeGossip carries news only.
	typeGossip packetType = 5
	// typeMemberRequest asks the receiver for its own member and tells the sender's, so
	// that two strangers do not ask each other in turn.
	typeMemberRequest packetType = 6
)

// packet is one datagram. News are encoded before, so that their sizes are
// known when a packet is filled.
type packet struct {
	Type     packetType
	Sequence uint32
	// Sender and Incarnation tell who sends.
	Sender      string
	Incarnation uint64
	// Target is the name of the member meant; a ping to another is answered by
	// whoever is at the address now, under its own name.
	Target        string
	TargetAddress string
	// ConfigVersion and TableAgeMillis are the sender's Status; a negative age
	// means that none is known.
	ConfigVersion  uint64
	TableAgeMillis int64
	Updates        []msgpack.RawMessage
	Rumors         []msgpack.RawMessage
}

// arrayHeaderReserve allows for the longer length prefixes of filled lists.
const arrayHeaderReserve = 8

// Status is what an instance tells of its configuration on each probe.
type Status struct {
	// Version is the configuration version that it holds.
	Version uint64
	// TableAge is how long ago the newest read of the configuration row known
	// to it was begun, by whichever instance; it holds at least the version
	// that this read found. It is valid if TableKnown is set.
	TableAge      time.Duration
	TableAgeKnown bool
}

// ReceivedStatus is a Status received from another instance.
type ReceivedStatus struct {
	Member Member
	Status Status
	// AsOf is a time at which the status cannot have been older than it says:
	// when the probe was sent whose answer carried it. It is zero for an
	// unsolicited status, which may have waited in a buffer for long.
	AsOf time.Time
}

func statusOf(p *packet) Status {
	return Status{
		Version:       p.ConfigVersion,
		TableAge:      time.Duration(p.TableAgeMillis) * time.Millisecond,
		TableAgeKnown: p.TableAgeMillis >= 0,
	}
}

// encode writes structs as arrays, which leaves the field names out; it cannot
// fail for the package's own types.
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

// send queues a packet to a member, with what is said of it when that is not
// alive, so that it can refute; m.mu is held.
func (m *Membership) send(to *record, p packet, priorityUpdates ...[]byte) {
	if to.state != stateAlive {
		priorityUpdates = append(priorityUpdates, encode(to.toUpdate()))
	}
	p.Target = to.member.Name
	m.sendToAddress(to.member.PeerAddress, p, priorityUpdates...)
}

// sendToAddress fills a packet with the given updates and then with news, and queues
// it; m.mu is held.
func (m *Membership) sendToAddress(address string, p packet, priorityUpdates ...[]byte) {
	p.Sender, p.Incarnation = m.self.Name, m.self.Incarnation
	status := m.localStatus()
	p.ConfigVersion, p.TableAgeMillis = status.Version, -1
	if status.TableAgeKnown {
		// Rounded up: a status never looks fresher than it is.
		p.TableAgeMillis = int64((status.TableAge + time.Millisecond - 1) / time.Millisecond)
	}
	space := peer.MaxDatagram - len(encode(p)) - arrayHeaderReserve
	for _, u := range priorityUpdates {
		if len(u) <= space {
			p.Updates = append(p.Updates, u)
			space -= len(u)
		}
	}
	m.gossipQueue.fillPacket(space, &p)
	m.outgoing = append(m.outgoing, datagram{address: address, body: encode(p)})
}
