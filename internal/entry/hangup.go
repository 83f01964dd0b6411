package entry

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"
)

// hangUpPeriod is how often a connection with a waiting request is looked at.
const hangUpPeriod = 500 * time.Millisecond

// hangUpWatch notices that a caller closes its connection while its request
// waits, when nothing is written that could fail.
type hangUpWatch struct {
	done chan struct{}
	wait conc.WaitGroup
}

// watchHangUp calls gone once the peer has closed the connection, until stop.
func watchHangUp(conn net.Conn, gone context.CancelFunc) *hangUpWatch {
	w := &hangUpWatch{done: make(chan struct{})}
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return w
	}
	w.wait.Go(func() { w.run(raw, gone) })
	return w
}

func (w *hangUpWatch) run(conn syscall.Conn, gone context.CancelFunc) {
	ticker := time.NewTicker(hangUpPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-w.done:
			return
		case <-ticker.C:
			if closedByPeer(conn) {
				gone()
				return
			}
		}
	}
}

// stop ends the watch and waits for its end, so that the connection is free
// for the HTTP library again.
func (w *hangUpWatch) stop() {
	close(w.done)
	w.wait.Wait()
}

// closedByPeer looks for the end of the incoming stream without taking bytes.
func closedByPeer(conn syscall.Conn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
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
