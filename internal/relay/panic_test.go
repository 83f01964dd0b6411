package relay

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/hibiscuspost/hibiscuspost/internal/contain"
)

// A panic while another instance was asked ended the process.
func TestPanicWhileAnInstanceIsAskedDoesNotEndTheProcess(t *testing.T) {
	target := listen(t, func(conn net.Conn) { _, _ = io.WriteString(conn, "hello"); _ = conn.Close() })
	sound := startInstance(t, &paths{})
	client := newClient("odd")
	open := client.Open
	client.Open = func(ctx context.Context, address string) (net.Conn, error) {
		if address == "odd" {
			panic("unexpected value")
		}
		return open(ctx, address)
	}
	_, err := client.Dial(t.Context(), target)
	assert.Assert(t, errors.Is(err, ErrInconclusive), "%v", err)
	client.Peers = func() []string { return []string{"odd", sound} }
	conn, err := client.Dial(t.Context(), target)
	assert.NilError(t, err)
	assert.NilError(t, conn.Close())
}

// panickingConn panics when it is read.
type panickingConn struct{ net.Conn }

func (panickingConn) Read([]byte) (int, error) { panic("unexpected value") }

// panickingPaths connects to targets by a panickingConn.
type panickingPaths struct{ paths }

func (p *panickingPaths) DialDirect(ctx context.Context, address string) (net.Conn, error) {
	conn, err := p.paths.DialDirect(ctx, address)
	return panickingConn{conn}, err
}

// A panic while a target's bytes were copied ended the process. The connections of the exchange
// end instead.
func TestPanicWhileATargetIsReadEndsOnlyTheExchange(t *testing.T) {
	targetEnded := make(chan error, 1)
	target := listen(t, func(conn net.Conn) {
		_, err := io.Copy(io.Discard, conn)
		targetEnded <- err
	})
	server := &Server{
		Paths: &panickingPaths{}, Allows: func(string) bool { return true }, Others: func(string, int) []string { return nil }, Draining: func() bool { return false },
		Logger: zap.NewNop(),
	}
	conn := dial(t, target, listen(t, func(conn net.Conn) { server.Serve("peer", conn) }))
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(eventTimeout)))
	_, err := conn.Read(make([]byte, 1))
	assert.Assert(t, errors.Is(err, ErrBroken), "%v", err)
	select {
	case <-targetEnded:
	case <-time.After(eventTimeout):
		t.Fatal("the connection to the target is still open")
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if server.Active() == 0 {
			return poll.Success()
		}
		return poll.Continue("still active")
	}, poll.WithTimeout(eventTimeout))
}

// A panic of the timer that tests an instance's links ended the process.
func TestPanicWhileLinksAreTestedDoesNotEndTheProcess(t *testing.T) {
	before := contain.Panics()
	server := &Server{Paths: &paths{}, Others: func(string, int) []string { panic("unexpected value") }, Logger: zap.NewNop()}
	server.testLinks(t.Context(), "a target", time.Now())
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if contain.Panics() > before {
			return poll.Success()
		}
		return poll.Continue("not tested yet")
	}, poll.WithTimeout(eventTimeout))
}
