package capacity

// Size is the size of a deployment and its load.
type Size struct {
	Instances float64
	// Accelerators is the number of accelerators that the targets run on.
	Targets, Accelerators float64
	// RequestsPerS and TokensPerS are peak rates.
	RequestsPerS, TokensPerS float64
	// Accounts and Models are the numbers in regular use.
	Accounts, Models float64
	// FailureDomains counts those of all regions together.
	Regions, FailureDomains float64
	// ChangesPerDay is the number of accepted configurations per day.
	ChangesPerDay float64
	// FailuresPerDay and ReplacementsPerDay are the numbers of instances that
	// fail and are replaced per day.
	FailuresPerDay, ReplacementsPerDay float64
}

// TwoYearSize is the size that is expected in two years.
var TwoYearSize = Size{
	Instances: 380, Targets: 940, Accelerators: 7500,
	RequestsPerS: 18_000, TokensPerS: 4_200_000,
	Accounts: 27_000, Models: 19, Regions: 2, FailureDomains: 6,
	ChangesPerDay: 560, FailuresPerDay: 11, ReplacementsPerDay: 200,
}

// RequestsPerInstance returns the request rate of each instance if the load
// balancer distributes requests evenly.
func (s Size) RequestsPerInstance() float64 { return s.RequestsPerS / s.Instances }

// TargetsPerInstance returns the number of targets that each instance
// coordinates.
func (s Size) TargetsPerInstance() float64 { return s.Targets / s.Instances }

// TargetsPerModel returns the number of targets that run each model.
func (s Size) TargetsPerModel() float64 { return s.Targets / s.Models }

// Budget is the limit for the cost of control.
type Budget struct {
	// CPU is the share of a core, BytesPerS the bytes sent and MemoryMB the
	// resident memory of each instance.
	CPU, BytesPerS, MemoryMB float64
	// WritesPerS and ReadsPerS are the rates that the table service can serve
	// for all instances together.
	WritesPerS, ReadsPerS float64
}

// ControlBudget is the budget at TwoYearSize. The table service can serve
// several hundred writes per second, of which the budget counts 300.
var ControlBudget = Budget{CPU: 0.011, BytesPerS: 4096, MemoryMB: 64, WritesPerS: 300, ReadsPerS: 2000}

const secondsPerDay = 24 * 60 * 60
