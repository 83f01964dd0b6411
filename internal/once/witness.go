package once

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc/pool"

	"github.com/hibiscuspost/hibiscuspost/internal/fault"
	"github.com/hibiscuspost/hibiscuspost/internal/platform"
)

const (
	// confirmMethod requests a witness's confirmation that it has not revoked a
	// lease.
	confirmMethod = "once.vouch"
	// revokeMethod requests that a witness revoke a lease.
	revokeMethod = "once.cede"
	// maxRevocations bounds the leases recorded as revoked. Beyond it the
	// witness confirms no lease.
	maxRevocations = 4096
	// revokeTimeout bounds one call of revokeMethod.
	revokeTimeout = time.Second
)

// errOtherProcess rejects a request to an earlier process of this name, whose
// revocations are lost.
var errOtherProcess = errors.New("not the witness: another process of its name")

// leaseParams identifies a lease at a version, and the process of the witness
// that is addressed.
type leaseParams struct {
	LeaseID string           `json:"lease"`
	Version platform.Version `json:"version"`
	Process uint64           `json:"process"`
}

type confirmResult struct {
	Confirmed bool `json:"vouched"`
}

// revocations records the leases that this instance has revoked as their
// witness.
type revocations struct {
	// mu guards the fields below.
	mu sync.Mutex
	// versions holds the highest revoked version of each lease. limitReached is
	// set once a revocation could not be stored; no lease is confirmed from
	// then on.
	versions     map[string]platform.Version
	limitReached bool
}

func newRevocations() *revocations { return &revocations{versions: make(map[string]platform.Version)} }

func (r *revocations) add(leaseID string, version platform.Version) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.versions) >= maxRevocations {
		r.limitReached = true
		return
	}
	r.versions[leaseID] = max(r.versions[leaseID], version)
}

// confirms reports whether the lease has not been revoked at this version or a
// later one.
func (r *revocations) confirms(leaseID string, version platform.Version) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	revoked, known := r.versions[leaseID]
	return !r.limitReached && (!known || version > revoked)
}

func (s *Shards) handleConfirm(_ context.Context, _ string, raw json.RawMessage) (any, error) {
	params, err := s.decodeLeaseParams(raw)
	if err != nil {
		return nil, err
	}
	return confirmResult{s.revocations.confirms(params.LeaseID, params.Version)}, nil
}

func (s *Shards) handleRevoke(_ context.Context, _ string, raw json.RawMessage) (any, error) {
	params, err := s.decodeLeaseParams(raw)
	if err != nil {
		return nil, err
	}
	s.revocations.add(params.LeaseID, params.Version)
	return struct{}{}, nil
}

func (s *Shards) decodeLeaseParams(raw json.RawMessage) (leaseParams, error) {
	var params leaseParams
	if err := json.Unmarshal(raw, &params); err != nil {
		return params, fault.At(fault.StepPeer, "", err)
	}
	if params.Process != s.options.Viewer.View().Self.ProcessID() {
		return params, errOtherProcess
	}
	return params, nil
}

// confirmLease requests confirmations when a renewal is overdue by
// confirmDelay, and extends the lease if all witnesses confirm it. Run calls it
// every ConfirmInterval.
func (s *Shards) confirmLease(ctx context.Context) {
	state, requestedAt := s.state.Load(), s.options.Clock.Now()
	age := requestedAt.Sub(state.renewedAt)
	if len(state.shardVersions) == 0 || len(state.witnesses) == 0 || age < state.ttl/2+confirmDelay || age > MaxTableOutage-MaxLeaseTTL {
		return
	}
	ctx, cancel := clockwork.WithTimeout(ctx, s.options.Clock, ConfirmTTL-ConfirmSafetyMargin)
	defer cancel()
	group := pool.New().WithErrors().WithContext(ctx)
	for _, w := range state.witnesses {
		group.Go(func(ctx context.Context) error { return s.requestConfirmation(ctx, state, w) })
	}
	if group.Wait() != nil {
		return
	}
	s.updateState(func(current *leaseState) {
		if current.leaseID == state.leaseID {
			current.confirmedUntil = requestedAt.Add(ConfirmTTL - ConfirmSafetyMargin)
		}
	})
}

func (s *Shards) requestConfirmation(ctx context.Context, state *leaseState, w witness) error {
	var result confirmResult
	params := leaseParams{LeaseID: state.leaseID, Version: state.version, Process: w.Process}
	if err := s.options.Bus.Call(ctx, w.PeerAddress, confirmMethod, params, &result); err != nil {
		return err
	}
	if !result.Confirmed {
		return fault.At(fault.StepPeer, w.Name, errors.New("witness has revoked the lease"))
	}
	return nil
}

// revokeLease contacts the witnesses one by one until one has revoked the
// lease.
func (s *Shards) revokeLease(ctx context.Context, leaseID string, watched *watchedLease) bool {
	for _, w := range watched.row.Witnesses {
		if s.revokeAt(ctx, leaseID, watched.version, w) == nil {
			watched.revokedAt = s.options.Clock.Now()
			return true
		}
	}
	return false
}

func (s *Shards) revokeAt(ctx context.Context, leaseID string, version platform.Version, w witness) error {
	self := s.options.Viewer.View().Self
	if w.Name == self.Name {
		if w.Process != self.ProcessID() {
			return errOtherProcess
		}
		s.revocations.add(leaseID, version)
		return nil
	}
	ctx, cancel := clockwork.WithTimeout(ctx, s.options.Clock, revokeTimeout)
	defer cancel()
	params := leaseParams{LeaseID: leaseID, Version: version, Process: w.Process}
	return s.options.Bus.Call(ctx, w.PeerAddress, revokeMethod, params, nil)
}
