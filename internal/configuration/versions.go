package configuration

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/hibiscuspost/hibiscuspost/internal/membership"
)

// Bounds of asking instances for their versions.
const (
	// surveyParallel is how many are asked at once.
	surveyParallel = 32
	surveyTimeout  = 3 * time.Second
)

// InstanceVersion is what is known here of one instance's configuration.
type InstanceVersion struct {
	Name          string
	FailureDomain string
	// Version is the one in force there; valid if HeardAge is not negative.
	Version uint64
	// TableAge is the age of the table read that vouches for it, as far as
	// known here; valid if TableKnown is set.
	TableAge      time.Duration
	TableAgeKnown bool
	// ReportAge is how long ago the instance told so; negative if never.
	ReportAge time.Duration
	// Mode is the ground on which it takes or refuses new work; empty if the
	// instance was not asked or did not answer.
	Mode Mode

	address string
}

// InstanceVersions returns what the live instances told on their last probes,
// by name. With many instances that may be minutes ago.
func (a *Replica) InstanceVersions() []InstanceVersion {
	var all []InstanceVersion
	for _, last := range a.members.Statuses() {
		all = append(all, InstanceVersion{
			Name:          last.Member.Name,
			FailureDomain: last.Member.FailureDomain,
			Version:       last.Status.Version,
			TableAge:      last.Status.TableAge + max(0, last.Age),
			TableAgeKnown: last.Status.TableKnown,
			ReportAge:     last.Age,
			address:       last.Member.PeerAddress,
		})
	}
	return all
}

// QueryVersions asks all live instances for their versions now, for operators: its
// cost grows with the instances, unlike that of InstanceVersions, which stands
// in for those that do not answer.
func (a *Replica) QueryVersions(ctx context.Context) []InstanceVersion {
	ctx, cancel := context.WithTimeout(ctx, surveyTimeout)
	defer cancel()
	all := a.InstanceVersions()
	byAddress := make(map[string]versionAnswer)
	for _, answer := range a.askVersions(ctx, a.shuffled()) {
		byAddress[answer.address] = answer.versionAnswer
	}
	byAddress[a.members.View().Self.PeerAddress] = a.versionAnswer()
	for i := range all {
		if answer, ok := byAddress[all[i].address]; ok {
			all[i].take(answer)
		}
	}
	return all
}

// take replaces what was heard by an answer just given.
func (v *InstanceVersion) take(answer versionAnswer) {
	v.Version, v.Mode, v.ReportAge = answer.Version, answer.Mode, 0
	v.TableAgeKnown = answer.TableAgeMillis >= 0
	v.TableAge = time.Duration(max(0, answer.TableAgeMillis)) * time.Millisecond
}

// peerVersion is a versionAnswer with the address that gave it.
type peerVersion struct {
	versionAnswer
	address string
}

// askVersions asks the members, surveyParallel at once, and returns the answers.
func (a *Replica) askVersions(ctx context.Context, members []membership.Member) []peerVersion {
	var mu sync.Mutex
	var answers []peerVersion
	asking := pool.New().WithMaxGoroutines(surveyParallel)
	for _, m := range members {
		asking.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, verifyTimeout)
			defer cancel()
			var answer versionAnswer
			if a.bus.Call(ctx, m.PeerAddress, methodVersion, nil, &answer) != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, peerVersion{answer, m.PeerAddress})
		})
	}
	asking.Wait()
	return answers
}
