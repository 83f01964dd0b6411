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

// domainCount is the number of failure domains, processes and engines.
const domainCount = 3

const (
	completions = "/v1/completions"
	billing     = "/billing/plan"
	cancel      = "/billing/cancel"
	// longDeadline leaves time for a takeover of leases on a busy machine.
	longDeadline = 40 * time.Second
)

// fleet is processes that share a stand-in platform and stand-in targets.
type fleet struct {
	platform  *platformstandin.Server
	engines   []*target.Engine
	service   *target.Service
	processes []*process
	started   int
	// slots is what the tables say of each engine.
	slots int
	// deadline is that of all routes.
	deadline time.Duration
	// token and secret are paths of files.
	token, secret string
}

// startFleet starts three processes with three engines of the given slots and
// a plain service, puts tables in force and waits until all are ready.
func startFleet(t *testing.T, slots int, deadline time.Duration) *fleet {
	t.Helper()
	f := &fleet{
		slots: slots, deadline: deadline,
		token: writeFile(t, "token", adminToken), secret: writeFile(t, "secret", peerSecret),
	}
	var err error
	f.platform, err = platformstandin.New(platformstandin.Options{})
	assert.NilError(t, err)
	assert.NilError(t, f.platform.Start())
	t.Cleanup(f.platform.Close)
	f.startTargets(t)
	for range domainCount {
		f.processes = append(f.processes, f.launch(t))
	}
	f.applyOnceJoined(t)
	for _, p := range f.processes {
		waitFor(t, p.name+" is ready", p.ready)
	}
	return f
}

func (f *fleet) startTargets(t *testing.T) {
	t.Helper()
	const tokenTime = 20 * time.Millisecond
	for i := range domainCount {
		engine := target.NewEngine(target.EngineOptions{
			Name: fmt.Sprintf("engine-%d", i), Slots: f.slots, DecodeTimePerToken: tokenTime, Seed: uint64(i),
		})
		assert.NilError(t, engine.Start())
		t.Cleanup(engine.Close)
		f.engines = append(f.engines, engine)
	}
	f.service = target.NewService(target.ServiceOptions{Name: "billing-0", Version: "v1"})
	assert.NilError(t, f.service.Start())
	t.Cleanup(f.service.Close)
}

// launch starts one more process, which finds the running ones by their peer
// addresses.
func (f *fleet) launch(t *testing.T) *process {
	t.Helper()
	var seeds []string
	for _, p := range f.processes {
		seeds = append(seeds, p.address.Peers)
	}
	number := f.started
	f.started++
	return startProcess(t, programOf(number), &settings.Settings{
		Name: fmt.Sprintf("entry-%d", number), FailureDomain: domain(number),
		Listen:   settings.Listen{Callers: anyPort, Admin: anyPort, Peers: anyPort},
		Platform: f.platform.URL(), Peers: seeds,
		AdminTokenFile: f.token, PeerSecretFile: f.secret,
	})
}

func domain(number int) string { return fmt.Sprintf("domain-%d", number%domainCount) }

// applyOnceJoined applies the first tables as soon as the processes have found
// each other; before that, nothing is accepted.
func (f *fleet) applyOnceJoined(t *testing.T) {
	t.Helper()
	routes := writeJSON(t, "routes.json", f.routes())
	pools := writeJSON(t, "pools.json", f.pools())
	var last ran
	waitFor(t, "the first tables are accepted", func() bool {
		last = run(t, "apply", "--admin", f.processes[0].adminURL(), "--routes", routes, "--pools", pools, "--base", "0")
		return last.code != exit.Unavailable
	})
	assert.Equal(t, last.code, exit.Done, last.stderr)
	assert.Equal(t, last.stdout, "accepted as version 1\n")
}

func (f *fleet) routes() tables.Routes {
	limit := tables.Duration(f.deadline)
	return tables.Routes{Routes: []tables.Route{
		{Name: "completions", Match: tables.Match{Path: completions}, Pool: "assistant", Idempotent: true, Deadline: limit},
		{Name: "billing", Match: tables.Match{Path: "/billing"}, Pool: "billing", Tier: 1, Idempotent: true, Deadline: limit},
		{Name: "cancel", Match: tables.Match{Path: cancel}, Pool: "billing", Deadline: limit},
	}}
}

func (f *fleet) pools() tables.Pools {
	assistant := tables.Pool{Name: "assistant", Kind: tables.KindEngine, Version: "v1"}
	for i, engine := range f.engines {
		assistant.Targets = append(assistant.Targets, tables.Target{
			Name: fmt.Sprintf("engine-%d", i), Address: engine.Address(), FailureDomain: domain(i),
			Version: "v1", Slots: f.slots,
		})
	}
	const serviceSlots = 16
	return tables.Pools{Pools: []tables.Pool{assistant, {
		Name: "billing", Kind: tables.KindService, Version: "v1",
		Targets: []tables.Target{{
			Name: "billing-0", Address: f.service.Address(), FailureDomain: domain(0), Version: "v1", Slots: serviceSlots,
		}},
	}}}
}

// runs are the runs of all targets by the id of their call.
func (f *fleet) runs() map[string][]target.Run {
	all := f.service.Runs()
	for _, engine := range f.engines {
		all = append(all, engine.Runs()...)
	}
	runs := make(map[string][]target.Run)
	for _, r := range all {
		runs[load.RunID(r)] = append(runs[load.RunID(r)], r)
	}
	return runs
}

// waitForRuns waits until the targets have started that many requests.
func (f *fleet) waitForRuns(t *testing.T, count int) {
	t.Helper()
	waitFor(t, fmt.Sprintf("%d requests have reached targets", count), func() bool { return len(f.runs()) >= count })
}

// stream is a streaming model call; its key is empty or the call's own.
func stream(id string, tokens int, keyed bool) *load.Call {
	call := &load.Call{
		ID: id, Account: "franchise-" + id[len(id)-1:], Model: "assistant", Path: completions,
		Prompt: "Which subscriptions renew? " + id, MaxTokens: tokens, Stream: true,
	}
	if keyed {
		call.Key = "key-" + id
	}
	return call
}

// serviceCall is a call of the plain service with a key.
func serviceCall(id, path string) *load.Call {
	return &load.Call{ID: id, Kind: load.KindService, Account: "franchise-7", Key: "key-" + id, Path: path}
}

// newSender returns a caller whose attempts last at most the patience.
func newSender(t *testing.T) *load.Sender {
	t.Helper()
	sender := load.NewSender(load.NewBalancer(nil), patience)
	t.Cleanup(sender.Close)
	return sender
}

// notRun is the statement that a refused request has not run.
const notRun = "not_run"

// checkTruth checks outcomes against the targets' logs: each keyed call ran at
// most once, nobody got a wrong answer, and who was told "not run" was told
// the truth.
func (f *fleet) checkTruth(t *testing.T, outcomes []*load.Outcome) {
	t.Helper()
	runs := f.runs()
	for _, o := range outcomes {
		own := runs[o.Call.ID]
		allowed := 1
		if o.Call.Key == "" {
			allowed = o.Sends()
		}
		if len(own) > allowed {
			t.Errorf("call %s ran %d times: %+v\n%s", o.Call.ID, len(own), own, describe(o))
		}
		for _, attempt := range o.Attempts {
			checkAttempt(t, o, attempt, own)
		}
	}
}

func checkAttempt(t *testing.T, o *load.Outcome, attempt load.Attempt, own []target.Run) {
	t.Helper()
	switch attempt.Verdict {
	case load.Wrong, load.Partial:
		t.Errorf("call %s got a wrong or partial answer\n%s", o.Call.ID, describe(o))
	case load.Whole:
		if len(own) == 0 {
			t.Errorf("call %s got an answer that no target gave\n%s", o.Call.ID, describe(o))
		}
	case load.Refused:
		for _, r := range own {
			if attempt.Run == notRun && r.StartedAt.Before(attempt.Ended) {
				t.Errorf("call %s was told not_run although it ran at %s\n%s", o.Call.ID, r.Target, describe(o))
			}
		}
	}
}

// checkWhole checks that each call ended with its whole answer.
func checkWhole(t *testing.T, outcomes []*load.Outcome) {
	t.Helper()
	for _, o := range outcomes {
		if o.Final().Verdict != load.Whole {
			t.Errorf("call %s got no whole answer\n%s", o.Call.ID, describe(o))
		}
	}
}

// checkSettled checks that each call ended with its whole answer or with the
// statement that it may have run.
func checkSettled(t *testing.T, outcomes []*load.Outcome) {
	t.Helper()
	unsettled := 0
	for _, o := range outcomes {
		final := o.Final()
		if final.Verdict == load.Whole {
			continue
		}
		unsettled++
		if final.Verdict != load.Refused || final.Run == notRun || final.Run == "" {
			t.Errorf("call %s was not settled\n%s", o.Call.ID, describe(o))
		}
	}
	t.Logf("%d of %d calls could not be answered and were told so", unsettled, len(outcomes))
}

// describe tells what became of a call, one attempt a line.
func describe(o *load.Outcome) string {
	var text strings.Builder
	for _, a := range o.Attempts {
		fmt.Fprintf(&text, "  %s %s: %s %d %s %s, took %v\n",
			a.Sent.Format("15:04:05.000"), a.URL, a.Verdict, a.Status, a.Run, a.Detail, a.Ended.Sub(a.Sent).Round(time.Millisecond))
	}
	return text.String()
}
