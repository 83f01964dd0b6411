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

// The handshake, before the first message:
//
//	caller -> listener: version, caller's nonce
//	listener -> caller: listener's nonce
//	caller -> listener: proof("caller"), caller's peer address
//	listener -> caller: proof("listener")
//
// A proof is HMAC-SHA256 under the shared secret over its label, both nonces
// and the caller's address. The caller proves itself first, so that a listener
// tells strangers one random nonce only; the labels keep one side's proof from
// being reflected as the other's.
const (
	handshakeVersion = 1
	nonceBytes       = 32
	proofBytes       = sha256.Size
	handshakeTimeout = 3 * time.Second
	// maxHandshakes bounds connections that have not yet proved themselves.
	maxHandshakes = 128
	maxAddress    = 64
)

const (
	labelCaller   = "hibiscuspost caller\x00"
	labelListener = "hibiscuspost listener\x00"
)

// ErrAuthentication means that the other side did not prove that it knows the secret.
var ErrAuthentication = errors.New("peer: the other side does not know the shared secret")

func proof(secret []byte, label string, callerNonce, listenerNonce []byte, address string) []byte {
	mac := hmac.New(sha256.New, secret)
	_, _ = mac.Write([]byte(label))
	_, _ = mac.Write(callerNonce)
	_, _ = mac.Write(listenerNonce)
	_, _ = mac.Write([]byte(address))
	return mac.Sum(nil)
}

// greet runs the caller's side of the handshake on a fresh connection.
func greet(conn net.Conn, secret []byte, self string) error {
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	hello := make([]byte, 1+nonceBytes)
	hello[0] = handshakeVersion
	_, _ = rand.Read(hello[1:])
	if _, err := conn.Write(hello); err != nil {
		return err
	}
	theirs := make([]byte, nonceBytes)
	if _, err := io.ReadFull(conn, theirs); err != nil {
		return err
	}
	var out bytes.Buffer
	out.Write(proof(secret, labelCaller, hello[1:], theirs, self))
	out.WriteByte(byte(len(self)))
	out.WriteString(self)
	if _, err := conn.Write(out.Bytes()); err != nil {
		return err
	}
	answer := make([]byte, proofBytes)
	if _, err := io.ReadFull(conn, answer); err != nil {
		return errors.WithSecondaryError(ErrAuthentication, err)
	}
	if !hmac.Equal(answer, proof(secret, labelListener, hello[1:], theirs, self)) {
		return ErrAuthentication
	}
	return conn.SetDeadline(time.Time{})
}

// admit runs the listener's side; it returns the caller's peer address.
func admit(conn net.Conn, secret []byte) (string, error) {
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	hello := make([]byte, 1+nonceBytes)
	if _, err := io.ReadFull(conn, hello); err != nil {
		return "", err
	}
	if hello[0] != handshakeVersion {
		return "", errors.Newf("peer: handshake version %d", hello[0])
	}
	ours := make([]byte, nonceBytes)
	_, _ = rand.Read(ours)
	if _, err := conn.Write(ours); err != nil {
		return "", err
	}
	head := make([]byte, proofBytes+1)
	if _, err := io.ReadFull(conn, head); err != nil {
		return "", err
	}
	size := int(head[proofBytes])
	if size > maxAddress {
		return "", errors.Newf("peer: an address of %d bytes", size)
	}
	address := make([]byte, size)
	if _, err := io.ReadFull(conn, address); err != nil {
		return "", err
	}
	from := string(address)
	if !hmac.Equal(head[:proofBytes], proof(secret, labelCaller, hello[1:], ours, from)) {
		return "", ErrAuthentication
	}
	if _, err := netip.ParseAddrPort(from); err != nil {
		return "", errors.Wrap(err, "peer: the caller's address")
	}
	if _, err := conn.Write(proof(secret, labelListener, hello[1:], ours, from)); err != nil {
		return "", err
	}
	return from, conn.SetDeadline(time.Time{})
}
