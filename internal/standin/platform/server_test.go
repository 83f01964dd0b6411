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
	first := []core.Listed{{Name: "a"}}
	second := []core.Listed{{Name: "a", Leaving: true}}

	server.SetInstances(first)
	clock.Advance(30 * time.Second)
	server.SetInstances(second)
	list, _ := server.laggedList()
	assert.Equal(t, len(list), 0)
	clock.Advance(30 * time.Second)
	list, _ = server.laggedList()
	assert.DeepEqual(t, list, first)
	clock.Advance(30 * time.Second)
	list, _ = server.laggedList()
	assert.DeepEqual(t, list, second)
}
