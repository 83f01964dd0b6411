package node

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/hibiscuspost/hibiscuspost/internal/eventlog"
)

const (
	// methodMembers requests the addresses of the live instances.
	methodMembers = "members"
	// memberInterval is the interval between renewals of an announcement, and between
	// requests for the addresses of the others.
	memberInterval = 20 * time.Second
	// renewalCheckInterval is the interval between checks which announcements are due. It
	// is shorter, so that after a start of all instances the others hear of a renewal
	// before they see to their own.
	renewalCheckInterval = memberInterval / 2
	// maxRenewalAge is the age of the last renewal of all announcements above which an
	// instance renews its own; announcements are valid for longer.
	maxRenewalAge = 2 * memberInterval
	// maxOwnAge is the age up to which an instance that starts relies on the announcement
	// of its previous life.
	maxOwnAge = memberInterval * 3 / 2
)

// membersRequest requests the addresses of the live instances.
type membersRequest struct {
	// Known is the digest of the addresses that the instance received last.
	Known uint64 `json:"known,omitempty"`
}

// membersResponse is the response to a membersRequest. Addresses is empty if their
// digest is the known one.
type membersResponse struct {
	Digest    uint64   `json:"digest"`
	Addresses []string `json:"addresses,omitempty"`
}

// memberList is what an instance knows of the others from the store or an aggregator.
// Only followMembers uses it.
type memberList struct {
	*Node
	// addresses are those received last from an aggregator, with their digest.
	addresses []string
	digest    uint64
	announced bool
}

// followMembers keeps this instance announced and the addresses of the others known,
// until the context ends.
//
// The control plane is read and written by each instance at its start only. Then the
// first live instance renews the announcements of all, a few calls for hundreds of
// instances, and the others learn the addresses from aggregators. An instance that does
// not hear of renewals, or gets no addresses, calls the control plane itself.
func (n *Node) followMembers(ctx context.Context) {
	delays := n.newRetryDelays()
	dependency := n.newDependency("list of instances")
	list := memberList{Node: n}
	requested := false
	for ctx.Err() == nil {
		err := list.refresh(ctx, requested)
		if ctx.Err() != nil {
			return
		}
		dependency.record(err)
		delay := memberInterval
		switch {
		case err != nil:
			delay = delays.next()
		case n.rank() == 0:
			delay = renewalCheckInterval
			delays.reset()
		default:
			delays.reset()
		}
		select {
		case <-ctx.Done():
		case <-n.announceNow:
			requested = true
		case <-n.clock.After(delay):
			requested = requested && err != nil
		}
	}
}

// refresh does what is due. requested is set if the announcement must be written at once.
func (l *memberList) refresh(ctx context.Context, requested bool) error {
	renews := l.announced && l.rank() == 0 && !l.draining.Load()
	if l.announced && !renews && !requested && l.isRenewed() && l.fetchAddresses(ctx) {
		return nil
	}
	members, verdicts, err := l.controlPlane.Members(ctx)
	if err != nil {
		return err
	}
	l.peers.addMembers(members)
	l.quotaGate.setMembersKnown()
	l.divideBudgets()
	for _, v := range verdicts {
		l.quarantine.AddVerdict(v)
	}
	own, isOwn := l.quarantine.Verdicts()
	if requested || isOwn || !l.isListed(members) {
		err = l.controlPlane.Announce(ctx, Member{Name: l.settings.Name, Address: l.settings.PeerAddress, Verdicts: own})
	}
	if err == nil && renews {
		err = l.renew(ctx, members)
	}
	l.announced = l.announced || err == nil
	return err
}

// isRenewed reports whether another instance renews the announcements.
func (n *Node) isRenewed() bool {
	return n.watchAgeMillis(&n.renewedNanos) < uint32(maxRenewalAge.Milliseconds())
}

// isListed reports whether this instance has been announced recently.
func (n *Node) isListed(members []Member) bool {
	for _, m := range members {
		if m.Name == n.settings.Name {
			return m.Address == n.settings.PeerAddress && m.Age < maxOwnAge
		}
	}
	return false
}

// renew renews the announcements of the other live instances.
func (l *memberList) renew(ctx context.Context, members []Member) error {
	ages := make(map[string]time.Duration, len(members))
	for _, m := range members {
		ages[m.Address] = m.Age
	}
	var due []Member
	for _, p := range l.peers.live() {
		if age, ok := ages[p.address]; !p.draining && (!ok || age >= memberInterval-renewalCheckInterval/2) {
			due = append(due, Member{Name: p.name, Address: p.address})
		}
	}
	if err := l.controlPlane.Renew(ctx, due); err != nil {
		return err
	}
	l.renewedNanos.Store(l.clock.Since(l.startedAt).Nanoseconds())
	return nil
}

// handleRenewalAge records a renewal of the announcements that another instance knows of.
func (n *Node) handleRenewalAge(m *message) {
	age, err := m.renewalAgeMs()
	if err != nil {
		n.counters.DecodeErrors.Add(1)
		return
	}
	if age == unknownAge {
		return
	}
	renewedAt := max(1, (n.clock.Since(n.startedAt) - time.Duration(age)*time.Millisecond).Nanoseconds())
	for known := n.renewedNanos.Load(); renewedAt > known; known = n.renewedNanos.Load() {
		if n.renewedNanos.CompareAndSwap(known, renewedAt) {
			return
		}
	}
}

// fetchAddresses keeps the addresses of the other instances known. It reports whether
// that succeeded without the control plane: an instance that hears all others needs
// nothing, others ask their aggregator.
func (l *memberList) fetchAddresses(ctx context.Context) bool {
	t := l.peers.topology()
	if !t.aggregated || t.isAggregator {
		return len(l.peers.live()) > 0
	}
	if len(t.recipients) == 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var response membersResponse
	if err := l.bus.Call(ctx, t.recipients[0], methodMembers, membersRequest{Known: l.digest}, &response); err != nil {
		l.logger.Warn("cannot fetch addresses from aggregator", zap.String("from", t.recipients[0]), eventlog.ErrorField(err))
		return false
	}
	if response.Digest != l.digest {
		l.addresses, l.digest = response.Addresses, response.Digest
	}
	l.peers.addAddresses(l.addresses)
	return len(l.addresses) > 0
}

// handleMembersRequest sends the addresses of the live instances.
func (n *Node) handleMembersRequest(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var request membersRequest
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, errors.Wrap(err, "decode members request")
	}
	addresses := []string{n.settings.PeerAddress}
	for _, p := range n.peers.live() {
		addresses = append(addresses, p.address)
	}
	response := membersResponse{Digest: digestOfAddresses(addresses), Addresses: addresses}
	if response.Digest == request.Known {
		response.Addresses = nil
	}
	return response, nil
}

// digestOfAddresses identifies a set of addresses, independently of their order.
func digestOfAddresses(addresses []string) (digest uint64) {
	for _, address := range addresses {
		digest += xxhash.Sum64String(address)
	}
	return digest
}
