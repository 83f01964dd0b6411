package node

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/hibiscuspost/hibiscuspost/internal/eventlog"
)

// reminderInterval is the interval between the log lines about a condition that lasts.
const reminderInterval = 30 * time.Second

// dependency logs when a dependency becomes unavailable, that it still is, and when it is
// available again. It is used by one goroutine.
type dependency struct {
	name   string
	logger *zap.Logger
	clock  clockwork.Clock
	lost   *lostDependencies
	// failures counts the failed calls since the last successful one, the first of them at
	// lostAt. loggedAt is the time of the last line about them.
	failures         int
	lostAt, loggedAt time.Time
}

func (n *Node) newDependency(name string) dependency {
	return dependency{name: name, logger: n.logger, clock: n.clock, lost: &n.lostDependencies}
}

// record records the outcome of a call.
func (d *dependency) record(err error) {
	now := d.clock.Now()
	if err == nil {
		if d.failures > 0 {
			d.lost.remove(d.name)
			d.logger.Info("dependency regained", zap.String("dependency", d.name), zap.Duration("lost_for", now.Sub(d.lostAt)), zap.Int("failures", d.failures))
		}
		d.failures = 0
		return
	}
	d.failures++
	d.lost.failures.Add(1)
	switch {
	case d.failures == 1:
		d.lost.add(d.name)
		d.lostAt, d.loggedAt = now, now
		d.logger.Warn("dependency lost", zap.String("dependency", d.name), eventlog.ErrorField(err))
	case now.Sub(d.loggedAt) >= reminderInterval:
		d.loggedAt = now
		d.logger.Warn("dependency still lost", zap.String("dependency", d.name), zap.Duration("lost_for", now.Sub(d.lostAt)),
			zap.Int("failures", d.failures), eventlog.ErrorField(err))
	}
}

// lostDependencies are the dependencies that are unavailable now.
type lostDependencies struct {
	// failures counts the failed calls to all dependencies.
	failures atomic.Uint64
	// mu guards names.
	mu    sync.Mutex
	names []string
}

func (l *lostDependencies) add(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.names = append(l.names, name)
}

func (l *lostDependencies) remove(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.names = slices.DeleteFunc(l.names, func(lost string) bool { return lost == name })
}

// list returns the names, in the order in which they were lost.
func (l *lostDependencies) list() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.names)
}
