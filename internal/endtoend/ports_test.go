package endtoend

import (
	"net"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/exit"
	"github.com/hibiscuspost/hibiscuspost/internal/settings"
)

// lineAddressUnavailable is the line of an address that cannot be bound yet.
const lineAddressUnavailable = "address not available; it is tried again"

// heldAddress is an address in use until release is called.
type heldAddress struct {
	address string
	release func()
}

func holdTCP(t *testing.T) heldAddress {
	l, err := net.Listen("tcp", anyPortAddress)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	return heldAddress{l.Addr().String(), func() { _ = l.Close() }}
}

func holdUDP(t *testing.T) heldAddress {
	conn, err := net.ListenPacket("udp", anyPortAddress)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return heldAddress{conn.LocalAddr().String(), func() { _ = conn.Close() }}
}

// launchAlone starts an instance whose platform is away.
func launchAlone(t *testing.T, listen settings.Listen) *process {
	return launchProcess(t, programPath, aloneSettings(t, listen))
}

// aloneSettings returns the settings of an instance whose platform is away.
func aloneSettings(t *testing.T, listen settings.Listen) *settings.Settings {
	return &settings.Settings{
		Name: "entry-0", FailureDomain: failureDomainOf(0), Listen: listen, Platform: "http://127.0.0.1:1",
		AdminTokenFile: writeFile(t, "token", adminToken), PeerSecretFile: writeFile(t, "secret", peerSecret),
	}
}

// TestPortsInUseDoNotEndTheStart guards against a start that fails since a port is still in use,
// for instance by the process before.
func TestPortsInUseDoNotEndTheStart(t *testing.T) {
	for _, test := range []struct {
		name   string
		hold   func(t *testing.T) heldAddress
		listen func(address string) settings.Listen
	}{
		{"callers", holdTCP, func(address string) settings.Listen {
			return settings.Listen{Callers: address, Admin: anyPortAddress, Peers: anyPortAddress}
		}},
		{"operators", holdTCP, func(address string) settings.Listen {
			return settings.Listen{Callers: anyPortAddress, Admin: address, Peers: anyPortAddress}
		}},
		{"instances, TCP", holdTCP, func(address string) settings.Listen {
			return settings.Listen{Callers: anyPortAddress, Admin: anyPortAddress, Peers: address}
		}},
		{"instances, UDP", holdUDP, func(address string) settings.Listen {
			return settings.Listen{Callers: anyPortAddress, Admin: anyPortAddress, Peers: address}
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			held := test.hold(t)
			p := launchAlone(t, test.listen(held.address))
			p.awaitLine(t, lineAddressUnavailable)
			// Long enough for further tries.
			time.Sleep(time.Second)
			held.release()
			p.awaitServing(t)
			conn, err := net.Dial("tcp", p.addresses.Callers)
			assert.NilError(t, err)
			assert.NilError(t, conn.Close())
			p.signal(t, syscall.SIGTERM)
			assert.Equal(t, p.waitForExit(t), exit.Success)
		})
	}
}

// TestStopWhileAPortIsInUse guards against a process that cannot be stopped while it waits for a port.
func TestStopWhileAPortIsInUse(t *testing.T) {
	held := holdTCP(t)
	p := launchAlone(t, settings.Listen{Callers: held.address, Admin: anyPortAddress, Peers: anyPortAddress})
	p.awaitLine(t, lineAddressUnavailable)
	p.signal(t, syscall.SIGTERM)
	assert.Equal(t, p.waitForExit(t), exit.Success)
}
