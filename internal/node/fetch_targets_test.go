package node

import (
	"context"
	"encoding/json"
	"testing"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/peer"
)

// A list of targets with an empty entry, as an instance of another build may send it, ended the
// recipient by a panic.
func TestEmptyEntryInAListOfTargetsDoesNotEndInstances(t *testing.T) {
	var buses []*peer.NetBus
	for range 2 {
		bus, err := peer.Listen(peer.Options{Address: "127.0.0.1:0", Secret: []byte("a secret of the deployment")})
		assert.NilError(t, err)
		t.Cleanup(func() { _ = bus.Close() })
		buses = append(buses, bus)
	}
	n, other := &Node{clock: clockwork.NewFakeClock(), logger: zap.NewNop(), bus: buses[0]}, buses[1]
	other.Handle(methodTargets, func(context.Context, string, json.RawMessage) (any, error) {
		return json.RawMessage(`{"position":7,"targets":[null]}`), nil
	})
	assert.NilError(t, n.bus.Start())
	assert.NilError(t, other.Start())
	n.fetchTargets(t.Context(), other.Address())
	assert.Equal(t, len(n.targets.present), 0)
	assert.Assert(t, n.targets.position.IsZero())
}
