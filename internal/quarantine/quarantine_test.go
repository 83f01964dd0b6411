package quarantine

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/membership"
)

// newRegistries returns the registries of several instances that share their
// rumors.
func newRegistries(count int) ([]*Registry, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	var registries []*Registry
	var rumorSets []*membership.LocalRumors
	for range count {
		rumors := membership.NewLocalRumors()
		rumorSets = append(rumorSets, rumors)
		registries = append(registries, New(Options{Rumors: rumors, Clock: clock, MaxFingerprints: 16, AloneSuffices: true}))
	}
	membership.ConnectLocalRumors(rumorSets...)
	return registries, clock
}

const (
	poison   Fingerprint = "poison"
	harmless Fingerprint = "harmless"
	other    Fingerprint = "other"
)

// crashTarget runs requests on a target until it crashes; request i runs at
// instance i modulo the number of instances.
func crashTarget(registries []*Registry, clock *clockwork.FakeClock, target string, requests ...Fingerprint) {
	var attempts []*Attempt
	for i, fp := range requests {
		attempts = append(attempts, registries[i%len(registries)].Start(fp, target, 0))
	}
	clock.Advance(time.Second)
	for _, a := range attempts {
		a.End(Broken)
	}
	for _, r := range registries {
		r.RecordEnded(target)
	}
}

// completeRequest runs a request to its end at a target.
func completeRequest(r *Registry, clock *clockwork.FakeClock, fp Fingerprint, target string) {
	a := r.Start(fp, target, 0)
	clock.Advance(time.Millisecond)
	a.End(Completed)
}

func TestQuarantineDecision(t *testing.T) {
	tests := []struct {
		name        string
		crashes     func([]*Registry, *clockwork.FakeClock)
		quarantined []Fingerprint
	}{
		{
			"one crash",
			func(registries []*Registry, c *clockwork.FakeClock) {
				crashTarget(registries, c, "t1", poison, harmless)
			}, nil,
		},
		{
			"two crashes of one target",
			func(registries []*Registry, c *clockwork.FakeClock) {
				crashTarget(registries, c, "t1", poison)
				crashTarget(registries, c, "t1", poison)
			}, nil,
		},
		{
			"crashes of two targets beside different requests",
			func(registries []*Registry, c *clockwork.FakeClock) {
				crashTarget(registries, c, "t1", poison, harmless)
				crashTarget(registries, c, "t2", other, poison)
			},
			[]Fingerprint{poison},
		},
		{
			"crashes of two targets beside the same request",
			func(registries []*Registry, c *clockwork.FakeClock) {
				crashTarget(registries, c, "t1", poison, harmless)
				crashTarget(registries, c, "t2", harmless, poison)
			}, nil,
		},
		{
			"crashes beside the same request, which completed since",
			func(registries []*Registry, c *clockwork.FakeClock) {
				crashTarget(registries, c, "t1", poison, harmless)
				crashTarget(registries, c, "t2", harmless, poison)
				completeRequest(registries[0], c, harmless, "t3")
			},
			[]Fingerprint{poison},
		},
		{
			"a third crash",
			func(registries []*Registry, c *clockwork.FakeClock) {
				crashTarget(registries, c, "t1", poison, harmless)
				crashTarget(registries, c, "t2", harmless, poison)
				crashTarget(registries, c, "t3", poison)
			},
			[]Fingerprint{poison},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			registries, clock := newRegistries(3)
			test.crashes(registries, clock)
			clock.Advance(PropagationTime)
			for _, r := range registries {
				for _, fp := range []Fingerprint{poison, harmless, other} {
					assert.Equal(t, r.ShouldRefuse(fp), slices.Contains(test.quarantined, fp), "%s", fp)
				}
			}
		})
	}
}

func TestSuspectIsRefusedUntilMarksPropagate(t *testing.T) {
	registries, clock := newRegistries(2)
	crashTarget(registries, clock, "t1", poison, harmless)
	crashTarget(registries, clock, "t2", poison, harmless)
	assert.Assert(t, registries[0].ShouldRefuse(poison) && registries[0].ShouldRefuse(harmless))
	clock.Advance(PropagationTime)
	assert.Assert(t, !registries[0].ShouldRefuse(poison) && !registries[0].ShouldRefuse(harmless))
}

func TestMayDispatchSeparatesSuspects(t *testing.T) {
	registries, clock := newRegistries(1)
	r := registries[0]
	crashTarget(registries, clock, "t1", poison, harmless)
	assert.Assert(t, !r.MayDispatch(poison, "t1"), "sent to a target that it may have crashed")
	assert.Assert(t, r.MayDispatch(poison, "t2"))
	a := r.Start(harmless, "t2", 0)
	assert.Assert(t, !r.MayDispatch(poison, "t2"))
	assert.Assert(t, r.MayDispatch(other, "t2"))
	a.End(Completed)
	assert.Assert(t, r.MayDispatch(poison, "t2"))
	assert.Assert(t, !r.IsSuspect(harmless))
}

func TestRegistryExpiresAndIsBounded(t *testing.T) {
	registries, clock := newRegistries(2)
	crashTarget(registries, clock, "t1", poison)
	crashTarget(registries, clock, "t2", poison)
	clock.Advance(PropagationTime)
	assert.Assert(t, registries[1].ShouldRefuse(poison))
	clock.Advance(DefaultRetention + time.Second)
	assert.Assert(t, !registries[1].ShouldRefuse(poison))
	for i := range 100 {
		crashTarget(registries, clock, "t1", Fingerprint(strconv.Itoa(i)))
	}
	assert.Assert(t, len(registries[1].suspects) <= 16)
	assert.Assert(t, registries[1].IsSuspect("99"))
}

func TestFingerprintDistinguishesRequests(t *testing.T) {
	fp := NewFingerprint("acme", "/v1/completions", []byte("x"))
	assert.Equal(t, fp, NewFingerprint("acme", "/v1/completions", []byte("x")))
	assert.Assert(t, fp != NewFingerprint("acme", "/v1/completions", []byte("y")))
	assert.Assert(t, fp != NewFingerprint("bolt", "/v1/completions", []byte("x")))
}
