package tables

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// DefaultDeadline bounds requests on routes that state no deadline.
const DefaultDeadline = 60 * time.Second

// EffectiveDeadline returns the deadline or the default.
func (r *Route) EffectiveDeadline() Duration {
	return cmp.Or(r.Deadline, Duration(DefaultDeadline))
}

// EffectiveMaxWait returns the longest wait for a target.
func (r *Route) EffectiveMaxWait() Duration {
	return cmp.Or(r.MaxWait, r.EffectiveDeadline())
}

// Matches tells whether the match takes a request.
func (m *Match) Matches(path, model, account string) bool {
	if m.Model != "" && m.Model != model {
		return false
	}
	if len(m.Accounts) > 0 && !slices.Contains(m.Accounts, account) {
		return false
	}
	return m.matchesPath(path)
}

func (m *Match) matchesPath(path string) bool {
	rest, ok := strings.CutPrefix(path, strings.TrimSuffix(m.Path, "/"))
	return ok && (rest == "" || rest[0] == '/')
}

// specificity orders matches: accounts before model before longer paths.
func (m *Match) specificity() int {
	const accountWeight, modelWeight = 1 << 20, 1 << 16
	score := len(m.Path)
	if m.Model != "" {
		score += modelWeight
	}
	if len(m.Accounts) > 0 {
		score += accountWeight
	}
	return score
}

// isAmbiguousWith tells whether two matches are equally specific and share a request, so
// that nothing but their order could choose between them.
func (m *Match) isAmbiguousWith(other *Match) bool {
	if strings.TrimSuffix(m.Path, "/") != strings.TrimSuffix(other.Path, "/") || m.Model != other.Model {
		return false
	}
	if len(m.Accounts) == 0 || len(other.Accounts) == 0 {
		return len(m.Accounts) == len(other.Accounts)
	}
	return slices.ContainsFunc(m.Accounts, func(a string) bool { return slices.Contains(other.Accounts, a) })
}

// Route finds the most specific route for a request; nil when none matches.
func (t *Tables) Route(path, model, account string) *Route {
	var best *Route
	for i := range t.Routes {
		route := &t.Routes[i]
		if !route.Match.Matches(path, model, account) {
			continue
		}
		if best == nil || route.Match.specificity() > best.Match.specificity() {
			best = route
		}
	}
	return best
}

func elementPath(path string, index int) string { return path + "[" + strconv.Itoa(index) + "]" }
