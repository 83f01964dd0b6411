package membership

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestOwnerIsFirstOfRanked(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := rapid.SliceOfNDistinct(rapid.StringMatching("[a-z]{1,3}"), 1, 12, rapid.ID).Draw(t, "names")
		members := make([]Member, len(names))
		for i, name := range names {
			members[i] = Member{Name: name, Leaving: rapid.Bool().Draw(t, "leaving")}
		}
		view := newView(1, members[0], members[1:])
		key := rapid.String().Draw(t, "key")

		ranked := RankMembers(view, key)

		assert.DeepEqual(t, Owner(view, key), ranked[0])
		assert.Equal(t, len(ranked), len(members))
		notLeaving := func(m Member) bool { return !m.Leaving }
		assert.Equal(t, ranked[0].Leaving, !slices.ContainsFunc(members, notLeaving))
	})
}
