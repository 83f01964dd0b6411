package node

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscuspost/hibiscuspost/internal/catalog"
)

const (
	// maxColdInMessage bounds the cold targets in a message, so that it fits in one
	// datagram. Successive messages name different ones if there are more.
	maxColdInMessage = 12
	// minColdGain is by how much another instance's statement must exceed what is known.
	// Without it, times that are passed on grow by their time on the way.
	minColdGain = 250 * time.Millisecond
	// coldRefresh is for how long messages name the same cold targets and times. It is well
	// below minColdGain.
	coldRefresh = 50 * time.Millisecond
	// maxColdTime bounds the time for which a target is taken to be cold.
	maxColdTime = time.Minute
	// coldRetention is how long the state of a target is kept that is no longer listed: a
	// target that returns after less is known to have returned.
	coldRetention = 2 * time.Minute
	// maxColdStates bounds the targets whose states are kept.
	maxColdStates = 4096
)

// coldTargets tells until when targets are cold. An entry in the list gives the rest of the
// time as of an unknown moment, so that it counts from when the value was first seen. A
// target that is new in the list, returns to it, or whose failure domain is no longer
// evacuated is assumed to be cold, since its entry may be older than its state. A known time
// is never shortened.
type coldTargets struct {
	// mu guards the fields below.
	mu      sync.Mutex
	targets map[catalog.TargetKey]*coldState
	// byID holds the same states by the IDs in messages.
	byID map[uint32]*coldState
	// isFilled is set after the first read of the whole list, next is the index of the target
	// that the next message names first.
	isFilled bool
	next     int
	// sent is what messages name, as of sentAt: an aggregator sends hundreds a second.
	sent   []sentCold
	sentAt time.Time
}

// coldState is what is known of one incarnation.
type coldState struct {
	until time.Time
	// sequenceNumber and left are those of the last entry.
	sequenceNumber int64
	left           time.Duration
	// listedAt is when the target was last listed; isListed is set while it is.
	listedAt time.Time
	isListed bool
}

func (s *coldState) extend(left time.Duration, now time.Time) bool {
	until := now.Add(min(left, maxColdTime))
	if left <= 0 || !until.After(s.until) {
		return false
	}
	s.until = until
	return true
}

func (c *coldTargets) state(key catalog.TargetKey) *coldState {
	s := c.targets[key]
	if s == nil {
		s = &coldState{}
		if c.targets == nil {
			c.targets, c.byID = make(map[catalog.TargetKey]*coldState), make(map[uint32]*coldState)
		}
		c.targets[key], c.byID[coldID(key)] = s, s
	}
	return s
}

// observe records the targets in use. It reports whether any is cold for longer than was
// known.
func (c *coldTargets) observe(present map[catalog.TargetKey]*catalog.Target, traits *serviceTraits, now time.Time) (changed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	changed = c.record(present, traits, now)
	c.isFilled = true
	return changed
}

// observePart is observe for a part of the list: targets that are new in the list later may have
// been there.
func (c *coldTargets) observePart(present map[catalog.TargetKey]*catalog.Target, traits *serviceTraits, now time.Time) (changed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.record(present, traits, now)
}

// record is the part of observe that holds for any targets in use. The caller holds mu.
func (c *coldTargets) record(present map[catalog.TargetKey]*catalog.Target, traits *serviceTraits, now time.Time) (changed bool) {
	for key, target := range present {
		s := c.state(key)
		if c.isFilled && !s.isListed && c.assume(s, target, traits, now) {
			changed = true
		}
		if (target.SequenceNumber != s.sequenceNumber || target.ColdLeft != s.left) && s.extend(target.ColdLeft, now) {
			changed = true
		}
		s.sequenceNumber, s.left, s.isListed, s.listedAt = target.SequenceNumber, target.ColdLeft, true, now
	}
	for key, s := range c.targets {
		if present[key] != nil {
			continue
		}
		s.isListed = false
		if now.After(s.until) && (now.Sub(s.listedAt) > coldRetention || len(c.targets) > maxColdStates) {
			delete(c.targets, key)
			delete(c.byID, coldID(key))
		}
	}
	return changed
}

// assume takes a target to have just started.
func (c *coldTargets) assume(s *coldState, target *catalog.Target, traits *serviceTraits, now time.Time) bool {
	t := traits.Traits[target.Service]
	return t.ColdRate > 0 && s.extend(t.ColdStart, now)
}

// assumeAll takes the targets to be cold whose failure domains are no longer evacuated.
func (c *coldTargets) assumeAll(present map[catalog.TargetKey]*catalog.Target, before, after []string, traits *serviceTraits, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, target := range present {
		if slices.Contains(before, target.FailureDomain) && !slices.Contains(after, target.FailureDomain) {
			c.assume(c.state(key), target, traits, now)
		}
	}
}

// until returns until when a target is cold; the zero time if it is not known to be.
func (c *coldTargets) until(key catalog.TargetKey, now time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.targets[key]; s != nil && s.until.After(now) {
		return s.until
	}
	return time.Time{}
}

// count returns the number of cold targets.
func (c *coldTargets) count(now time.Time) (cold int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.targets {
		if s.isListed && s.until.After(now) {
			cold++
		}
	}
	return cold
}

// sentCold is a cold target in a message.
type sentCold struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`
	// Target identifies the incarnation; see coldID.
	Target uint32
	LeftMs uint32
}

// coldID identifies an incarnation of a target in messages.
func coldID(key catalog.TargetKey) uint32 { return uint32(xxhash.Sum64String(key.String())) }

// encode returns cold targets for a message: only the instance that reads the list sees what
// entries give, since it is no change of the list.
func (c *coldTargets) encode(now time.Time) []sentCold {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sentAt.IsZero() || now.Sub(c.sentAt) >= coldRefresh {
		c.sent, c.sentAt = c.choose(now), now
	}
	return c.sent
}

// choose returns the cold targets that the next messages name. The caller holds mu.
func (c *coldTargets) choose(now time.Time) []sentCold {
	var cold []sentCold
	for key, s := range c.targets {
		if left := s.until.Sub(now).Milliseconds(); left > 0 {
			cold = append(cold, sentCold{Target: coldID(key), LeftMs: uint32(left)})
		}
	}
	if len(cold) <= maxColdInMessage {
		return cold
	}
	slices.SortFunc(cold, func(a, b sentCold) int { return cmp.Compare(a.Target, b.Target) })
	var chosen []sentCold
	for i := range maxColdInMessage {
		chosen = append(chosen, cold[(c.next+i)%len(cold)])
	}
	c.next = (c.next + maxColdInMessage) % len(cold)
	return chosen
}

// merge records what another instance states. It reports whether any target is cold for
// longer than was known.
func (c *coldTargets) merge(sent []sentCold, sentAt, now time.Time) (changed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range sent {
		s, until := c.byID[e.Target], sentAt.Add(time.Duration(e.LeftMs)*time.Millisecond)
		if s != nil && until.After(now) && until.Sub(s.until) > minColdGain {
			changed = s.extend(until.Sub(now), now) || changed
		}
	}
	return changed
}

// handleCold merges the cold targets that another instance names.
func (n *Node) handleCold(from string, m *message) {
	var sent []sentCold
	if err := m.addition(additionCold, &sent); err != nil {
		n.counters.DecodeErrors.Add(1)
		return
	}
	now := n.clock.Now()
	if len(sent) == 0 || !n.cold.merge(sent, now.Add(-n.peers.transitTime(from)), now) {
		return
	}
	n.targetsMu.Lock()
	defer n.targetsMu.Unlock()
	n.reuseTargets()
}

// placedTarget returns a target as it is placed: a target in an evacuated domain takes no
// new requests, and the limits of its service and state bind it.
func (n *Node) placedTarget(target *catalog.Target, evacuated []string, traits *serviceTraits, now time.Time) *catalog.Target {
	placed := *target
	isEvacuated := slices.Contains(evacuated, target.FailureDomain)
	placed.Draining = target.Draining || isEvacuated
	t := traits.Traits[target.Service]
	placed.Limits = catalog.TargetLimits{MemoryTokens: t.MemoryTokens, Evacuated: isEvacuated}
	if until := n.cold.until(target.Key(), now); t.ColdRate > 0 && !until.IsZero() {
		placed.Limits.ColdRate, placed.Limits.ColdUntil = t.ColdRate, until
	}
	return &placed
}

// reuseTargets has the targets in use placed by what is known now. The caller holds
// targetsMu.
func (n *Node) reuseTargets() {
	if n.targetsKnown.Load() {
		n.useTargets()
	}
}
