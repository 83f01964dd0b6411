package membership

import "slices"

// memberKey and rumorKey return the keys of queued updates and rumors.
func memberKey(name string) string { return "m" + name }

func rumorKey(r Rumor) string { return "r" + string(rune(r.Kind)) + r.Subject }

// queuedGossip is an encoded update or rumor with the number of transmissions
// that are left.
type queuedGossip struct {
	key           string
	body          []byte
	transmitsLeft int
}

// transmitQueue holds updates and rumors in the order in which they are put
// into packets: new ones first, those just transmitted last.
type transmitQueue struct{ items []*queuedGossip }

// add queues an item, replacing an older one with the same key.
func (q *transmitQueue) add(key string, body []byte, transmits int) {
	q.items = slices.DeleteFunc(q.items, func(n *queuedGossip) bool { return n.key == key })
	q.items = slices.Insert(q.items, 0, &queuedGossip{key: key, body: body, transmitsLeft: transmits})
}

func (q *transmitQueue) empty() bool { return len(q.items) == 0 }

// fillPacket adds queued items to the packet up to a total size of space bytes,
// and removes those that have been transmitted often enough.
func (q *transmitQueue) fillPacket(space int, p *packet) {
	var skipped, sent []*queuedGossip
	for _, n := range q.items {
		if len(n.body) > space {
			skipped = append(skipped, n)
			continue
		}
		space -= len(n.body)
		if n.key[0] == 'm' {
			p.Updates = append(p.Updates, n.body)
		} else {
			p.Rumors = append(p.Rumors, n.body)
		}
		n.transmitsLeft--
		if n.transmitsLeft > 0 {
			sent = append(sent, n)
		}
	}
	q.items = append(skipped, sent...)
}
