package configuration

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/hibiscuspost/hibiscuspost/internal/membership"
)

// InstanceVersion is what is known here of one instance's configuration.
type InstanceVersion struct {
	Name          string
	FailureDomain string
	// Version is the one in force there; valid if HeardAge is not negative.
	Version uint64
	// TableAge is the age of the table read that vouches for it, as far as
	// known here; valid if TableKnown is set.
	TableAge   time.Duration
	TableKnown bool
	// HeardAge is how long ago the instance told so; negative if never.
	HeardAge time.Duration
}

// InstanceVersions returns what the live instances told on their last probes,
// by name. With many instances that may be minutes ago.
func (a *Adopter) InstanceVersions() []InstanceVersion {
	var all []InstanceVersion
	for _, last := range a.members.Statuses() {
		all = append(all, InstanceVersion{
			Name:          last.Member.Name,
			FailureDomain: last.Member.FailureDomain,
			Version:       last.Status.Version,
			TableAge:      last.Status.TableAge + max(0, last.Age),
			TableKnown:    last.Status.TableKnown,
			HeardAge:      last.Age,
		})
	}
	return all
}

// peerVersion is a versionAnswer with the address that gave it.
type peerVersion struct {
	versionAnswer
	address string
}

// askVersions asks each of the members at once and returns the answers.
func (a *Adopter) askVersions(ctx context.Context, members []membership.Member) []peerVersion {
	ctx, cancel := context.WithTimeout(ctx, verifyTimeout)
	defer cancel()
	var mu sync.Mutex
	var answers []peerVersion
	var wg conc.WaitGroup
	for _, m := range members {
		wg.Go(func() {
			var answer versionAnswer
			if a.bus.Call(ctx, m.PeerAddress, methodVersion, nil, &answer) != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, peerVersion{answer, m.PeerAddress})
		})
	}
	wg.Wait()
	return answers
}
