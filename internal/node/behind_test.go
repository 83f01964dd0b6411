package node

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/catalog"
)

// An aggregator that does not receive the newest configuration passed on that the store is
// watched, so that those that rely on it took their older one for the newest.
func TestWatchThatLedToANewerConfigurationIsNotPassedOn(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := newPeerTable(clock, address(9), nil)
	p.configuration.Adopt(&catalog.Configuration{Version: 5})
	p.recordMessage(address(1), &message{ConfigVersion: 5})
	for i := range 5 {
		assert.Equal(t, p.lowestWatchAge(), uint32(i*int(gossipInterval.Milliseconds())))
		clock.Advance(gossipInterval)
		p.recordMessage(address(1), &message{ConfigVersion: 6 + uint64(i)})
	}
	p.recordMessage(address(1), &message{ConfigVersion: 10, WatchAgeMs: unknownAge})
	assert.Equal(t, p.lowestWatchAge(), uint32(unknownAge))
	p.configuration.Adopt(&catalog.Configuration{Version: 10})
	p.recordMessage(address(1), &message{ConfigVersion: 10})
	assert.Equal(t, p.lowestWatchAge(), uint32(0))
}

// An instance is told of a newer configuration by all aggregators that it reports to, once
// it should have heard of it from its own.
func TestInstanceThatStaysBehindIsKnown(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := newPeerTable(clock, address(9), nil)
	p.configuration.Adopt(&catalog.Configuration{Version: 9})
	for version := uint64(5); version < 8; version++ {
		for i := range 4 {
			p.recordMessage(address(1), &message{ConfigVersion: version})
			assert.Equal(t, p.behindFor(address(1)), time.Duration(i)*gossipInterval)
			clock.Advance(gossipInterval)
		}
	}
	p.recordMessage(address(1), &message{ConfigVersion: 9})
	clock.Advance(gossipInterval)
	assert.Equal(t, p.behindFor(address(1)), time.Duration(0))
}
