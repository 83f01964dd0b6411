package placement

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxCoordinators bounds the coordinators, so that the list fits in one packet.
const maxCoordinators = 48

// Roster is the list of coordinators, the same at all instances but for a
// moment after a change. The coordinator of a group follows from the group's
// place and the list, so that a replacement moves only the groups of the one
// that is replaced.
type Roster struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	// Epoch increases with each change.
	Epoch     uint64
	Addresses []string
}

// Digest tells lists apart.
func (r *Roster) Digest() uint32 {
	digest := xxhash.New()
	_, _ = digest.WriteString(strconv.FormatUint(r.Epoch, 10))
	for _, address := range r.Addresses {
		_, _ = digest.WriteString("|" + address)
	}
	return uint32(digest.Sum64())
}

// Instance is one that may coordinate.
type Instance struct {
	Address string
	// Capacity is its processor share in hundredths of a core.
	Capacity int
}

// Supersedes reports whether the roster replaces another. Of two with the same
// epoch, as two sides of a partition may have made them, the same one wins
// everywhere.
func (r *Roster) Supersedes(than *Roster) bool {
	if r.Epoch != than.Epoch {
		return r.Epoch > than.Epoch
	}
	return slices.Compare(r.Addresses, than.Addresses) > 0
}

// Next returns the roster for so many groups and the given instances, which
// are alive; those listed already keep their places. It reports whether
// anything has changed.
func (r *Roster) Next(groups int, alive []Instance) (*Roster, bool) {
	size := min(groups, len(alive), maxCoordinators)
	order := slices.Clone(alive)
	slices.SortFunc(order, func(a, b Instance) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity),
			cmp.Compare(xxhash.Sum64String(a.Address), xxhash.Sum64String(b.Address)))
	})
	living := make(map[string]bool, len(alive))
	for _, instance := range alive {
		living[instance.Address] = true
	}
	next := &Roster{Epoch: r.Epoch + 1, Addresses: make([]string, size)}
	used := make(map[string]bool, size)
	for i := range min(size, len(r.Addresses)) {
		if address := r.Addresses[i]; living[address] && !used[address] {
			next.Addresses[i] = address
			used[address] = true
		}
	}
	for i, address := range next.Addresses {
		if address != "" {
			continue
		}
		for len(order) > 0 && used[order[0].Address] {
			order = order[1:]
		}
		next.Addresses[i] = order[0].Address
		used[order[0].Address] = true
	}
	return next, !slices.Equal(next.Addresses, r.Addresses)
}

// roomPeriod is the time between two messages of a coordinator about its room.
func (r *Roster) roomPeriod() time.Duration {
	return max(roomPeriod, time.Duration(len(r.Addresses))*roomPerOther)
}

// coordinator returns who coordinates the group at a place, passing over those
// that do not answer; "" when there is none left.
func (r *Roster) coordinator(place int, passedOver func(string) bool) string {
	for i := range r.Addresses {
		if address := r.Addresses[(place+i)%len(r.Addresses)]; !passedOver(address) {
			return address
		}
	}
	return ""
}
