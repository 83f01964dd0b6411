package move

import (
	"github.com/hibiscuspost/hibiscuspost/internal/evidence"
	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

// trafficSplit is the state of one pool that the request path reads. It is
// immutable except for the counters, which are safe for concurrent use.
type trafficSplit struct {
	// oldVersion and newVersion are the versions to serve; a version without a
	// usable target, or that gets no requests, is empty.
	oldVersion, newVersion string
	// counting is set while requests are counted.
	counting bool
	// shares are the fractions of requests for newVersion, by class.
	shares [classCount]float64
	// rolledBack holds the versions that were rolled back.
	rolledBack map[string]bool
	counters   *evidence.CounterSet
	// countedVersions are the old and the new version of the move.
	countedVersions [2]string
}

// routeClass groups routes by how early the new version gets their requests.
type routeClass int

const (
	// classLowerTiers are idempotent routes below tier 0.
	classLowerTiers routeClass = iota
	// classTier0 are idempotent routes of tier 0.
	classTier0
	// classNonIdempotent are non-idempotent routes.
	classNonIdempotent
	classCount
)

func classOf(tier tables.Tier, idempotent bool) routeClass {
	switch {
	case !idempotent:
		return classNonIdempotent
	case tier == 0:
		return classTier0
	default:
		return classLowerTiers
	}
}

// classesOf returns which classes the routes of a pool have.
func classesOf(routes []tables.Route, pool string) [classCount]bool {
	var present [classCount]bool
	for i := range routes {
		if routes[i].Pool == pool {
			present[classOf(routes[i].Tier, routes[i].Idempotent)] = true
		}
	}
	return present
}

// tier0Fraction is the fraction of the share that tier 0 gets in the first two
// stages when lower tiers provide evidence.
const tier0Fraction = 0.5

// sharesByClass returns the new version's shares by class. A later class starts
// at once when no earlier class can provide evidence.
func sharesByClass(row *Row, present [classCount]bool) [classCount]float64 {
	var shares [classCount]float64
	shares[classLowerTiers], shares[classTier0] = row.Share, row.Share
	if present[classLowerTiers] && row.Stage < 2 {
		shares[classTier0] = row.Share * tier0Fraction
	}
	shares[classNonIdempotent] = min(stages[row.Stage].nonIdempotentShare, row.Share)
	if !present[classLowerTiers] && !present[classTier0] {
		shares[classNonIdempotent] = row.Share
	}
	return shares
}

// pick returns the version for a request; random is uniform in [0,1).
func (s *trafficSplit) pick(c routeClass, random float64) string {
	switch {
	case s.newVersion == "":
		return s.oldVersion
	case s.oldVersion == "":
		return s.newVersion
	case random < s.shares[c]:
		return s.newVersion
	default:
		return s.oldVersion
	}
}
