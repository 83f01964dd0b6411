package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/catalog"
)

// The control plane is not available for ten seconds: the instances that others
// rely on, and those that know too little to serve, call several times a second,
// all others less than once a second.
func TestCallsDuringAnOutageDoNotGrowWithTheInstances(t *testing.T) {
	const outage = 10 * time.Second
	for _, tc := range []struct {
		name             string
		peersBefore      int
		known            bool
		minCalls, maxAll int
	}{
		{"first in address order", 0, true, 16, 60},
		{"second in address order", 1, true, 16, 60},
		{"relies on others", 2, true, 3, 15},
		{"knows no configuration", 2, false, 16, 60},
	} {
		t.Run(tc.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			n := &Node{clock: clock, peers: newPeerTable(clock, "10.0.0.9:1", nil), configuration: &catalog.Holder{}}
			for i := range tc.peersBefore {
				n.peers.recordMessage(fmt.Sprintf("10.0.0.%d:1", i+1), &message{Name: "peer"})
			}
			if tc.known {
				n.targetsKnown.Store(true)
				n.configuration.Adopt(&catalog.Configuration{Version: 1})
			}
			delays := n.newRetryDelays()
			calls := 0
			for waited := time.Duration(0); waited < outage; calls++ {
				waited += delays.next()
			}
			assert.Assert(t, calls >= tc.minCalls && calls <= tc.maxAll, "%d calls", calls)
		})
	}
}
