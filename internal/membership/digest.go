package membership

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// bucketCount is the number of buckets into which the state is divided for
// comparison, so that a small difference costs a small exchange.
const bucketCount = 32

// bucketOf returns the bucket of a member's name or a rumor's key.
func bucketOf(key string) int { return int(xxhash.Sum64String(key) % bucketCount) }

// bucketDigests holds one digest for each bucket.
type bucketDigests []uint32

// bucketSet is a set of buckets, one bit each.
type bucketSet uint32

func (s bucketSet) contains(key string) bool { return s&(1<<bucketOf(key)) != 0 }

// differingBuckets returns the buckets in which two states differ.
func (d bucketDigests) differingBuckets(other bucketDigests) bucketSet {
	var differing bucketSet
	for i := range bucketCount {
		if i >= len(d) || i >= len(other) || d[i] != other[i] {
			differing |= 1 << i
		}
	}
	return differing
}

// versionedKey is a member's name with its incarnation, or a rumor's key with
// its rank.
type versionedKey struct {
	key     string
	version uint64
}

// computeDigests returns the digests of items. The result does not depend on
// their order.
func computeDigests(items []versionedKey) bucketDigests {
	slices.SortFunc(items, func(a, b versionedKey) int { return cmp.Compare(a.key, b.key) })
	var sums [bucketCount]xxhash.Digest
	for i := range sums {
		sums[i].Reset()
	}
	for _, item := range items {
		sum := &sums[bucketOf(item.key)]
		_, _ = sum.WriteString(item.key)
		_, _ = sum.Write(binary.BigEndian.AppendUint64([]byte{0}, item.version))
	}
	digests := make(bucketDigests, bucketCount)
	for i := range sums {
		digests[i] = uint32(sums[i].Sum64())
	}
	return digests
}

// memberDigests returns the digests of the live members and this instance,
// which are the same on two instances with the same view; m.mu is held.
func (m *Membership) memberDigests() bucketDigests {
	items := []versionedKey{{m.self.Name, m.self.Incarnation}}
	for _, r := range m.records {
		if r.live() {
			items = append(items, versionedKey{r.member.Name, r.member.Incarnation})
		}
	}
	return computeDigests(items)
}

// rumorDigests returns the digests of the rumors that have not expired; m.mu is
// held.
func (m *Membership) rumorDigests(now time.Time) bucketDigests {
	var items []versionedKey
	for _, r := range m.allRumors(now) {
		items = append(items, versionedKey{rumorKey(r), r.Rank})
	}
	return computeDigests(items)
}
