package once

import (
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/hibiscuspost/hibiscuspost/internal/membership"
	"github.com/hibiscuspost/hibiscuspost/internal/platform"
)

const (
	// leaseTable holds one row for each lease, by lease ID, until the row is
	// deleted after the lease has ended. A lease ID is never reused, so a
	// deleted row is not inserted again with a version seen before.
	leaseTable = "leases"
	// shardTable holds one row for each shard that has ever been held. Rows are
	// never deleted, so their versions only increase.
	shardTable = "shards"
)

// Durations of leases and confirmations. They must be the same at all
// instances.
const (
	// MaxLeaseTTL and MinLeaseTTL bound how long a lease is valid after its
	// last renewal. The holder writes the actual TTL into the lease row.
	MaxLeaseTTL = 8 * time.Second
	MinLeaseTTL = 4 * time.Second
	// ttlPerInstance is the TTL of a lease for each live instance; it keeps the
	// renewals of all instances together near 100 writes/s.
	ttlPerInstance = 25 * time.Millisecond
	// MaxRenewInterval is the longest interval between renewals, half of the
	// longest lease. It is also the timeout of a transaction of Shards and of
	// reading the lease row back.
	MaxRenewInterval = MaxLeaseTTL / 2
	// LeaseSafetyMargin is how long before its lease expires a holder stops. It
	// allows for clocks that run at different speeds.
	LeaseSafetyMargin = time.Second
	// ConfirmTTL is how long a confirmation by all witnesses extends a lease.
	ConfirmTTL = time.Second
	// ConfirmSafetyMargin is how long before a confirmation expires a holder
	// stops.
	ConfirmSafetyMargin = 200 * time.Millisecond
	// ConfirmInterval is the time between two rounds of confirmation requests.
	ConfirmInterval = 250 * time.Millisecond
	// confirmDelay is how long a renewal must be overdue before the witnesses
	// are contacted.
	confirmDelay = 500 * time.Millisecond
	// MaxTableOutage bounds how long a holder extends its lease without the
	// table service, and therefore how long a successor waits if no witness
	// responds.
	MaxTableOutage = 30 * time.Minute
	witnessCount   = 2
)

// witness is an instance that confirms a lease to its holder while the table
// service is down, and that can revoke it for a successor.
type witness struct {
	Name        string `msgpack:"n"`
	PeerAddress string `msgpack:"p"`
	Process     uint64 `msgpack:"i"`
}

// leaseRow is the stored value of a lease.
type leaseRow struct {
	// Attempt numbers the holder's writes, so that the holder can tell which
	// one took effect after a response was lost.
	Attempt   uint64    `msgpack:"a"`
	Witnesses []witness `msgpack:"w"`
	// TTLMillis is how long the lease is valid after this renewal.
	TTLMillis int64 `msgpack:"t"`
	// SoleInstance is set when the holder saw no other instance that stays, so
	// its records may not be replicated.
	SoleInstance bool `msgpack:"s,omitempty"`
	// EndedMillis is when the lease ended, by the wall clock of whoever ended
	// it, in milliseconds since 1970; 0 for a live lease. An ended lease is
	// never renewed.
	EndedMillis int64 `msgpack:"e,omitempty"`
}

// ttl returns how long the lease is valid after this renewal.
func (r *leaseRow) ttl() time.Duration { return time.Duration(r.TTLMillis) * time.Millisecond }

// leaseTTL returns the TTL of a lease for the given number of live instances.
func leaseTTL(members int) time.Duration {
	return min(max(time.Duration(members)*ttlPerInstance, MinLeaseTTL), MaxLeaseTTL)
}

// shardRow is the stored value of a shard.
type shardRow struct {
	// LeaseID is the holder's lease; empty for a released shard.
	LeaseID string `msgpack:"l"`
	// Holder is the instance that holds, or last held, the shard.
	Holder membership.Member `msgpack:"h"`
	// Successor is the identity of the instance to which all records of a
	// released shard were handed over; empty if they may not have arrived.
	Successor string `msgpack:"n,omitempty"`
	// Origin is what the holder found when it took the shard. It is used if the
	// response to that write is lost.
	Origin Acquisition `msgpack:"o"`
}

func encodeRow(value any) []byte {
	raw, err := msgpack.Marshal(value)
	if err != nil {
		panic(errors.Wrap(err, "encode row")) // row types have no field that can fail
	}
	return raw
}

func leaseKey(id string) platform.Key { return platform.Key{Table: leaseTable, ID: id} }

func shardKey(shard Shard) platform.Key {
	return platform.Key{Table: shardTable, ID: strconv.Itoa(int(shard))}
}

// rendezvousKey returns the key by which rendezvous hashing assigns the shard.
func (s Shard) rendezvousKey() string { return "shard/" + strconv.Itoa(int(s)) }

// identity returns a name that distinguishes processes of the same instance
// name.
func identity(m membership.Member) string {
	return m.Name + "/" + strconv.FormatUint(m.ProcessID(), 16)
}

// inView reports whether this very process, not just one of its name, is in the
// view.
func inView(view *membership.View, name string, process uint64) bool {
	for _, m := range view.Members {
		if m.Name == name && m.ProcessID() == process {
			return true
		}
	}
	return false
}

// placement holds the owner of every shard in one view.
type placement struct {
	view   *membership.View
	owners [ShardCount]membership.Member
}

func newPlacement(view *membership.View) *placement {
	p := &placement{view: view}
	for shard := range p.owners {
		p.owners[shard] = membership.Owner(view, Shard(shard).rendezvousKey())
	}
	return p
}

// chooseWitnesses selects witnesses in failure domains other than the holder's
// and each other's, as far as there are any.
func chooseWitnesses(view *membership.View) []witness {
	ranked := membership.RankMembers(view, "witness/"+view.Self.Name)
	usedDomains := map[string]bool{view.Self.FailureDomain: true}
	var newDomain, usedDomain []membership.Member
	for _, m := range ranked {
		switch {
		case m.Name == view.Self.Name || m.Leaving:
		case usedDomains[m.FailureDomain]:
			usedDomain = append(usedDomain, m)
		default:
			usedDomains[m.FailureDomain] = true
			newDomain = append(newDomain, m)
		}
	}
	var chosen []witness
	for _, m := range append(newDomain, usedDomain...) {
		if len(chosen) == witnessCount {
			break
		}
		chosen = append(chosen, witness{m.Name, m.PeerAddress, m.ProcessID()})
	}
	return chosen
}
