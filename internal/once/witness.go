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
	// vouchMethod asks a witness whether it has ceded a lease.
	vouchMethod = "once.vouch"
	// cedeMethod asks a witness to cede a lease.
	cedeMethod = "once.cede"
	// maxCessions bounds the leases remembered as ceded. Beyond it the witness
	// vouches for nobody.
	maxCessions = 4096
)

// errNotWitness refuses a question meant for an earlier process of this name,
// whose memory is gone.
var errNotWitness = errors.New("not the witness: another process of its name")

// leaseParams names a lease at a version, and the witness that is meant.
type leaseParams struct {
	Lease   string           `json:"lease"`
	Version platform.Version `json:"version"`
	Process uint64           `json:"process"`
}

type vouchResult struct {
	Vouched bool `json:"vouched"`
}

// cessions are the leases that this instance, as their witness, has ceded.
type cessions struct {
	// mu guards the fields below.
	mu sync.Mutex
	// versions holds the highest ceded version of each lease.
	versions map[string]platform.Version
	full     bool
}

func newCessions() *cessions { return &cessions{versions: make(map[string]platform.Version)} }

func (c *cessions) add(lease string, version platform.Version) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.versions) >= maxCessions {
		c.full = true
		return
	}
	c.versions[lease] = max(c.versions[lease], version)
}

// vouches tells whether the lease, renewed up to the version, is not ceded.
func (c *cessions) vouches(lease string, version platform.Version) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	ceded, known := c.versions[lease]
	return !c.full && (!known || version > ceded)
}

func (s *Shards) handleVouch(_ context.Context, _ string, raw json.RawMessage) (any, error) {
	params, err := s.decodeLease(raw)
	if err != nil {
		return nil, err
	}
	return vouchResult{s.ceded.vouches(params.Lease, params.Version)}, nil
}

func (s *Shards) handleCede(_ context.Context, _ string, raw json.RawMessage) (any, error) {
	params, err := s.decodeLease(raw)
	if err != nil {
		return nil, err
	}
	s.ceded.add(params.Lease, params.Version)
	return struct{}{}, nil
}

func (s *Shards) decodeLease(raw json.RawMessage) (leaseParams, error) {
	var params leaseParams
	if err := json.Unmarshal(raw, &params); err != nil {
		return params, fault.At(fault.StepPeer, "", err)
	}
	if params.Process != s.options.Viewer.View().Self.ProcessID() {
		return params, errNotWitness
	}
	return params, nil
}

// askWitnesses extends a lease whose renewal is overdue by vouchLead. All
// witnesses must vouch. Run calls it every VouchEvery.
func (s *Shards) askWitnesses(ctx context.Context) {
	g, asked := s.grip.Load(), s.options.Clock.Now()
	age := asked.Sub(g.renewed)
	if len(g.rows) == 0 || len(g.witnesses) == 0 || age < g.ttl/2+vouchLead || age > OutageLimit-LeaseTTL {
		return
	}
	ctx, cancel := clockwork.WithTimeout(ctx, s.options.Clock, VouchTTL-VouchMargin)
	defer cancel()
	group := pool.New().WithErrors().WithContext(ctx)
	for _, w := range g.witnesses {
		group.Go(func(ctx context.Context) error { return s.askOne(ctx, g, w) })
	}
	if group.Wait() != nil {
		return
	}
	s.update(func(now *grip) {
		if now.lease == g.lease {
			now.vouched = asked.Add(VouchTTL - VouchMargin)
		}
	})
}

func (s *Shards) askOne(ctx context.Context, g *grip, w witness) error {
	var result vouchResult
	params := leaseParams{Lease: g.lease, Version: g.version, Process: w.Process}
	if err := s.options.Bus.Call(ctx, w.PeerAddress, vouchMethod, params, &result); err != nil {
		return err
	}
	if !result.Vouched {
		return fault.At(fault.StepPeer, w.Name, errors.New("lease ceded"))
	}
	return nil
}

// askToCede asks the witnesses in turn until one cedes.
func (s *Shards) askToCede(ctx context.Context, lease string, watched *watchedLease) bool {
	for _, w := range watched.row.Witnesses {
		if s.askOneToCede(ctx, lease, watched.version, w) == nil {
			watched.cededAt = s.options.Clock.Now()
			return true
		}
	}
	return false
}

func (s *Shards) askOneToCede(ctx context.Context, lease string, version platform.Version, w witness) error {
	self := s.options.Viewer.View().Self
	if w.Name == self.Name {
		if w.Process != self.ProcessID() {
			return errNotWitness
		}
		s.ceded.add(lease, version)
		return nil
	}
	ctx, cancel := clockwork.WithTimeout(ctx, s.options.Clock, time.Second)
	defer cancel()
	params := leaseParams{Lease: lease, Version: version, Process: w.Process}
	return s.options.Bus.Call(ctx, w.PeerAddress, cedeMethod, params, nil)
}
