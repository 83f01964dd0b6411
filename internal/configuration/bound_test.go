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

// probeInFlight is the status of one instance on its way to another.
type probeInFlight struct {
	to    int
	heard membership.Heard
}

// cutOff is an instance that in every second trial gets neither calls nor the
// table, only probes.
const cutOff = 4

// noTable is a table that this instance does not reach.
type noTable struct{ platform.TableService }

func (noTable) Get(context.Context, platform.Key) (platform.Row, error) {
	return platform.Row{}, platform.ErrUnavailable
}

// boundTrial makes random steps and remembers when each version was written.
type boundTrial struct {
	*fleet
	random *rand.Rand
	// cut is set if the instance cutOff is.
	cut bool
	// written holds the time of the write of version i+1.
	written  []time.Time
	probes   []probeInFlight
	versions []uint64
}

// TestInstancesThatTakeWorkAreNeverBehindTheBound takes random steps: applies,
// polls with the table up or down, probes that are answered late, cuts, and
// time that passes, as for a paused process. Whatever happens, an instance in
// ModeFresh holds each version that was written InForceBound ago or earlier,
// and no version ever falls.
func TestInstancesThatTakeWorkAreNeverBehindTheBound(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			trial := &boundTrial{
				fleet: newFleet(t, 5), random: rand.New(rand.NewPCG(seed, 5)), versions: make([]uint64, 5),
				cut: seed%2 == 0,
			}
			if trial.cut {
				trial.silence(cutOff)
				trial.all[cutOff].table = noTable{}
			}
			for range 200 {
				trial.step()
				trial.check()
			}
			assert.Check(t, len(trial.written) > 0)
		})
	}
}

func (b *boundTrial) step() {
	i := b.random.IntN(len(b.all))
	switch b.random.IntN(8) {
	case 0:
		b.apply(i)
	case 1, 2:
		// A poll may fail.
		_ = b.all[i].poll(context.Background())
	case 3:
		b.sendProbe(i)
	case 4:
		b.answerProbe()
	case 5:
		b.clock.Advance(time.Duration(b.random.Int64N(int64(3 * time.Second))))
	case 6:
		b.changeNetwork()
	case 7:
		b.all[i].fetch(context.Background(), b.all[i].wanted.Load())
	}
}

func (b *boundTrial) apply(i int) {
	b.keepContact()
	h, _, err := readHead(context.Background(), b.memory)
	if err != nil {
		return
	}
	before := b.clock.Now()
	// Whether it was accepted shows in the row.
	_, _ = NewStore(b.all[i]).Apply(context.Background(), h.Version, sample(fmt.Sprint(h.Version)))
	after, _, err := readHead(context.Background(), b.memory)
	if err == nil && after.Version > h.Version {
		b.written = append(b.written, before)
	}
}

// sendProbe lets instance i ask another; the answer is on its way.
func (b *boundTrial) sendProbe(i int) {
	j := b.random.IntN(len(b.all))
	b.probes = append(b.probes, probeInFlight{to: i, heard: membership.Heard{
		Member: instance(j), Status: b.all[j].status(), AsOf: b.clock.Now(),
	}})
}

func (b *boundTrial) answerProbe() {
	if len(b.probes) == 0 {
		return
	}
	k := b.random.IntN(len(b.probes))
	p := b.probes[k]
	b.probes = append(b.probes[:k], b.probes[k+1:]...)
	b.all[p.to].hear(p.heard)
}

func (b *boundTrial) changeNetwork() {
	b.heal()
	if b.cut {
		b.silence(cutOff)
	}
	b.silence(b.random.IntN(len(b.all)))
	b.setFault(nil)
	if b.random.IntN(3) == 0 {
		b.setFault(func(operation string) error {
			if operation == "get" {
				return platform.ErrUnavailable
			}
			return nil
		})
	}
}

func (b *boundTrial) check() {
	b.t.Helper()
	now := b.clock.Now()
	for i, a := range b.all {
		// The mode is read first: the version only rises.
		fresh := a.mode() == ModeFresh
		version := a.Current().Version
		assert.Assert(b.t, version >= b.versions[i], "instance %d went back", i)
		b.versions[i] = version
		for v, at := range b.written {
			late := fresh && version < uint64(v+1) && now.Sub(at) >= MaxStaleness
			assert.Assert(b.t, !late, "instance %d holds %d, and %d was written %s ago", i, version, v+1, now.Sub(at))
		}
	}
}
