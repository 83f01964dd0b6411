package node

import (
	"errors"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"
)

// A dependency that stayed lost left one line, however long that was.
func TestLastingLossOfADependencyIsVisible(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	clock := clockwork.NewFakeClock()
	n := &Node{clock: clock, logger: zap.New(core)}
	d := n.newDependency("list of targets")
	for range 70 {
		d.record(errors.New("refused"))
		clock.Advance(time.Second)
	}
	assert.Equal(t, logs.FilterMessage("dependency lost").Len(), 1)
	reminders := logs.FilterMessage("dependency still lost").All()
	assert.Equal(t, len(reminders), 2)
	assert.Equal(t, reminders[1].ContextMap()["lost_for"], time.Minute)
	assert.Equal(t, reminders[1].ContextMap()["failures"], int64(61))
	assert.DeepEqual(t, n.lostDependencies.list(), []string{"list of targets"})
	assert.Equal(t, n.lostDependencies.failures.Load(), uint64(70))

	d.record(nil)
	d.record(nil)
	regained := logs.FilterMessage("dependency regained").All()
	assert.Equal(t, len(regained), 1)
	assert.Equal(t, regained[0].ContextMap()["lost_for"], 70*time.Second)
	assert.Equal(t, len(n.lostDependencies.list()), 0)
}

// An instance that stayed unready left one line, however long that was.
func TestLastingUnreadinessIsVisible(t *testing.T) {
	var r readiness
	var logged int
	now := time.Unix(0, 0)
	for range 61 {
		if isDue, _, _ := r.record(awaitsTargets, now); isDue {
			logged++
		}
		now = now.Add(time.Second)
	}
	assert.Equal(t, logged, 3)
	isDue, before, lasted := r.record(awaitsNothing, now)
	assert.Assert(t, isDue)
	assert.Equal(t, before, awaitsTargets)
	assert.Equal(t, lasted, 61*time.Second)
	for range 61 {
		now = now.Add(time.Second)
		isDue, _, _ := r.record(awaitsNothing, now)
		assert.Assert(t, !isDue)
	}
}
