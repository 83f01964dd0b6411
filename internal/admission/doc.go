// Package admission decides when and on which target each request runs.
//
// An entry is an instance that accepts requests. For each target, one instance is
// the coordinator, which divides the target's capacity among the entries by
// leases (package credit). A Controller has both roles.
//
// # Admission
//
// Admit first tries to start the request immediately: if no request is queued for
// its pool, a routing.Policy picks among the targets on which this entry has
// unused capacity. That path takes no locks of this package but those of the
// targets on which it tries to start the request. Otherwise the request joins its
// pool's queue, and Admit ends with a Grant, a fault.Refusal, ErrDraining, or the
// context's error.
//
// The queue orders requests by tier, and within a tier by start-time fair
// queueing over client accounts in estimated tokens. If the next request fits on
// no target, the one expected to have enough KV tokens first is reserved for it, so
// that smaller requests cannot starve it. Other requests may use the other targets.
//
// # Invariants
//
//   - When a request starts, what the entry runs on the target does not exceed its
//     allowance there: a lease from the target's coordinator, or its static share.
//   - A request is refused before the end of its wait only if the coordinators of
//     all usable targets of its pool have confirmed, within the last second, that
//     no lower tier runs there, and this entry runs none itself. Until then the
//     coordinators keep lower tiers from starting, and lower-tier requests are
//     cancelled when the estimated service time leaves no more slack.
//   - Every Admit ends with exactly one result. The package itself finishes a Grant
//     whose caller no longer waits for it.
//   - Per-account state exists only while the account has requests waiting.
//
// # Background work
//
// Run performs a step periodically and after changes. A step applies grants,
// starts or refuses queued requests, and exchanges credits with the coordinators.
// Datagrams carry absolute state, so that they may be lost, repeated or
// reordered. The datagram handler only appends to an inbox.
package admission
