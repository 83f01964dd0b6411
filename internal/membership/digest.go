package membership

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// buckets is into how many parts a state is divided for comparison, so that a
// small difference costs a small exchange.
const buckets = 32

// bucketOf returns the bucket of a member's name or a rumour's key.
func bucketOf(key string) int { return int(xxhash.Sum64String(key) % buckets) }

// digests holds one digest a bucket.
type digests []uint32

// bucketSet is a set of buckets, one bit each.
type bucketSet uint32

func (s bucketSet) has(key string) bool { return s&(1<<bucketOf(key)) != 0 }

// differ returns the buckets in which two states differ.
func (d digests) differ(other digests) bucketSet {
	var set bucketSet
	for i := range buckets {
		if i >= len(d) || i >= len(other) || d[i] != other[i] {
			set |= 1 << i
		}
	}
	return set
}

// numbered is a key with the number that tells its versions apart.
type numbered struct {
	key    string
	number uint64
}

// digest returns the digests of items, in whatever order they come.
func digest(items []numbered) digests {
	slices.SortFunc(items, func(a, b numbered) int { return cmp.Compare(a.key, b.key) })
	var sums [buckets]xxhash.Digest
	for i := range sums {
		sums[i].Reset()
	}
	for _, item := range items {
		sum := &sums[bucketOf(item.key)]
		_, _ = sum.WriteString(item.key)
		_, _ = sum.Write(binary.BigEndian.AppendUint64([]byte{0}, item.number))
	}
	all := make(digests, buckets)
	for i := range sums {
		all[i] = uint32(sums[i].Sum64())
	}
	return all
}

// memberDigests covers the live members with this instance, so that two that
// agree have the same; m.mu is held.
func (m *Membership) memberDigests() digests {
	live := []numbered{{m.self.Name, m.self.Incarnation}}
	for _, r := range m.records {
		if r.live() {
			live = append(live, numbered{r.member.Name, r.member.Incarnation})
		}
	}
	return digest(live)
}

// rumorDigests covers the rumours that have not expired; m.mu is held.
func (m *Membership) rumorDigests(now time.Time) digests {
	var items []numbered
	for _, r := range m.allRumors(now) {
		items = append(items, numbered{rumorKey(r), r.Rank})
	}
	return digest(items)
}
