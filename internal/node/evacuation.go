package node

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"github.com/hibiscuspost/hibiscuspost/internal/backoff"
	"github.com/hibiscuspost/hibiscuspost/internal/catalog"
)

const (
	// maxEvacuated bounds the evacuated domains in a message, and maxEvacuatedBytes their
	// names, so that it fits in one datagram. Each instance reads a larger set itself.
	maxEvacuated      = 16
	maxEvacuatedBytes = 400
	// evacuationsMaxAge is the age of the last confirmation of the set from which an
	// instance reads it itself, evacuationsReadStagger the additional wait per rank. With
	// the read, both are well below the 5 s within which an evacuation must be in force.
	evacuationsMaxAge      = 2500 * time.Millisecond
	evacuationsReadStagger = 120 * time.Millisecond
	// passedOnAge is added to the age of a confirmation by each instance that passes it on; it
	// exceeds the usual error of the estimated time of a message.
	passedOnAge = 150 * time.Millisecond
	// evacuationsSettleTime is how long after its start an instance waits for its read of
	// the declarations and for other instances before it reads the set by itself.
	evacuationsSettleTime = 300 * time.Millisecond
	// evacuationsCheckInterval is the interval between checks whether a read is due.
	evacuationsCheckInterval = 100 * time.Millisecond
	// maxBeatGap is the pause of the instance's own timer from which it counts as frozen:
	// what it knows may be older than its clock tells.
	maxBeatGap = 1200 * time.Millisecond
	// unconfirmedHold is how long after a freeze, and unknownHold how long after the
	// start, requests are not sent while the set has neither been confirmed nor heard from
	// another instance. After that neither the store nor an instance of this build is in
	// reach, and the last known set holds.
	unconfirmedHold = 1500 * time.Millisecond
	unknownHold     = 5 * time.Second
)

// EvacuationChange is a change of the evacuation of a failure domain.
type EvacuationChange struct {
	Domain string
	// Ended is set if the evacuation has been revoked.
	Ended bool
	// Version is the store's version at the change.
	Version uint64
}

// evacuationSet is the set of evacuated failure domains at a position of the store. It
// performs no I/O and reads no clock.
type evacuationSet struct {
	known    bool
	position Position
	// domains are in order and without repetitions.
	domains []string
	// confirmedAt is when the set was last known to be current, ownConfirmedAt the same
	// by a response of the store to this instance.
	confirmedAt, ownConfirmedAt time.Time
}

// replace adopts the whole set, as read from the store.
func (s *evacuationSet) replace(domains []string, position Position, at time.Time) {
	if s.known && position.Before(s.position) {
		return
	}
	s.known, s.position = true, position
	s.domains = normalizeDomains(domains)
	s.confirmedAt, s.ownConfirmedAt = latest(s.confirmedAt, at), latest(s.ownConfirmedAt, at)
}

// change applies the changes between two positions, as watched in the store. It reports
// whether the set is known up to there: if it was older than the first position, changes in
// between may be missing.
func (s *evacuationSet) change(changes []EvacuationChange, from, to Position, at time.Time) bool {
	if !s.known || s.position.Before(from) || from.Era != to.Era {
		return false
	}
	if to.Before(s.position) {
		// Another instance has told of a later state.
		return true
	}
	domains := slices.Clone(s.domains)
	for _, c := range changes {
		if s.position.Era == to.Era && c.Version <= s.position.Version {
			continue
		}
		domains = slices.DeleteFunc(domains, func(domain string) bool { return domain == c.Domain })
		if !c.Ended {
			domains = append(domains, c.Domain)
		}
	}
	s.replace(domains, to, at)
	return true
}

// sentEvacuations is the set in a message.
type sentEvacuations struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack     struct{} `msgpack:",as_array"`
	Era, Version uint64
	// AgeMs is the age of the last confirmation, OwnAgeMs that of the last response of the
	// store to the sender; unknownAge if there was none.
	AgeMs, OwnAgeMs uint32
	Domains         []string
}

// merge adopts the set of another instance if it is of a later position. A set at the same
// position confirms the own one. Confirmations are passed on with their age, to which each
// instance adds passedOnAge: they would circulate after the store has failed otherwise, since
// the time that a message takes is only estimated.
func (s *evacuationSet) merge(sent *sentEvacuations, sentAt time.Time) {
	position := Position{Era: sent.Era, Version: sent.Version}
	switch {
	case !s.known || s.position.Before(position):
		s.known, s.position, s.domains = true, position, normalizeDomains(sent.Domains)
		if sent.AgeMs != unknownAge {
			s.confirmedAt = latest(s.confirmedAt, sentAt.Add(-time.Duration(sent.AgeMs)*time.Millisecond))
		}
	case s.position == position:
		if sent.OwnAgeMs != unknownAge {
			s.confirmedAt = latest(s.confirmedAt, sentAt.Add(-time.Duration(sent.OwnAgeMs)*time.Millisecond))
		}
		if sent.AgeMs != unknownAge {
			s.confirmedAt = latest(s.confirmedAt, sentAt.Add(-time.Duration(sent.AgeMs)*time.Millisecond-passedOnAge))
		}
	}
}

// encode returns the set for a message; nil if it is not known or too large.
func (s *evacuationSet) encode(now time.Time) *sentEvacuations {
	if !s.known || len(s.domains) > maxEvacuated || len(strings.Join(s.domains, "")) > maxEvacuatedBytes {
		return nil
	}
	age := func(at time.Time) uint32 {
		if at.IsZero() {
			return unknownAge
		}
		return ageMillis(now.Sub(at))
	}
	return &sentEvacuations{
		Era: s.position.Era, Version: s.position.Version, AgeMs: age(s.confirmedAt), OwnAgeMs: age(s.ownConfirmedAt),
		Domains: s.domains,
	}
}

func normalizeDomains(domains []string) []string {
	return slices.Compact(slices.Sorted(slices.Values(domains)))
}

// freeze tells whether an instance has been frozen, from the pauses between its beats.
type freeze struct {
	lastBeat time.Duration
	// frozen is set if there was a pause; until is the time of the first beat after it.
	frozen bool
	until  time.Time
}

// beat records that the instance runs, and reports whether it was frozen since the last call, for
// more than maxGap; uptime includes the time for which the machine was suspended.
func (f *freeze) beat(uptime time.Duration, now time.Time, maxGap time.Duration) (wasFrozen bool) {
	wasFrozen = uptime-f.lastBeat > maxGap
	if wasFrozen {
		f.frozen, f.until = true, now
	}
	f.lastBeat = max(f.lastBeat, uptime)
	return wasFrozen
}

// isSince reports whether a time is after the last freeze.
func (f *freeze) isSince(at time.Time) bool { return !f.frozen || !at.Before(f.until) }

// evacuations is what this instance knows of evacuations.
type evacuations struct {
	// mu guards the fields below.
	mu     sync.Mutex
	set    evacuationSet
	freeze freeze
	// mustRead is set if the set has to be read at once.
	mustRead bool
	// heardAt is when the last message with a confirmed set was sent, failedReadAt when the last read
	// began that has failed.
	heardAt, failedReadAt time.Time
}

// mayLag reports whether the known set may be older than the time within which evacuations
// are in force, as after the start and after a freeze. The caller holds mu.
func (e *evacuations) mayLag(startedAt, now time.Time) bool {
	switch {
	case !e.set.known:
		return now.Sub(startedAt) < unknownHold
	case !e.freeze.frozen || now.Sub(e.freeze.until) >= unconfirmedHold:
		return false
	case !e.set.confirmedAt.Before(e.freeze.until.Add(-evacuationsMaxAge)):
		// The set is as current as that of an instance that was not frozen.
		return false
	}
	// While the store fails, the set of the others is the last known one.
	return !e.freeze.isSince(e.heardAt) || !e.freeze.isSince(e.failedReadAt)
}

// beat records that the instance runs. Confirmations from before a freeze no longer count: the
// clock may not tell how old they are. The caller holds mu.
func (e *evacuations) beat(uptime time.Duration, now time.Time) {
	if e.freeze.beat(uptime, now, maxBeatGap) {
		e.set.confirmedAt, e.set.ownConfirmedAt = time.Time{}, time.Time{}
	}
}

// confirmation returns the time of which a response of the store tells whose request was sent
// at startedAt; the zero time if the instance has been frozen since.
func (e *evacuations) confirmation(startedAt, at time.Time) time.Time {
	if !e.freeze.isSince(startedAt) {
		return time.Time{}
	}
	return at
}

// merge adopts the set of another instance. The caller holds mu.
func (e *evacuations) merge(sent *sentEvacuations, sentAt time.Time) {
	// After a freeze of its own, the sender has no confirmation.
	if sent.AgeMs != unknownAge {
		e.heardAt = latest(e.heardAt, sentAt)
	}
	if !e.freeze.isSince(sentAt) {
		unconfirmed := *sent
		unconfirmed.AgeMs, unconfirmed.OwnAgeMs = unknownAge, unknownAge
		sent = &unconfirmed
	}
	e.set.merge(sent, sentAt)
}

// beat records that the instance runs.
func (n *Node) beat() {
	now, uptime := n.clock.Now(), n.uptime()
	n.isResuming()
	n.evacuations.mu.Lock()
	defer n.evacuations.mu.Unlock()
	n.evacuations.beat(uptime, now)
}

// evacuationsUnknown reports whether this instance has just started and does not know yet
// which domains are evacuated.
func (n *Node) evacuationsUnknown() bool {
	n.evacuations.mu.Lock()
	defer n.evacuations.mu.Unlock()
	return !n.evacuations.set.known && n.clock.Since(n.startedAt) < unknownHold
}

// evacuationsLag reports whether requests have to wait for the set of evacuated domains.
func (n *Node) evacuationsLag() bool {
	now, uptime := n.clock.Now(), n.uptime()
	n.evacuations.mu.Lock()
	defer n.evacuations.mu.Unlock()
	n.evacuations.beat(uptime, now)
	return n.evacuations.mayLag(n.startedAt, now)
}

// evacuatedDomains returns the failure domains to which nothing is sent.
func (n *Node) evacuatedDomains() []string {
	n.evacuations.mu.Lock()
	defer n.evacuations.mu.Unlock()
	return n.evacuations.set.domains
}

// evacuationsState returns the number of evacuated domains and the age of their last
// confirmation.
func (n *Node) evacuationsState() (domains int, ageMs uint32) {
	n.evacuations.mu.Lock()
	defer n.evacuations.mu.Unlock()
	set := &n.evacuations.set
	if set.confirmedAt.IsZero() {
		return len(set.domains), unknownAge
	}
	return len(set.domains), ageMillis(n.clock.Since(set.confirmedAt))
}

// isEvacuated reports whether nothing more is sent to a target since its failure domain is
// evacuated.
func (n *Node) isEvacuated(target *catalog.Target) bool {
	return slices.Contains(n.evacuatedDomains(), target.FailureDomain)
}

// update changes the known set, and returns it as it was before and as it is after.
func (e *evacuations) update(update func(*evacuationSet)) (before, after evacuationSet) {
	e.mu.Lock()
	defer e.mu.Unlock()
	before = e.set
	update(&e.set)
	return before, e.set
}

// updateEvacuations changes the known set and puts the result in force.
func (n *Node) updateEvacuations(source string, update func(*evacuationSet)) {
	before, after := n.evacuations.update(update)
	if slices.Equal(before.domains, after.domains) {
		return
	}
	n.logEvacuations(before.domains, after, source)
	n.placeEvacuated(before.domains)
	if n.peers.topology().isAggregator || source == sourceStore {
		n.announceConfiguration()
	}
}

// placeEvacuated has targets placed by the known set; before are the domains evacuated earlier.
func (n *Node) placeEvacuated(before []string) {
	n.targetsMu.Lock()
	defer n.targetsMu.Unlock()
	n.targetsDue = n.targetsDue || n.targetsKnown.Load()
	// A concurrent update has the lists in the order of their changes: the last call uses
	// the current set.
	n.cold.assumeAll(n.targets.present, before, n.evacuatedDomains(), n.traits.current(), n.clock.Now())
	n.reuseTargets()
}

// sourceStore is the source of what this instance has read itself.
const sourceStore = "control plane"

// logEvacuations logs the evacuations that begin or end here.
func (n *Node) logEvacuations(before []string, after evacuationSet, source string) {
	fields := func(domain string) []zap.Field {
		fields := []zap.Field{
			zap.String("domain", domain), zap.String("source", source), zap.Uint64("position", after.position.Version),
			zap.Uint64("era", after.position.Era),
		}
		if !after.confirmedAt.IsZero() {
			fields = append(fields, zap.Duration("confirmed", n.clock.Since(after.confirmedAt)))
		}
		return fields
	}
	for _, domain := range after.domains {
		if !slices.Contains(before, domain) {
			n.logger.Info("evacuation begins", fields(domain)...)
		}
	}
	for _, domain := range before {
		if !slices.Contains(after.domains, domain) {
			n.logger.Info("evacuation ends", fields(domain)...)
		}
	}
}

// applyEvacuations applies the response to a read or a watch of the declarations from a
// position that began at startedAt.
func (n *Node) applyEvacuations(d *Declarations, from Position, startedAt time.Time) {
	now, uptime := n.clock.Now(), n.uptime()
	n.updateEvacuations(sourceStore, func(s *evacuationSet) {
		n.evacuations.beat(uptime, now)
		if from.IsZero() {
			var domains []string
			for _, c := range d.Evacuations {
				if !c.Ended {
					domains = append(domains, c.Domain)
				}
			}
			s.replace(domains, d.Position, n.evacuations.confirmation(startedAt, startedAt))
			return
		}
		if !s.change(d.Evacuations, from, d.Position, n.evacuations.confirmation(startedAt, now)) {
			n.evacuations.mustRead = true
		}
	})
}

// handleEvacuations merges the set of another instance.
func (n *Node) handleEvacuations(from string, m *message) {
	var sent *sentEvacuations
	if err := m.addition(additionEvacuations, &sent); err != nil {
		n.counters.DecodeErrors.Add(1)
		return
	}
	if sent == nil {
		return
	}
	n.observeEra(sent.Era)
	sentAt := n.clock.Now().Add(-n.peers.transitTime(from))
	n.updateEvacuations(from, func(*evacuationSet) { n.evacuations.merge(sent, sentAt) })
}

// followEvacuations reads the set while no other source confirms it, until the context
// ends: the instances that watch the declarations may have failed, or be of an earlier
// build.
func (n *Node) followEvacuations(ctx context.Context) {
	// The reads are few and small, and a late one delays an evacuation.
	delays := backoff.New(controlPlaneBackoff, n.newRandom())
	dependency := n.newDependency("evacuations")
	for ctx.Err() == nil {
		if delay := n.untilEvacuationsRead(); delay > 0 {
			_ = backoff.Sleep(ctx, n.clock, min(delay, evacuationsCheckInterval))
			continue
		}
		startedAt := n.clock.Now()
		domains, position, err := n.controlPlane.Evacuations(ctx)
		if ctx.Err() != nil {
			return
		}
		dependency.record(err)
		if err != nil {
			n.recordFailedRead(startedAt)
			_ = backoff.Sleep(ctx, n.clock, delays.Next())
			continue
		}
		delays.Reset()
		n.observeEra(position.Era)
		n.updateEvacuations(sourceStore, func(s *evacuationSet) {
			n.evacuations.mustRead = false
			s.replace(domains, position, n.evacuations.confirmation(startedAt, startedAt))
		})
		// A read that is older than what is known confirms nothing.
		_ = backoff.Sleep(ctx, n.clock, evacuationsCheckInterval)
	}
}

// recordFailedRead records that a read of the set which began at startedAt has failed.
func (n *Node) recordFailedRead(startedAt time.Time) {
	n.evacuations.mu.Lock()
	defer n.evacuations.mu.Unlock()
	n.evacuations.failedReadAt = startedAt
}

// untilEvacuationsRead returns the time until this instance should read the set.
func (n *Node) untilEvacuationsRead() time.Duration {
	now, rank := n.clock.Now(), min(n.rank(), maxRank)
	e := &n.evacuations
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.mustRead, e.set.known && e.mayLag(n.startedAt, now):
		return 0
	case !e.set.known:
		return evacuationsSettleTime - now.Sub(n.startedAt)
	}
	return evacuationsMaxAge + time.Duration(rank)*evacuationsReadStagger - now.Sub(e.set.confirmedAt)
}

// The positions of the additions that this build appends to those of earlier ones.
const (
	additionEvacuations = 4 + iota
	additionTraits
	additionCold
)

// appendAdditions appends to the additions of earlier builds the set of evacuated domains,
// the version of the configuration from which the traits of services are, and the cold
// targets.
func (n *Node) appendAdditions(m *message) error {
	now, uptime := n.clock.Now(), n.uptime()
	sent := func() *sentEvacuations {
		n.evacuations.mu.Lock()
		defer n.evacuations.mu.Unlock()
		// Answers to messages that waited during a freeze may precede the next beat of the timer.
		n.evacuations.beat(uptime, now)
		return n.evacuations.set.encode(now)
	}()
	return m.append(sent, n.traits.current().Version, n.cold.encode(now))
}

// append appends values to the additions.
func (m *message) append(values ...any) error {
	for _, value := range values {
		encoded, err := msgpack.Marshal(value)
		if err != nil {
			return err
		}
		m.Additions = append(m.Additions, encoded)
	}
	return nil
}
