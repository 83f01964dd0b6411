package instance

import (
	"context"

	"github.com/hibiscuspost/hibiscuspost/internal/membership"
	"github.com/hibiscuspost/hibiscuspost/internal/report"
)

// poolNames returns the names of all pools.
func (i *Instance) poolNames() []string {
	current := i.configReplica.Current()
	names := make([]string, len(current.Pools))
	for n, pool := range current.Pools {
		names[n] = pool.Name
	}
	return names
}

// statusProvider implements admin.StatusProvider.
type statusProvider struct{ instance *Instance }

// Config implements admin.StatusProvider.
func (r statusProvider) Config() any {
	i := r.instance
	current := i.configReplica.Current()
	freshness := i.configReplica.Freshness()
	result := report.Config{
		Version: current.Version, Hash: current.Hash, AgeMillis: unknownAgeMillis,
		MayBeBehind: freshness.MayBeBehind, Mode: string(freshness.Mode),
		Routes: current.Routes, Pools: current.Pools,
	}
	if freshness.Known {
		result.AgeMillis = freshness.Age.Milliseconds()
	}
	if err := i.configReplica.CheckAdmission(); err != nil {
		result.Reason = err.Error()
	}
	for _, peerConfig := range i.configReplica.QueryVersions(context.Background()) {
		result.Instances = append(result.Instances, report.InstanceConfig{
			Name: peerConfig.Name, Version: peerConfig.Version, AgeMillis: peerConfig.StatusAge.Milliseconds(), Mode: string(peerConfig.Mode),
		})
	}
	return result
}

// unknownAgeMillis is reported for an unknown age.
const unknownAgeMillis = -1

// Moves implements admin.StatusProvider.
func (r statusProvider) Moves() any {
	return report.Moves{Moves: r.instance.moves.Status()}
}

// Targets implements admin.StatusProvider.
func (r statusProvider) Targets() any {
	i := r.instance
	view := i.membership.View()
	list := report.Targets{Targets: []report.Target{}}
	for _, name := range i.poolNames() {
		for _, t := range i.directory.Entries(name) {
			list.Targets = append(list.Targets, report.Target{
				Pool: name, Name: t.Name, Address: t.Address, FailureDomain: t.FailureDomain,
				Version: t.Version, Slots: t.Slots, Leaving: t.Leaving,
				Usable:      !t.Leaving && i.moves.Usable(name, t.Version),
				Coordinator: membership.Owner(view, "target/"+t.Name).Name,
			})
		}
	}
	return list
}

// Instances implements admin.StatusProvider.
func (r statusProvider) Instances() any {
	view := r.instance.membership.View()
	list := report.Instances{}
	for _, m := range view.Members {
		list.Instances = append(list.Instances, report.Instance{
			Name: m.Name, PeerAddress: m.PeerAddress, CallerAddress: m.CallerAddress,
			FailureDomain: m.FailureDomain, Incarnation: m.Incarnation, Leaving: m.Leaving,
			Self: m.Name == view.Self.Name,
		})
	}
	return list
}
