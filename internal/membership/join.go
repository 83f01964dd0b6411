package membership

import (
	"context"
	"slices"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/hibiscuspost/hibiscuspost/internal/platform"
)

// runJoins seeks members at addresses where no live one is known: seeds, the
// instance list, and members held for dead, which may be behind a partition
// that has healed.
func (m *Membership) runJoins(ctx context.Context) {
	var nextList time.Time
	for ctx.Err() == nil {
		if now := m.clock.Now(); m.list != nil && !now.Before(nextList) {
			m.readList(ctx)
			nextList = now.Add(m.jitter(m.listWait()))
		}
		m.joinOnce(ctx)
		wait := joinInterval
		if m.alone() {
			wait = joinIntervalAlone
		}
		select {
		case <-ctx.Done():
		case <-m.clock.After(m.jitter(wait)):
		}
	}
}

func (m *Membership) alone() bool { return len(m.View().Members) == 1 }

// listWait keeps the reads of all instances together within listReads, and the
// bytes that each reads within a small part of its budget.
func (m *Membership) listWait() time.Duration {
	if m.alone() {
		return listIntervalAlone
	}
	m.mu.Lock()
	entries := m.listEntries
	m.mu.Unlock()
	shared := time.Duration(len(m.View().Members)) * time.Second / listReads
	return max(listInterval, shared, time.Duration(entries)*listPerEntry)
}

// readList takes the addresses of entry instances; while the list cannot be
// read the last one stands.
func (m *Membership) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	list, err := m.list.Instances(ctx)
	if err != nil {
		return
	}
	var addresses []string
	shown := make(map[string]bool)
	for _, l := range list {
		if l.Role == platform.RoleEntry && !l.Leaving {
			addresses = append(addresses, l.Address)
			shown[l.Name], shown[l.Address] = true, true
		}
	}
	m.change(func(now time.Time) {
		m.listed, m.listEntries = addresses, len(list)
		m.noteGone(shown, now)
	})
}

// noteGone stops counting dead members that the list no longer shows, by name
// or address. A list that lacks this instance itself says nothing. m.mu is held.
func (m *Membership) noteGone(shown map[string]bool, now time.Time) {
	if !shown[m.self.Name] && !shown[m.self.PeerAddress] {
		return
	}
	for _, r := range m.records {
		if r.state == stateDead && now.Sub(r.changed) > listLag {
			r.replaced = !shown[r.member.Name] && !shown[r.member.PeerAddress]
		}
	}
}

// joinOnce tries one address, or some while this instance knows no other.
func (m *Membership) joinOnce(ctx context.Context) {
	tries := 1
	if m.alone() {
		tries = joinsAlone
	}
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	var wg conc.WaitGroup
	for _, address := range m.candidates(tries) {
		// A failed attempt is repeated in its turn.
		wg.Go(func() { _ = m.syncWith(ctx, address) })
	}
	wg.Wait()
}

// candidates returns up to n random addresses without a live member.
func (m *Membership) candidates(n int) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.left {
		return nil
	}
	taken := map[string]bool{m.self.PeerAddress: true}
	all := slices.Concat(m.seeds, m.listed)
	for _, r := range m.records {
		if r.live() {
			taken[r.member.PeerAddress] = true
		} else if r.state == stateDead {
			all = append(all, r.member.PeerAddress)
		}
	}
	all = slices.DeleteFunc(all, func(address string) bool { return taken[address] })
	slices.Sort(all)
	all = slices.Compact(all)
	m.rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(n, len(all))]
}
