// Package credit divides the capacity of each target among the entries, the
// instances that accept requests, by leases.
//
// One member is the coordinator of a target. Each entry sends it a Report of what
// the entry runs there and what it would start, and receives a Grant: an amount of
// slots and tokens that the entry may use for LeaseDuration. A Ledger is the
// coordinator's side of one target, a Holder an entry's side, and a Limiter adapts
// the number of requests that the target is expected to sustain.
//
// Reports and grants carry absolute state, so that datagrams may be lost, repeated
// or reordered. An entry that has had no valid lease for StaticShareDelay uses its
// StaticShare of the capacity.
package credit
