package capacity

// Cost is one figure of a role.
type Cost struct {
	// Value is valid only if Known is set.
	Value float64
	// Known is set when all slopes behind the value were measured.
	Known bool
	// SlopeNames lists the slopes behind the value.
	SlopeNames []string
}

func knownCost(value float64, slopeNames ...string) Cost {
	return Cost{Value: value, Known: true, SlopeNames: slopeNames}
}

// zeroCost is a cost that the role does not have.
func zeroCost() Cost { return knownCost(0) }

// Role is a function of the system with its cost at a size.
type Role struct {
	// State is what the role keeps.
	Name, State string
	// MessagesPerS, BytesPerS, CPU (share of a core) and MemoryMB are the
	// cost of one instance.
	MessagesPerS, BytesPerS, CPU, MemoryMB Cost
	// WritesPerS and ReadsPerS are the operations of all instances together
	// at the table service; reads include those of the instance list.
	WritesPerS, ReadsPerS Cost
	// Mechanism is how the role scales; Limitations is what exceeds the
	// budget or was not measured.
	Mechanism, Limitations string
}

// calculator calculates costs at one size.
type calculator struct {
	size   Size
	slopes Slopes
}

// valueAt returns the value of a slope at x; the cost is unknown without the
// slope.
func (c calculator) valueAt(name string, x float64) Cost {
	s := c.slopes[name]
	if s == nil {
		return Cost{}
	}
	return knownCost(s.Fit.At(x), name)
}

// increaseOver returns the part of a slope's value at x that depends on x,
// without its base.
func (c calculator) increaseOver(name string, x float64) Cost {
	s := c.slopes[name]
	if s == nil {
		return Cost{}
	}
	return knownCost(s.Fit.Slope*x, name)
}

func (c Cost) multipliedBy(factor float64) Cost {
	c.Value *= factor
	return c
}

// plus adds two costs; the sum is known if both are.
func (c Cost) plus(other Cost) Cost {
	slopeNames := append(append([]string(nil), c.SlopeNames...), other.SlopeNames...)
	return Cost{Value: c.Value + other.Value, Known: c.Known && other.Known, SlopeNames: slopeNames}
}

// Roles returns the cost of each role at a size.
func Roles(size Size, slopes Slopes) []Role {
	c := calculator{size: size, slopes: slopes}
	return []Role{
		c.membership(), c.configuration(), c.entry(), c.coordinator(), c.keyOwner(), c.analyzer(), c.leaseHolder(),
	}
}

func (c calculator) membership() Role {
	return Role{
		Name:         "membership",
		State:        "one record for each daemon; up to 1,024 dead and departed ones",
		MessagesPerS: c.valueAt("membership.packets", c.size.Instances),
		BytesPerS: c.valueAt("membership.bytes", c.size.Instances).
			plus(c.valueAt("membership.packets", c.size.Instances).multipliedBy(datagramOverheadBytes)),
		CPU: Cost{}, MemoryMB: Cost{},
		WritesPerS: zeroCost(),
		ReadsPerS:  c.valueAt("fleet.list_reads", c.size.Instances),
		Mechanism:  "a constant number of probes a second for each daemon; news travels on the same packets",
		Limitations: "Processor time and memory are in the whole instance below. Reads of the list are those of the fleet " +
			"at rest, whose list was empty: the intervals grow with its entries, so this is an upper bound.",
	}
}

// datagramOverheadBytes is the size of the headers, address and MAC that is
// counted for each datagram.
const datagramOverheadBytes = 65

func (c calculator) configuration() Role {
	return Role{
		Name:         "configuration",
		State:        "one version in force, its tables, up to 8 past versions",
		MessagesPerS: Cost{},
		BytesPerS:    Cost{}, CPU: Cost{}, MemoryMB: Cost{},
		WritesPerS: knownCost(c.size.ChangesPerDay / secondsPerDay),
		ReadsPerS:  c.valueAt("fleet.head_reads", c.size.Instances),
		Mechanism:  "push between instances on acceptance; a poll of the small head row by each",
		Limitations: "The code bounds the polls of all instances together to 200 a second " +
			"(TestPollsOfAllInstancesStayWithinTheBound); no measured fleet was large enough to reach the bound. " +
			"Bytes of a push at this size are not measured. A hundred more routes did not show in the memory of an " +
			"instance above the noise between runs.",
	}
}

// controlInstances is the number of instances that shared the requests in the
// measurements of the slopes "control.*.by_requests".
const controlInstances = 4

func (c calculator) entry() Role {
	rate := c.size.RequestsPerInstance() * controlInstances
	return Role{
		Name:         "entry",
		State:        "open callers, waiting requests, running dispatches; nothing for idle accounts",
		MessagesPerS: Cost{},
		BytesPerS:    c.increaseOver("control.bytes.by_requests", rate),
		CPU:          c.increaseOver("control.cpu.by_requests", rate),
		MemoryMB:     c.increaseOver("control.live_mb.by_requests", rate),
		WritesPerS:   Cost{}, ReadsPerS: zeroCost(),
		Mechanism: "waiting by tier and fair share in the entry; no message for a request that meets credits",
		Limitations: "Measured with 4 instances that shared the load, where every fourth request is its own key owner's and leaves a copy; at 380 every " +
			"380th does, so bytes are an upper bound. Processor time includes the load's senders and the stand-in " +
			"targets of the same process, and the data path, which is no control; answers had 4 tokens, and the data " +
			"path at 4.2 million tokens a second was not measured. 405 accounts instead of 5 raised neither bytes nor " +
			"memory (seeds 11, 12, 13); 27,000 were not run. Non-idempotent requests cost one " +
			"write each, shared in transactions; their rate at this size is not known.",
	}
}

func (c calculator) coordinator() Role {
	return Role{
		Name:         "coordinator of targets",
		State:        "for each target, what each entry runs there by tier and the credits granted",
		MessagesPerS: Cost{},
		BytesPerS:    c.increaseOver("fleet.peer_bytes.by_targets", c.size.Targets),
		CPU:          c.increaseOver("fleet.cpu.by_targets", c.size.Targets),
		MemoryMB:     c.increaseOver("fleet.live_mb.by_targets", c.size.Targets),
		WritesPerS:   zeroCost(), ReadsPerS: zeroCost(),
		Mechanism: "absolute reports and grants in datagrams between each entry and each target's coordinator",
		Limitations: "Each entry reports to the coordinators of all targets, also when idle: subsets are not built. The mechanism " +
			"that would carry it is a bounded, deterministic subset of each pool's targets for each entry, and " +
			"silence for targets that an entry does not use. The pools of " +
			"this size have some 50 targets each. The paragraph on subsets above gives the same line at 24 targets.",
	}
}

func (c calculator) keyOwner() Role {
	recordBytes := c.valueAt("once.record_bytes", 0).multipliedBy(c.size.RequestsPerInstance() / c.size.Instances)
	renewals := c.valueAt("fleet.writes", c.size.Instances)
	return Role{
		Name:         "owner of keys",
		State:        "records of the keys of 1,024 / 380 shards, for the time that a resend may come",
		MessagesPerS: knownCost(c.size.RequestsPerInstance() / c.size.Instances),
		BytesPerS:    recordBytes.plus(c.valueAt("once.lease_write_bytes", 0).multipliedBy(renewals.Value / c.size.Instances)).plus(renewals.multipliedBy(0)),
		CPU:          Cost{}, MemoryMB: Cost{},
		WritesPerS: renewals,
		ReadsPerS:  c.valueAt("fleet.other_reads", c.size.Instances),
		Mechanism:  "a keyed request is passed to its key owner on the data path; shards are leased rows, one renewal an instance",
		Limitations: "Worst case: all requests have keys. Sizes are of bodies; headers of TCP and HTTP, the memory of a record " +
			"and the processor time of the hop are not measured apart. Reads and writes are those of fleets at rest, " +
			"writes mostly renewals: one each 4 s, which is 95 a second for 380 and more than the line, whose runs of 8 s hold " +
			"two renewals or one.",
	}
}

func (c calculator) analyzer() Role {
	return Role{
		Name:         "analyzer of a move",
		State:        "counts of the old and new version from each entry, for each pool that moves",
		MessagesPerS: Cost{}, BytesPerS: Cost{}, CPU: Cost{}, MemoryMB: Cost{}, WritesPerS: Cost{}, ReadsPerS: Cost{},
		Mechanism: "cumulative counts by datagram to the analyzer, taking back by rumour, advancing by a row",
		Limitations: "Not measured. The code bounds reports to 2,000 bytes a second for each pool and entry; moves of several " +
			"pools at once would pass the budget if each reached its bound.",
	}
}

func (c calculator) leaseHolder() Role {
	return Role{
		Name:         "lease holder",
		State:        "a row with a fencing number for each lease that is held",
		MessagesPerS: Cost{}, BytesPerS: Cost{}, CPU: Cost{}, MemoryMB: Cost{}, WritesPerS: Cost{}, ReadsPerS: Cost{},
		Mechanism:   "a row renewed every 3 s while orders to a target are under way",
		Limitations: "Not measured: orders to targets are tested by themselves, and no instance runs them yet.",
	}
}

// WholeInstance returns the cost of one whole instance without requests, from
// the slopes of the fleets.
func WholeInstance(size Size, slopes Slopes) Role {
	c := calculator{size: size, slopes: slopes}
	targets := size.Targets - fleetTargets
	return Role{
		Name:       "whole daemon at rest",
		BytesPerS:  c.valueAt("fleet.peer_bytes", size.Instances).plus(c.increaseOver("fleet.peer_bytes.by_targets", targets)).plus(c.valueAt("fleet.platform_bytes", size.Instances)),
		CPU:        c.valueAt("fleet.cpu", size.Instances).plus(c.increaseOver("fleet.cpu.by_targets", targets)),
		MemoryMB:   c.valueAt("fleet.live_mb", size.Instances).plus(c.increaseOver("fleet.live_mb.by_targets", targets)),
		WritesPerS: c.valueAt("fleet.writes", size.Instances),
		ReadsPerS: c.valueAt("fleet.head_reads", size.Instances).plus(c.valueAt("fleet.other_reads", size.Instances)).
			plus(c.valueAt("fleet.list_reads", size.Instances)),
	}
}

// fleetTargets is the number of targets in the fleets of different numbers of
// instances.
const fleetTargets = 8

// subsetTargets is the number of targets that an entry would use with
// subsetting.
const subsetTargets = 24

// AdmissionCPU returns the share of a core that admission takes in one
// instance, from its benchmark.
func AdmissionCPU(size Size, slopes Slopes) Cost {
	const perNanosecond = 1e-9
	return calculator{slopes: slopes}.valueAt("admission.admit", 1).multipliedBy(size.RequestsPerInstance() * perNanosecond)
}

// SubsetPeerBytes returns what the messages to coordinators would cost if
// each entry used a subset of the targets. It is calculated from the measured
// slope and not measured itself.
func SubsetPeerBytes(slopes Slopes) Cost {
	return calculator{slopes: slopes}.increaseOver("fleet.peer_bytes.by_targets", subsetTargets)
}
