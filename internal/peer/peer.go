// Package peer is the transport between instances.
//
// It has two kinds of messages. Calls are requests with responses, over TCP, in
// jsonrpc2. Datagrams are small messages in one UDP packet each that may be lost,
// repeated or reordered; they carry probes, gossip and credits. Both are
// authenticated with the shared secret of the deployment.
//
// Bus is the interface of the transport. NetBus implements it over TCP and UDP,
// and MemoryBus in memory for tests.
package peer

import (
	"context"
	"encoding/json"
)

// MaxDatagramBytes is the largest body of a datagram.
const MaxDatagramBytes = 1200

// CallHandler executes one call and returns the result, which is encoded as JSON.
// From is the peer address of the caller, and params is the JSON that it sent.
type CallHandler func(ctx context.Context, from string, params json.RawMessage) (any, error)

// DatagramHandler handles one datagram. It must not retain body after it returns.
type DatagramHandler func(from string, body []byte)

// DatagramKind selects the handler of a datagram.
type DatagramKind uint8

// Datagram kinds. They are part of the packet format.
const (
	KindProbe   DatagramKind = 1
	KindCredit  DatagramKind = 2
	KindCounter DatagramKind = 3
	// KindPlacement carries placement requests and their responses.
	KindPlacement DatagramKind = 4
)

// Bus sends messages to other instances and receives them, by peer address
// ("ip:port", with the same port for TCP and UDP). Handlers must be registered
// before Start.
type Bus interface {
	// Address returns the peer address of this instance.
	Address() string
	// Call sends params to a method of the peer and decodes the response into result,
	// which may be nil. Errors carry fault.StepPeer and the address of the peer.
	Call(ctx context.Context, address, method string, params, result any) error
	// Handle registers the handler of a method.
	Handle(method string, handler CallHandler)
	// Send sends a datagram. An error means that it was not sent.
	Send(address string, kind DatagramKind, body []byte) error
	// HandleDatagram registers the handler of a datagram kind.
	HandleDatagram(kind DatagramKind, handler DatagramHandler)
	// Start begins to receive messages.
	Start() error
	// Close stops receiving and closes all connections.
	Close() error
}
