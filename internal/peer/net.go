package peer

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/hibiscuspost/hibiscuspost/internal/listen"
)

// Limits of a NetBus.
const (
	// maxPortAttempts bounds the search for a port that is free for both TCP and UDP.
	maxPortAttempts = 32
	// udpBufferBytes is the requested size of the UDP receive buffer of the kernel.
	udpBufferBytes = 1 << 20
	// minSecretBytes is the least length of the shared secret.
	minSecretBytes = 16
	// idleCheckInterval is the interval between checks for idle connections.
	idleCheckInterval = 15 * time.Second
	// idleTimeout is how long an unused outgoing connection is kept open.
	idleTimeout = 60 * time.Second
)

// Options holds the settings of a NetBus.
type Options struct {
	// Address is the "ip:port" at which other instances reach this one. With port 0
	// the operating system chooses the port.
	Address string
	// Secret is shared by all instances of the deployment.
	Secret []byte
	// Logger receives failed handshakes; nil discards them.
	Logger *zap.Logger
	// Clock measures the idle time of connections; nil means the real clock.
	Clock clockwork.Clock
	// Dial opens connections to other instances; nil dials them over TCP.
	Dial DialFunc
	// SendPacket sends a packet to another instance; nil sends it over UDP.
	SendPacket SendPacketFunc
	// AcceptFailures counts connections that could not be accepted; it may be nil.
	AcceptFailures *atomic.Uint64
}

// DialFunc opens a connection to an address of a network.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// SendPacketFunc sends a packet from a socket to an address.
type SendPacketFunc func(from *net.UDPConn, packet []byte, to netip.AddrPort) (int, error)

// NetBus is a Bus over TCP and UDP.
//
// Both sides of a TCP connection prove that they know the shared secret before the
// first message; see handshake.go. Calls to one peer share one outgoing
// connection, on which jsonrpc2 matches responses by ID; incoming connections are
// used for incoming calls only. Each datagram has a truncated MAC; see datagram.go.
// A peer without the secret receives one nonce and nothing else.
type NetBus struct {
	address          string
	secret           []byte
	logger           *zap.Logger
	clock            clockwork.Clock
	listener         net.Listener
	udpConn          *net.UDPConn
	sealer           *sealer
	callHandlers     map[string]CallHandler
	datagramHandlers map[DatagramKind]DatagramHandler

	dialTCP    DialFunc
	sendPacket SendPacketFunc
	// streamHandler serves streams; nil rejects them.
	streamHandler StreamHandler

	ctx    context.Context
	cancel context.CancelFunc
	// loops tracks the goroutines of Start, and tasks those that dial, serve incoming
	// connections and execute calls.
	loops sync.WaitGroup
	tasks sync.WaitGroup
	// handshakeSlots bounds the incoming connections that are not yet authenticated.
	handshakeSlots chan struct{}

	// mu guards links, incoming and closed.
	mu       sync.Mutex
	links    map[string]*link
	incoming map[net.Conn]struct{}
	closed   bool
}

// Listen opens the TCP and UDP sockets. Nothing is received before Start.
func Listen(options Options) (*NetBus, error) {
	if len(options.Secret) < minSecretBytes {
		return nil, errors.Newf("peer: the shared secret is shorter than %d bytes", minSecretBytes)
	}
	if err := checkAddress(options.Address); err != nil {
		return nil, err
	}
	listener, udpConn, err := bind(options.Address)
	if err != nil {
		return nil, err
	}
	_ = udpConn.SetReadBuffer(udpBufferBytes)
	b := &NetBus{
		address:          listener.Addr().String(),
		secret:           append([]byte(nil), options.Secret...),
		logger:           options.Logger,
		clock:            options.Clock,
		udpConn:          udpConn,
		sealer:           newSealer(options.Secret),
		callHandlers:     make(map[string]CallHandler),
		datagramHandlers: make(map[DatagramKind]DatagramHandler),
		dialTCP:          options.Dial,
		sendPacket:       options.SendPacket,
		handshakeSlots:   make(chan struct{}, maxHandshakes),
		links:            make(map[string]*link),
		incoming:         make(map[net.Conn]struct{}),
	}
	if b.logger == nil {
		b.logger = zap.NewNop()
	}
	if b.dialTCP == nil {
		b.dialTCP = new(net.Dialer).DialContext
	}
	if b.sendPacket == nil {
		b.sendPacket = (*net.UDPConn).WriteToUDPAddrPort
	}
	if b.clock == nil {
		b.clock = clockwork.NewRealClock()
	}
	b.listener = listen.NewListener(listener, listen.ListenerOptions{Server: "other instances", Clock: b.clock, Logger: b.logger, Failures: options.AcceptFailures})
	b.ctx, b.cancel = context.WithCancel(context.Background())
	return b, nil
}

// checkAddress rejects addresses at which other instances cannot reach this one.
func checkAddress(address string) error {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return errors.Wrapf(err, "peer: listen address %q", address)
	}
	if parsed.Addr().IsUnspecified() {
		return errors.Newf("peer: listen address %q is unspecified, so other instances cannot reach it", address)
	}
	return nil
}

// bind opens both sockets on the same port.
func bind(address string) (*net.TCPListener, *net.UDPConn, error) {
	requested, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "peer: listen address %q", address)
	}
	for range maxPortAttempts {
		listener, err := net.ListenTCP("tcp", requested)
		if err != nil {
			return nil, nil, errors.Wrapf(err, "peer: listen on %s", address)
		}
		bound := listener.Addr().(*net.TCPAddr)
		udpConn, err := net.ListenUDP("udp", &net.UDPAddr{IP: bound.IP, Port: bound.Port, Zone: bound.Zone})
		if err == nil {
			return listener, udpConn, nil
		}
		_ = listener.Close()
		if requested.Port != 0 {
			return nil, nil, errors.Wrapf(err, "peer: listen for datagrams on %s", address)
		}
	}
	return nil, nil, errors.Newf("peer: no port of %s is free for TCP and UDP", address)
}

// Address implements Bus. It contains the port in use.
func (b *NetBus) Address() string { return b.address }

// Handle implements Bus.
func (b *NetBus) Handle(method string, handler CallHandler) { b.callHandlers[method] = handler }

// HandleDatagram implements Bus.
func (b *NetBus) HandleDatagram(kind DatagramKind, handler DatagramHandler) {
	b.datagramHandlers[kind] = handler
}

// Start implements Bus.
func (b *NetBus) Start() error {
	b.loops.Go(b.acceptConnections)
	b.loops.Go(b.receiveDatagrams)
	b.loops.Go(b.runIdleCheck)
	return nil
}

// Close implements Bus. It cancels the contexts of the handlers of running calls
// and waits for the handlers.
func (b *NetBus) Close() error {
	b.mu.Lock()
	if b.closed {
		b.mu.Unlock()
		return nil
	}
	b.closed = true
	links := b.links
	b.links = make(map[string]*link)
	for conn := range b.incoming {
		_ = conn.Close()
	}
	b.mu.Unlock()

	b.cancel()
	err := errors.CombineErrors(b.listener.Close(), b.udpConn.Close())
	for _, l := range links {
		l.close()
	}
	b.loops.Wait()
	b.tasks.Wait()
	return err
}

// spawn runs f in a goroutine that Close waits for. Once the bus is closed, it does
// not run f and returns false.
func (b *NetBus) spawn(f func()) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return false
	}
	b.tasks.Go(f)
	return true
}

// runIdleCheck closes idle outgoing connections until the bus is closed.
func (b *NetBus) runIdleCheck() {
	ticker := b.clock.NewTicker(idleCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-b.ctx.Done():
			return
		case <-ticker.Chan():
			b.closeIdle()
		}
	}
}

func (b *NetBus) closeIdle() {
	var idle []*link
	b.mu.Lock()
	for address, l := range b.links {
		if l.idleTime(b.clock.Now()) > idleTimeout {
			idle = append(idle, l)
			delete(b.links, address)
		}
	}
	b.mu.Unlock()
	for _, l := range idle {
		l.close()
	}
}
