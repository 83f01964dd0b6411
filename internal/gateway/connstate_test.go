package gateway

import (
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// An open connection was not counted while its state changed, so that a shutdown did not wait
// for its response.
func TestConnectionIsCountedWhileItsStateChanges(t *testing.T) {
	counts := &connCounts{}
	counts.opened()
	conn := &callerConn{counts: counts}
	var stop atomic.Bool
	done := make(chan struct{})
	go func() {
		defer close(done)
		for !stop.Load() {
			for _, next := range []connState{connReading, connServing, connIdle} {
				conn.setState(next)
			}
		}
	}()
	missed := 0
	for range 1_000_000 {
		if counts.open.Load() < 1 {
			missed++
		}
	}
	stop.Store(true)
	<-done
	assert.Equal(t, missed, 0)
	conn.setState(connClosed)
	conn.setState(connIdle)
	assert.Equal(t, counts.open.Load(), int64(0))
}
