package node

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/evidence"
	"github.com/hibiscuspost/hibiscuspost/internal/peer"
	"github.com/hibiscuspost/hibiscuspost/internal/placement"
	"github.com/hibiscuspost/hibiscuspost/internal/quarantine"
	"github.com/hibiscuspost/hibiscuspost/internal/quota"
	"github.com/hibiscuspost/hibiscuspost/internal/rollout"
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
	state.TargetsPosition = 100000
	assert.NilError(t, state.setAdditions(1000, []string{address(0), address(1)}, 100000, 365*24*time.Hour))
	sent, cold := sentEvacuations{Era: 1000, Version: 100000, AgeMs: 5000, OwnAgeMs: 5000}, make([]sentCold, maxColdInMessage)
	for i := range maxEvacuated {
		sent.Domains = append(sent.Domains, fmt.Sprintf("zone-%d", i))
	}
	for i := range cold {
		cold[i] = sentCold{Target: math.MaxUint32, LeftMs: 60000}
	}
	assert.NilError(t, state.append(&sent, uint64(100000), cold))
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
	rollouts := state
	rollouts.KnownAddresses, rollouts.Usages, rollouts.IsIntroduction = nil, nil, true
	rollouts.RolloutReports = []rollout.Report{largestRolloutReport(t)}
	for name, m := range map[string]*message{
		"state": &state, "rollout": &rollouts, "roster": {Incarnation: math.MaxInt64, Roster: roster},
		"quarantine": {Incarnation: math.MaxInt64, Quarantine: &digest},
	} {
		body, err := encodeMessage(m)
		assert.NilError(t, err)
		assert.Assert(t, len(body) <= peer.MaxDatagramBytes, "%s takes %d bytes", name, len(body))
	}
}

// largestRolloutReport returns a report that uses its space for records.
func largestRolloutReport(t *testing.T) rollout.Report {
	counts := rollout.Counts{Answers: math.MaxUint32, Failures: math.MaxUint32, Seconds: 1e9 / 7, SquaredSeconds: 1e9 / 7}
	histogram := evidence.Histogram{20}
	for range 30 {
		histogram = append(histogram, 1000)
	}
	var records []evidence.Record
	for i := range 20 {
		records = append(records, evidence.Record{
			Key:    evidence.Key{Version: "v2", Route: fmt.Sprintf("route-%06d", i)},
			Counts: evidence.Counts{Requests: math.MaxUint16, BusyMillis: math.MaxUint32, PerToken: histogram, Unfinished: histogram[:2+i]},
		})
	}
	groups, err := evidence.GroupRecords(records, maxRolloutRecordBytes)
	assert.NilError(t, err)
	return rollout.Report{
		Service: "some-service-12", To: "v2.10.3", Evidence: rollout.Evidence{Old: counts, New: counts},
		Duration: math.MaxInt64, Elapsed: math.MaxInt64, Revision: math.MaxUint32, Records: groups[0],
	}
}

// A digest that outgrew its datagram was dropped as a whole, just when many requests
// had failed.
func TestDigestOfRequestsWithManyPartsIsSent(t *testing.T) {
	const parts = 9
	var digest quarantine.Digest
	for i := range quarantine.MaxDigestMarks {
		digest.Marks = append(digest.Marks, quarantine.MarkReport{
			ID: math.MaxUint32 - uint32(i), Request: make([]byte, 12*parts), Target: "i-0123456789@1700000000000",
			StartedAgoMs: 3600000, EndedAgoMs: 3600000, Flags: math.MaxUint8,
		})
	}
	for range quarantine.MaxDigestCompletions {
		digest.Completions = append(digest.Completions, quarantine.CompletionReport{Request: make([]byte, 12), AgoMs: 3600000})
	}
	n := &Node{incarnation: math.MaxInt64}
	marks, completions := 0, 0
	for _, m := range n.quarantineMessages(digest) {
		body, err := encodeMessage(m)
		assert.NilError(t, err)
		assert.Assert(t, len(body) <= peer.MaxDatagramBytes, "%d bytes", len(body))
		marks += len(m.Quarantine.Marks)
		completions += len(m.Quarantine.Completions)
	}
	assert.Equal(t, marks, quarantine.MaxDigestMarks)
	assert.Equal(t, completions, quarantine.MaxDigestCompletions)
}

// A message whose entries have long names was not sent at all: not even the state of the
// instance, which the others took for gone.
func TestMessageWithLongNamesIsSent(t *testing.T) {
	var buses []*peer.NetBus
	for range 2 {
		bus, err := peer.Listen(peer.Options{Address: "127.0.0.1:0", Secret: []byte("a secret of the deployment")})
		assert.NilError(t, err)
		t.Cleanup(func() { _ = bus.Close() })
		buses = append(buses, bus)
	}
	received := make(chan message, 100)
	buses[1].HandleDatagram(peer.KindCredit, func(_ string, body []byte) {
		var m message
		assert.Check(t, msgpack.Unmarshal(body, &m))
		received <- m
	})
	assert.NilError(t, buses[1].Start())
	n := &Node{logger: zap.NewNop(), bus: buses[0]}
	var usages []quota.Usage
	var ended []rollout.Status
	for i := range maxUsagesPerMessage {
		name := fmt.Sprint(strings.Repeat("n", 190), i)
		usages = append(usages, quota.Usage{Account: name, Total: float64(i)})
		ended = append(ended, rollout.Status{Service: name, To: name, State: rollout.Completed})
	}
	report := largestRolloutReport(t)
	report.Service, report.Records = strings.Repeat("n", 190), nil
	for i := range 10 {
		report.Records = append(report.Records, evidence.Record{Key: evidence.Key{Route: fmt.Sprint(strings.Repeat("r", 190), i)}})
	}
	n.send([]string{buses[1].Address()}, &message{Name: "edge-1", IsIntroduction: true, RolloutReports: []rollout.Report{report}})
	n.sendUsages([]string{buses[1].Address()}, &message{Name: "edge-1", WantsAggregate: true, EndedRollouts: ended}, usages)

	var gotUsages []quota.Usage
	var gotEnded []rollout.Status
	records, requests := 0, 0
	for len(gotUsages) < len(usages) || len(gotEnded) < len(ended) || records < len(report.Records) || requests == 0 {
		select {
		case m := <-received:
			if m.WantsAggregate {
				requests++
			}
			if len(m.EndedRollouts) > 0 {
				assert.Assert(t, m.Name != "" && m.IsIntroduction)
			}
			for _, r := range m.RolloutReports {
				assert.Equal(t, r.Service, report.Service)
				records += len(r.Records)
			}
			gotUsages, gotEnded = append(gotUsages, m.Usages...), append(gotEnded, m.EndedRollouts...)
		case <-time.After(5 * time.Second):
			t.Fatalf("received %d of %d usages, %d of %d ended rollouts, %d of %d records, %d of 1 requests for the aggregate",
				len(gotUsages), len(usages), len(gotEnded), len(ended), records, len(report.Records), requests)
		}
	}
	assert.Equal(t, requests, 1)
	assert.DeepEqual(t, gotEnded, ended)
}
