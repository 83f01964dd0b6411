package node

import (
	"fmt"
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/peer"
	"github.com/hibiscuspost/hibiscuspost/internal/placement"
	"github.com/hibiscuspost/hibiscuspost/internal/quarantine"
	"github.com/hibiscuspost/hibiscuspost/internal/quota"
)

// TestLargestMessagesFitInDatagram checks that messages with the maximum number
// of entries and the largest realistic numbers fit in one datagram. One that
// does not fit cannot be sent.
func TestLargestMessagesFitInDatagram(t *testing.T) {
	address := func(i int) string { return fmt.Sprintf("10.100.200.%d:7600", 100+i) }
	state := message{
		Name: "edge-some-zone-12", Incarnation: math.MaxInt64, ConfigVersion: 1000, InstanceCount: 380, Capacity: 80,
		RosterDigest: math.MaxUint32, TargetsDigest: math.MaxUint32, TargetsAgeMs: 400,
		WatchAgeMs: 1800, PeerWatchAgeMs: 1800,
	}
	assert.NilError(t, state.setTargetsPosition(Position{Era: 1000, Version: 100000}))
	for i := range maxKnownAddresses {
		state.KnownAddresses = append(state.KnownAddresses, address(i))
	}
	var digest quarantine.Digest
	request := make([]byte, 12)
	for range quarantine.MaxDigestMarks {
		digest.Marks = append(digest.Marks, quarantine.MarkReport{
			ID: math.MaxUint32, Request: request, Target: "i-0123456789@1700000000000", StartedAgoMs: 3600000, EndedAgoMs: 3600000, Flags: math.MaxUint8,
		})
	}
	for range quarantine.MaxDigestCompletions {
		digest.Completions = append(digest.Completions, quarantine.CompletionReport{Request: request, AgoMs: 3600000})
	}
	for i := range maxUsagesPerMessage {
		state.Usages = append(state.Usages, quota.Usage{Account: fmt.Sprintf("tenant%06d", i), Total: 1e7 / 3, Level: 1e5 / 7})
	}
	instances := make([]placement.Instance, 380)
	for i := range instances {
		instances[i].Address = address(i)
	}
	roster, _ := (&placement.Roster{Epoch: 1000}).Next(1000, instances)
	for name, m := range map[string]*message{
		"state": &state, "roster": {Incarnation: math.MaxInt64, Roster: roster},
		"quarantine": {Incarnation: math.MaxInt64, Quarantine: &digest},
	} {
		body, err := encodeMessage(m)
		assert.NilError(t, err)
		assert.Assert(t, len(body) <= peer.MaxDatagramBytes, "%s takes %d bytes", name, len(body))
	}
}
