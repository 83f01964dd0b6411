package configuration

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/hibiscuspost/hibiscuspost/internal/membership"
)

// Limits of version requests.
const (
	maxConcurrentVersionRequests = 32
	// versionQueryTimeout bounds QueryVersions as a whole.
	versionQueryTimeout = 3 * time.Second
)

// InstanceVersion is the last known configuration state of one instance.
type InstanceVersion struct {
	Name          string
	FailureDomain string
	// Version is its current version; valid if StatusAge is not negative.
	Version uint64
	// TableAge is the age of the last table read that is known to have
	// confirmed Version, without the time that the status was in transit; valid
	// if TableAgeKnown is true.
	TableAge      time.Duration
	TableAgeKnown bool
	// StatusAge is the time since the instance reported this; negative if it
	// never did.
	StatusAge time.Duration
	// Mode is its reason for taking or refusing new work; empty if the instance
	// was not queried or did not respond.
	Mode Mode

	address string
}

// InstanceVersions returns the versions that the live instances reported with
// their last probe messages, sorted by name. With many instances a status may
// be minutes old.
func (r *Replica) InstanceVersions() []InstanceVersion {
	var all []InstanceVersion
	for _, lastStatus := range r.membership.Statuses() {
		all = append(all, InstanceVersion{
			Name:          lastStatus.Member.Name,
			FailureDomain: lastStatus.Member.FailureDomain,
			Version:       lastStatus.Status.Version,
			TableAge:      lastStatus.Status.TableAge + max(0, lastStatus.Age),
			TableAgeKnown: lastStatus.Status.TableAgeKnown,
			StatusAge:     lastStatus.Age,
			address:       lastStatus.Member.PeerAddress,
		})
	}
	return all
}

// QueryVersions requests the versions of all live instances and falls back to
// InstanceVersions for those that do not respond. Unlike InstanceVersions it
// costs one request per instance; it is meant for operators' queries.
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

// applyResponse replaces the reported values with those of a response just
// received.
func (v *InstanceVersion) applyResponse(response versionResponse) {
	v.Version, v.Mode, v.StatusAge = response.Version, response.Mode, 0
	v.TableAgeKnown = response.TableAgeMillis >= 0
	v.TableAge = time.Duration(max(0, response.TableAgeMillis)) * time.Millisecond
}

// peerVersionResponse is a versionResponse with the address of its sender.
type peerVersionResponse struct {
	versionResponse
	address string
}

// requestVersions sends version requests to the members, at most
// maxConcurrentVersionRequests at a time, and returns the responses received.
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
