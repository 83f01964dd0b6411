package instance

import "github.com/hibiscuspost/hibiscuspost/internal/report"

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
func (r reports) Moves() any { return report.Moves[struct{}]{} }

// Targets implements admin.Reports.
func (r reports) Targets() any {
	var list report.Targets
	for _, pool := range r.instance.config.Current().Pools {
		for _, t := range pool.Targets {
			list.Targets = append(list.Targets, report.Target{
				Pool: pool.Name, Name: t.Name, Address: t.Address, FailureDomain: t.FailureDomain,
				Version: t.Version, Usable: true, Slots: t.Slots,
			})
		}
	}
	return list
}

// Instances implements admin.Reports.
func (r reports) Instances() any { return report.Instances{} }
