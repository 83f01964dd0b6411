package membership

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// methodSync compares the states of two members and exchanges the differences.
const methodSync = "membership.sync"

// syncRequest starts a sync with digests, or ends it with the updates and
// rumors that the response lacked.
type syncRequest struct {
	// Self is the sender with its current incarnation.
	Self Member `json:"self"`
	// MemberDigests and RumorDigests are empty in the final request.
	MemberDigests bucketDigests  `json:"members,omitempty"`
	RumorDigests  bucketDigests  `json:"rumors,omitempty"`
	Updates       []memberUpdate `json:"updates,omitempty"`
	Rumors        []Rumor        `json:"news,omitempty"`
	// Final is true in the second request of a sync.
	Final bool `json:"closing,omitempty"`
}

// syncResponse holds the complete contents of the buckets that differ.
type syncResponse struct {
	Self    Member         `json:"self"`
	Updates []memberUpdate `json:"updates,omitempty"`
	Rumors  []Rumor        `json:"news,omitempty"`
	// MembersDiffer and RumorsDiffer are the buckets that are included.
	MembersDiffer bucketSet `json:"members_differ,omitempty"`
	RumorsDiffer  bucketSet `json:"rumors_differ,omitempty"`
}

// runSyncs syncs with random members at random intervals, and without further
// delay after a pause, until ctx ends.
func (m *Membership) runSyncs(ctx context.Context) {
	m.change(m.scheduleSync)
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.clock.After(tickInterval):
		}
		if m.syncDue() {
			m.syncWithRandomMember(ctx)
			m.change(m.scheduleSync)
		}
	}
}

func (m *Membership) syncDue() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.hasLeft && (m.resyncPending || !m.clock.Now().Before(m.nextSync))
}

// scheduleSync sets the time of the next sync. The first syncs after joining
// follow each other faster: when many instances start at once, the member
// joined through did not yet know all of them. m.mu is held.
func (m *Membership) scheduleSync(now time.Time) {
	mean := syncInterval
	if m.fastSyncsLeft > 0 {
		m.fastSyncsLeft--
		mean = fastSyncInterval
	}
	m.nextSync = now.Add(m.jitterLocked(mean))
}

// jitter returns a random duration between half and one and a half of mean.
func (m *Membership) jitter(mean time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.jitterLocked(mean)
}

// jitterLocked is jitter for callers that hold m.mu.
func (m *Membership) jitterLocked(mean time.Duration) time.Duration {
	return mean/2 + time.Duration(m.rand.Int64N(int64(mean)))
}

// syncWithRandomMember syncs with one random live member.
func (m *Membership) syncWithRandomMember(ctx context.Context) {
	m.mu.Lock()
	var address string
	for _, name := range m.randomMembers(1, "") {
		address = m.records[name].member.PeerAddress
	}
	m.mu.Unlock()
	if address == "" {
		m.change(func(time.Time) { m.resyncPending = false })
		return
	}
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	// A failed sync is followed by one with a random member.
	_ = m.syncWith(ctx, address)
}

// syncWith syncs with the instance at the address, whether it is known or not.
func (m *Membership) syncWith(ctx context.Context, address string) error {
	var response syncResponse
	if err := m.bus.Call(ctx, address, methodSync, m.newSyncRequest(), &response); err != nil {
		return err
	}
	final := syncRequest{Final: true}
	var incarnationBefore uint64
	m.change(func(now time.Time) {
		m.resyncPending = false
		m.lastAck = now
		incarnationBefore = m.self.Incarnation
		final.Updates = m.updatesMissingFrom(response)
		final.Rumors = m.rumorsMissingFrom(response, now)
		m.gossipSuppressed = len(m.records) == 0
		if m.gossipSuppressed {
			m.fastSyncsLeft = fastSyncCount
			m.scheduleSync(now)
		}
		m.mergeUpdate(memberUpdate{Member: response.Self, State: stateAlive}, now)
		for _, u := range response.Updates {
			m.mergeUpdate(u, now)
		}
		m.gossipSuppressed = false
		for _, r := range response.Rumors {
			m.mergeRumor(r, now)
		}
		final.Self = m.self
	})
	refuted := final.Self.Incarnation != incarnationBefore
	if !refuted && len(final.Updates) == 0 && len(final.Rumors) == 0 {
		return nil
	}
	return m.bus.Call(ctx, address, methodSync, final, nil)
}

func (m *Membership) newSyncRequest() syncRequest {
	m.mu.Lock()
	defer m.mu.Unlock()
	return syncRequest{Self: m.self, MemberDigests: m.memberDigests(), RumorDigests: m.rumorDigests(m.clock.Now())}
}

// handleSync handles both requests of a sync.
func (m *Membership) handleSync(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var request syncRequest
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, errors.Wrap(err, "membership: sync")
	}
	var response syncResponse
	m.change(func(now time.Time) {
		if m.hasLeft {
			return
		}
		m.mergeUpdate(memberUpdate{Member: request.Self, State: stateAlive}, now)
		for _, u := range request.Updates {
			m.mergeUpdate(u, now)
		}
		for _, r := range request.Rumors {
			m.mergeRumor(r, now)
		}
		response = m.buildSyncResponse(request, now)
	})
	if response.Self.Name == "" {
		return nil, errors.New("membership: this instance has left")
	}
	return response, nil
}

// buildSyncResponse returns the buckets whose digests differ from those of the
// request; m.mu is held.
func (m *Membership) buildSyncResponse(request syncRequest, now time.Time) syncResponse {
	response := syncResponse{Self: m.self}
	if request.Final {
		return response
	}
	response.MembersDiffer = request.MemberDigests.differingBuckets(m.memberDigests())
	response.RumorsDiffer = request.RumorDigests.differingBuckets(m.rumorDigests(now))
	for name, r := range m.records {
		if response.MembersDiffer.contains(name) {
			response.Updates = append(response.Updates, r.toUpdate())
		}
	}
	for _, r := range m.allRumors(now) {
		if response.RumorsDiffer.contains(rumorKey(r)) {
			response.Rumors = append(response.Rumors, r)
		}
	}
	return response
}

// updatesMissingFrom returns the updates that the response lacks or has in an
// older version; m.mu is held.
func (m *Membership) updatesMissingFrom(response syncResponse) []memberUpdate {
	remoteRecords := make(map[string]*record)
	for _, u := range response.Updates {
		remoteRecords[u.Member.Name] = &record{member: u.Member, state: u.State}
	}
	var missing []memberUpdate
	for name, r := range m.records {
		if name == response.Self.Name || !response.MembersDiffer.contains(name) {
			continue
		}
		if remote := remoteRecords[name]; remote == nil || remote.supersededBy(r.toUpdate()) {
			missing = append(missing, r.toUpdate())
		}
	}
	return missing
}

// rumorsMissingFrom returns the rumors that the response lacks or has with a
// lower rank; m.mu is held.
func (m *Membership) rumorsMissingFrom(response syncResponse, now time.Time) []Rumor {
	remoteRanks := make(map[string]uint64)
	for _, r := range response.Rumors {
		remoteRanks[rumorKey(r)] = r.Rank
	}
	var missing []Rumor
	for _, r := range m.allRumors(now) {
		rank, ok := remoteRanks[rumorKey(r)]
		if response.RumorsDiffer.contains(rumorKey(r)) && (!ok || rank < r.Rank) {
			missing = append(missing, r)
		}
	}
	return missing
}

// allRumors returns the rumors of all kinds, sorted by key; m.mu is held.
func (m *Membership) allRumors(now time.Time) []Rumor {
	var rumors []Rumor
	for kind := range rumorLimits {
		rumors = append(rumors, m.rumors.ofKind(kind, now)...)
	}
	slices.SortFunc(rumors, func(a, b Rumor) int { return cmp.Compare(rumorKey(a), rumorKey(b)) })
	return rumors
}
