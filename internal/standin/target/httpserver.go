package target

import (
	"net"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
)

// httpServer is an HTTP server that keeps its address across restarts.
type httpServer struct {
	handler http.Handler

	// mu guards address and server.
	mu         sync.Mutex
	address    string
	server     *http.Server
	serveGroup conc.WaitGroup
}

// start listens on the address of the previous start, or on a loopback port
// that the operating system chooses.
func (s *httpServer) start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server != nil {
		return errors.New("stand-in target: server is already started")
	}
	address := s.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	netListener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "stand-in target: listen")
	}
	server := &http.Server{Handler: s.handler}
	s.address = netListener.Addr().String()
	s.server = server
	s.serveGroup.Go(func() { _ = server.Serve(netListener) })
	return nil
}

// stop closes the listener and all connections at once.
func (s *httpServer) stop() {
	s.mu.Lock()
	server := s.server
	s.server = nil
	s.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
}

// Address returns "127.0.0.1:port", or "" before the first start.
func (s *httpServer) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// URL returns the base URL.
func (s *httpServer) URL() string { return "http://" + s.Address() }

// Listening reports whether the server is started.
func (s *httpServer) Listening() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.server != nil
}
