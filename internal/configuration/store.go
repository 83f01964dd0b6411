package configuration

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/hibiscuspost/hibiscuspost/internal/backoff"
	"github.com/hibiscuspost/hibiscuspost/internal/fault"
	"github.com/hibiscuspost/hibiscuspost/internal/membership"
	"github.com/hibiscuspost/hibiscuspost/internal/platform"
	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

// Limits of an apply.
const (
	// requiredReplicas is how many peers in other failure domains must hold a
	// configuration before it counts as accepted.
	requiredReplicas = 2
	// majorityTimeout bounds the wait for contact with a majority, and
	// majorityPollInterval is the time between checks.
	majorityTimeout      = 5 * time.Second
	majorityPollInterval = 50 * time.Millisecond
	// replicationTimeout bounds the wait for confirmations of requiredReplicas
	// peers.
	replicationTimeout = 4 * time.Second
	// resolveTimeout bounds the attempts to determine the outcome of a commit
	// whose response was lost.
	resolveTimeout = 10 * time.Second
)

// resolvePolicy is the backoff between attempts to read back the outcome of a
// commit.
var resolvePolicy = backoff.Policy{Base: 50 * time.Millisecond, Max: time.Second}

// Store accepts new configurations.
type Store struct {
	table   platform.TableService
	replica *Replica
}

// NewStore returns a store that distributes accepted configurations through the
// replica, which must be running.
func NewStore(replica *Replica) *Store {
	return &Store{table: replica.table, replica: replica}
}

// attempt is the state of one apply.
type attempt struct {
	baseVersion uint64
	tables      *tables.Tables
	nonce       string
	// writes is the transaction. It expects headRowVersion as the row version
	// of the head row.
	writes         []platform.Write
	headRowVersion platform.Version
}

// Apply makes t the accepted configuration if the currently accepted one has
// the version base, and returns the version of t.
//
// t is accepted once the rows are written and requiredReplicas peers in other
// failure domains hold it; see newConfirmationCount for smaller deployments.
// The error is a ConflictError or ErrUnavailable if t has certainly not been
// accepted, and ErrOutcomeUnknown otherwise. Applying the content of version
// base+1 again while that version is the accepted one repeats only the
// replication.
func (s *Store) Apply(ctx context.Context, base uint64, t tables.Tables) (uint64, error) {
	if !s.awaitMajority(ctx) {
		return 0, unavailableError(errors.New("this instance hears from no majority of the instances known"))
	}
	t.Version = base + 1
	t.Hash = contentHash(&t)
	h, rowVersion, err := readHead(ctx, s.table)
	if err != nil {
		return 0, unavailableError(err)
	}
	if h.Version == t.Version && h.Hash == t.Hash {
		return s.replicate(ctx, &t)
	}
	if h.Version != base {
		return 0, conflictError(base, h.Version)
	}
	a, err := newAttempt(base, &t, h, rowVersion)
	if err != nil {
		return 0, fault.At(fault.StepApply, "", err)
	}
	if err := s.commit(ctx, a); err != nil {
		return 0, err
	}
	return s.replicate(ctx, &t)
}

// awaitMajority waits up to majorityTimeout for contact with a majority, which
// an instance that has just started does not have yet.
func (s *Store) awaitMajority(ctx context.Context) bool {
	deadline := s.replica.clock.Now().Add(majorityTimeout)
	for !s.replica.hasMajority() {
		if !s.replica.clock.Now().Before(deadline) || backoff.Sleep(ctx, s.replica.clock, majorityPollInterval) != nil {
			return false
		}
	}
	return true
}

// unavailableError returns ErrUnavailable with its reason. It also matches
// platform.ErrUnavailable.
func unavailableError(reason error) error {
	err := errors.WithMessage(errors.WithSecondaryError(ErrUnavailable, reason), reason.Error())
	return fault.At(fault.StepApply, "", errors.Mark(err, platform.ErrUnavailable))
}

func conflictError(base, current uint64) error {
	return fault.At(fault.StepApply, "", &ConflictError{Base: base, Current: current})
}

func newAttempt(base uint64, t *tables.Tables, h headRow, rowVersion platform.Version) (*attempt, error) {
	nonce := newNonce()
	headValue, err := json.Marshal(h.successor(t, nonce))
	if err != nil {
		return nil, err
	}
	bodyValue, err := json.Marshal(bodyRow{Nonce: nonce, Tables: *t})
	if err != nil {
		return nil, err
	}
	return &attempt{
		baseVersion: base, tables: t, nonce: nonce, headRowVersion: rowVersion,
		writes: []platform.Write{
			{Key: HeadKey, ExpectedVersion: rowVersion, Value: headValue},
			{Key: BodyKey, ExpectedVersion: platform.AnyVersion, Value: bodyValue},
		},
	}, nil
}

// commit writes the rows. It returns nil if they have certainly been written by
// this attempt.
func (s *Store) commit(ctx context.Context, a *attempt) error {
	err := s.table.Commit(ctx, a.writes)
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &conflict):
		return s.resolveConflict(ctx, a)
	case errors.Is(err, platform.ErrUnavailable):
		return unavailableError(err)
	default:
		return s.resolveOutcome(ctx, a)
	}
}

// resolveConflict returns a ConflictError with the version of the competing
// apply.
func (s *Store) resolveConflict(ctx context.Context, a *attempt) error {
	h, _, err := readHead(ctx, s.table)
	if err != nil {
		// The transaction had no effect, so the current version is at least
		// the one after the base.
		return conflictError(a.baseVersion, a.baseVersion+1)
	}
	return conflictError(a.baseVersion, h.Version)
}

// resolveOutcome determines the outcome of a commit whose response was lost by
// reading the head row back. While the head row is unchanged, the commit is
// repeated with the same expected row version. At most one of the two takes
// effect, and neither can take effect after another write has.
func (s *Store) resolveOutcome(ctx context.Context, a *attempt) error {
	deadline := s.replica.clock.Now().Add(resolveTimeout)
	waits := s.replica.newBackoff(resolvePolicy)
	for s.replica.clock.Now().Before(deadline) {
		resolved, err := s.tryResolveOutcome(ctx, a)
		if resolved {
			return err
		}
		if backoff.Sleep(ctx, s.replica.clock, waits.Next()) != nil {
			break
		}
	}
	return fault.At(fault.StepApply, "", ErrOutcomeUnknown)
}

// tryResolveOutcome makes one attempt of resolveOutcome. It returns false if
// the outcome is still open.
func (s *Store) tryResolveOutcome(ctx context.Context, a *attempt) (resolved bool, err error) {
	h, rowVersion, err := readHead(ctx, s.table)
	if err != nil {
		return false, nil
	}
	if rowVersion == a.headRowVersion {
		return s.table.Commit(ctx, a.writes) == nil, nil
	}
	nonce, ok := h.nonceOf(a.tables.Version)
	switch {
	case !ok:
		return true, fault.At(fault.StepApply, "", ErrOutcomeUnknown)
	case nonce == a.nonce:
		return true, nil
	default:
		return true, conflictError(a.baseVersion, h.Version)
	}
}

// replicate installs a written configuration, pushes it to the peers and waits
// until enough of them confirm.
func (s *Store) replicate(ctx context.Context, t *tables.Tables) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, replicationTimeout)
	defer cancel()
	s.replica.install(t, "apply")
	view := s.replica.membership.View()
	order := pushOrder(view.Self, s.replica.shuffledPeers())
	confirmations := newConfirmationCount(view.Self, order)
	if s.replica.pushToAll(ctx, t, order, confirmations) {
		return t.Version, nil
	}
	err := errors.WithMessage(ErrOutcomeUnknown, "written, but too few peers confirmed that they hold it")
	return t.Version, fault.At(fault.StepApply, "", err)
}

// contentHash returns a hash of the routes and pools, without version and hash.
func contentHash(t *tables.Tables) string {
	content := tables.Tables{Routes: t.Routes, Pools: t.Pools}
	encoded, err := json.Marshal(content)
	if err != nil {
		// The table types can always be encoded.
		panic(err)
	}
	return fmt.Sprintf("%016x", xxhash.Sum64(encoded))
}

// confirmationCount counts the peers that confirm to hold a configuration.
type confirmationCount struct {
	// remote holds the peer addresses in other failure domains than this
	// instance's.
	remote map[string]bool
	// remoteMissing and localMissing are how many confirmations are still
	// missing from other failure domains and from this instance's own.
	remoteMissing int
	localMissing  int
	confirmed     map[string]bool
}

// newConfirmationCount requires confirmations from requiredReplicas peers in
// other failure domains. If there are fewer such peers, it requires those of
// all of them and of as many peers in the same failure domain as exist, up to
// requiredReplicas in all.
func newConfirmationCount(self membership.Member, peers []membership.Member) *confirmationCount {
	c := &confirmationCount{remote: make(map[string]bool), confirmed: make(map[string]bool)}
	for _, m := range peers {
		if m.FailureDomain != self.FailureDomain {
			c.remote[m.PeerAddress] = true
		}
	}
	c.remoteMissing = min(requiredReplicas, len(c.remote))
	c.localMissing = min(requiredReplicas-c.remoteMissing, len(peers)-len(c.remote))
	return c
}

// add records a confirmation; a repeated one has no effect.
func (c *confirmationCount) add(address string) {
	if c.confirmed[address] {
		return
	}
	c.confirmed[address] = true
	if c.remote[address] {
		c.remoteMissing--
	} else {
		c.localMissing--
	}
}

func (c *confirmationCount) complete() bool { return c.remoteMissing <= 0 && c.localMissing <= 0 }
