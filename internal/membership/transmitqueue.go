package membership

import "slices"

// memberKey and rumorKey name pieces of news in the queue.
func memberKey(name string) string { return "m" + name }

func rumorKey(r Rumor) string { return "r" + string(rune(r.Kind)) + r.Subject }

// queuedGossip is one encoded update or rumour that is still to be sent some times.
type queuedGossip struct {
	key           string
	body          []byte
	transmitsLeft int
}

// transmitQueue holds news in the order in which they go into packets: new ones first,
// those just sent last.
type transmitQueue struct{ items []*queuedGossip }

// add adds news in place of older news with the same key.
func (q *transmitQueue) add(key string, body []byte, transmits int) {
	q.items = slices.DeleteFunc(q.items, func(n *queuedGossip) bool { return n.key == key })
	q.items = slices.Insert(q.items, 0, &queuedGossip{key: key, body: body, transmitsLeft: transmits})
}

func (q *transmitQueue) empty() bool { return len(q.items) == 0 }

// fillPacket moves news into the packet until room is used up.
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
