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

// pendingStatus is the status of one instance in transit to another.
type pendingStatus struct {
	receiver int
	status   membership.ReceivedStatus
}

// isolatedInstance is an instance that in every second trial receives neither
// calls nor the table, only probes.
const isolatedInstance = 4

// unreachableTable is a table that an instance cannot read.
type unreachableTable struct{ platform.TableService }

func (unreachableTable) Get(context.Context, platform.Key) (platform.Row, error) {
	return platform.Row{}, platform.ErrUnavailable
}

// stalenessTrial performs random steps and records when each version was
// written.
type stalenessTrial struct {
	*testCluster
	random *rand.Rand
	// isolated says whether isolatedInstance is isolated in this trial.
	isolated bool
	// writeTimes holds at i the time of the write of version i+1.
	writeTimes []time.Time
	pending    []pendingStatus
	versions   []uint64
}

// TestInstancesThatTakeWorkAreNeverBehindTheBound performs random steps:
// applies, polls with the table up or down, delayed probe acknowledgements,
// isolated instances, and clock advances as for a paused process. At all times
// an instance in ModeFresh holds each version that was written at least
// MaxStaleness ago, and no instance's version decreases.
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

func (trial *stalenessTrial) step() {
	i := trial.random.IntN(len(trial.replicas))
	switch trial.random.IntN(8) {
	case 0:
		trial.applyOn(i)
	case 1, 2:
		// A poll may fail.
		_ = trial.replicas[i].poll(context.Background())
	case 3:
		trial.queueStatus(i)
	case 4:
		trial.deliverStatus()
	case 5:
		trial.clock.Advance(time.Duration(trial.random.Int64N(int64(3 * time.Second))))
	case 6:
		trial.changeFaults()
	case 7:
		trial.replicas[i].fetchVersion(context.Background(), trial.replicas[i].highestKnown.Load())
	}
}

func (trial *stalenessTrial) applyOn(i int) {
	trial.restoreReach()
	before, _, err := readHead(context.Background(), trial.memory)
	if err != nil {
		return
	}
	writeTime := trial.clock.Now()
	// Whether it was accepted is read from the row.
	_, _ = NewStore(trial.replicas[i]).Apply(context.Background(), before.Version, testTables(fmt.Sprint(before.Version)))
	after, _, err := readHead(context.Background(), trial.memory)
	if err == nil && after.Version > before.Version {
		trial.writeTimes = append(trial.writeTimes, writeTime)
	}
}

// queueStatus simulates a probe by instance i of a random instance; the
// acknowledgement is in transit.
func (trial *stalenessTrial) queueStatus(i int) {
	j := trial.random.IntN(len(trial.replicas))
	trial.pending = append(trial.pending, pendingStatus{receiver: i, status: membership.ReceivedStatus{
		Member: testMember(j), Status: trial.replicas[j].status(), AsOf: trial.clock.Now(),
	}})
}

func (trial *stalenessTrial) deliverStatus() {
	if len(trial.pending) == 0 {
		return
	}
	k := trial.random.IntN(len(trial.pending))
	p := trial.pending[k]
	trial.pending = append(trial.pending[:k], trial.pending[k+1:]...)
	trial.replicas[p.receiver].handleStatus(p.status)
}

func (trial *stalenessTrial) changeFaults() {
	trial.reconnect()
	if trial.isolated {
		trial.isolate(isolatedInstance)
	}
	trial.isolate(trial.random.IntN(len(trial.replicas)))
	trial.setTableFault(nil)
	if trial.random.IntN(3) == 0 {
		trial.setTableFault(func(operation string) error {
			if operation == "get" {
				return platform.ErrUnavailable
			}
			return nil
		})
	}
}

func (trial *stalenessTrial) checkInvariants() {
	trial.t.Helper()
	now := trial.clock.Now()
	for i, replica := range trial.replicas {
		// The mode is read first because the version only increases.
		fresh := replica.admissionMode() == ModeFresh
		version := replica.Current().Version
		assert.Assert(trial.t, version >= trial.versions[i], "version of instance %d decreased", i)
		trial.versions[i] = version
		for v, writtenAt := range trial.writeTimes {
			stale := fresh && version < uint64(v+1) && now.Sub(writtenAt) >= MaxStaleness
			assert.Assert(trial.t, !stale, "instance %d holds version %d, but version %d was written %s ago", i, version, v+1, now.Sub(writtenAt))
		}
	}
}
