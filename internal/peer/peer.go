// Package peer carries messages between the system's own processes.
//
// Two kinds of message exist. Calls are requests with answers, over TCP, in
// jsonrpc2. Datagrams are small, may be lost, repeated or reordered, and fit
// in one UDP packet; they carry probes, rumours and credits. Both kinds are
// authenticated by the deployment's shared secret.
package peer

import (
	"context"
	"encoding/json"
)

// MaxDatagramBytes is the largest datagram body in bytes.
const MaxDatagramBytes = 1200

// CallHandler answers one call. Params is the sender's JSON; the returned
// value is encoded as JSON. From is the sender's peer address.
type CallHandler func(ctx context.Context, from string, params json.RawMessage) (any, error)

// DatagramHandler takes one datagram; body must not be kept after it returns.
type DatagramHandler func(from string, body []byte)

// DatagramKind tells the datagram flows apart.
type DatagramKind uint8

// The datagram flows.
const (
	KindProbe   DatagramKind = 1
	KindCredit  DatagramKind = 2
	KindCounter DatagramKind = 3
	// KindPlacement carries questions for places and their answers.
	KindPlacement DatagramKind = 4
)

// Bus sends to and receives from other instances, by their peer address
// ("ip:port", the same port for TCP and UDP). Handlers are registered before
// Start.
type Bus interface {
	// Address is this instance's own peer address.
	Address() string
	// Call sends params to method at the peer and decodes its answer into
	// result, which may be nil. Errors carry fault.StepPeer and the peer.
	Call(ctx context.Context, address, method string, params, result any) error
	// Handle registers the handler of a method.
	Handle(method string, handler CallHandler)
	// Send sends a datagram; an error means that it certainly was not sent.
	Send(address string, kind DatagramKind, body []byte) error
	// HandleDatagram registers the handler of a flow.
	HandleDatagram(kind DatagramKind, handler DatagramHandler)
	// Start begins to receive.
	Start() error
	// Close stops receiving and closes connections.
	Close() error
}
