package membership

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// methodSync compares two members' states and exchanges what differs.
const methodSync = "membership.sync"

// syncRequest opens a comparison with digests, or ends it with the news that
// the answer lacked.
type syncRequest struct {
	// Self is the caller, as it is now.
	Self Member `json:"self"`
	// Members and Rumors are digests; the second request has none.
	Members digests  `json:"members,omitempty"`
	Rumors  digests  `json:"rumors,omitempty"`
	Updates []update `json:"updates,omitempty"`
	News    []Rumor  `json:"news,omitempty"`
	// Closing marks the second request.
	Closing bool `json:"closing,omitempty"`
}

// syncAnswer holds the buckets that differ, in full.
type syncAnswer struct {
	Self    Member   `json:"self"`
	Updates []update `json:"updates,omitempty"`
	News    []Rumor  `json:"news,omitempty"`
	// MembersDiffer and RumorsDiffer tell which buckets are given.
	MembersDiffer bucketSet `json:"members_differ,omitempty"`
	RumorsDiffer  bucketSet `json:"rumors_differ,omitempty"`
}

// runSyncs compares with a random member now and then, and at once after a
// pause.
func (m *Membership) runSyncs(ctx context.Context) {
	m.change(m.planSync)
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.clock.After(tickInterval):
		}
		if m.syncDue() {
			m.syncOnce(ctx)
			m.change(m.planSync)
		}
	}
}

func (m *Membership) syncDue() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.left && (m.resync || !m.clock.Now().Before(m.nextSync))
}

// planSync sets the time of the next comparison. The first ones after joining
// follow each other faster: when many start at once, the member joined by did
// not know all the others yet. m.mu is held.
func (m *Membership) planSync(now time.Time) {
	mean := syncInterval
	if m.eagerSyncs > 0 {
		m.eagerSyncs--
		mean = eagerSyncInterval
	}
	m.nextSync = now.Add(m.jittered(mean))
}

// jitter returns a time between half and one and a half of mean.
func (m *Membership) jitter(mean time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.jittered(mean)
}

// jittered is jitter for callers that hold m.mu.
func (m *Membership) jittered(mean time.Duration) time.Duration {
	return mean/2 + time.Duration(m.rand.Int64N(int64(mean)))
}

// syncOnce compares with one random live member.
func (m *Membership) syncOnce(ctx context.Context) {
	m.mu.Lock()
	var address string
	for _, name := range m.pick(1, "") {
		address = m.records[name].member.PeerAddress
	}
	m.mu.Unlock()
	if address == "" {
		m.change(func(time.Time) { m.resync = false })
		return
	}
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	// A failed comparison is followed by one with another member.
	_ = m.syncWith(ctx, address)
}

// syncWith compares with whoever is at the address, known or not.
func (m *Membership) syncWith(ctx context.Context, address string) error {
	var answer syncAnswer
	if err := m.bus.Call(ctx, address, methodSync, m.openSync(), &answer); err != nil {
		return err
	}
	closing := syncRequest{Closing: true}
	var before uint64
	m.change(func(now time.Time) {
		m.resync = false
		m.lastAck = now
		before = m.self.Incarnation
		closing.Updates = m.missing(answer)
		closing.News = m.missingRumors(answer, now)
		m.quiet = len(m.records) == 0
		if m.quiet {
			m.eagerSyncs = eagerSyncs
			m.planSync(now)
		}
		m.merge(update{Member: answer.Self, State: stateAlive}, now)
		for _, u := range answer.Updates {
			m.merge(u, now)
		}
		m.quiet = false
		for _, r := range answer.News {
			m.mergeRumor(r, now)
		}
		closing.Self = m.self
	})
	refuted := closing.Self.Incarnation != before
	if !refuted && len(closing.Updates) == 0 && len(closing.News) == 0 {
		return nil
	}
	return m.bus.Call(ctx, address, methodSync, closing, nil)
}

func (m *Membership) openSync() syncRequest {
	m.mu.Lock()
	defer m.mu.Unlock()
	return syncRequest{Self: m.self, Members: m.memberDigests(), Rumors: m.rumorDigests(m.clock.Now())}
}

// serveSync answers a comparison.
func (m *Membership) serveSync(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var request syncRequest
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, errors.Wrap(err, "membership: sync")
	}
	var answer syncAnswer
	m.change(func(now time.Time) {
		if m.left {
			return
		}
		m.merge(update{Member: request.Self, State: stateAlive}, now)
		for _, u := range request.Updates {
			m.merge(u, now)
		}
		for _, r := range request.News {
			m.mergeRumor(r, now)
		}
		answer = m.answerSync(request, now)
	})
	if answer.Self.Name == "" {
		return nil, errors.New("membership: this instance has left")
	}
	return answer, nil
}

// answerSync returns the buckets whose digests differ; m.mu is held.
func (m *Membership) answerSync(request syncRequest, now time.Time) syncAnswer {
	answer := syncAnswer{Self: m.self}
	if request.Closing {
		return answer
	}
	answer.MembersDiffer = request.Members.differ(m.memberDigests())
	answer.RumorsDiffer = request.Rumors.differ(m.rumorDigests(now))
	for name, r := range m.records {
		if answer.MembersDiffer.has(name) {
			answer.Updates = append(answer.Updates, r.update())
		}
	}
	for _, r := range m.allRumors(now) {
		if answer.RumorsDiffer.has(rumorKey(r)) {
			answer.News = append(answer.News, r)
		}
	}
	return answer
}

// missing returns the statements that the answer lacks; m.mu is held.
func (m *Membership) missing(answer syncAnswer) []update {
	theirs := make(map[string]*record)
	for _, u := range answer.Updates {
		theirs[u.Member.Name] = &record{member: u.Member, state: u.State}
	}
	var newer []update
	for name, r := range m.records {
		if name == answer.Self.Name || !answer.MembersDiffer.has(name) {
			continue
		}
		if their := theirs[name]; their == nil || their.older(r.update()) {
			newer = append(newer, r.update())
		}
	}
	return newer
}

func (m *Membership) missingRumors(answer syncAnswer, now time.Time) []Rumor {
	theirs := make(map[string]uint64)
	for _, r := range answer.News {
		theirs[rumorKey(r)] = r.Rank
	}
	var newer []Rumor
	for _, r := range m.allRumors(now) {
		rank, ok := theirs[rumorKey(r)]
		if answer.RumorsDiffer.has(rumorKey(r)) && (!ok || rank < r.Rank) {
			newer = append(newer, r)
		}
	}
	return newer
}

func (m *Membership) allRumors(now time.Time) []Rumor {
	var all []Rumor
	for kind := range rumorLimits {
		all = append(all, m.rumors.all(kind, now)...)
	}
	slices.SortFunc(all, func(a, b Rumor) int { return cmp.Compare(rumorKey(a), rumorKey(b)) })
	return all
}
