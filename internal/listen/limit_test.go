package listen

import (
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
)

// pipeListener accepts one end of a pipe for each call and keeps the other.
type pipeListener struct {
	net.Listener
	clients []net.Conn
}

func (l *pipeListener) Accept() (net.Conn, error) {
	server, client := net.Pipe()
	l.clients = append(l.clients, client)
	return server, nil
}

func TestLimitClosesTheConnectionThatIsIdleLongest(t *testing.T) {
	pipes, clock, evicted := &pipeListener{}, clockwork.NewFakeClock(), &atomic.Uint64{}
	l := Limit(pipes, 2, clock, evicted)
	accept := func() net.Conn {
		conn, err := l.Accept()
		assert.NilError(t, err)
		clock.Advance(time.Second)
		return conn
	}
	isOpen := func(index int) bool {
		_ = pipes.clients[index].SetReadDeadline(time.Unix(1, 0))
		_, err := pipes.clients[index].Read(make([]byte, 1))
		return err != io.EOF
	}
	first := accept()
	accept()
	go func() { _, _ = pipes.clients[0].Write([]byte("x")) }()
	_, err := first.Read(make([]byte, 1))
	assert.NilError(t, err)
	assert.Check(t, isOpen(0) && isOpen(1))

	third := accept()
	assert.Check(t, isOpen(0))
	assert.Check(t, !isOpen(1))
	assert.Equal(t, evicted.Load(), uint64(1))

	assert.NilError(t, third.Close())
	accept()
	assert.Check(t, isOpen(0))
	assert.Equal(t, evicted.Load(), uint64(1))
}
