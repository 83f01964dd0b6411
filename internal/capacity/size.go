package capacity

// Size is a deployment.
type Size struct {
	// Instances are the instances of the system.
	Instances float64
	// Targets are the targets, and Accelerators what they run on.
	Targets, Accelerators float64
	// RequestsPerS and TokensPerS are those of the peak.
	RequestsPerS, TokensPerS float64
	// Accounts and Models are in steady use.
	Accounts, Models float64
	// Regions hold the FailureDomains.
	Regions, FailureDomains float64
	// ChangesPerDay are accepted configurations.
	ChangesPerDay float64
	// FailuresPerDay and ReplacementsPerDay are of instances.
	FailuresPerDay, ReplacementsPerDay float64
}

// TwoYearSize is the size that is expected in two years.
var TwoYearSize = Size{
	Instances: 380, Targets: 940, Accelerators: 7500,
	RequestsPerS: 18_000, TokensPerS: 4_200_000,
	Accounts: 27_000, Models: 19, Regions: 2, FailureDomains: 6,
	ChangesPerDay: 560, FailuresPerDay: 11, ReplacementsPerDay: 200,
}

// RequestsPerInstance is the rate at which callers' requests come to each daemon when
// the balancer spreads them evenly.
func (s Size) RequestsPerInstance() float64 { return s.RequestsPerS / s.Instances }

// TargetsPerInstance is the number of targets whose coordinator each daemon is.
func (s Size) TargetsPerInstance() float64 { return s.Targets / s.Instances }

// PoolTargets is the number of targets that run each model.
func (s Size) PoolTargets() float64 { return s.Targets / s.Models }

// Budget is what control may cost.
type Budget struct {
	// CPU is a share of a core, BytesPerS sent, MemoryMB resident, of each
	// daemon.
	CPU, BytesPerS, MemoryMB float64
	// WritesPerS and ReadsPerS are what the table service takes from all
	// daemons together.
	WritesPerS, ReadsPerS float64
}

// ControlBudget is the budget at the two-year size. The table service takes several
// hundred writes a second, which is counted as 300 here.
var ControlBudget = Budget{CPU: 0.011, BytesPerS: 4096, MemoryMB: 64, WritesPerS: 300, ReadsPerS: 2000}

const secondsPerDay = 24 * 60 * 60
