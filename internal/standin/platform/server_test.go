package platform

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	core "github.com/hibiscuspost/hibiscuspost/internal/platform"
)

func TestInstanceListLags(t *testing.T) {
	clock := clockwork.NewFakeClock()
	server, err := New(Options{Clock: clock})
	assert.NilError(t, err)
	server.SetInstanceListLag(time.Minute)
	firstList := []core.ListedInstance{{Name: "a"}}
	secondList := []core.ListedInstance{{Name: "a", Leaving: true}}

	server.SetInstances(firstList)
	clock.Advance(30 * time.Second)
	server.SetInstances(secondList)
	instances, _ := server.delayedInstances()
	assert.Equal(t, len(instances), 0)
	clock.Advance(30 * time.Second)
	instances, _ = server.delayedInstances()
	assert.DeepEqual(t, instances, firstList)
	clock.Advance(30 * time.Second)
	instances, _ = server.delayedInstances()
	assert.DeepEqual(t, instances, secondList)
}
