package instance

import (
	"context"

	"github.com/hibiscuspost/hibiscuspost/internal/membership"
	"github.com/hibiscuspost/hibiscuspost/internal/report"
)

// pools returns the names of all pools.
func (i *Instance) pools() []string {
	current := i.config.Current()
	names := make([]string, len(current.Pools))
	for n, pool := range current.Pools {
		names[n] = pool.Name
	}
	return names
}

// reports answers the operators' queries.
type reports struct{ instance *Instance }

// Config implements admin.Reports.
func (r reports) Config() any {
	i := r.instance
	current := i.config.Current()
	fresh := i.config.Freshness()
	answer := report.Config{
		Version: current.Version, Hash: current.Hash, AgeMillis: unknownAge,
		MayBeStale: fresh.MayBeBehind, Mode: string(fresh.Mode),
		Routes: current.Routes, Pools: current.Pools,
	}
	if fresh.Known {
		answer.AgeMillis = fresh.Age.Milliseconds()
	}
	if err := i.config.Admitting(); err != nil {
		answer.Reason = err.Error()
	}
	for _, v := range i.config.Survey(context.Background()) {
		answer.Instances = append(answer.Instances, report.InstanceConfig{
			Name: v.Name, Version: v.Version, AgeMillis: v.HeardAge.Milliseconds(), Mode: string(v.Mode),
		})
	}
	return answer
}

// unknownAge stands for an age that is not known, in milliseconds.
const unknownAge = -1

// Moves implements admin.Reports.
func (r reports) Moves() any {
	return report.Moves{Moves: r.instance.moves.Status()}
}

// Targets implements admin.Reports.
func (r reports) Targets() any {
	i := r.instance
	view := i.members.View()
	list := report.Targets{Targets: []report.Target{}}
	for _, name := range i.pools() {
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

// Instances implements admin.Reports.
func (r reports) Instances() any {
	view := r.instance.members.View()
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
