package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Owner returns the member that is responsible for key: the one with the
// highest rendezvous score among the members that are not leaving, or among all
// if all are leaving.
func Owner(view *View, key string) Member {
	best := scoredMember{&view.Members[0], score(view.Members[0].Name, key)}
	for i := range view.Members[1:] {
		m := &view.Members[i+1]
		if candidate := (scoredMember{m, score(m.Name, key)}); compareScored(candidate, best) < 0 {
			best = candidate
		}
	}
	return *best.member
}

// RankMembers returns the members by descending rendezvous score for key.
// Members that are leaving come last.
func RankMembers(view *View, key string) []Member {
	scores := make([]scoredMember, len(view.Members))
	for i := range view.Members {
		m := &view.Members[i]
		scores[i] = scoredMember{m, score(m.Name, key)}
	}
	slices.SortFunc(scores, compareScored)
	ranked := make([]Member, len(scores))
	for i, s := range scores {
		ranked[i] = *s.member
	}
	return ranked
}

// scoredMember is a member with its score for one key.
type scoredMember struct {
	member *Member
	score  uint64
}

// compareScored orders leaving members last, then by descending score, then by
// name.
func compareScored(a, b scoredMember) int {
	if a.member.Leaving != b.member.Leaving {
		if a.member.Leaving {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.member.Name, b.member.Name))
}

// score hashes a member's name and the key, separated by a zero byte.
func score(name, key string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(name)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(key)
	return digest.Sum64()
}
