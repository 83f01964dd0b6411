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

// TestRequestsAndAdminCommands sends calls through the processes and runs the
// operator commands against them.
func TestRequestsAndAdminCommands(t *testing.T) {
	c := startCluster(t, 8, longRouteDeadline)
	t.Run("streams", c.testStreams)
	t.Run("not idempotent", c.testNotIdempotent)
	t.Run("queries", c.testQueries)
	t.Run("apply", c.testApplyCommand)
	t.Run("check", c.testCheckCommand)
}

func (c *cluster) testStreams(t *testing.T) {
	const tokensPerCall = 12
	sender := newSender(t)
	var outcomes []*load.Outcome
	for i, p := range c.processes {
		call := streamCall(fmt.Sprintf("path-%d", i), tokensPerCall, i > 0)
		attempt := sender.SendTo(context.Background(), call, p.clientURL())
		outcomes = append(outcomes, &load.Outcome{Request: call, Attempts: []load.Attempt{attempt}})
		assert.Assert(t, attempt.Handle != "", "response has no handle")
	}
	checkAllComplete(t, outcomes)
	c.checkAgainstRuns(t, outcomes)
}

func (c *cluster) testNotIdempotent(t *testing.T) {
	sender := newSender(t)
	call := serviceCall("cancel-4711", billingCancelPath)
	outcome := &load.Outcome{Request: call}
	for _, p := range c.processes[:2] {
		outcome.Attempts = append(outcome.Attempts, sender.SendTo(context.Background(), call, p.clientURL()))
	}
	for _, attempt := range outcome.Attempts {
		assert.Equal(t, attempt.Verdict, load.VerdictComplete, formatAttempts(outcome))
	}
	assert.Equal(t, len(c.runsByRequestID()[call.ID]), 1)
}

// queryAdmin runs a query command with --json and decodes its output.
func queryAdmin[T any](t *testing.T, p *process, name string) T {
	t.Helper()
	result := runCommand(t, name, "--admin", p.adminURL(), "--json")
	assert.Equal(t, result.exitCode, exit.Success, result.stderr)
	var response T
	assert.NilError(t, json.Unmarshal([]byte(result.stdout), &response), result.stdout)
	return response
}

func (c *cluster) testQueries(t *testing.T) {
	for _, p := range c.processes {
		config := queryAdmin[report.Config](t, p, "config")
		assert.Equal(t, config.Version, uint64(1))
		assert.Equal(t, len(config.Routes), len(c.routes().Routes))
		targets := queryAdmin[report.Targets](t, p, "targets")
		assert.Equal(t, len(targets.Targets), len(c.engines)+1)
		waitFor(t, p.name+" lists all processes", func() bool {
			return len(queryAdmin[report.Instances](t, p, "instances").Instances) == len(c.processes)
		})
		moves := queryAdmin[report.Moves](t, p, "moves")
		for _, m := range moves.Moves {
			assert.Equal(t, m.OldVersion, "", "move with an old version, although no move was requested")
		}
	}
	for _, name := range []string{"config", "targets", "instances", "moves"} {
		assert.Equal(t, runCommand(t, name, "--admin", c.processes[0].adminURL()).exitCode, exit.Success)
		assert.Equal(t, runCommand(t, name, "--admin", unusedURL(t)).exitCode, exit.Unavailable)
	}
}

// unusedURL returns a URL on whose port nothing listened shortly before.
func unusedURL(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", anyPortAddress)
	assert.NilError(t, err)
	assert.NilError(t, listener.Close())
	return "http://" + listener.Addr().String()
}

func (c *cluster) testApplyCommand(t *testing.T) {
	changedRoutes := c.routes()
	changedRoutes.Routes[0].Tier = 1
	routesFile := writeJSON(t, "routes.json", changedRoutes)
	poolsFile := writeJSON(t, "pools.json", c.pools())
	invalidRoutesFile := c.writeInvalidRoutes(t)
	adminURL := c.processes[1].adminURL()
	cases := []struct {
		name       string
		flags      []string
		wantCode   exit.Code
		wantStderr string
	}{
		{"invalid routes", []string{"--admin", adminURL, "--routes", invalidRoutesFile, "--pools", poolsFile}, exit.BadInput, invalidRoutesFile + ":2: routes[0].tier: "},
		{"stale base version", []string{"--admin", adminURL, "--routes", routesFile, "--pools", poolsFile, "--base", "0"}, exit.Conflict, "conflict"},
		{"no server", []string{"--admin", unusedURL(t), "--routes", routesFile, "--pools", poolsFile}, exit.Unavailable, ""},
		{"no server, with a base version", []string{"--admin", unusedURL(t), "--routes", routesFile, "--pools", poolsFile, "--base", "1"}, exit.Unavailable, ""},
		{"accepted", []string{"--admin", adminURL, "--routes", routesFile, "--pools", poolsFile}, exit.Success, ""},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			result := runCommand(t, append([]string{"apply"}, testCase.flags...)...)
			assert.Equal(t, result.exitCode, testCase.wantCode, result.stderr)
			assert.Assert(t, strings.Contains(result.stderr, testCase.wantStderr), result.stderr)
		})
	}
	for _, p := range c.processes {
		waitFor(t, p.name+" has version 2", func() bool { return queryAdmin[report.Config](t, p, "config").Version == 2 })
	}
}

// writeInvalidRoutes writes a routes table whose second line has a tier that is
// out of range.
func (c *cluster) writeInvalidRoutes(t *testing.T) string {
	t.Helper()
	return writeFile(t, "bad.json", `{"routes": [
  {"name": "completions", "match": {"path": "/v1"}, "pool": "assistant", "tier": 9, "idempotent": true},
]}`)
}

func (c *cluster) testCheckCommand(t *testing.T) {
	routesFile := writeJSON(t, "routes.json", c.routes())
	poolsFile := writeJSON(t, "pools.json", c.pools())
	result := runCommand(t, "check", "--routes", routesFile, "--pools", poolsFile)
	assert.Equal(t, result, commandResult{exitCode: exit.Success, stdout: "ok\n"})
	invalidRoutesFile := c.writeInvalidRoutes(t)
	result = runCommand(t, "check", "--routes", invalidRoutesFile, "--pools", poolsFile)
	assert.Equal(t, result.exitCode, exit.BadInput, result.stderr)
	assert.Assert(t, strings.Contains(result.stderr, invalidRoutesFile+":2: routes[0].tier: "), result.stderr)
}
