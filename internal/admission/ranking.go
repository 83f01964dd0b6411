package admission

import "github.com/hibiscuspost/hibiscuspost/internal/membership"

// ranking is the order of the members for one target by rendezvous hashing. The
// first is the coordinator.
type ranking struct {
	coordinator membership.Member
	// members are all member names by rank; selfRank is this instance's rank.
	members  []string
	selfRank int
}

// rankings caches the ranking of each target for one membership view. It is
// guarded by stepMu.
type rankings struct {
	view     *membership.View
	byTarget map[string]*ranking
}

// setView clears the cache if the view has changed.
func (r *rankings) setView(view *membership.View) {
	if r.view == view {
		return
	}
	r.view = view
	r.byTarget = make(map[string]*ranking)
}

func (s *stepState) rankingOf(target string) *ranking {
	cached := s.controller.rankings.byTarget[target]
	if cached == nil {
		cached = newRanking(s.view, target)
		s.controller.rankings.byTarget[target] = cached
	}
	return cached
}

func newRanking(view *membership.View, target string) *ranking {
	ranked := membership.RankMembers(view, coordinatorKey(target))
	r := &ranking{coordinator: ranked[0]}
	for i, m := range ranked {
		r.members = append(r.members, m.Name)
		if m.Name == view.Self.Name {
			r.selfRank = i
		}
	}
	return r
}

func coordinatorKey(target string) string { return "target/" + target }
