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
	// leaseTable holds one row for each live lease, by lease id. A lease id is
	// never used twice, so that a row's version never starts again.
	leaseTable = "leases"
	// shardTable holds one row for each shard that was ever held. Rows are
	// never deleted, so that their versions only rise.
	shardTable = "shards"
)

// Times of leases. They are the same at all instances.
const (
	// LeaseTTL is how long a lease lives at most after its last renewal, and
	// MinLeaseTTL how long at least. The holder writes its own into the row.
	LeaseTTL    = 8 * time.Second
	MinLeaseTTL = 4 * time.Second
	// ttlPerInstance is the part of a lease's life for each live instance, so
	// that all renewals together stay near 100 writes/s.
	ttlPerInstance = 25 * time.Millisecond
	// RenewEvery is the longest pause between renewals: half of the lease.
	RenewEvery = LeaseTTL / 2
	// LeaseMargin is how much earlier a holder stops; it allows for clocks that
	// run at different speeds.
	LeaseMargin = time.Second
	// VouchTTL is how long the word of all witnesses extends a lease.
	VouchTTL = time.Second
	// VouchMargin is how much earlier a holder stops on witnesses' words.
	VouchMargin = 200 * time.Millisecond
	// VouchEvery is the pause between questions to the witnesses.
	VouchEvery = 250 * time.Millisecond
	// vouchLead is how long after a renewal was due the witnesses are asked.
	vouchLead = 500 * time.Millisecond
	// OutageLimit bounds for how long a holder goes on without the table
	// service, and so how long a successor waits when no witness answers.
	OutageLimit = 30 * time.Minute
	// witnessCount is the number of witnesses of a lease.
	witnessCount = 2
)

// witness is an instance that can extend a lease while the table service is
// down, and can end that for a successor.
type witness struct {
	Name        string `msgpack:"n"`
	PeerAddress string `msgpack:"p"`
	Process     uint64 `msgpack:"i"`
}

// leaseRow is the content of a lease's row.
type leaseRow struct {
	// Attempt numbers the holder's writes, to settle a lost answer.
	Attempt   uint64    `msgpack:"a"`
	Witnesses []witness `msgpack:"w"`
	// TTLMillis is how long the lease lives after this renewal, in ms.
	TTLMillis int64 `msgpack:"t"`
	// Solo is set when the holder saw no other instance, so that its records
	// exist nowhere else.
	Solo bool `msgpack:"s,omitempty"`
	// EndedMillis is the wall clock of the successor that ended the lease, in
	// ms since 1970; 0 for a live lease. A lease does not come back.
	EndedMillis int64 `msgpack:"e,omitempty"`
}

// ttl returns how long the lease lives after this renewal.
func (r *leaseRow) ttl() time.Duration { return time.Duration(r.TTLMillis) * time.Millisecond }

// leaseTTL returns the life of a lease among so many live instances.
func leaseTTL(members int) time.Duration {
	return min(max(time.Duration(members)*ttlPerInstance, MinLeaseTTL), LeaseTTL)
}

// shardRow is the content of a shard's row.
type shardRow struct {
	// Lease is the holder's lease id; empty for a released shard.
	Lease string `msgpack:"l"`
	// Holder is the instance that holds, or last held, the shard.
	Holder membership.Member `msgpack:"h"`
	// Heir is the identity of the instance that was given all records
	// of a released shard.
	Heir string `msgpack:"n,omitempty"`
	// Origin is what the holder found when it took the shard, for the case that
	// the answer to that write is lost.
	Origin Acquired `msgpack:"o"`
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

// duty is the rendezvous key of a shard.
func (s Shard) duty() string { return "shard/" + strconv.Itoa(int(s)) }

// identity tells processes with one name apart.
func identity(m membership.Member) string {
	return m.Name + "/" + strconv.FormatUint(m.ProcessID(), 16)
}

// present tells whether the very process is in the view.
func present(view *membership.View, name string, process uint64) bool {
	for _, m := range view.Members {
		if m.Name == name && m.ProcessID() == process {
			return true
		}
	}
	return false
}

// placement is the owner of every shard in one view.
type placement struct {
	view   *membership.View
	owners [ShardCount]membership.Member
}

func newPlacement(view *membership.View) *placement {
	p := &placement{view: view}
	for shard := range p.owners {
		p.owners[shard] = membership.Owner(view, Shard(shard).duty())
	}
	return p
}

// chooseWitnesses picks witnesses in failure domains other than the holder's
// and each other's, as far as there are any.
func chooseWitnesses(view *membership.View) []witness {
	ranked := membership.RankMembers(view, "witness/"+view.Self.Name)
	used := map[string]bool{view.Self.FailureDomain: true}
	var first, rest []membership.Member
	for _, m := range ranked {
		switch {
		case m.Name == view.Self.Name || m.Leaving:
		case used[m.FailureDomain]:
			rest = append(rest, m)
		default:
			used[m.FailureDomain] = true
			first = append(first, m)
		}
	}
	var chosen []witness
	for _, m := range append(first, rest...) {
		if len(chosen) == witnessCount {
			break
		}
		chosen = append(chosen, witness{m.Name, m.PeerAddress, m.ProcessID()})
	}
	return chosen
}
