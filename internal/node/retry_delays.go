package node

import (
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/backoff"
)

var (
	// controlPlaneBackoff spaces out calls to the control plane after failures.
	controlPlaneBackoff = backoff.Policy{Base: 50 * time.Millisecond, Max: 600 * time.Millisecond}
	// relyingBackoff is the same for an instance that others keep up to date.
	relyingBackoff = backoff.Policy{Base: 600 * time.Millisecond, Max: 3 * time.Second}
)

// retryDelays returns the delays before repeated calls to the control plane.
//
// While the control plane is not available, the calls of all instances together
// grow with their number, and each is charged for. Only the instances that watch
// for all of them, and those that lack a configuration or targets, call often: the
// others receive by gossip what these read once it is available again.
type retryDelays struct {
	node             *Node
	regular, relying *backoff.Backoff
}

func (n *Node) newRetryDelays() *retryDelays {
	return &retryDelays{node: n, regular: backoff.New(controlPlaneBackoff, n.newRandom()), relying: backoff.New(relyingBackoff, n.newRandom())}
}

// next returns the delay after one more failure.
func (d *retryDelays) next() time.Duration {
	n := d.node
	if !n.isWatcher() && !n.lacksTargets() && n.configuration.Current() != nil {
		return d.relying.Next()
	}
	return d.regular.Next()
}

func (d *retryDelays) reset() {
	d.regular.Reset()
	d.relying.Reset()
}
