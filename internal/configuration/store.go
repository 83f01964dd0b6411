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
	// requiredHolders is how many peers in other failure domains must hold a
	// configuration before it is called accepted.
	requiredHolders = 2
	// contactTimeout bounds the wait for a majority, contactPoll is the time
	// between looks.
	contactTimeout = 5 * time.Second
	contactPoll    = 50 * time.Millisecond
	// confirmTimeout bounds the wait for them.
	confirmTimeout = 4 * time.Second
	// settleTimeout bounds the reading back of a lost answer.
	settleTimeout = 10 * time.Second
)

// settlePolicy spaces the attempts to read a lost answer back.
var settlePolicy = backoff.Policy{Base: 50 * time.Millisecond, Max: time.Second}

// Store accepts configurations.
type Store struct {
	table   platform.TableService
	adopter *Adopter
}

// NewStore returns a store that spreads what it accepts by the adopter, which
// must be running.
func NewStore(adopter *Adopter) *Store {
	return &Store{table: adopter.table, adopter: adopter}
}

// attempt is one apply.
type attempt struct {
	base   uint64
	tables *tables.Tables
	nonce  string
	// writes is the transaction; rowVersion what it expects of the head row.
	writes     []platform.Write
	rowVersion platform.Version
}

// Apply makes t the accepted configuration if the one accepted before has the
// version base, and returns t's version.
//
// It is accepted once the rows are written and two peers in other failure
// domains hold it, or as many as there are. The error is a ConflictError or
// ErrUnavailable if t certainly is not, and ErrOutcomeUnknown otherwise.
// Applying the content that is already in force on top of base confirms it.
func (s *Store) Apply(ctx context.Context, base uint64, t tables.Tables) (uint64, error) {
	if !s.awaitContact(ctx) {
		return 0, unavailable(errors.New("this instance hears from no majority of the instances known"))
	}
	t.Version = base + 1
	t.Hash = contentHash(&t)
	h, rowVersion, err := readHead(ctx, s.table)
	if err != nil {
		return 0, unavailable(err)
	}
	if h.Version == t.Version && h.Hash == t.Hash {
		return s.confirm(ctx, &t)
	}
	if h.Version != base {
		return 0, conflict(base, h.Version)
	}
	a, err := newAttempt(base, &t, h, rowVersion)
	if err != nil {
		return 0, fault.At(fault.StepApply, "", err)
	}
	if err := s.write(ctx, a); err != nil {
		return 0, err
	}
	return s.confirm(ctx, &t)
}

// awaitContact waits a little for a majority, which an instance that has just
// started does not hear yet.
func (s *Store) awaitContact(ctx context.Context) bool {
	deadline := s.adopter.clock.Now().Add(contactTimeout)
	for !s.adopter.inContact() {
		if !s.adopter.clock.Now().Before(deadline) || backoff.Sleep(ctx, s.adopter.clock, contactPoll) != nil {
			return false
		}
	}
	return true
}

// unavailable returns ErrUnavailable with its reason; it is the platform's
// ErrUnavailable too.
func unavailable(reason error) error {
	err := errors.WithMessage(errors.WithSecondaryError(ErrUnavailable, reason), reason.Error())
	return fault.At(fault.StepApply, "", errors.Mark(err, platform.ErrUnavailable))
}

func conflict(base, present uint64) error {
	return fault.At(fault.StepApply, "", &ConflictError{Base: base, Present: present})
}

func newAttempt(base uint64, t *tables.Tables, h head, rowVersion platform.Version) (*attempt, error) {
	nonce := newNonce()
	headValue, err := json.Marshal(h.successor(t, nonce))
	if err != nil {
		return nil, err
	}
	bodyValue, err := json.Marshal(body{Nonce: nonce, Tables: *t})
	if err != nil {
		return nil, err
	}
	return &attempt{
		base: base, tables: t, nonce: nonce, rowVersion: rowVersion,
		writes: []platform.Write{
			{Key: HeadKey, ExpectedVersion: rowVersion, Value: headValue},
			{Key: BodyKey, ExpectedVersion: platform.AnyVersion, Value: bodyValue},
		},
	}, nil
}

// write commits the rows; nil means that they are written.
func (s *Store) write(ctx context.Context, a *attempt) error {
	err := s.table.Commit(ctx, a.writes)
	var clash *platform.ConflictError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &clash):
		return s.settleConflict(ctx, a)
	case errors.Is(err, platform.ErrUnavailable):
		return unavailable(err)
	default:
		return s.settle(ctx, a)
	}
}

// settleConflict names the version that won.
func (s *Store) settleConflict(ctx context.Context, a *attempt) error {
	h, _, err := readHead(ctx, s.table)
	if err != nil {
		// The transaction had no effect, so the present version is at least
		// the one after the base.
		return conflict(a.base, a.base+1)
	}
	return conflict(a.base, h.Version)
}

// settle finds out by reading back what became of a commit whose answer was
// lost. While the head row is as before, the commit is repeated: it expects
// the same row version, so that at most one of both takes effect, and none
// can take effect late once another write has.
func (s *Store) settle(ctx context.Context, a *attempt) error {
	deadline := s.adopter.clock.Now().Add(settleTimeout)
	waits := s.adopter.newBackoff(settlePolicy)
	for s.adopter.clock.Now().Before(deadline) {
		done, err := s.settleOnce(ctx, a)
		if done {
			return err
		}
		if backoff.Sleep(ctx, s.adopter.clock, waits.Next()) != nil {
			break
		}
	}
	return fault.At(fault.StepApply, "", ErrOutcomeUnknown)
}

func (s *Store) settleOnce(ctx context.Context, a *attempt) (done bool, err error) {
	h, rowVersion, err := readHead(ctx, s.table)
	if err != nil {
		return false, nil
	}
	if rowVersion == a.rowVersion {
		return s.table.Commit(ctx, a.writes) == nil, nil
	}
	nonce, ok := h.writer(a.tables.Version)
	switch {
	case !ok:
		return true, fault.At(fault.StepApply, "", ErrOutcomeUnknown)
	case nonce == a.nonce:
		return true, nil
	default:
		return true, conflict(a.base, h.Version)
	}
}

// confirm spreads a written configuration and waits for enough holders.
func (s *Store) confirm(ctx context.Context, t *tables.Tables) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	s.adopter.adopt(t, "apply")
	view := s.adopter.members.View()
	order := pushOrder(view.Self, s.adopter.shuffled())
	count := newHolderCount(view.Self, order)
	if s.adopter.spread(ctx, t, order, count) {
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

// holderCount decides when enough peers hold a configuration.
type holderCount struct {
	// foreign are the addresses in other failure domains than the acceptor's.
	foreign map[string]bool
	// needForeign and needLocal are still to be confirmed.
	needForeign int
	needLocal   int
	seen        map[string]bool
}

func newHolderCount(self membership.Member, others []membership.Member) *holderCount {
	c := &holderCount{foreign: make(map[string]bool), seen: make(map[string]bool)}
	for _, m := range others {
		if m.FailureDomain != self.FailureDomain {
			c.foreign[m.PeerAddress] = true
		}
	}
	c.needForeign = min(requiredHolders, len(c.foreign))
	c.needLocal = min(requiredHolders-c.needForeign, len(others)-len(c.foreign))
	return c
}

// add notes a holder.
func (c *holderCount) add(address string) {
	if c.seen[address] {
		return
	}
	c.seen[address] = true
	if c.foreign[address] {
		c.needForeign--
	} else {
		c.needLocal--
	}
}

func (c *holderCount) enough() bool { return c.needForeign <= 0 && c.needLocal <= 0 }
