package entry

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"
)

// disconnectPollInterval is how often the connection of a waiting request is
// checked.
const disconnectPollInterval = 500 * time.Millisecond

// disconnectWatcher detects that a caller closes its connection while its request
// waits. In that time nothing is written, so no write can fail.
type disconnectWatcher struct {
	done    chan struct{}
	running conc.WaitGroup
}

// watchDisconnect calls onDisconnect once the peer has closed the connection,
// unless stop is called before. It does nothing for connections that are no
// syscall.Conn.
func watchDisconnect(conn net.Conn, onDisconnect context.CancelFunc) *disconnectWatcher {
	w := &disconnectWatcher{done: make(chan struct{})}
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return w
	}
	w.running.Go(func() { w.run(raw, onDisconnect) })
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

// stop ends the watcher and waits for its goroutine, so that the HTTP library has
// the connection to itself again.
func (w *disconnectWatcher) stop() {
	close(w.done)
	w.running.Wait()
}

// closedByPeer reports whether the peer has closed the connection. It peeks, so it
// consumes no bytes.
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
