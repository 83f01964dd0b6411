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
	// relayQueueSize bounds pushes that wait to be passed on; more are left to
	// rumour and poll.
	relayQueueSize = 16
	// maxFetchDelay gives a push time to arrive before a rumour's receivers
	// pull.
	maxFetchDelay = 400 * time.Millisecond
	fetchTimeout  = 2 * time.Second
	// maxFetchPeers is how many peers are asked before the table.
	maxFetchPeers = 3
)

// pushRequest is the parameter of methodPush.
type pushRequest struct {
	Tables *tables.Tables `json:"tables"`
	// Relay are the peer addresses to pass it on to.
	Relay []string `json:"relay,omitempty"`
}

// versionResponse answers methodPush and methodVersion.
type versionResponse struct {
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
	tables      *tables.Tables
	addresses   []string
	onConfirmed func(address string)
	onDone      func()
}

func (r *Replica) handlePush(_ context.Context, from string, params json.RawMessage) (any, error) {
	var request pushRequest
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, errors.Wrap(err, "configuration: push")
	}
	if request.Tables == nil {
		return nil, errors.New("configuration: a push without tables")
	}
	r.install(request.Tables, from)
	if len(request.Relay) > 0 && r.Current().Version == request.Tables.Version {
		r.enqueueRelay(relayJob{tables: request.Tables, addresses: request.Relay})
	}
	return r.versionResponse(), nil
}

func (r *Replica) handleGet(context.Context, string, json.RawMessage) (any, error) {
	return r.Current(), nil
}

func (r *Replica) handleVersion(context.Context, string, json.RawMessage) (any, error) {
	return r.versionResponse(), nil
}

func (r *Replica) versionResponse() versionResponse {
	freshness := r.Freshness()
	response := versionResponse{
		Version: freshness.Version, Certain: freshness.Known || r.versionVerified.Load(), TableAgeMillis: -1, Mode: freshness.Mode,
	}
	if freshness.Known {
		response.TableAgeMillis = freshness.Age.Milliseconds()
	}
	return response
}

// enqueueRelay hands a job to Run; it reports false when too many wait.
func (r *Replica) enqueueRelay(job relayJob) bool {
	select {
	case r.relayQueue <- job:
		return true
	default:
		return false
	}
}

func (r *Replica) runRelays(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case job := <-r.relayQueue:
			wg.Go(func() { r.relay(ctx, job) })
		}
	}
}

// relay splits the addresses into pushFanout parts and sends the configuration
// to the first of each, with the rest of the part to pass on. Should the first
// not answer, the next takes its place, so that each address gets about one
// copy in all and no instance sends many.
func (r *Replica) relay(ctx context.Context, job relayJob) {
	var wg conc.WaitGroup
	for i := range min(pushFanout, len(job.addresses)) {
		var subset []string
		for j := i; j < len(job.addresses); j += pushFanout {
			subset = append(subset, job.addresses[j])
		}
		wg.Go(func() { r.relaySubset(ctx, job, subset) })
	}
	wg.Wait()
	if job.onDone != nil {
		job.onDone()
	}
}

func (r *Replica) relaySubset(ctx context.Context, job relayJob, subset []string) {
	for i, address := range subset {
		if ctx.Err() != nil {
			return
		}
		if r.push(ctx, address, pushRequest{Tables: job.tables, Relay: subset[i+1:]}) != nil {
			continue
		}
		if job.onConfirmed != nil {
			job.onConfirmed(address)
		}
		return
	}
}

// push sends a configuration to one peer and returns nil if it holds it.
func (r *Replica) push(ctx context.Context, address string, request pushRequest) error {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	var response versionResponse
	if err := r.bus.Call(ctx, address, methodPush, request, &response); err != nil {
		return err
	}
	if response.Version < request.Tables.Version {
		return fault.At(fault.StepAdopt, address, errors.Newf("version %d instead of %d", response.Version, request.Tables.Version))
	}
	return nil
}

// runFetches pulls versions heard of that no push has brought.
func (r *Replica) runFetches(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.fetchRequested:
		}
		if backoff.Wait(ctx, r.clock, r.randomDuration(0, maxFetchDelay)) != nil {
			return
		}
		r.fetchVersion(ctx, r.highestKnown.Load())
	}
}

// fetchVersion pulls at least the version from peers that hold it, or from the table.
// A failed pull is repeated when the version is heard of again.
func (r *Replica) fetchVersion(ctx context.Context, version uint64) {
	for _, address := range r.fetchCandidates(version) {
		if r.Current().Version >= version {
			return
		}
		r.fetchFrom(ctx, address)
	}
	if r.Current().Version < version {
		// The next poll reports the table's state.
		_ = r.poll(ctx)
	}
}

func (r *Replica) fetchFrom(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var t tables.Tables
	if r.bus.Call(ctx, address, methodGet, nil, &t) == nil {
		r.install(&t, address)
	}
}

// fetchCandidates returns peers to ask for a version: some that said they hold it, and
// the one that announced it.
func (r *Replica) fetchCandidates(version uint64) []string {
	hasVersion := make(map[string]bool)
	for _, last := range r.membership.Statuses() {
		hasVersion[last.Member.Name] = last.Status.Version >= version
	}
	var addresses []string
	for _, m := range r.shuffledPeers() {
		if hasVersion[m.Name] && len(addresses) < maxFetchPeers {
			addresses = append(addresses, m.PeerAddress)
		}
	}
	for _, rumor := range r.membership.Known(membership.RumorConfig) {
		if rumor.Rank >= version && len(rumor.Body) > 0 && string(rumor.Body) != r.bus.Address() {
			addresses = append(addresses, string(rumor.Body))
		}
	}
	return addresses
}
