package endtoend

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/exit"
	"github.com/hibiscuspost/hibiscuspost/internal/measure/load"
	"github.com/hibiscuspost/hibiscuspost/internal/report"
)

// TestPath sends calls through each process and runs every command of
// operators against them.
func TestPath(t *testing.T) {
	f := startFleet(t, 8, longDeadline)
	t.Run("streams", f.testStreams)
	t.Run("not idempotent", f.testNotIdempotent)
	t.Run("queries", f.testQueries)
	t.Run("apply", f.testApply)
	t.Run("check", f.testCheck)
}

func (f *fleet) testStreams(t *testing.T) {
	const tokens = 12
	sender := newSender(t)
	var outcomes []*load.Outcome
	for i, p := range f.processes {
		call := stream(fmt.Sprintf("path-%d", i), tokens, i > 0)
		attempt := sender.SendTo(context.Background(), call, p.callersURL())
		outcomes = append(outcomes, &load.Outcome{Request: call, Attempts: []load.Attempt{attempt}})
		assert.Assert(t, attempt.Handle != "", "no handle")
	}
	checkWhole(t, outcomes)
	f.checkTruth(t, outcomes)
}

func (f *fleet) testNotIdempotent(t *testing.T) {
	sender := newSender(t)
	call := serviceCall("cancel-4711", cancel)
	o := &load.Outcome{Request: call}
	for _, p := range f.processes[:2] {
		o.Attempts = append(o.Attempts, sender.SendTo(context.Background(), call, p.callersURL()))
	}
	for _, attempt := range o.Attempts {
		assert.Equal(t, attempt.Verdict, load.VerdictComplete, describe(o))
	}
	assert.Equal(t, len(f.runs()[call.ID]), 1)
}

// query runs a query with --json and reads its answer.
func query[T any](t *testing.T, p *process, name string) T {
	t.Helper()
	done := run(t, name, "--admin", p.adminURL(), "--json")
	assert.Equal(t, done.code, exit.Success, done.stderr)
	var answer T
	assert.NilError(t, json.Unmarshal([]byte(done.stdout), &answer), done.stdout)
	return answer
}

func (f *fleet) testQueries(t *testing.T) {
	for _, p := range f.processes {
		config := query[report.Config](t, p, "config")
		assert.Equal(t, config.Version, uint64(1))
		assert.Equal(t, len(config.Routes), len(f.routes().Routes))
		targets := query[report.Targets](t, p, "targets")
		assert.Equal(t, len(targets.Targets), len(f.engines)+1)
		waitFor(t, p.name+" sees all processes", func() bool {
			return len(query[report.Instances](t, p, "instances").Instances) == len(f.processes)
		})
		moves := query[report.Moves](t, p, "moves")
		for _, m := range moves.Moves {
			assert.Equal(t, m.OldVersion, "", "no move was ordered")
		}
	}
	for _, name := range []string{"config", "targets", "instances", "moves"} {
		assert.Equal(t, run(t, name, "--admin", f.processes[0].adminURL()).code, exit.Success)
		assert.Equal(t, run(t, name, "--admin", nothingListens(t)).code, exit.Unavailable)
	}
}

// nothingListens returns a URL whose port was free a moment ago.
func nothingListens(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", anyPort)
	assert.NilError(t, err)
	assert.NilError(t, listener.Close())
	return "http://" + listener.Addr().String()
}

func (f *fleet) testApply(t *testing.T) {
	changed := f.routes()
	changed.Routes[0].Tier = 1
	routes := writeJSON(t, "routes.json", changed)
	pools := writeJSON(t, "pools.json", f.pools())
	bad := f.badRoutes(t)
	here := f.processes[1].adminURL()
	cases := []struct {
		name   string
		flags  []string
		code   exit.Code
		stderr string
	}{
		{"bad input", []string{"--admin", here, "--routes", bad, "--pools", pools}, exit.BadInput, bad + ":2: routes[0].tier: "},
		{"stale base", []string{"--admin", here, "--routes", routes, "--pools", pools, "--base", "0"}, exit.Conflict, "conflict"},
		{"nothing listens", []string{"--admin", nothingListens(t), "--routes", routes, "--pools", pools}, exit.Unavailable, ""},
		{"nothing listens, with a base", []string{"--admin", nothingListens(t), "--routes", routes, "--pools", pools, "--base", "1"}, exit.Unavailable, ""},
		{"accepted", []string{"--admin", here, "--routes", routes, "--pools", pools}, exit.Success, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			done := run(t, append([]string{"apply"}, c.flags...)...)
			assert.Equal(t, done.code, c.code, done.stderr)
			assert.Assert(t, strings.Contains(done.stderr, c.stderr), done.stderr)
		})
	}
	for _, p := range f.processes {
		waitFor(t, p.name+" has version 2", func() bool { return query[report.Config](t, p, "config").Version == 2 })
	}
}

// badRoutes writes a table with a tier out of range in its second line.
func (f *fleet) badRoutes(t *testing.T) string {
	t.Helper()
	return writeFile(t, "bad.json", `{"routes": [
  {"name": "completions", "match": {"path": "/v1"}, "pool": "assistant", "tier": 9, "idempotent": true},
]}`)
}

func (f *fleet) testCheck(t *testing.T) {
	routes := writeJSON(t, "routes.json", f.routes())
	pools := writeJSON(t, "pools.json", f.pools())
	done := run(t, "check", "--routes", routes, "--pools", pools)
	assert.Equal(t, done, ran{code: exit.Success, stdout: "ok\n"})
	bad := f.badRoutes(t)
	done = run(t, "check", "--routes", bad, "--pools", pools)
	assert.Equal(t, done.code, exit.BadInput, done.stderr)
	assert.Assert(t, strings.Contains(done.stderr, bad+":2: routes[0].tier: "), done.stderr)
}
