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

// Bounds of an apply.
const (
	// requiredReplicas is how many peers in other failure domains must hold a
	// configuration before it is called accepted.
	requiredReplicas = 2
	// majorityTimeout bounds the wait for a majority, contactPoll is the time
	// between looks.
	majorityTimeout      = 5 * time.Second
	majorityPollInterval = 50 * time.Millisecond
	// replicationTimeout bounds the wait for them.
	replicationTimeout = 4 * time.Second
	// resolveTimeout bounds the reading back of a lost answer.
	resolveTimeout = 10 * time.Second
)

// resolvePolicy spaces the attempts to read a lost answer back.
var resolvePolicy = backoff.Policy{Base: 50 * time.Millisecond, Max: time.Second}

// Store accepts configurations.
type Store struct {
	table   platform.TableService
	replica *Replica
}

// NewStore returns a store that spreads what it accepts by the adopter, which
// must be running.
func NewStore(replica *Replica) *Store {
	return &Store{table: replica.table, replica: replica}
}

// attempt is one apply.
type attempt struct {
	baseVersion uint64
	tables      *tables.Tables
	nonce       string
	// writes is the transaction; rowVersion what it expects of the head row.
	writes         []platform.Write
	headRowVersion platform.Version
}

// Apply makes t the accepted configuration if the one accepted before has the
// version base, and returns t's version.
//
// It is accepted once the rows are written and two peers in other failure
// domains hold it, or as many as there are. The error is a ConflictError or
// ErrUnavailable if t certainly is not, and ErrOutcomeUnknown otherwise.
// Applying the content that is already in force on top of base confirms it.
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

// awaitMajority waits a little for a majority, which an instance that has just
// started does not hear yet.
func (s *Store) awaitMajority(ctx context.Context) bool {
	deadline := s.replica.clock.Now().Add(majorityTimeout)
	for !s.replica.hasMajority() {
		if !s.replica.clock.Now().Before(deadline) || backoff.Wait(ctx, s.replica.clock, majorityPollInterval) != nil {
			return false
		}
	}
	return true
}

// unavailableError returns ErrUnavailable with its reason; it is the platform's
// ErrUnavailable too.
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
			{Key: HeadKey, Expect: rowVersion, Value: headValue},
			{Key: BodyKey, Expect: platform.AnyVersion, Value: bodyValue},
		},
	}, nil
}

// commit commits the rows; nil means that they are written.
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

// resolveConflict names the version that won.
func (s *Store) resolveConflict(ctx context.Context, a *attempt) error {
	h, _, err := readHead(ctx, s.table)
	if err != nil {
		// The transaction had no effect, so the present version is at least
		// the one after the base.
		return conflictError(a.baseVersion, a.baseVersion+1)
	}
	return conflictError(a.baseVersion, h.Version)
}

// resolveOutcome finds out by reading back what became of a commit whose answer was
// lost. While the head row is as before, the commit is repeated: it expects
// the same row version, so that at most one of both takes effect, and none
// can take effect late once another write has.
func (s *Store) resolveOutcome(ctx context.Context, a *attempt) error {
	deadline := s.replica.clock.Now().Add(resolveTimeout)
	waits := s.replica.newBackoff(resolvePolicy)
	for s.replica.clock.Now().Before(deadline) {
		resolved, err := s.tryResolveOutcome(ctx, a)
		if resolved {
			return err
		}
		if backoff.Wait(ctx, s.replica.clock, waits.Next()) != nil {
			break
		}
	}
	return fault.At(fault.StepApply, "", ErrOutcomeUnknown)
}

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

// replicate spreads a written configuration and waits for enough holders.
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

// contentHash covers routes and pools.
func contentHash(t *tables.Tables) string {
	content := tables.Tables{Routes: t.Routes, Pools: t.Pools}
	encoded, err := json.Marshal(content)
	if err != nil {
		// The types of the tables always encode.
		panic(err)
	}
	return fmt.Sprintf("%016x", xxhash.Sum64(encoded))
}

// confirmationCount decides when enough peers hold a configuration.
type confirmationCount struct {
	// remote are the addresses in other failure domains than the acceptor's.
	remote map[string]bool
	// remoteMissing and needLocal are still to be confirmed.
	remoteMissing int
	localMissing  int
	confirmed     map[string]bool
}

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

// add notes a holder.
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
