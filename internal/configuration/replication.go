package configuration

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"

	"github.com/hibiscuspost/hibiscuspost/internal/backoff"
	"github.com/hibiscuspost/hibiscuspost/internal/membership"
	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

// pushOrder returns the peers in the order of pushing. Members of other failure
// domains come first, alternating between the domains so that the direct copies
// are spread over them; leaving members come last.
func pushOrder(self membership.Member, peers []membership.Member) []membership.Member {
	domainCounts := make(map[string]int)
	rankInDomain := make(map[string]int)
	for _, m := range peers {
		rankInDomain[m.Name] = domainCounts[m.FailureDomain]
		domainCounts[m.FailureDomain]++
	}
	priority := func(m membership.Member) int {
		switch {
		case m.Leaving:
			return 2
		case m.FailureDomain == self.FailureDomain:
			return 1
		default:
			return 0
		}
	}
	ordered := slices.Clone(peers)
	slices.SortStableFunc(ordered, func(a, b membership.Member) int {
		return cmp.Or(cmp.Compare(priority(a), priority(b)), cmp.Compare(rankInDomain[a.Name], rankInDomain[b.Name]))
	})
	return ordered
}

// pushToAll pushes a configuration to all members and reports whether enough of
// them confirmed. It returns as soon as they have; the remaining pushes
// continue.
func (r *Replica) pushToAll(ctx context.Context, t *tables.Tables, order []membership.Member, confirmations *confirmationCount) bool {
	if confirmations.complete() {
		return true
	}
	confirmed := make(chan string, len(order))
	done := make(chan struct{})
	job := relayJob{
		tables:      t,
		addresses:   peerAddresses(order),
		onConfirmed: func(address string) { confirmed <- address },
		onDone:      func() { close(done) },
	}
	if !r.enqueueRelay(job) {
		close(done)
	}
	for {
		select {
		case address := <-confirmed:
			confirmations.add(address)
			if confirmations.complete() {
				return true
			}
		case <-done:
			return r.pushDirectly(ctx, t, order, confirmations, confirmed)
		case <-ctx.Done():
			return false
		}
	}
}

// pushDirectly pushes to the members that have not confirmed, one by one, until
// enough have.
func (r *Replica) pushDirectly(ctx context.Context, t *tables.Tables, order []membership.Member, confirmations *confirmationCount, confirmed <-chan string) bool {
	for len(confirmed) > 0 {
		confirmations.add(<-confirmed)
	}
	for _, m := range order {
		if confirmations.complete() || ctx.Err() != nil {
			break
		}
		if !confirmations.confirmed[m.PeerAddress] && r.push(ctx, m.PeerAddress, pushRequest{Tables: t}) == nil {
			confirmations.add(m.PeerAddress)
		}
	}
	return confirmations.complete()
}

func peerAddresses(members []membership.Member) []string {
	var all []string
	for _, m := range members {
		all = append(all, m.PeerAddress)
	}
	return all
}

// newBackoff returns a backoff with its own random source.
func (r *Replica) newBackoff(policy backoff.Policy) *backoff.Backoff {
	r.mu.Lock()
	defer r.mu.Unlock()
	return backoff.New(policy, rand.New(rand.NewPCG(r.rand.Uint64(), r.rand.Uint64())))
}
