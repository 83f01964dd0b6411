package peer

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"go.uber.org/goleak"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"
)

var testSecret = []byte("shared secret of the tests")

func newBus(t *testing.T, secret []byte) *NetBus {
	t.Helper()
	bus, err := Listen(Options{Address: "127.0.0.1:0", Secret: secret})
	assert.NilError(t, err)
	t.Cleanup(func() { assert.Check(t, bus.Close()) })
	return bus
}

func echoHandler(_ context.Context, from string, params json.RawMessage) (any, error) {
	return map[string]any{"from": from, "params": params}, nil
}

type echoResult struct {
	From   string `json:"from"`
	Params int    `json:"params"`
}

func TestConcurrentCallsShareConnectionAndMatchResponses(t *testing.T) {
	defer goleak.VerifyNone(t)
	a, b := newBusWithoutCleanup(t), newBusWithoutCleanup(t)
	b.Handle("echo", echoHandler)
	assert.NilError(t, a.Start())
	assert.NilError(t, b.Start())
	var wg conc.WaitGroup
	for i := range 50 {
		wg.Go(func() {
			var got echoResult
			assert.Check(t, a.Call(context.Background(), b.Address(), "echo", i, &got))
			assert.Check(t, got == echoResult{From: a.Address(), Params: i}, "%v", got)
		})
	}
	wg.Wait()
	b.mu.Lock()
	connections := len(b.incoming)
	b.mu.Unlock()
	assert.Equal(t, connections, 1)
	assert.NilError(t, a.Close())
	assert.NilError(t, b.Close())
}

func newBusWithoutCleanup(t *testing.T) *NetBus {
	t.Helper()
	bus, err := Listen(Options{Address: "127.0.0.1:0", Secret: testSecret})
	assert.NilError(t, err)
	return bus
}

func TestWrongSecretCannotCallOrSendDatagrams(t *testing.T) {
	trusted, untrusted := newBus(t, testSecret), newBus(t, []byte("another shared secret"))
	var handled atomic.Int64
	trusted.Handle("do", func(context.Context, string, json.RawMessage) (any, error) {
		handled.Add(1)
		return nil, nil
	})
	trusted.HandleDatagram(KindProbe, func(string, []byte) { handled.Add(1) })
	assert.NilError(t, trusted.Start())
	assert.NilError(t, untrusted.Start())
	err := untrusted.Call(context.Background(), trusted.Address(), "do", 1, nil)
	assert.Check(t, errors.Is(err, ErrUnreachable), "%v", err)
	_, _, _, ok := trusted.sealer.open(untrusted.sealer.seal(KindProbe, untrusted.Address(), []byte("x")))
	assert.Check(t, !ok)
	assert.Equal(t, handled.Load(), int64(0))

	conn, err := net.Dial("tcp", trusted.Address())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = conn.Write(make([]byte, 1+nonceBytes+proofBytes+1))
	assert.NilError(t, err)
	got, _ := io.ReadAll(conn)
	assert.Equal(t, len(got), 0, "expected no response to an unsupported handshake version")
}

func TestProofsOfBothSidesDiffer(t *testing.T) {
	nonce := make([]byte, nonceBytes)
	callerProof := computeProof(testSecret, callerLabel, nonce, nonce, "127.0.0.1:1")
	listenerProof := computeProof(testSecret, listenerLabel, nonce, nonce, "127.0.0.1:1")
	assert.Check(t, string(callerProof) != string(listenerProof))
}

func TestDatagramArrivesWithSenderAndBody(t *testing.T) {
	a, b := newBus(t, testSecret), newBus(t, testSecret)
	got := make(chan string, 1)
	b.HandleDatagram(KindCredit, func(from string, body []byte) { got <- from + " " + string(body) })
	assert.NilError(t, b.Start())
	assert.NilError(t, a.Send(b.Address(), KindCredit, []byte("hello")))
	assert.Equal(t, <-got, a.Address()+" hello")
	assert.ErrorContains(t, a.Send(b.Address(), KindCredit, make([]byte, MaxDatagramBytes+1)), "1201 bytes")
}

func TestModifiedPacketIsRejected(t *testing.T) {
	s := newSealer(testSecret)
	packet := s.seal(KindProbe, "127.0.0.1:1", []byte("body"))
	for i := range packet {
		modified := append([]byte(nil), packet...)
		modified[i] ^= 1
		_, _, _, ok := s.open(modified)
		assert.Check(t, !ok, "byte %d", i)
	}
}

func TestCallToClosedPeerFailsAndRecovers(t *testing.T) {
	a, b := newBus(t, testSecret), newBusWithoutCleanup(t)
	b.Handle("echo", echoHandler)
	assert.NilError(t, b.Start())
	assert.NilError(t, a.Call(context.Background(), b.Address(), "echo", 1, nil))
	address := b.Address()
	assert.NilError(t, b.Close())
	err := a.Call(context.Background(), address, "echo", 1, nil)
	assert.Check(t, errors.Is(err, ErrUnreachable) || errors.Is(err, ErrResponseLost), "%v", err)

	reopened, err := Listen(Options{Address: address, Secret: testSecret})
	assert.NilError(t, err)
	defer func() { assert.Check(t, reopened.Close()) }()
	reopened.Handle("echo", echoHandler)
	assert.NilError(t, reopened.Start())
	for a.Call(context.Background(), address, "echo", 1, nil) != nil {
		assert.Check(t, a.ctx.Err())
	}
}

func TestHandlerErrorIsReturnedToCaller(t *testing.T) {
	a, b := newBus(t, testSecret), newBus(t, testSecret)
	b.Handle("fail", func(context.Context, string, json.RawMessage) (any, error) {
		return nil, errors.New("no such thing")
	})
	assert.NilError(t, b.Start())
	err := a.Call(context.Background(), b.Address(), "fail", nil, nil)
	assert.ErrorContains(t, err, "no such thing")
	assert.ErrorContains(t, a.Call(context.Background(), b.Address(), "other", nil, nil), "no method other")
}

func TestCallToUnresponsivePeerEndsWithContext(t *testing.T) {
	a, b := newBus(t, testSecret), newBus(t, testSecret)
	b.Handle("hang", func(ctx context.Context, _ string, _ json.RawMessage) (any, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	assert.NilError(t, b.Start())
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	err := a.Call(ctx, b.Address(), "hang", nil, nil)
	assert.Check(t, errors.Is(err, context.DeadlineExceeded), "%v", err)
}

// silencedConn passes on nothing in either direction once silenced is closed, like a
// connection whose state is lost on the way.
type silencedConn struct {
	net.Conn
	silenced <-chan struct{}
}

func (c *silencedConn) Write(p []byte) (int, error) {
	select {
	case <-c.silenced:
		return len(p), nil
	default:
		return c.Conn.Write(p)
	}
}

// A connection that had fallen silent for good was kept, since each call gave it up before
// it counted as silent: calls with short deadlines never reached that peer again.
func TestShortCallsLeaveASilentConnection(t *testing.T) {
	server := newBus(t, testSecret)
	server.Handle("echo", echoHandler)
	assert.NilError(t, server.Start())
	silenced := make(chan struct{})
	dials := 0
	client, err := Listen(Options{
		Address: "127.0.0.1:0", Secret: testSecret,
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := new(net.Dialer).DialContext(ctx, network, address)
			if dials++; dials > 1 || err != nil {
				return conn, err
			}
			return &silencedConn{conn, silenced}, nil
		},
	})
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, client.Close()) })
	assert.NilError(t, client.Start())
	call := func() error {
		const shortTimeout = silenceTimeout / 4
		ctx, cancel := context.WithTimeout(context.Background(), shortTimeout)
		defer cancel()
		var result echoResult
		return client.Call(ctx, server.Address(), "echo", 1, &result)
	}
	assert.NilError(t, call())
	close(silenced)
	failures := 0
	for call() != nil {
		failures++
		assert.Assert(t, failures < 10, "calls still fail after %d times", failures)
	}
	assert.Assert(t, failures >= 4, "left after %d calls, before silenceTimeout", failures)
}

func TestListenRejectsInvalidOptions(t *testing.T) {
	for _, options := range []Options{
		{Address: "0.0.0.0:0", Secret: testSecret},
		{Address: "[::]:0", Secret: testSecret},
		{Address: "localhost:0", Secret: testSecret},
		{Address: "127.0.0.1:0", Secret: []byte("short")},
	} {
		_, err := Listen(options)
		assert.Check(t, err != nil, "%s", options.Address)
	}
}

func TestCloseDoesNotWaitForAPeerThatSaysNothing(t *testing.T) {
	defer goleak.VerifyNone(t)
	unresponsive, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { assert.Check(t, unresponsive.Close()) }()
	bus := newBusWithoutCleanup(t)
	assert.NilError(t, bus.Start())
	var wg conc.WaitGroup
	wg.Go(func() {
		err := bus.Call(context.Background(), unresponsive.Addr().String(), "echo", nil, nil)
		assert.Check(t, errors.Is(err, ErrUnreachable), "%v", err)
	})
	conn, err := unresponsive.Accept()
	assert.NilError(t, err)
	assert.NilError(t, bus.Close())
	wg.Wait()
	assert.NilError(t, conn.Close())
}

// A panic in the handler of one datagram, or of one call, ended the reception of all others until
// the bus was closed, without a log line.
func TestPanicInAHandlerDoesNotEndTheReception(t *testing.T) {
	a, b := newBus(t, testSecret), newBus(t, testSecret)
	core, lines := observer.New(zap.ErrorLevel)
	b.logger = zap.New(core)
	got := make(chan string, 1)
	b.HandleDatagram(KindCredit, func(_ string, body []byte) {
		if string(body) == "odd" {
			panic("unexpected value")
		}
		got <- string(body)
	})
	b.Handle("odd", func(context.Context, string, json.RawMessage) (any, error) { panic("unexpected value") })
	b.Handle("echo", echoHandler)
	assert.NilError(t, a.Start())
	assert.NilError(t, b.Start())
	assert.NilError(t, a.Send(b.Address(), KindCredit, []byte("odd")))
	assert.NilError(t, a.Send(b.Address(), KindCredit, []byte("sound")))
	select {
	case body := <-got:
		assert.Equal(t, body, "sound")
	case <-time.After(10 * time.Second):
		t.Error("no datagram is received after one whose handler panicked")
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	assert.Check(t, a.Call(ctx, b.Address(), "odd", 1, nil) != nil)
	assert.NilError(t, ctx.Err(), "the call got no response")
	assert.NilError(t, a.Call(ctx, b.Address(), "echo", 1, &echoResult{}))
	assert.Equal(t, lines.Len(), 2)
}

// A datagram socket whose reads fail for a time was read again without a pause.
func TestFailedReadsOfDatagramsAreRepeatedAfterADelay(t *testing.T) {
	clock := clockwork.NewFakeClock()
	core, lines := observer.New(zap.InfoLevel)
	a := newBus(t, testSecret)
	b, err := Listen(Options{Address: "127.0.0.1:0", Secret: testSecret, Clock: clock, Logger: zap.New(core)})
	assert.NilError(t, err)
	t.Cleanup(func() { assert.Check(t, b.Close()) })
	got := make(chan string, 1)
	b.HandleDatagram(KindCredit, func(_ string, body []byte) { got <- string(body) })
	// Reads fail as long as their deadline has passed.
	assert.NilError(t, b.udpConn.SetReadDeadline(time.Unix(1, 0)))
	before := DatagramReadFailures()
	b.loops.Go(b.receiveDatagrams)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	const failures = 3
	for n := range uint64(failures) {
		assert.NilError(t, clock.BlockUntilContext(ctx, 1), "no delay after a failed read")
		assert.Equal(t, DatagramReadFailures(), before+n+1)
		if n < failures-1 {
			clock.Advance(datagramRetryDelay)
		}
	}
	assert.Equal(t, lines.FilterMessage("datagrams cannot be read; it is tried again").Len(), 1)
	assert.NilError(t, b.udpConn.SetReadDeadline(time.Time{}))
	clock.Advance(datagramRetryDelay)
	assert.NilError(t, a.Send(b.Address(), KindCredit, []byte("sound")))
	select {
	case body := <-got:
		assert.Equal(t, body, "sound")
	case <-ctx.Done():
		t.Fatal("no datagram is received after failed reads")
	}
	assert.Equal(t, lines.FilterMessage("datagrams are read again").Len(), 1)
}
