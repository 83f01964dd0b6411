package catalog

import (
	"testing"

	"gotest.tools/v3/assert"
)

func testConfiguration(t *testing.T) *Configuration {
	t.Helper()
	c, err := New(3, Contents{
		Routes: []*Route{
			{Name: "all", Host: "a.example", Prefix: "/", Shares: []Share{{"x", 1}}},
			{Name: "long", Host: "a.example", Prefix: "/p/q/", Shares: []Share{{"x", 9}, {"y", 1}}},
			{Name: "short", Host: "a.example", Prefix: "/p/", Shares: []Share{{"x", 1}}},
		},
		Accounts: []*Account{{Name: "one", APIKeys: []string{"k"}}},
	})
	assert.NilError(t, err)
	return c
}

func TestMatchPicksLongestPrefixOfHost(t *testing.T) {
	for _, tc := range []struct{ host, path, want string }{
		{"a.example", "/p/q/r", "long"},
		{"A.example:80", "/p/q/r", "long"},
		{"a.example", "/p/q", "short"},
		{"a.example", "/z", "all"},
		{"b.example", "/p/", ""},
	} {
		got := ""
		if route := testConfiguration(t).Match(tc.host, tc.path); route != nil {
			got = route.Name
		}
		assert.Equal(t, got, tc.want, tc.host+tc.path)
	}
}

func TestPickFollowsWeights(t *testing.T) {
	route := testConfiguration(t).Match("a.example", "/p/q/")
	assert.Equal(t, route.PickService(0), "x")
	assert.Equal(t, route.PickService(0.89), "x")
	assert.Equal(t, route.PickService(0.95), "y")
}

func TestHolderNeverGoesBack(t *testing.T) {
	var h Holder
	assert.Equal(t, h.Version(), uint64(0))
	assert.Assert(t, h.Adopt(&Configuration{Version: 5}))
	assert.Assert(t, !h.Adopt(&Configuration{Version: 4}))
	assert.Assert(t, !h.Adopt(&Configuration{Version: 5}))
	assert.Assert(t, h.Adopt(&Configuration{Version: 9}))
	assert.Equal(t, h.Version(), uint64(9))
}

func TestUnknownKeyHasNoAccount(t *testing.T) {
	c := testConfiguration(t)
	assert.Equal(t, c.AccountForKey("k").Name, "one")
	assert.Assert(t, c.AccountForKey("other") == nil)
}

// TestRouteOfALaterBuildIsNoPanic reads what a later build may send.
func TestRouteOfALaterBuildIsNoPanic(t *testing.T) {
	route := &Route{Kind: 7}
	assert.Equal(t, route.Kind.String(), "kind 7")
	assert.Equal(t, Kind(-1).String(), "kind -1")
	assert.Equal(t, route.PickService(0.5), "")
	assert.Assert(t, !route.Retryable())
}
