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

// pushOrder puts members of other failure domains first, taking the domains in
// turn, so that those who get a direct copy are spread; leaving ones come last.
func pushOrder(self membership.Member, others []membership.Member) []membership.Member {
	turn := make(map[string]int)
	rank := make(map[string]int)
	for _, m := range others {
		rank[m.Name] = turn[m.FailureDomain]
		turn[m.FailureDomain]++
	}
	last := func(m membership.Member) int {
		switch {
		case m.Leaving:
			return 2
		case m.FailureDomain == self.FailureDomain:
			return 1
		default:
			return 0
		}
	}
	ordered := slices.Clone(others)
	slices.SortStableFunc(ordered, func(a, b membership.Member) int {
		return cmp.Or(cmp.Compare(last(a), last(b)), cmp.Compare(rank[a.Name], rank[b.Name]))
	})
	return ordered
}

// spread pushes a configuration to all and reports whether enough confirmed.
// The rest of the pushes go on when it returns.
func (a *Replica) spread(ctx context.Context, t *tables.Tables, order []membership.Member, count *holderCount) bool {
	if count.enough() {
		return true
	}
	held := make(chan string, len(order))
	done := make(chan struct{})
	job := relayJob{
		tables: t,
		to:     addresses(order),
		held:   func(address string) { held <- address },
		done:   func() { close(done) },
	}
	if !a.enqueue(job) {
		close(done)
	}
	for {
		select {
		case address := <-held:
			count.add(address)
			if count.enough() {
				return true
			}
		case <-done:
			return a.pushDirectly(ctx, t, order, count, held)
		case <-ctx.Done():
			return false
		}
	}
}

// pushDirectly asks the members that have not confirmed one by one.
func (a *Replica) pushDirectly(ctx context.Context, t *tables.Tables, order []membership.Member, count *holderCount, held <-chan string) bool {
	for len(held) > 0 {
		count.add(<-held)
	}
	for _, m := range order {
		if count.enough() || ctx.Err() != nil {
			break
		}
		if !count.seen[m.PeerAddress] && a.push(ctx, m.PeerAddress, pushRequest{Tables: t}) == nil {
			count.add(m.PeerAddress)
		}
	}
	return count.enough()
}

func addresses(members []membership.Member) []string {
	var all []string
	for _, m := range members {
		all = append(all, m.PeerAddress)
	}
	return all
}

// newBackoff returns waits with a random source of their own.
func (a *Replica) newBackoff(policy backoff.Policy) *backoff.Backoff {
	a.mu.Lock()
	defer a.mu.Unlock()
	return backoff.New(policy, rand.New(rand.NewPCG(a.rand.Uint64(), a.rand.Uint64())))
}
