package move

import (
	"github.com/hibiscuspost/hibiscuspost/internal/evidence"
	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

// plan is what the request path needs of one pool; it is immutable but for the
// ledger, which is safe for use by many.
type plan struct {
	// old and fresh are the versions; an empty one has no usable target.
	old, fresh string
	// under is set while requests are counted.
	under bool
	// shares are the parts of requests for fresh, by class.
	shares [classCount]float64
	// back holds the versions taken back.
	back   map[string]bool
	ledger *evidence.CounterSet
	// counted are the versions that are counted.
	counted [2]string
}

// class groups routes by how early they may meet a new version.
type class int

const (
	// classLow are idempotent routes below tier 0.
	classLow class = iota
	// classTop are idempotent routes of tier 0.
	classTop
	// classOnce are non-idempotent routes.
	classOnce
	classCount
)

func classOf(tier tables.Tier, idempotent bool) class {
	switch {
	case !idempotent:
		return classOnce
	case tier == 0:
		return classTop
	default:
		return classLow
	}
}

// present tells which classes the routes of a pool have.
func present(routes []tables.Route, pool string) [classCount]bool {
	var has [classCount]bool
	for i := range routes {
		if routes[i].Pool == pool {
			has[classOf(routes[i].Tier, routes[i].Idempotent)] = true
		}
	}
	return has
}

// topLag is the part of the share that tier 0 gets in the first two steps when
// lower tiers give evidence.
const topLag = 0.5

// sharesOf returns the shares by class. Where no earlier class gives evidence,
// a later one starts at once.
func sharesOf(row *Row, has [classCount]bool) [classCount]float64 {
	var shares [classCount]float64
	shares[classLow], shares[classTop] = row.Share, row.Share
	if has[classLow] && row.Stage < 2 {
		shares[classTop] = row.Share * topLag
	}
	shares[classOnce] = min(steps[row.Stage].once, row.Share)
	if !has[classLow] && !has[classTop] {
		shares[classOnce] = row.Share
	}
	return shares
}

// pick returns the version for a request whose random number is u.
func (p *plan) pick(c class, u float64) string {
	switch {
	case p.fresh == "":
		return p.old
	case p.old == "":
		return p.fresh
	case u < p.shares[c]:
		return p.fresh
	default:
		return p.old
	}
}
