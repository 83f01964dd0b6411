package target

import (
	"net"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
)

// listener serves HTTP on one address that survives crashes and restarts.
type listener struct {
	handler http.Handler

	// mu guards address and server.
	mu      sync.Mutex
	address string
	server  *http.Server
	serving conc.WaitGroup
}

// start listens on the address of an earlier start, or on a loopback port
// that the system chooses.
func (l *listener) start() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.server != nil {
		return errors.New("stand-in target: already listening")
	}
	address := l.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	socket, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "stand-in target: listen")
	}
	server := &http.Server{Handler: l.handler}
	l.address = socket.Addr().String()
	l.server = server
	l.serving.Go(func() { _ = server.Serve(socket) })
	return nil
}

// stop closes the listener and all connections at once.
func (l *listener) stop() {
	l.mu.Lock()
	server := l.server
	l.server = nil
	l.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
}

// Address is "127.0.0.1:port"; empty before the start.
func (l *listener) Address() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.address
}

// URL is the base address.
func (l *listener) URL() string { return "http://" + l.Address() }

// Listening reports whether the target is up.
func (l *listener) Listening() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.server != nil
}
