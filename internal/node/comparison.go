package node

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

const (
	// slowArrivalTime is for how long the responses to the watchers may arrive before another
	// instance reads as well, to compare.
	slowArrivalTime = 500 * time.Millisecond
	// fasterRatio is how many times as fast a response has to arrive at that instance. Over a
	// link that all share it is slower there than it was at the watchers.
	fasterRatio = 2
)

// errNotFaster ends a watch whose response arrives no faster than at the watchers.
var errNotFaster = errors.New("the response arrives no faster than to other instances")

// arrival is the state of a response to a watch that is arriving.
type arrival struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`
	// AgeMs is the time since its first part.
	AgeMs          uint32
	BytesPerSecond uint64
}

// comparison names an instance that watches the declarations as well while the responses to the
// watchers arrive slowly: their links may be slow, or the link that all instances share, over
// which each further transfer delays the others. It reads on only while its response arrives
// clearly faster.
type comparison struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`
	Address  string
	// BytesPerSecond is how fast the fastest response arrives at the watchers.
	BytesPerSecond uint64
}

// isFaster reports whether a response that has been received so far is clearly faster than
// those to the watchers.
func (c *comparison) isFaster(receivedBytes int, elapsed time.Duration) bool {
	return float64(receivedBytes) >= fasterRatio*float64(c.BytesPerSecond)*elapsed.Seconds()
}

// comparison returns the comparison that is due; nil if none is.
func (n *Node) comparison() *comparison {
	if t := n.peers.topology(); t.aggregated && !t.isAggregator {
		return n.peers.currentComparison()
	}
	self := n.selfState()
	if !n.peers.anyArrivesSlowly(self) {
		return nil
	}
	return n.peers.chooseComparison(self, n.watchers())
}

// arrivesSlowly reports whether the response to the instance's watch has been arriving for long.
func (s *peerState) arrivesSlowly(now time.Time) bool {
	return !s.arrivingSince.IsZero() && now.Sub(s.arrivingSince) >= slowArrivalTime
}

// anyArrivesSlowly reports whether the response to the watch of any instance has been arriving
// for long.
func (p *peerTable) anyArrivesSlowly(self peerState) bool {
	now := p.clock.Now()
	if self.arrivesSlowly(now) {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, state := range p.byAddress {
		if state.isLive(now) && state.arrivesSlowly(now) {
			return true
		}
	}
	return false
}

// currentComparison returns the comparison that an aggregator last named; nil if none.
func (p *peerTable) currentComparison() *comparison {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.clock.Since(p.assignedAt) > peerTimeout {
		return nil
	}
	return p.assignedComparison
}

// recordArrival records the state of the response to the instance's watch as of a time.
func (s *peerState) recordArrival(a *arrival, known bool, at time.Time) {
	s.arrivingSince, s.bytesPerSecond, s.mayCompare = time.Time{}, 0, known
	if a != nil {
		s.arrivingSince, s.bytesPerSecond = at.Add(-time.Duration(a.AgeMs)*time.Millisecond), a.BytesPerSecond
	}
}

// chooseComparison returns the comparison that is due, with the first instance by capacity and
// then by the hash of the address: neighbors in address order often share their links. There
// is none once an instance has a newer configuration in force, which others receive from it.
func (p *peerTable) chooseComparison(self peerState, watchers []string) *comparison {
	candidates := append(p.live(), self)
	now := p.clock.Now()
	newest := slices.MaxFunc(candidates, func(a, b peerState) int { return cmp.Compare(a.configVersion, b.configVersion) }).configVersion
	c := &comparison{}
	isSlow := false
	for i := range candidates {
		s := &candidates[i]
		if s.arrivingSince.IsZero() || s.configVersion < newest {
			continue
		}
		// The rate of a response that has just begun to arrive is that of its first part.
		if s.arrivesSlowly(now) {
			isSlow = true
			c.BytesPerSecond = max(c.BytesPerSecond, s.bytesPerSecond)
		}
	}
	candidates = slices.DeleteFunc(candidates, func(s peerState) bool {
		return s.draining || !s.mayCompare || slices.Contains(watchers, s.address)
	})
	if !isSlow || len(candidates) == 0 {
		return nil
	}
	c.Address = slices.MinFunc(candidates, func(a, b peerState) int {
		return cmp.Or(cmp.Compare(b.capacity, a.capacity), cmp.Compare(xxhash.Sum64String(a.address), xxhash.Sum64String(b.address)))
	}).address
	return c
}
