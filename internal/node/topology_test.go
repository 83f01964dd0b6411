package node

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

// An instance that was forgotten while the recipients of gossip were chosen ended the chooser by
// a panic.
func TestInstanceForgottenWhileAggregatorsAreChosen(t *testing.T) {
	const duration, others = time.Second, 2 * maxMeshSize
	clock := clockwork.NewFakeClock()
	p := newPeerTable(clock, "127.0.0.1:5000", nil)
	var addresses []string
	for i := range others {
		addresses = append(addresses, fmt.Sprintf("127.0.0.1:%d", 1000+i))
	}
	end := time.Now().Add(duration)
	var tasks sync.WaitGroup
	defer tasks.Wait()
	tasks.Go(func() {
		for time.Now().Before(end) {
			p.addAddresses(addresses)
			clock.Advance(addressRetention + time.Millisecond)
			p.addresses()
		}
	})
	for time.Now().Before(end) {
		p.topology()
	}
}
