package configuration

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/hibiscuspost/hibiscuspost/internal/membership"
)

// Bounds of asking instances for their versions.
const (
	// maxConcurrentVersionRequests is how many are asked at once.
	maxConcurrentVersionRequests = 32
	versionQueryTimeout          = 3 * time.Second
)

// InstanceVersion is what is known here of one instance's configuration.
type InstanceVersion struct {
	Name          string
	FailureDomain string
	// Version is the one in force there; valid if HeardAge is not negative.
	Version uint64
	// TableAge is the age of the table read that vouches for it, as far as
	// known here; valid if TableKnown is set.
	TableAge      time.Duration
	TableAgeKnown bool
	// ReportAge is how long ago the instance told so; negative if never.
	ReportAge time.Duration
	// Mode is the ground on which it takes or refuses new work; empty if the
	// instance was not asked or did not answer.
	Mode Mode

	address string
}

// InstanceVersions returns what the live instances told on their last probes,
// by name. With many instances that may be minutes ago.
func (r *Replica) InstanceVersions() []InstanceVersion {
	var all []InstanceVersion
	for _, lastStatus := range r.membership.Statuses() {
		all = append(all, InstanceVersion{
			Name:          lastStatus.Member.Name,
			FailureDomain: lastStatus.Member.FailureDomain,
			Version:       lastStatus.Status.Version,
			TableAge:      lastStatus.Status.TableAge + max(0, lastStatus.Age),
			TableAgeKnown: lastStatus.Status.TableKnown,
			ReportAge:     lastStatus.Age,
			address:       lastStatus.Member.PeerAddress,
		})
	}
	return all
}

// QueryVersions asks all live instances for their versions now, for operators: its
// cost grows with the instances, unlike that of InstanceVersions, which stands
// in for those that do not answer.
func (r *Replica) QueryVersions(ctx context.Context) []InstanceVersion {
	ctx, cancel := context.WithTimeout(ctx, versionQueryTimeout)
	defer cancel()
	all := r.InstanceVersions()
	responses := make(map[string]versionResponse)
	for _, response := range r.requestVersions(ctx, r.shuffledPeers()) {
		responses[response.address] = response.versionResponse
	}
	responses[r.membership.View().Self.PeerAddress] = r.versionResponse()
	for i := range all {
		if response, ok := responses[all[i].address]; ok {
			all[i].applyResponse(response)
		}
	}
	return all
}

// applyResponse replaces what was heard by an answer just given.
func (v *InstanceVersion) applyResponse(response versionResponse) {
	v.Version, v.Mode, v.ReportAge = response.Version, response.Mode, 0
	v.TableAgeKnown = response.TableAgeMillis >= 0
	v.TableAge = time.Duration(max(0, response.TableAgeMillis)) * time.Millisecond
}

// peerVersionResponse is a versionAnswer with the address that gave it.
type peerVersionResponse struct {
	versionResponse
	address string
}

// requestVersions asks the members, surveyParallel at once, and returns the answers.
func (r *Replica) requestVersions(ctx context.Context, members []membership.Member) []peerVersionResponse {
	var mu sync.Mutex
	var responses []peerVersionResponse
	requests := pool.New().WithMaxGoroutines(maxConcurrentVersionRequests)
	for _, m := range members {
		requests.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, versionRequestTimeout)
			defer cancel()
			var response versionResponse
			if r.bus.Call(ctx, m.PeerAddress, methodVersion, nil, &response) != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			responses = append(responses, peerVersionResponse{response, m.PeerAddress})
		})
	}
	requests.Wait()
	return responses
}
