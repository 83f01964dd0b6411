package entry

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"
)

// disconnectPollInterval is how often a connection with a waiting request is looked at.
const disconnectPollInterval = 500 * time.Millisecond

// disconnectWatcher notices that a caller closes its connection while its request
// waits, when nothing is written that could fail.
type disconnectWatcher struct {
	done      chan struct{}
	goroutine conc.WaitGroup
}

// watchDisconnect calls gone once the peer has closed the connection, until stop.
func watchDisconnect(conn net.Conn, onDisconnect context.CancelFunc) *disconnectWatcher {
	w := &disconnectWatcher{done: make(chan struct{})}
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return w
	}
	w.goroutine.Go(func() { w.run(raw, onDisconnect) })
	return w
}

func (w *disconnectWatcher) run(conn syscall.Conn, onDisconnect context.CancelFunc) {
	ticker := time.NewTicker(disconnectPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-w.done:
			return
		case <-ticker.C:
			if closedByPeer(conn) {
				onDisconnect()
				return
			}
		}
	}
}

// stop ends the watch and waits for its end, so that the connection is free
// for the HTTP library again.
func (w *disconnectWatcher) stop() {
	close(w.done)
	w.goroutine.Wait()
}

// closedByPeer looks for the end of the incoming stream without taking bytes.
func closedByPeer(conn syscall.Conn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		var buffer [1]byte
		n, _, err := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch err {
		case nil:
			closed = n == 0
		case syscall.EAGAIN, syscall.EINTR:
		default:
			closed = true
		}
	})
	return err != nil || closed
}
