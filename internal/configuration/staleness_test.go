package configuration

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/membership"
	"github.com/hibiscuspost/hibiscuspost/internal/platform"
)

// pendingStatus is the status of one instance on its way to another.
type pendingStatus struct {
	receiver int
	status   membership.Heard
}

// isolatedInstance is an instance that in every second trial gets neither calls nor the
// table, only probes.
const isolatedInstance = 4

// unreachableTable is a table that this instance does not reach.
type unreachableTable struct{ platform.TableService }

func (unreachableTable) Get(context.Context, platform.Key) (platform.Row, error) {
	return platform.Row{}, platform.ErrUnavailable
}

// stalenessTrial makes random steps and remembers when each version was written.
type stalenessTrial struct {
	*testCluster
	random *rand.Rand
	// isolated is set if the instance cutOff is.
	isolated bool
	// writeTimes holds the time of the write of version i+1.
	writeTimes []time.Time
	pending    []pendingStatus
	versions   []uint64
}

// TestInstancesThatTakeWorkAreNeverBehindTheBound takes random steps: applies,
// polls with the table up or down, probes that are answered late, cuts, and
// time that passes, as for a paused process. Whatever happens, an instance in
// ModeFresh holds each version that was written InForceBound ago or earlier,
// and no version ever falls.
func TestInstancesThatTakeWorkAreNeverBehindTheBound(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			trial := &stalenessTrial{
				testCluster: newTestCluster(t, 5), random: rand.New(rand.NewPCG(seed, 5)), versions: make([]uint64, 5),
				isolated: seed%2 == 0,
			}
			if trial.isolated {
				trial.isolate(isolatedInstance)
				trial.replicas[isolatedInstance].table = unreachableTable{}
			}
			for range 200 {
				trial.step()
				trial.checkInvariants()
			}
			assert.Check(t, len(trial.writeTimes) > 0)
		})
	}
}

func (b *stalenessTrial) step() {
	i := b.random.IntN(len(b.replicas))
	switch b.random.IntN(8) {
	case 0:
		b.applyOn(i)
	case 1, 2:
		// A poll may fail.
		_ = b.replicas[i].poll(context.Background())
	case 3:
		b.queueStatus(i)
	case 4:
		b.deliverStatus()
	case 5:
		b.clock.Advance(time.Duration(b.random.Int64N(int64(3 * time.Second))))
	case 6:
		b.changeFaults()
	case 7:
		b.replicas[i].fetchVersion(context.Background(), b.replicas[i].highestKnown.Load())
	}
}

func (b *stalenessTrial) applyOn(i int) {
	b.restoreReach()
	before, _, err := readHead(context.Background(), b.memory)
	if err != nil {
		return
	}
	writeTime := b.clock.Now()
	// Whether it was accepted shows in the row.
	_, _ = NewStore(b.replicas[i]).Apply(context.Background(), before.Version, testTables(fmt.Sprint(before.Version)))
	after, _, err := readHead(context.Background(), b.memory)
	if err == nil && after.Version > before.Version {
		b.writeTimes = append(b.writeTimes, writeTime)
	}
}

// queueStatus lets instance i ask another; the answer is on its way.
func (b *stalenessTrial) queueStatus(i int) {
	j := b.random.IntN(len(b.replicas))
	b.pending = append(b.pending, pendingStatus{receiver: i, status: membership.Heard{
		Member: testMember(j), Status: b.replicas[j].status(), AsOf: b.clock.Now(),
	}})
}

func (b *stalenessTrial) deliverStatus() {
	if len(b.pending) == 0 {
		return
	}
	k := b.random.IntN(len(b.pending))
	p := b.pending[k]
	b.pending = append(b.pending[:k], b.pending[k+1:]...)
	b.replicas[p.receiver].handleStatus(p.status)
}

func (b *stalenessTrial) changeFaults() {
	b.reconnect()
	if b.isolated {
		b.isolate(isolatedInstance)
	}
	b.isolate(b.random.IntN(len(b.replicas)))
	b.setTableFault(nil)
	if b.random.IntN(3) == 0 {
		b.setTableFault(func(operation string) error {
			if operation == "get" {
				return platform.ErrUnavailable
			}
			return nil
		})
	}
}

func (b *stalenessTrial) checkInvariants() {
	b.t.Helper()
	now := b.clock.Now()
	for i, replica := range b.replicas {
		// The mode is read first: the version only rises.
		fresh := replica.admissionMode() == ModeFresh
		version := replica.Current().Version
		assert.Assert(b.t, version >= b.versions[i], "instance %d went back", i)
		b.versions[i] = version
		for v, writtenAt := range b.writeTimes {
			stale := fresh && version < uint64(v+1) && now.Sub(writtenAt) >= MaxStaleness
			assert.Assert(b.t, !stale, "instance %d holds %d, and %d was written %s ago", i, version, v+1, now.Sub(writtenAt))
		}
	}
}
