package node

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/hibiscuspost/hibiscuspost/internal/catalog"
	"github.com/hibiscuspost/hibiscuspost/internal/eventlog"
	"github.com/hibiscuspost/hibiscuspost/internal/quota"
)

const (
	methodQuota = "quota"
	// quotaCallTimeout bounds the request of one charge, quotaGrantTimeout all attempts
	// for it.
	quotaCallTimeout  = 150 * time.Millisecond
	quotaGrantTimeout = 400 * time.Millisecond
	// grantorSkipTime is how long an instance that did not respond is not asked.
	grantorSkipTime = time.Second
)

// quotaRequest asks an instance to take a charge from an account's quota.
type quotaRequest struct {
	Account  string  `json:"account"`
	Priority int     `json:"priority,omitempty"`
	Charge   float64 `json:"charge"`
}

// quotaResponse tells whether the charge was taken, and if not, when it may be.
type quotaResponse struct {
	Granted bool  `json:"granted"`
	WaitMs  int64 `json:"wait_ms,omitempty"`
}

// quotaGate charges the accounts' quotas. It implements gateway.Quota.
//
// The load pattern that it answers is the return of many instances at once, when none
// knows what the others take and callers come back together. Until the instance has
// heard from the others, it has each charge taken by one of them, the account's
// grantor.
type quotaGate struct {
	*Node
	limiter *quota.Limiter
	// Granted, Refused and Fallbacks count the charges that a grantor has taken, those
	// that it has not, and those without a response.
	Granted, Refused, Fallbacks atomic.Uint64

	// membersKnown is closed after the first read of the list of instances.
	membersKnown     chan struct{}
	membersKnownOnce sync.Once

	// mu guards skippedUntil, the times until which instances are not asked.
	mu           sync.Mutex
	skippedUntil map[string]time.Time
}

func newQuotaGate(n *Node, limiter *quota.Limiter) *quotaGate {
	return &quotaGate{Node: n, limiter: limiter, membersKnown: make(chan struct{}), skippedUntil: make(map[string]time.Time)}
}

// Take implements gateway.Quota.
func (g *quotaGate) Take(ctx context.Context, account *catalog.Account, priority int, charge float64) (ok bool, wait time.Duration) {
	if account.Rate <= 0 || !g.limiter.IsStarting() {
		return g.limiter.Take(account, priority, charge)
	}
	ctx, cancel := context.WithTimeout(ctx, quotaGrantTimeout)
	defer cancel()
	g.limiter.Track(account)
	g.awaitMembers(ctx)
	for ctx.Err() == nil {
		grantor := g.grantor(account.Name)
		if grantor == g.settings.PeerAddress {
			return g.limiter.TakeForAll(account, priority, charge)
		}
		if grantor == "" {
			break
		}
		response, err := g.request(ctx, grantor, quotaRequest{account.Name, priority, charge})
		if err == nil {
			return g.record(response)
		}
		g.skip(grantor, err)
	}
	g.Fallbacks.Add(1)
	return g.limiter.Take(account, priority, charge)
}

// Refund implements gateway.Quota.
func (g *quotaGate) Refund(account *catalog.Account, charge float64) {
	g.limiter.Refund(account, charge)
}

func (g *quotaGate) record(response quotaResponse) (ok bool, wait time.Duration) {
	if response.Granted {
		g.Granted.Add(1)
		return true, 0
	}
	g.Refused.Add(1)
	return false, time.Duration(response.WaitMs) * time.Millisecond
}

// awaitMembers waits until the other instances are known, or the context ends.
func (g *quotaGate) awaitMembers(ctx context.Context) {
	select {
	case <-g.membersKnown:
	case <-ctx.Done():
	}
}

// setMembersKnown records that the list of instances has been read.
func (g *quotaGate) setMembersKnown() { g.membersKnownOnce.Do(func() { close(g.membersKnown) }) }

// grantor returns the instance that takes charges for an account: one of the first in
// address order, so that all that know the same instances choose the same.
func (g *quotaGate) grantor(account string) string {
	now := g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	return chooseGrantor(account, g.settings.PeerAddress, g.peers.addresses(), func(address string) bool {
		return now.Before(g.skippedUntil[address])
	})
}

func (g *quotaGate) request(ctx context.Context, grantor string, request quotaRequest) (response quotaResponse, err error) {
	ctx, cancel := context.WithTimeout(ctx, quotaCallTimeout)
	defer cancel()
	err = g.bus.Call(ctx, grantor, methodQuota, request, &response)
	return response, err
}

// skip excludes an instance that did not respond for a while.
func (g *quotaGate) skip(grantor string, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	if now.Before(g.skippedUntil[grantor]) {
		return
	}
	g.skippedUntil[grantor] = now.Add(grantorSkipTime)
	g.logger.Warn("quota grantor does not respond", zap.String("grantor", grantor), eventlog.ErrorField(err))
}

// handleQuotaRequest takes a charge for another instance.
func (n *Node) handleQuotaRequest(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var request quotaRequest
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, errors.Wrap(err, "decode quota request")
	}
	c := n.configuration.Current()
	if c == nil {
		return nil, errors.New("no configuration is known")
	}
	account := c.Account(request.Account)
	if account == nil || request.Charge < 0 {
		return nil, errors.Newf("quota request for account %q and charge %g is not valid", request.Account, request.Charge)
	}
	granted, wait := n.quota.TakeForAll(account, request.Priority, request.Charge)
	return quotaResponse{granted, wait.Milliseconds()}, nil
}
