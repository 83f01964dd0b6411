package tables

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const validRoutes = `{
  // Audits have a higher tier than chat.
  "routes": [
    {"name": "audit", "match": {"path": "/v1/chat", "model": "big"}, "pool": "llm", "tier": 0, "idempotent": true, "deadline": "30s", "first_token": "2s"},
    {"name": "chat", "match": {"path": "/v1/chat"}, "pool": "llm", "tier": 1, "idempotent": true},
    {"name": "billing", "match": {"path": "/billing", "accounts": ["acme"]}, "pool": "app", "tier": 0, "idempotent": false},
  ],
}`

const validPools = `{"pools": [
  {"name": "llm", "kind": "engine", "version": "v1", "targets": [
    {"name": "t1", "address": "127.0.0.1:9001", "failure_domain": "a", "version": "v1", "slots": 4}]},
  {"name": "app", "kind": "service", "version": "v1", "targets": []}
]}`

func parse(routes, pools string) (*Tables, error) {
	return Parse(File{"routes.json", []byte(routes)}, File{"pools.json", []byte(pools)})
}

func TestParseReportsFileLineAndField(t *testing.T) {
	cases := map[string]struct{ oldRoutes, oldPools, replacement, want string }{
		"unknown field":              {`"tier": 1`, "", `"teir": 1`, `routes.json:5: routes[1].teir: unknown field`},
		"repeated field":             {`"tier": 1`, "", `"tier": 1, "tier": 2`, `routes[1].tier: stands twice`},
		"duplicate route":            {`"name": "chat"`, "", `"name": "audit"`, `routes.json:5: routes[1].name: "audit" stands twice`},
		"unknown pool":               {`"pool": "app"`, "", `"pool": "apps"`, `routes.json:6: routes[2].pool: no pool has the name "apps"`},
		"ambiguous match":            {`{"path": "/v1/chat", "model": "big"}`, "", `{"path": "/v1/chat/"}`, `routes[1].match: matches the same requests as route "audit"`},
		"duration without unit":      {`"30s"`, "", `"30"`, `routes[0].deadline: "30" is no duration`},
		"number as duration":         {`"30s"`, "", `30`, `routes[0].deadline: a duration is a string`},
		"first token after deadline": {`"2s"`, "", `"31s"`, `routes[0].first_token: is later than the deadline`},
		"tier too high":              {`"tier": 1`, "", `"tier": 4`, `routes[1].tier: must be 0 to 3`},
		"tier of wrong type":         {`"tier": 1`, "", `"tier": "x"`, `routes[1].tier: wants tables.Tier, not string`},
		"host name as address":       {"", `127.0.0.1:9001`, `localhost:9001`, `pools.json:3: pools[0].targets[0].address: "localhost:9001" is not an IP number and port`},
		"unknown kind":               {"", `"kind": "service"`, `"kind": "other"`, `pools.json:4: pools[1].kind: must be "engine" or "service"`},
		"no slots":                   {"", `"slots": 4`, `"slots": 0`, `pools[0].targets[0].slots: must be at least 1`},
		"malformed deadline":         {"", `"version": "v1", "targets": []`, `"version": "v1", "deadline": "soon", "targets": []`, `pools[1].deadline: `},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			routes, pools := validRoutes, validPools
			if c.oldRoutes != "" {
				assert.Assert(t, strings.Contains(routes, c.oldRoutes))
				routes = strings.Replace(routes, c.oldRoutes, c.replacement, 1)
			} else {
				assert.Assert(t, strings.Contains(pools, c.oldPools))
				pools = strings.Replace(pools, c.oldPools, c.replacement, 1)
			}
			_, err := parse(routes, pools)
			assert.ErrorContains(t, err, c.want)
		})
	}
}

func TestParseReportsAllErrorsAtOnce(t *testing.T) {
	_, err := parse(strings.Replace(validRoutes, `"tier": 1`, `"tier": 9`, 1), strings.Replace(validPools, `"slots": 4`, `"slots": -1`, 1))
	assert.ErrorContains(t, err, "routes[1].tier")
	assert.ErrorContains(t, err, "targets[0].slots")
}

func TestRoutePrefersTheMostSpecific(t *testing.T) {
	parsed, err := parse(validRoutes, validPools)
	assert.NilError(t, err)
	assert.Equal(t, parsed.Route("/v1/chat/completions", "big", "x").Name, "audit")
	assert.Equal(t, parsed.Route("/v1/chat/completions", "small", "x").Name, "chat")
	assert.Equal(t, parsed.Route("/billing/cancel", "", "acme").Name, "billing")
	assert.Assert(t, parsed.Route("/billing/cancel", "", "other") == nil)
	assert.Assert(t, parsed.Route("/v1/chatter", "", "x") == nil)
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validRoutes), []byte(validPools))
	f.Add([]byte(`{"routes":[{}]}`), []byte(`{"pools":[{"targets":[{}]}]}`))
	f.Fuzz(func(t *testing.T, routes, pools []byte) {
		parsed, err := Parse(File{"r", routes}, File{"p", pools})
		if err == nil {
			assert.Equal(t, parsed.Hash, parsed.ContentHash())
		}
	})
}
