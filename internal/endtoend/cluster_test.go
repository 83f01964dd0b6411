package endtoend

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/exit"
	"github.com/hibiscuspost/hibiscuspost/internal/measure/load"
	"github.com/hibiscuspost/hibiscuspost/internal/settings"
	platformstandin "github.com/hibiscuspost/hibiscuspost/internal/standin/platform"
	"github.com/hibiscuspost/hibiscuspost/internal/standin/target"
	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

// failureDomainCount is the number of failure domains, processes and engines.
const failureDomainCount = 3

const (
	completionsPath   = "/v1/completions"
	billingPath       = "/billing/plan"
	billingCancelPath = "/billing/cancel"
	// longRouteDeadline leaves time for a lease takeover on a busy machine.
	longRouteDeadline = 40 * time.Second
)

// cluster is a set of instances that share a stand-in platform and stand-in
// targets.
type cluster struct {
	platform  *platformstandin.Server
	engines   []*target.Engine
	service   *target.Service
	processes []*process
	// startedCount is the number of processes started so far.
	startedCount int
	// engineSlots is the number of slots of each engine.
	engineSlots int
	// routeDeadline is the deadline of all routes.
	routeDeadline                  time.Duration
	adminTokenFile, peerSecretFile string
}

// startCluster starts three processes, three engines with the given number of
// slots and a plain service, applies the initial tables and waits until all
// processes are ready.
func startCluster(t *testing.T, engineSlots int, routeDeadline time.Duration) *cluster {
	t.Helper()
	c := &cluster{
		engineSlots: engineSlots, routeDeadline: routeDeadline,
		adminTokenFile: writeFile(t, "token", adminToken), peerSecretFile: writeFile(t, "secret", peerSecret),
	}
	var err error
	c.platform, err = platformstandin.New(platformstandin.Options{})
	assert.NilError(t, err)
	assert.NilError(t, c.platform.Start())
	t.Cleanup(c.platform.Close)
	c.startTargets(t)
	for range failureDomainCount {
		c.processes = append(c.processes, c.startNextProcess(t))
	}
	c.applyInitialTables(t)
	for _, p := range c.processes {
		waitFor(t, p.name+" has the initial tables", func() bool { return p.tablesVersion() == 1 })
		waitFor(t, p.name+" is ready", p.isReady)
	}
	return c
}

func (c *cluster) startTargets(t *testing.T) {
	t.Helper()
	const decodeTimePerToken = 20 * time.Millisecond
	for i := range failureDomainCount {
		engine := target.NewEngine(target.EngineOptions{
			Name: fmt.Sprintf("engine-%d", i), Slots: c.engineSlots, DecodeTimePerToken: decodeTimePerToken, Seed: uint64(i),
		})
		assert.NilError(t, engine.Start())
		t.Cleanup(engine.Close)
		c.engines = append(c.engines, engine)
	}
	c.service = target.NewService(target.ServiceOptions{Name: "billing-0", Version: "v1"})
	assert.NilError(t, c.service.Start())
	t.Cleanup(c.service.Close)
}

// startNextProcess starts one more process, with the peer addresses of the
// running processes as seeds.
func (c *cluster) startNextProcess(t *testing.T) *process {
	t.Helper()
	var peerAddresses []string
	for _, p := range c.processes {
		peerAddresses = append(peerAddresses, p.addresses.Peers)
	}
	index := c.startedCount
	c.startedCount++
	return startProcess(t, programFor(index), &settings.Settings{
		Name: fmt.Sprintf("entry-%d", index), FailureDomain: failureDomainOf(index),
		Listen:   settings.Listen{Callers: anyPortAddress, Admin: anyPortAddress, Peers: anyPortAddress},
		Platform: c.platform.URL(), Peers: peerAddresses,
		AdminTokenFile: c.adminTokenFile, PeerSecretFile: c.peerSecretFile,
	})
}

func failureDomainOf(index int) string { return fmt.Sprintf("domain-%d", index%failureDomainCount) }

// applyInitialTables applies the first tables. It retries until the processes
// have found each other, since they accept no tables before.
func (c *cluster) applyInitialTables(t *testing.T) {
	t.Helper()
	routesFile := writeJSON(t, "routes.json", c.routes())
	poolsFile := writeJSON(t, "pools.json", c.pools())
	var result commandResult
	waitFor(t, "the initial tables are accepted", func() bool {
		result = runCommand(t, "apply", "--admin", c.processes[0].adminURL(), "--routes", routesFile, "--pools", poolsFile, "--base", "0")
		return result.exitCode != exit.Unavailable
	})
	assert.Equal(t, result.exitCode, exit.Success, result.stderr)
	assert.Equal(t, result.stdout, "accepted as version 1\n")
}

func (c *cluster) routes() tables.Routes {
	deadline := tables.Duration(c.routeDeadline)
	return tables.Routes{Routes: []tables.Route{
		{Name: "completions", Match: tables.Match{Path: completionsPath}, Pool: "assistant", Idempotent: true, Deadline: deadline},
		{Name: "billing", Match: tables.Match{Path: "/billing"}, Pool: "billing", Tier: 1, Idempotent: true, Deadline: deadline},
		{Name: "cancel", Match: tables.Match{Path: billingCancelPath}, Pool: "billing", Deadline: deadline},
	}}
}

func (c *cluster) pools() tables.Pools {
	assistant := tables.Pool{Name: "assistant", Kind: tables.KindEngine, Version: "v1"}
	for i, engine := range c.engines {
		assistant.Targets = append(assistant.Targets, tables.Target{
			Name: fmt.Sprintf("engine-%d", i), Address: engine.Address(), FailureDomain: failureDomainOf(i),
			Version: "v1", Slots: c.engineSlots,
		})
	}
	const serviceSlots = 16
	return tables.Pools{Pools: []tables.Pool{assistant, {
		Name: "billing", Kind: tables.KindService, Version: "v1",
		Targets: []tables.Target{{
			Name: "billing-0", Address: c.service.Address(), FailureDomain: failureDomainOf(0), Version: "v1", Slots: serviceSlots,
		}},
	}}}
}

// runsByRequestID returns the runs of all targets by the ID of their call.
func (c *cluster) runsByRequestID() map[string][]target.Run {
	allRuns := c.service.Runs()
	for _, engine := range c.engines {
		allRuns = append(allRuns, engine.Runs()...)
	}
	byRequestID := make(map[string][]target.Run)
	for _, r := range allRuns {
		byRequestID[load.RequestID(r)] = append(byRequestID[load.RequestID(r)], r)
	}
	return byRequestID
}

// waitForRuns waits until the targets have started runs for at least count calls.
func (c *cluster) waitForRuns(t *testing.T, count int) {
	t.Helper()
	waitFor(t, fmt.Sprintf("targets run at least %d calls", count), func() bool { return len(c.runsByRequestID()) >= count })
}

// streamCall returns a streaming completion call, with an idempotency key of its
// own if withKey is set.
func streamCall(id string, maxTokens int, withKey bool) *load.Request {
	call := &load.Request{
		ID: id, Account: "franchise-" + id[len(id)-1:], Model: "assistant", Path: completionsPath,
		Prompt: "Which subscriptions renew? " + id, MaxTokens: maxTokens, Stream: true,
	}
	if withKey {
		call.IdempotencyKey = "key-" + id
	}
	return call
}

// serviceCall returns a call of the plain service with an idempotency key.
func serviceCall(id, path string) *load.Request {
	return &load.Request{ID: id, Kind: load.KindService, Account: "franchise-7", IdempotencyKey: "key-" + id, Path: path}
}

// newSender returns a client with a timeout of maxWait per attempt.
func newSender(t *testing.T) *load.Generator {
	t.Helper()
	sender := load.NewGenerator(load.NewBalancer(nil), maxWait)
	t.Cleanup(sender.Close)
	return sender
}

// statementNotRun is how a refusal states that the request has not run.
const statementNotRun = "not_run"

// checkAgainstRuns compares outcomes with the runs that the targets recorded: a
// call with a key ran at most once and a call without one at most once for each
// time it was sent, no client got a wrong response, and no call whose refusal
// says "not run" had run.
func (c *cluster) checkAgainstRuns(t *testing.T, outcomes []*load.Outcome) {
	t.Helper()
	runsByID := c.runsByRequestID()
	for _, outcome := range outcomes {
		callRuns := runsByID[outcome.Request.ID]
		maxRuns := 1
		if outcome.Request.IdempotencyKey == "" {
			maxRuns = outcome.SendCount()
		}
		if len(callRuns) > maxRuns {
			t.Errorf("call %s ran too often, %d times: %+v\n%s", outcome.Request.ID, len(callRuns), callRuns, formatAttempts(outcome))
		}
		for _, attempt := range outcome.Attempts {
			checkAttempt(t, outcome, attempt, callRuns)
		}
	}
}

func checkAttempt(t *testing.T, outcome *load.Outcome, attempt load.Attempt, callRuns []target.Run) {
	t.Helper()
	switch attempt.Verdict {
	case load.VerdictWrong, load.VerdictTruncated:
		t.Errorf("call %s got a wrong or partial response\n%s", outcome.Request.ID, formatAttempts(outcome))
	case load.VerdictComplete:
		if len(callRuns) == 0 {
			t.Errorf("call %s got a complete response, but no target ran it\n%s", outcome.Request.ID, formatAttempts(outcome))
		}
	case load.VerdictRefused:
		for _, r := range callRuns {
			if attempt.RunStatus == statementNotRun && r.StartedAt.Before(attempt.EndedAt) {
				t.Errorf("call %s was refused as not_run, but had run at %s\n%s", outcome.Request.ID, r.Target, formatAttempts(outcome))
			}
		}
	}
}

// checkAllComplete checks that each call got a complete response.
func checkAllComplete(t *testing.T, outcomes []*load.Outcome) {
	t.Helper()
	for _, outcome := range outcomes {
		if outcome.Final().Verdict != load.VerdictComplete {
			t.Errorf("call %s got no complete response\n%s", outcome.Request.ID, formatAttempts(outcome))
		}
	}
}

// checkCompleteOrUnknown checks that each call got either a complete response or a
// refusal that says that it may have run.
func checkCompleteOrUnknown(t *testing.T, outcomes []*load.Outcome) {
	t.Helper()
	unknownCount := 0
	for _, outcome := range outcomes {
		final := outcome.Final()
		if final.Verdict == load.VerdictComplete {
			continue
		}
		unknownCount++
		if final.Verdict != load.VerdictRefused || final.RunStatus == statementNotRun || final.RunStatus == "" {
			t.Errorf("call %s got neither a complete response nor a refusal that it may have run\n%s", outcome.Request.ID, formatAttempts(outcome))
		}
	}
	t.Logf("%d of %d calls ended without a complete response", unknownCount, len(outcomes))
}

// formatAttempts describes the attempts of a call, one per line.
func formatAttempts(outcome *load.Outcome) string {
	var text strings.Builder
	for _, attempt := range outcome.Attempts {
		fmt.Fprintf(&text, "  %s %s: %s %d %s %s, took %v\n",
			attempt.SentAt.Format("15:04:05.000"), attempt.URL, attempt.Verdict, attempt.Status, attempt.RunStatus, attempt.Detail, attempt.EndedAt.Sub(attempt.SentAt).Round(time.Millisecond))
	}
	return text.String()
}
