package node

import (
	"context"
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/quarantine"
)

const (
	// maxSuspects bounds the requests that are known to have been running at targets
	// that may have crashed. Digests of them are made several times a second.
	maxSuspects = 1024
	// crashCheckInterval is the interval between checks for silent targets and for
	// what became of targets whose requests got no response.
	crashCheckInterval = 250 * time.Millisecond
	// renewalsUntilExpiry is the number of renewals that a target's entry misses
	// before the store removes it, expiryDelay the time until a read shows that.
	renewalsUntilExpiry = 3
	expiryDelay         = 2 * time.Second
	// maxRenewalDelay is the time by which a renewal may take effect late, that is,
	// after its target has ended.
	maxRenewalDelay = 6 * time.Second
	// defaultRenewalInterval applies if the settings give none.
	defaultRenewalInterval = 2 * time.Second
)

// watchCrashes looks for requests that crash targets until the context ends.
func (n *Node) watchCrashes(ctx context.Context) {
	ticker := n.clock.NewTicker(crashCheckInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ticker.Chan():
			n.quarantine.MarkSilent()
			n.quarantine.Resolve(n.targetLiveness)
			if _, own := n.quarantine.Verdicts(); own {
				n.requestAnnouncement()
			}
		}
	}
}

// isLeaving reports whether a target drains, by its entry or by its own word.
func (n *Node) isLeaving(target string) bool {
	n.targetsMu.Lock()
	t, ok := n.targets.byName[target]
	n.targetsMu.Unlock()
	return ok && (t.Draining || n.placement.IsLeaving(t.Key()))
}

// targetLiveness tells whether an incarnation of a target has renewed its entry
// after a time.
func (n *Node) targetLiveness(target string, after time.Time) quarantine.Liveness {
	n.targetsMu.Lock()
	defer n.targetsMu.Unlock()
	return n.targets.liveness(target, after, n.settings.entryExpiry())
}
