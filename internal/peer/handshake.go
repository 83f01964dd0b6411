package peer

import (
	"bytes"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"io"
	"net"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
)

// The handshake precedes the first message:
//
//	caller -> listener: purpose, caller's nonce
//	listener -> caller: listener's nonce
//	caller -> listener: proof("caller"), caller's peer address
//	listener -> caller: proof("listener")
//
// A proof is an HMAC-SHA256 under the shared secret over its label, both nonces
// and the address of the caller. The caller sends its proof first, so that an
// unauthenticated peer receives one random nonce only. The labels prevent the
// proof of one side from being reflected as that of the other, and the purpose of a
// connection from being changed.
const (
	nonceBytes       = 32
	proofBytes       = sha256.Size
	handshakeTimeout = 3 * time.Second
	// maxHandshakes bounds the incoming connections that are not yet authenticated.
	maxHandshakes   = 128
	maxAddressBytes = 64
)

// purpose is what a connection between instances is for.
type purpose byte

const (
	purposeCalls purpose = iota + 1
	purposeStream
)

const (
	callerLabel       = "hibiscuspost caller\x00"
	streamCallerLabel = "hibiscuspost stream caller\x00"
	listenerLabel     = "hibiscuspost listener\x00"
)

func (p purpose) callerLabel() string {
	if p == purposeStream {
		return streamCallerLabel
	}
	return callerLabel
}

// ErrAuthentication means that the other side did not prove that it knows the
// shared secret.
var ErrAuthentication = errors.New("peer: the other side did not prove that it knows the shared secret")

// computeProof returns the proof of one side of the handshake.
func computeProof(secret []byte, label string, callerNonce, listenerNonce []byte, address string) []byte {
	mac := hmac.New(sha256.New, secret)
	_, _ = mac.Write([]byte(label))
	_, _ = mac.Write(callerNonce)
	_, _ = mac.Write(listenerNonce)
	_, _ = mac.Write([]byte(address))
	return mac.Sum(nil)
}

// callerHandshake performs the caller's side of the handshake on a new connection.
func callerHandshake(conn net.Conn, secret []byte, callerAddress string, p purpose) error {
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	hello := make([]byte, 1+nonceBytes)
	hello[0] = byte(p)
	_, _ = rand.Read(hello[1:])
	if _, err := conn.Write(hello); err != nil {
		return err
	}
	listenerNonce := make([]byte, nonceBytes)
	if _, err := io.ReadFull(conn, listenerNonce); err != nil {
		return err
	}
	var message bytes.Buffer
	message.Write(computeProof(secret, p.callerLabel(), hello[1:], listenerNonce, callerAddress))
	message.WriteByte(byte(len(callerAddress)))
	message.WriteString(callerAddress)
	if _, err := conn.Write(message.Bytes()); err != nil {
		return err
	}
	listenerProof := make([]byte, proofBytes)
	if _, err := io.ReadFull(conn, listenerProof); err != nil {
		return errors.WithSecondaryError(ErrAuthentication, err)
	}
	if !hmac.Equal(listenerProof, computeProof(secret, listenerLabel, hello[1:], listenerNonce, callerAddress)) {
		return ErrAuthentication
	}
	return conn.SetDeadline(time.Time{})
}

// listenerHandshake performs the listener's side of the handshake and returns the
// peer address of the caller and what the connection is for.
func listenerHandshake(conn net.Conn, secret []byte) (string, purpose, error) {
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	hello := make([]byte, 1+nonceBytes)
	if _, err := io.ReadFull(conn, hello); err != nil {
		return "", 0, err
	}
	p := purpose(hello[0])
	if p != purposeCalls && p != purposeStream {
		return "", 0, errors.Newf("peer: unsupported purpose of a connection: %d", hello[0])
	}
	listenerNonce := make([]byte, nonceBytes)
	_, _ = rand.Read(listenerNonce)
	if _, err := conn.Write(listenerNonce); err != nil {
		return "", 0, err
	}
	proofAndLength := make([]byte, proofBytes+1)
	if _, err := io.ReadFull(conn, proofAndLength); err != nil {
		return "", 0, err
	}
	addressLen := int(proofAndLength[proofBytes])
	if addressLen > maxAddressBytes {
		return "", 0, errors.Newf("peer: address of %d bytes is too long", addressLen)
	}
	address := make([]byte, addressLen)
	if _, err := io.ReadFull(conn, address); err != nil {
		return "", 0, err
	}
	callerAddress := string(address)
	if !hmac.Equal(proofAndLength[:proofBytes], computeProof(secret, p.callerLabel(), hello[1:], listenerNonce, callerAddress)) {
		return "", 0, ErrAuthentication
	}
	if _, err := netip.ParseAddrPort(callerAddress); err != nil {
		return "", 0, errors.Wrap(err, "peer: parse the address of the caller")
	}
	if _, err := conn.Write(computeProof(secret, listenerLabel, hello[1:], listenerNonce, callerAddress)); err != nil {
		return "", 0, err
	}
	return callerAddress, p, conn.SetDeadline(time.Time{})
}
