package tables

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// DefaultDeadline is the deadline of routes that set none.
const DefaultDeadline = 60 * time.Second

// EffectiveDeadline returns the deadline of the route or DefaultDeadline.
func (r *Route) EffectiveDeadline() Duration {
	return cmp.Or(r.Deadline, Duration(DefaultDeadline))
}

// EffectiveMaxWait returns the longest time in the queue: MaxWait, or else
// the deadline.
func (r *Route) EffectiveMaxWait() Duration {
	return cmp.Or(r.MaxWait, r.EffectiveDeadline())
}

// Matches reports whether the match selects a request.
func (m *Match) Matches(path, model, account string) bool {
	if m.Model != "" && m.Model != model {
		return false
	}
	if len(m.Accounts) > 0 && !slices.Contains(m.Accounts, account) {
		return false
	}
	return m.matchesPath(path)
}

// matchesPath reports whether the path has the prefix and the prefix ends at
// a segment boundary.
func (m *Match) matchesPath(path string) bool {
	rest, ok := strings.CutPrefix(path, strings.TrimSuffix(m.Path, "/"))
	return ok && (rest == "" || rest[0] == '/')
}

// specificity orders matches: by accounts, then by model, then by the length
// of the path.
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

// isAmbiguousWith reports whether two matches are equally specific and both
// match some request, so that only their order could decide between them.
func (m *Match) isAmbiguousWith(other *Match) bool {
	if strings.TrimSuffix(m.Path, "/") != strings.TrimSuffix(other.Path, "/") || m.Model != other.Model {
		return false
	}
	if len(m.Accounts) == 0 || len(other.Accounts) == 0 {
		return len(m.Accounts) == len(other.Accounts)
	}
	return slices.ContainsFunc(m.Accounts, func(a string) bool { return slices.Contains(other.Accounts, a) })
}

// Route returns the most specific route that matches a request, or nil.
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

// elementPath returns the path of an element of an array, such as
// "routes[2]".
func elementPath(path string, index int) string { return path + "[" + strconv.Itoa(index) + "]" }
