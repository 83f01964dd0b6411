package node

import (
	"fmt"
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/peer"
	"github.com/hibiscuspost/hibiscuspost/internal/quarantine"
	"github.com/hibiscuspost/hibiscuspost/internal/quota"
	"github.com/hibiscuspost/hibiscuspost/internal/schedule"
)

// TestLargestMessagesFitInAPacket encodes messages with as much as they may
// hold, and the largest numbers that are usual.
func TestLargestMessagesFitInAPacket(t *testing.T) {
	queues := []schedule.ServiceQueue{{Service: math.MaxUint32}, {Service: math.MaxUint32}}
	state := message{
		Name: "edge-some-zone-12", Incarnation: math.MaxInt64, Config: 1000, Members: 380,
		Load:          schedule.Report{Queues: queues},
		TargetsDigest: math.MaxUint32, TargetsPosition: 100000, TargetsAgeMs: 400, WatchAgeMs: 1800,
	}
	for range loadsPerMessage {
		state.Load.Loads = append(state.Load.Loads, schedule.TargetLoad{
			Target: math.MaxUint32, Running: 13, Prefilling: 800, PerToken: 1000,
		})
	}
	for i := range maxKnown {
		state.Known = append(state.Known, fmt.Sprintf("10.100.200.%d:7600", 100+i))
	}
	for range 4 {
		state.Crashes = append(state.Crashes, quarantine.Crash{Request: math.MaxUint64, Target: "i-0123456789"})
	}
	usages := message{Incarnation: math.MaxInt64, Gathered: true, Members: 380}
	for i := range 16 {
		usages.Usages = append(usages.Usages, quota.Usage{Account: fmt.Sprintf("tenant%06d", i), Total: 1e7 / 3, Level: 1e5 / 7})
	}
	for name, m := range map[string]*message{"state": &state, "usages": &usages} {
		body, err := encode(m)
		assert.NilError(t, err)
		assert.Assert(t, len(body) <= peer.MaxDatagram, "%s takes %d bytes", name, len(body))
	}
}
