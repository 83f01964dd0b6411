package placement

import (
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/catalog"
	"github.com/hibiscuspost/hibiscuspost/internal/schedule"
)

const limitedTarget = "limited"

// limitedLoad requests slots at all instances, whose targets are one that states a
// limit in each response and one that states none.
type limitedLoad struct {
	network *network
	limit   float64

	// mu guards grants, the times of those on the limited target by instance.
	mu     sync.Mutex
	grants map[string][]time.Time
}

// run sends a request at each instance every interval until the test ends.
func (l *limitedLoad) run(t *testing.T, interval time.Duration) {
	for address, service := range l.network.services {
		go func() {
			for t.Context().Err() == nil {
				go l.request(t, address, service)
				time.Sleep(interval)
			}
		}()
	}
}

func (l *limitedLoad) request(t *testing.T, address string, service *Service) {
	const runTime = 20 * time.Millisecond
	grant, err := service.Acquire(t.Context(), newRequest("engines"))
	if err != nil {
		return
	}
	if grant.Target.ID == limitedTarget {
		l.mu.Lock()
		l.grants[address] = append(l.grants[address], time.Now())
		l.mu.Unlock()
	}
	time.Sleep(runTime)
	if grant.Target.ID == limitedTarget {
		grant.TermsStated(schedule.Terms{HasRateLimit: true, RateLimit: l.limit})
	} else {
		grant.TermsStated(schedule.Terms{})
	}
	grant.Done(schedule.Outcome{Result: schedule.Complete, TotalTime: runTime})
}

// count returns the grants on the limited target since a time, by all instances but
// one.
func (l *limitedLoad) count(since time.Time, except string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	total := 0
	for address, grants := range l.grants {
		for _, at := range grants {
			if address != except && at.After(since) {
				total++
			}
		}
	}
	return total
}

// Requests that are placed without a coordinator, and by one that has just taken
// over, are within the limit that others have received.
func TestRateLimitHoldsWithoutACoordinatorAndAfterATakeover(t *testing.T) {
	const (
		instances, limit = 6, 7.5
		window           = 4 * time.Second
		allowed          = int(1.5*limit*4) + 5
	)
	targets := []*catalog.Target{newEngine(limitedTarget, 50), newEngine("other", 50)}
	n := newNetwork(t, clockwork.NewRealClock(), instances, targets)
	load := &limitedLoad{network: n, limit: limit, grants: make(map[string][]time.Time)}
	load.run(t, 50*time.Millisecond)
	time.Sleep(time.Second)

	start := time.Now()
	time.Sleep(window)
	got := load.count(start, "")
	t.Logf("%d with a coordinator", got)
	assert.Check(t, got <= allowed && got >= int(0.9*limit*4), "%d with a coordinator, %d allowed", got, allowed)

	coordinator := n.services["10.0.0.0:1"].Roster().Addresses[0]
	n.mu.Lock()
	n.partitioned[coordinator] = true
	n.mu.Unlock()
	start = time.Now()
	time.Sleep(window)
	got = load.count(start, "")
	t.Logf("%d by a coordinator that is cut off, and by the others without one", got)
	assert.Check(t, got <= allowed, "%d while the coordinator is cut off, %d allowed", got, allowed)

	var rest []Instance
	for address := range n.services {
		if address != coordinator {
			rest = append(rest, Instance{Address: address})
		}
	}
	roster, changed := n.services["10.0.0.0:1"].Roster().Next(1, rest)
	assert.Assert(t, changed)
	start = time.Now()
	for address, service := range n.services {
		if address != coordinator {
			service.SetRoster(roster)
		}
	}
	time.Sleep(window)
	got = load.count(start, coordinator)
	t.Logf("%d by the next coordinator", got)
	assert.Check(t, got <= allowed && got >= int(0.8*limit*4), "%d after the takeover, %d allowed", got, allowed)
}
