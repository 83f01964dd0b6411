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
	// typeIndirect asks a helper to ping To at Via.
	typeIndirect packetType = 3
	// typeRelayed tells the asker that its indirect ping was answered.
	typeRelayed packetType = 4
	// typeGossip carries news only.
	typeGossip packetType = 5
	// typeWho asks the receiver for its own member and tells the sender's, so
	// that two strangers do not ask each other in turn.
	typeWho packetType = 6
)

// packet is one datagram. News are encoded before, so that their sizes are
// known when a packet is filled.
type packet struct {
	Type     packetType
	Sequence uint32
	// From and Incarnation tell who sends.
	From        string
	Incarnation uint64
	// To is the name of the member meant; a ping to another is answered by
	// whoever is at the address now, under its own name.
	To  string
	Via string
	// Version and TableAgeMillis are the sender's Status; a negative age
	// means that none is known.
	Version        uint64
	TableAgeMillis int64
	Updates        []msgpack.RawMessage
	Rumors         []msgpack.RawMessage
}

// listOverhead allows for the longer length prefixes of filled lists.
const listOverhead = 8

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
		Version:       p.Version,
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
func (m *Membership) send(to *record, p packet, first ...[]byte) {
	if to.state != stateAlive {
		first = append(first, encode(to.update()))
	}
	p.To = to.member.Name
	m.sendTo(to.member.PeerAddress, p, first...)
}

// sendTo fills a packet with the given updates and then with news, and queues
// it; m.mu is held.
func (m *Membership) sendTo(address string, p packet, first ...[]byte) {
	p.From, p.Incarnation = m.self.Name, m.self.Incarnation
	status := m.status()
	p.Version, p.TableAgeMillis = status.Version, -1
	if status.TableAgeKnown {
		// Rounded up: a status never looks fresher than it is.
		p.TableAgeMillis = int64((status.TableAge + time.Millisecond - 1) / time.Millisecond)
	}
	room := peer.MaxDatagram - len(encode(p)) - listOverhead
	for _, u := range first {
		if len(u) <= room {
			p.Updates = append(p.Updates, u)
			room -= len(u)
		}
	}
	m.queue.fill(room, &p)
	m.out = append(m.out, outgoing{address: address, body: encode(p)})
}
