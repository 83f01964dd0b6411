package configuration

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/hibiscuspost/hibiscuspost/internal/backoff"
	"github.com/hibiscuspost/hibiscuspost/internal/fault"
	"github.com/hibiscuspost/hibiscuspost/internal/membership"
	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

// The methods between instances.
const (
	// methodPush brings a whole configuration and a list of those to whom the
	// receiver passes it on.
	methodPush = "config.push"
	// methodGet asks for the configuration in force.
	methodGet = "config.get"
	// methodVersion asks only for its version.
	methodVersion = "config.version"
)

// Bounds of spreading.
const (
	// pushFanout is how many copies an instance sends of a configuration.
	pushFanout  = 4
	pushTimeout = 1500 * time.Millisecond
	// relayBacklog bounds pushes that wait to be passed on; more are left to
	// rumour and poll.
	relayBacklog = 16
	// fetchDelayMax gives a push time to arrive before a rumour's receivers
	// pull.
	fetchDelayMax = 400 * time.Millisecond
	fetchTimeout  = 2 * time.Second
	// fetchSources is how many peers are asked before the table.
	fetchSources = 3
)

// pushRequest is the parameter of methodPush.
type pushRequest struct {
	Tables *tables.Tables `json:"tables"`
	// Relay are the peer addresses to pass it on to.
	Relay []string `json:"relay,omitempty"`
}

// versionAnswer answers methodPush and methodVersion.
type versionAnswer struct {
	Version uint64 `json:"version"`
	// Certain is set if the instance knows that no higher version was in force
	// at some time since it started; see Adopter.Admitting.
	Certain bool `json:"certain"`
	// TableAgeMillis is the age of its freshness stamp; negative for none.
	TableAgeMillis int64 `json:"table_age_ms"`
	// Mode is the ground on which it takes or refuses new work.
	Mode Mode `json:"mode"`
}

// relayJob passes a configuration on; held, when set, is called with each peer
// that confirmed directly, and done when all is sent.
type relayJob struct {
	tables *tables.Tables
	to     []string
	held   func(address string)
	done   func()
}

func (a *Adopter) servePush(_ context.Context, from string, params json.RawMessage) (any, error) {
	var request pushRequest
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, errors.Wrap(err, "configuration: push")
	}
	if request.Tables == nil {
		return nil, errors.New("configuration: a push without tables")
	}
	a.adopt(request.Tables, from)
	if len(request.Relay) > 0 && a.Current().Version == request.Tables.Version {
		a.enqueue(relayJob{tables: request.Tables, to: request.Relay})
	}
	return a.versionAnswer(), nil
}

func (a *Adopter) serveGet(context.Context, string, json.RawMessage) (any, error) {
	return a.Current(), nil
}

func (a *Adopter) serveVersion(context.Context, string, json.RawMessage) (any, error) {
	return a.versionAnswer(), nil
}

func (a *Adopter) versionAnswer() versionAnswer {
	f := a.Freshness()
	answer := versionAnswer{
		Version: f.Version, Certain: f.Known || a.verified.Load(), TableAgeMillis: -1, Mode: f.Mode,
	}
	if f.Known {
		answer.TableAgeMillis = f.Age.Milliseconds()
	}
	return answer
}

// enqueue hands a job to Run; it reports false when too many wait.
func (a *Adopter) enqueue(job relayJob) bool {
	select {
	case a.relays <- job:
		return true
	default:
		return false
	}
}

func (a *Adopter) runRelays(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case job := <-a.relays:
			wg.Go(func() { a.relay(ctx, job) })
		}
	}
}

// relay splits the addresses into pushFanout parts and sends the configuration
// to the first of each, with the rest of the part to pass on. Should the first
// not answer, the next takes its place, so that each address gets about one
// copy in all and no instance sends many.
func (a *Adopter) relay(ctx context.Context, job relayJob) {
	var wg conc.WaitGroup
	for i := range min(pushFanout, len(job.to)) {
		var part []string
		for j := i; j < len(job.to); j += pushFanout {
			part = append(part, job.to[j])
		}
		wg.Go(func() { a.relayPart(ctx, job, part) })
	}
	wg.Wait()
	if job.done != nil {
		job.done()
	}
}

func (a *Adopter) relayPart(ctx context.Context, job relayJob, part []string) {
	for i, address := range part {
		if ctx.Err() != nil {
			return
		}
		if a.push(ctx, address, pushRequest{Tables: job.tables, Relay: part[i+1:]}) != nil {
			continue
		}
		if job.held != nil {
			job.held(address)
		}
		return
	}
}

// push sends a configuration to one peer and returns nil if it holds it.
func (a *Adopter) push(ctx context.Context, address string, request pushRequest) error {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	var answer versionAnswer
	if err := a.bus.Call(ctx, address, methodPush, request, &answer); err != nil {
		return err
	}
	if answer.Version < request.Tables.Version {
		return fault.At(fault.StepAdopt, address, errors.Newf("version %d instead of %d", answer.Version, request.Tables.Version))
	}
	return nil
}

// runFetches pulls versions heard of that no push has brought.
func (a *Adopter) runFetches(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.fetches:
		}
		if backoff.Sleep(ctx, a.clock, a.between(0, fetchDelayMax)) != nil {
			return
		}
		a.fetch(ctx, a.wanted.Load())
	}
}

// fetch pulls at least the version from peers that hold it, or from the table.
// A failed pull is repeated when the version is heard of again.
func (a *Adopter) fetch(ctx context.Context, version uint64) {
	for _, address := range a.holders(version) {
		if a.Current().Version >= version {
			return
		}
		a.fetchFrom(ctx, address)
	}
	if a.Current().Version < version {
		// The next poll reports the table's state.
		_ = a.poll(ctx)
	}
}

func (a *Adopter) fetchFrom(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var t tables.Tables
	if a.bus.Call(ctx, address, methodGet, nil, &t) == nil {
		a.adopt(&t, address)
	}
}

// holders returns peers to ask for a version: some that said they hold it, and
// the one that announced it.
func (a *Adopter) holders(version uint64) []string {
	holds := make(map[string]bool)
	for _, s := range a.members.Statuses() {
		holds[s.Member.Name] = s.Status.Version >= version
	}
	var addresses []string
	for _, m := range a.shuffled() {
		if holds[m.Name] && len(addresses) < fetchSources {
			addresses = append(addresses, m.PeerAddress)
		}
	}
	for _, r := range a.members.Known(membership.RumorConfig) {
		if r.Rank >= version && len(r.Body) > 0 && string(r.Body) != a.bus.Address() {
			addresses = append(addresses, string(r.Body))
		}
	}
	return addresses
}
