package node

import (
	"sync"
	"sync/atomic"

	"go.uber.org/zap"
)

// verdictAnnouncerCount is the number of instances that announce verdicts at once
// when the store may have lost them. All instances hold the same ones; the others
// follow with their next announcements.
const verdictAnnouncerCount = 3

// storeEra is the highest known era of the platform's store.
type storeEra struct {
	// mu guards era and known.
	mu    sync.Mutex
	era   uint64
	known bool
	// returns counts the rises of a known era.
	returns atomic.Uint64
}

func (s *storeEra) current() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// observe records an era and reports whether the store has returned from an
// earlier copy since the last one.
func (s *storeEra) observe(era uint64) (previous uint64, returned bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous, returned = s.era, s.known && era > s.era
	s.era, s.known = max(s.era, era), true
	if returned {
		s.returns.Add(1)
	}
	return previous, returned
}

// observeEra records an era of the store. What this instance wrote before a rise
// may be lost: rollout statuses are written again in the new era (writeStatuses),
// verdicts are announced again at once. Without verdicts an announcement can wait;
// the other instances know each other.
func (n *Node) observeEra(era uint64) {
	previous, returned := n.era.observe(era)
	if !returned {
		return
	}
	verdicts, own := n.quarantine.Verdicts()
	announces := own || len(verdicts) > 0 && n.rank() < verdictAnnouncerCount
	n.logger.Warn("store returned from an earlier copy", zap.Uint64("era", era), zap.Uint64("before", previous),
		zap.Int("verdicts", len(verdicts)), zap.Bool("announces", announces))
	if announces {
		n.requestAnnouncement()
	}
}

// requestAnnouncement has this instance announced at once.
func (n *Node) requestAnnouncement() {
	select {
	case n.announceNow <- struct{}{}:
	default:
	}
}
