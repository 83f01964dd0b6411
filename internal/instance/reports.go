package instance

import (
	"github.com/hibiscuspost/hibiscuspost/internal/membership"
	"github.com/hibiscuspost/hibiscuspost/internal/report"
	"github.com/hibiscuspost/hibiscuspost/internal/tables"
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

// targets returns the usable targets of a pool.
func (i *Instance) targets(name string) []tables.Target {
	pool := i.config.Current().Pool(name)
	if pool == nil {
		return nil
	}
	return pool.Targets
}

// noQuarantine lets everything pass.
type noQuarantine struct{}

func (noQuarantine) Quarantined(string) bool { return false }
func (noQuarantine) Running(string, string)  {}
func (noQuarantine) Done(string, string)     {}
func (noQuarantine) Crashed(string)          {}

// reports answers the operators' queries.
type reports struct{ instance *Instance }

// Config implements admin.Reports.
func (r reports) Config() any {
	current := r.instance.config.Current()
	return report.Config{
		Version: current.Version, Hash: current.Hash,
		Routes: current.Routes, Pools: current.Pools,
	}
}

// Moves implements admin.Reports.
func (r reports) Moves() any {
	return report.Moves{Moves: r.instance.moves.Status()}
}

// Targets implements admin.Reports.
func (r reports) Targets() any {
	i := r.instance
	view := i.members.View()
	usable := make(map[string]bool)
	list := report.Targets{Targets: []report.Target{}}
	for _, pool := range i.config.Current().Pools {
		for _, t := range i.targets(pool.Name) {
			usable[t.Address] = i.moves.Usable(pool.Name, t.Version)
		}
		for _, t := range pool.Targets {
			list.Targets = append(list.Targets, report.Target{
				Pool: pool.Name, Name: t.Name, Address: t.Address, FailureDomain: t.FailureDomain,
				Version: t.Version, Usable: usable[t.Address], Slots: t.Slots,
				Home: membership.Owner(view, "target/"+t.Name).Name,
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
