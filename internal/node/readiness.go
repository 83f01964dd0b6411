package node

import (
	"net/http"
	"sync"
	"time"

	"github.com/gofiber/fiber/v2"
	"go.uber.org/zap"
)

// What an instance that is not ready waits for.
const (
	awaitsNothing       = ""
	awaitsEnd           = "shutdown"
	awaitsConfiguration = "configuration"
	awaitsTargets       = "list of targets"
	awaitsEvacuations   = "evacuated domains"
)

// readiness records what the readiness checks were told.
type readiness struct {
	// mu guards the fields below.
	mu sync.Mutex
	// checked is set from the first check on, awaited is what the last one was told.
	checked bool
	awaited string
	// since is the time of the first check that was told awaited, loggedAt that of the last log line.
	since, loggedAt time.Time
	// refused counts the checks that failed.
	refused uint64
}

// record records the outcome of a check. It reports whether that is to be logged, since it differs from
// the one before or an instance stays unready, what was awaited before, and for how long.
func (r *readiness) record(awaited string, now time.Time) (isDue bool, before string, lasted time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if awaited != awaitsNothing {
		r.refused++
	}
	if r.checked {
		before, lasted = r.awaited, now.Sub(r.since)
	}
	if !r.checked || r.awaited != awaited {
		r.checked, r.awaited, r.since, r.loggedAt = true, awaited, now, now
		return true, before, lasted
	}
	if awaited != awaitsNothing && now.Sub(r.loggedAt) >= reminderInterval {
		r.loggedAt = now
		return true, before, lasted
	}
	return false, before, lasted
}

// refusals returns the number of checks that failed.
func (r *readiness) refusals() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.refused
}

// awaitedForReadiness returns what this instance waits for before it is ready.
func (n *Node) awaitedForReadiness() string {
	switch {
	case n.draining.Load():
		return awaitsEnd
	case n.configuration.Current() == nil:
		return awaitsConfiguration
	case !n.targetsKnown.Load():
		return awaitsTargets
	case n.evacuationsUnknown():
		return awaitsEvacuations
	}
	return awaitsNothing
}

// handleReadiness answers the load balancer's readiness check.
func (n *Node) handleReadiness(c *fiber.Ctx) error {
	awaited := n.awaitedForReadiness()
	now := n.clock.Now()
	if isDue, before, lasted := n.readiness.record(awaited, now); isDue {
		n.logReadiness(awaited, zap.String("before", before), zap.Duration("lasted", lasted), zap.Duration("since_start", now.Sub(n.startedAt)))
	}
	if awaited != awaitsNothing {
		return c.SendStatus(http.StatusServiceUnavailable)
	}
	return c.SendStatus(http.StatusOK)
}

func (n *Node) logReadiness(awaited string, details ...zap.Field) {
	if awaited == awaitsNothing {
		n.logger.Info("ready", details...)
		return
	}
	n.logger.Info("not ready", append(details, zap.String("awaits", awaited))...)
}
