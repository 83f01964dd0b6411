package membership

import "slices"

// memberKey and rumorKey name pieces of news in the queue.
func memberKey(name string) string { return "m" + name }

func rumorKey(r Rumor) string { return "r" + string(rune(r.Kind)) + r.Subject }

// news is one encoded update or rumour that is still to be sent some times.
type news struct {
	key  string
	body []byte
	left int
}

// queue holds news in the order in which they go into packets: new ones first,
// those just sent last.
type queue struct{ items []*news }

// put adds news in place of older news with the same key.
func (q *queue) put(key string, body []byte, times int) {
	q.items = slices.DeleteFunc(q.items, func(n *news) bool { return n.key == key })
	q.items = slices.Insert(q.items, 0, &news{key: key, body: body, left: times})
}

func (q *queue) empty() bool { return len(q.items) == 0 }

// fill moves news into the packet until room is used up.
func (q *queue) fill(room int, p *packet) {
	var kept, sent []*news
	for _, n := range q.items {
		if len(n.body) > room {
			kept = append(kept, n)
			continue
		}
		room -= len(n.body)
		if n.key[0] == 'm' {
			p.Updates = append(p.Updates, n.body)
		} else {
			p.Rumors = append(p.Rumors, n.body)
		}
		n.left--
		if n.left > 0 {
			sent = append(sent, n)
		}
	}
	q.items = append(kept, sent...)
}
