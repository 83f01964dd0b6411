package node

import (
	"context"
	"encoding/json"
	"testing"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/catalog"
	"github.com/hibiscuspost/hibiscuspost/internal/configsync"
	"github.com/hibiscuspost/hibiscuspost/internal/rollout"
)

// The last part of an update carried the position of a newer version that the sender had put in
// force meanwhile. A receiver that then watched from there never read that version.
func TestUpdateDoesNotCarryThePositionOfANewerVersion(t *testing.T) {
	clock := clockwork.NewFakeClock()
	n := &Node{
		clock: clock, logger: zap.NewNop(), peers: newPeerTable(clock, address(9), nil), configuration: &catalog.Holder{},
		rollouts: rollout.New(clock), uploads: configsync.NewUploads(clock, maxUploads),
	}
	put := func(version uint64) catalog.Revision {
		route := &catalog.Route{Name: "r", Host: "a", Prefix: "/", Priority: int(version)}
		_, err := n.replaceConfiguration(&catalog.Declaration{Version: version, Contents: catalog.Contents{Routes: []*catalog.Route{route}}}, sourceStore)
		assert.NilError(t, err)
		n.setDeclaredPosition(at(version))
		return n.configuration.Current().Revision()
	}
	request := func(r updateRequest) updateResponse {
		r.Format = updateFormat
		params, err := json.Marshal(r)
		assert.NilError(t, err)
		response, err := n.handleUpdateRequest(context.Background(), address(1), params)
		assert.NilError(t, err)
		return response.(updateResponse)
	}
	first := put(1)
	put(2)
	begun := request(updateRequest{From: first})
	assert.Equal(t, begun.To.Version, uint64(2))
	assert.Equal(t, begun.Position, at(2))
	put(3)
	again := request(updateRequest{From: first, Update: begun.Update, Part: begun.PartCount - 1})
	assert.Equal(t, again.To.Version, uint64(2))
	assert.Assert(t, again.Position.IsZero(), "%v", again.Position)
}
