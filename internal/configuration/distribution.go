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

// Methods between instances.
const (
	// methodPush sends a whole configuration and a list of the addresses to
	// which the receiver relays it.
	methodPush = "config.push"
	// methodGet returns the receiver's current configuration.
	methodGet = "config.get"
	// methodVersion returns only the version of that configuration and its
	// freshness.
	methodVersion = "config.version"
)

// Limits of distribution.
const (
	// pushFanout is how many copies of a configuration an instance sends.
	pushFanout  = 4
	pushTimeout = 1500 * time.Millisecond
	// relayQueueSize bounds the pushes that wait to be relayed. Excess pushes
	// are dropped; their receivers learn of the version by rumor or poll.
	relayQueueSize = 16
	// maxFetchDelay is the maximum random delay before a fetch. It gives a push
	// time to arrive, so that instances that learn of a version by rumor need
	// not fetch it.
	maxFetchDelay = 400 * time.Millisecond
	fetchTimeout  = 2 * time.Second
	// maxFetchPeers is how many peers that reported the version are tried
	// before its announcers and the table.
	maxFetchPeers = 3
)

// pushRequest holds the parameters of methodPush.
type pushRequest struct {
	Tables *tables.Tables `json:"tables"`
	// Relay holds the peer addresses to which the receiver relays the
	// configuration.
	Relay []string `json:"relay,omitempty"`
}

// versionResponse is the result of methodPush and methodVersion.
type versionResponse struct {
	Version uint64 `json:"version"`
	// Certain is true if the instance has, at some time since it started,
	// determined that no higher version was accepted; see
	// Replica.CheckAdmission.
	Certain bool `json:"certain"`
	// TableAgeMillis is the age of its freshness stamp; negative if it has
	// none.
	TableAgeMillis int64 `json:"table_age_ms"`
	// Mode is its reason for taking or refusing new work.
	Mode Mode `json:"mode"`
}

// relayJob relays a configuration to addresses. onConfirmed, if set, is called
// with the address of each peer that confirmed a push of this instance, and
// onDone, if set, after the last push.
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

// enqueueRelay queues a job for Run. It returns false if the queue is full.
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

// relay splits the addresses into pushFanout subsets and pushes the
// configuration to the first of each, which relays it to the rest of the
// subset. If the first does not respond, the next one takes its place. Each
// address thus gets about one copy in all, and no instance sends more than a
// few.
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

// relaySubset pushes to the first address of the subset that confirms.
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

// push sends a configuration to one peer and returns nil if that holds it or a
// newer one.
func (r *Replica) push(ctx context.Context, address string, request pushRequest) error {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	var response versionResponse
	if err := r.bus.Call(ctx, address, methodPush, request, &response); err != nil {
		return err
	}
	if response.Version < request.Tables.Version {
		return fault.At(fault.StepAdopt, address, errors.Newf("peer holds version %d after a push of version %d", response.Version, request.Tables.Version))
	}
	return nil
}

// runFetches fetches announced versions that no push has delivered, until ctx
// ends.
func (r *Replica) runFetches(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.fetchRequested:
		}
		if backoff.Sleep(ctx, r.clock, r.randomDuration(0, maxFetchDelay)) != nil {
			return
		}
		r.fetchVersion(ctx, r.highestKnown.Load())
	}
}

// fetchVersion fetches at least the given version from peers that hold it, or
// from the table. A failed fetch is retried when the version is reported again.
func (r *Replica) fetchVersion(ctx context.Context, version uint64) {
	for _, address := range r.fetchCandidates(version) {
		if r.Current().Version >= version {
			return
		}
		r.fetchFrom(ctx, address)
	}
	if r.Current().Version < version {
		// runPolls logs when the table becomes unreadable.
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

// fetchCandidates returns the addresses of up to maxFetchPeers peers that
// reported at least the version, and those of the instances that announced it
// by rumor.
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
	for _, rumor := range r.membership.RumorsOfKind(membership.RumorConfig) {
		if rumor.Rank >= version && len(rumor.Body) > 0 && string(rumor.Body) != r.bus.Address() {
			addresses = append(addresses, string(rumor.Body))
		}
	}
	return addresses
}
