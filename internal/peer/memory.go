package peer

import (
	"context"
	"encoding/json"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuspost/hibiscuspost/internal/fault"
)

// ErrUnreachable means that the network did not deliver a call or, on a Network,
// its response.
var ErrUnreachable = errors.New("peer: unreachable")

// Network connects in-memory buses for tests.
type Network struct {
	// Deliver, if not nil, reports whether a message from one address to another is
	// delivered. It is called for each direction of a call and must be set before use.
	Deliver func(from, to string) bool

	// mu guards buses.
	mu    sync.RWMutex
	buses map[string]*MemoryBus
}

// NewNetwork returns a Network without buses.
func NewNetwork() *Network { return &Network{buses: make(map[string]*MemoryBus)} }

// Bus returns a new bus with the address. Its Start replaces an earlier bus there.
func (n *Network) Bus(address string) *MemoryBus {
	return &MemoryBus{
		network: n, address: address,
		callHandlers: make(map[string]CallHandler), datagramHandlers: make(map[DatagramKind]DatagramHandler),
	}
}

func (n *Network) reachableBus(from, to string) *MemoryBus {
	if n.Deliver != nil && !n.Deliver(from, to) {
		return nil
	}
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.buses[to]
}

// MemoryBus is a Bus on a Network. Datagrams are handled synchronously by Send.
type MemoryBus struct {
	network          *Network
	address          string
	callHandlers     map[string]CallHandler
	datagramHandlers map[DatagramKind]DatagramHandler
}

// Address implements Bus.
func (b *MemoryBus) Address() string { return b.address }

// Handle implements Bus.
func (b *MemoryBus) Handle(method string, handler CallHandler) { b.callHandlers[method] = handler }

// HandleDatagram implements Bus.
func (b *MemoryBus) HandleDatagram(kind DatagramKind, handler DatagramHandler) {
	b.datagramHandlers[kind] = handler
}

// Start implements Bus.
func (b *MemoryBus) Start() error {
	b.network.mu.Lock()
	defer b.network.mu.Unlock()
	b.network.buses[b.address] = b
	return nil
}

// Close implements Bus.
func (b *MemoryBus) Close() error {
	b.network.mu.Lock()
	defer b.network.mu.Unlock()
	if b.network.buses[b.address] == b {
		delete(b.network.buses, b.address)
	}
	return nil
}

// Send implements Bus.
func (b *MemoryBus) Send(address string, kind DatagramKind, body []byte) error {
	receiver := b.network.reachableBus(b.address, address)
	if receiver == nil {
		return nil
	}
	if handler := receiver.datagramHandlers[kind]; handler != nil {
		handler(b.address, slices.Clone(body))
	}
	return nil
}

// Call implements Bus.
func (b *MemoryBus) Call(ctx context.Context, address, method string, params, result any) error {
	receiver := b.network.reachableBus(b.address, address)
	if receiver == nil {
		return fault.At(fault.StepPeer, address, ErrUnreachable)
	}
	handler := receiver.callHandlers[method]
	if handler == nil {
		return fault.At(fault.StepPeer, address, errors.Newf("no method %s", method))
	}
	encodedParams, err := json.Marshal(params)
	if err != nil {
		return fault.At(fault.StepPeer, address, err)
	}
	value, err := handler(ctx, b.address, encodedParams)
	if err != nil {
		return fault.At(fault.StepPeer, address, err)
	}
	if b.network.reachableBus(address, b.address) == nil {
		return fault.At(fault.StepPeer, address, ErrUnreachable)
	}
	if result == nil {
		return nil
	}
	encodedResult, err := json.Marshal(value)
	if err != nil {
		return fault.At(fault.StepPeer, address, err)
	}
	return fault.At(fault.StepPeer, address, json.Unmarshal(encodedResult, result))
}
