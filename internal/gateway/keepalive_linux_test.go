package gateway

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/catalog"
)

// A receive buffer that was made smaller after a long body dropped what the caller sent into the
// window that it had been offered: further bodies on the connection took up to many seconds.
func TestFurtherLongBodiesOnAConnectionAreReceived(t *testing.T) {
	const instanceMemory, bodies = 134 << 20, 6
	for _, size := range []int{12 << 10, 60 << 10, 200 << 10, 1 << 20, 4 << 20} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			server := NewServer(New(Options{
				Protocol: noopProtocol{}, Catalog: &catalog.Holder{}, Logger: zap.NewNop(), Clock: realClock(),
				Draining: func() bool { return false }, IsBehind: func() bool { return false }, Counters: &Counters{},
				ClusterView: func() ClusterView { return ClusterView{} },
			}))
			server.SetMemoryLimit(instanceMemory)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			served := make(chan error, 1)
			go func() { served <- server.Serve(l) }()
			conn, err := net.Dial("tcp", l.Addr().String())
			assert.NilError(t, err)
			assert.NilError(t, conn.SetDeadline(time.Now().Add(time.Minute)))
			reader := bufio.NewReader(conn)
			for range bodies {
				_, err := fmt.Fprintf(conn, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", size)
				assert.NilError(t, err)
				_, err = conn.Write(bytes.Repeat([]byte("x"), size))
				assert.NilError(t, err)
				response, err := http.ReadResponse(reader, nil)
				assert.NilError(t, err)
				assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
				_, err = io.Copy(io.Discard, response.Body)
				assert.NilError(t, err)
				// The sender's system acknowledges what it has received.
				time.Sleep(5 * time.Millisecond)
			}
			// Loopback loses nothing, so that what the receiver lacked was dropped by it.
			assert.Equal(t, dropped(t, conn), uint32(0), "segments dropped by the receiver")
			assert.NilError(t, conn.Close())
			assert.NilError(t, server.Shutdown(context.Background()))
			assert.NilError(t, <-served)
		})
	}
}

// dropped returns the number of segments that a connection has sent again and that the receiver
// had not got before. A segment whose acknowledgment is delayed is sent again as well, and is
// reported as a duplicate.
func dropped(t *testing.T, conn net.Conn) uint32 {
	t.Helper()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	assert.NilError(t, err)
	var info *unix.TCPInfo
	var infoErr error
	assert.NilError(t, raw.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	}))
	assert.NilError(t, infoErr)
	return info.Total_retrans - min(info.Total_retrans, info.Dsack_dups)
}
