package membership

import (
	"context"
	"slices"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/hibiscuspost/hibiscuspost/internal/platform"
)

// runJoins tries to join members at addresses without a known live one: seeds,
// entries of the instance list, and dead members, which may have been behind a
// partition that has healed.
func (m *Membership) runJoins(ctx context.Context) {
	var nextList time.Time
	for ctx.Err() == nil {
		if now := m.clock.Now(); m.list != nil && !now.Before(nextList) {
			m.readInstanceList(ctx)
			nextList = now.Add(m.jitter(m.listReadInterval()))
		}
		m.joinOnce(ctx)
		wait := joinInterval
		if m.isAlone() {
			wait = joinIntervalAlone
		}
		select {
		case <-ctx.Done():
		case <-m.clock.After(m.jitter(wait)):
		}
	}
}

// isAlone reports whether no other member is live.
func (m *Membership) isAlone() bool { return len(m.View().Members) == 1 }

// listReadInterval returns the mean time between reads of the instance list. It
// keeps the reads of all instances together below maxListReadsPerSecond, and
// the bytes that each instance reads to a small part of its bandwidth budget.
func (m *Membership) listReadInterval() time.Duration {
	if m.isAlone() {
		return listIntervalAlone
	}
	m.mu.Lock()
	entries := m.listLength
	m.mu.Unlock()
	sharedInterval := time.Duration(len(m.View().Members)) * time.Second / maxListReadsPerSecond
	return max(listInterval, sharedInterval, time.Duration(entries)*listIntervalPerEntry)
}

// readInstanceList reads the addresses of the entry instances. If the list
// cannot be read, the last one read remains in use.
func (m *Membership) readInstanceList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	list, err := m.list.Instances(ctx)
	if err != nil {
		return
	}
	var addresses []string
	listedKeys := make(map[string]bool)
	for _, l := range list {
		if l.Role == platform.RoleEntry && !l.Leaving {
			addresses = append(addresses, l.Address)
			listedKeys[l.Name], listedKeys[l.Address] = true, true
		}
	}
	m.change(func(now time.Time) {
		m.listedAddresses, m.listLength = addresses, len(list)
		m.markReplaced(listedKeys, now)
	})
}

// markReplaced marks members that have been dead for longer than maxListLag as
// replaced, so that they no longer count as known, if the list shows neither
// their name nor their address. A list that lacks this instance itself is
// ignored. m.mu is held.
func (m *Membership) markReplaced(listedKeys map[string]bool, now time.Time) {
	if !listedKeys[m.self.Name] && !listedKeys[m.self.PeerAddress] {
		return
	}
	for _, r := range m.records {
		if r.state == stateDead && now.Sub(r.stateSince) > maxListLag {
			r.replaced = !listedKeys[r.member.Name] && !listedKeys[r.member.PeerAddress]
		}
	}
}

// joinOnce tries one address, or joinAttemptsAlone addresses while no other
// member is live.
func (m *Membership) joinOnce(ctx context.Context) {
	attempts := 1
	if m.isAlone() {
		attempts = joinAttemptsAlone
	}
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	var wg conc.WaitGroup
	for _, address := range m.joinCandidates(attempts) {
		// A failed attempt is retried by a later call.
		wg.Go(func() { _ = m.syncWith(ctx, address) })
	}
	wg.Wait()
}

// joinCandidates returns up to n random addresses without a live member.
func (m *Membership) joinCandidates(n int) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.hasLeft {
		return nil
	}
	excluded := map[string]bool{m.self.PeerAddress: true}
	addresses := slices.Concat(m.seeds, m.listedAddresses)
	for _, r := range m.records {
		if r.live() {
			excluded[r.member.PeerAddress] = true
		} else if r.state == stateDead {
			addresses = append(addresses, r.member.PeerAddress)
		}
	}
	addresses = slices.DeleteFunc(addresses, func(address string) bool { return excluded[address] })
	slices.Sort(addresses)
	addresses = slices.Compact(addresses)
	m.rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(n, len(addresses))]
}
