// Package lease gives rare duties to one instance at a time and carries out
// orders to targets under them.
//
// A lease is a row of the platform's table service. Its fencing number rises
// with each new holder and never falls. No wall clock is compared between
// instances: the holder counts its term on its own monotonic clock from just
// before it sent the write, and stops margin early; a successor counts a whole
// term on its own clock from when it first saw the row unchanged. A paused
// holder therefore finds its lease lapsed before it may act again, except for
// a pause between the check and the sending. What is sent then, the late
// order, is refused by targets that check fencing numbers; for the others the
// successor waits out the longest order timeout before it acts, reads the
// state back, and repairs what a late order changed.
package lease

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"

	"github.com/hibiscuspost/hibiscuspost/internal/fault"
	"github.com/hibiscuspost/hibiscuspost/internal/platform"
)

// Times of a lease.
const (
	// Term is how long a lease holds without renewal.
	Term = 10 * time.Second
	// RenewInterval is when its holder should renew.
	RenewInterval = 3 * time.Second
	// safetyMargin is how long before the end of the term the holder stops.
	safetyMargin = 2 * time.Second
	// OrderTimeout is the longest that an order may be under way.
	OrderTimeout = 3 * time.Second
)

// tableName is the name of the leases' tableName.
const tableName = "leases"

// Errors of leases; test with errors.Is.
var (
	// ErrHeld means that another instance holds the lease; see HeldError.
	ErrHeld = errors.New("lease: held by another instance")
	// ErrExpired means that the holder must not act any more.
	ErrExpired = errors.New("lease: lapsed")
	// ErrUnavailable means that the table service cannot be asked.
	ErrUnavailable = errors.New("lease: the table service is unavailable")
)

// HeldError tells who holds a lease.
type HeldError struct {
	// Holder is the instance's name.
	Holder string
	// RetryAfter is how long to wait before the next attempt.
	RetryAfter time.Duration
}

// Error names the holder.
func (e *HeldError) Error() string { return "lease: held by " + e.Holder }

// Is makes the error match ErrHeld.
func (e *HeldError) Is(target error) bool { return target == ErrHeld }

// leaseRecord is the content of a lease's row.
type leaseRecord struct {
	Holder       string `json:"holder"`
	FencingToken uint64 `json:"fence"`
	// Nonce tells one write from all others.
	Nonce string `json:"nonce"`
	// Released is set by a holder that has no order under way.
	Released bool `json:"released,omitempty"`
}

// observation is when a manager first saw a row at its version.
type observation struct {
	version   platform.Version
	firstSeen time.Time
}

// Options describe a Manager.
type Options struct {
	// Table holds the rows.
	Table platform.TableService
	// Holder is this instance's name.
	Holder string
	// Clock is the source of time; nil means the real one.
	Clock clockwork.Clock
}

// Manager acquires leases for one instance.
type Manager struct {
	table  platform.TableService
	holder string
	clock  clockwork.Clock

	// mu guards seen.
	mu       sync.Mutex
	observed map[string]observation
}

// NewManager returns a manager without leases.
func NewManager(options Options) *Manager {
	m := &Manager{
		table: options.Table, holder: options.Holder, clock: options.Clock,
		observed: make(map[string]observation),
	}
	if m.clock == nil {
		m.clock = clockwork.NewRealClock()
	}
	return m
}

// Lease is one term of holding, renewed or not. Its methods may be called from
// several goroutines.
type Lease struct {
	manager      *Manager
	key          platform.Key
	fencingToken uint64
	// actAfter is when the predecessor's orders have ended.
	actAfter time.Time

	// renewMu serialises Renew and Release.
	renewMu sync.Mutex
	// mu guards the fields below.
	mu      sync.Mutex
	version platform.Version
	expires time.Time
}

// Acquire takes the lease if it is free, released or has not been renewed for
// a whole term that this manager has watched. Otherwise the error is a
// HeldError, ErrUnavailable, or one that matches platform.ErrOutcomeUnknown; in
// the last case this instance does not hold it, and a later call finds out.
func (m *Manager) Acquire(ctx context.Context, name string) (*Lease, error) {
	key := platform.Key{Table: tableName, ID: name}
	row, previous, err := m.read(ctx, key)
	if err != nil {
		return nil, err
	}
	now := m.clock.Now()
	available := row.Version == 0 || previous.Released
	if !available {
		if wait := m.observe(name, row.Version, now); wait > 0 {
			return nil, fault.At(fault.StepPlatform, "", &HeldError{Holder: previous.Holder, RetryAfter: wait})
		}
	}
	next := leaseRecord{Holder: m.holder, FencingToken: previous.FencingToken + 1, Nonce: uuid.NewString()}
	version, err := m.write(ctx, key, row.Version, next)
	if err != nil {
		return nil, err
	}
	l := &Lease{manager: m, key: key, fencingToken: next.FencingToken, version: version, expires: now.Add(Term)}
	if !available {
		l.actAfter = m.clock.Now().Add(OrderTimeout)
	}
	return l, nil
}

// observe notes a row held by another and returns how long it is still to be
// watched.
func (m *Manager) observe(name string, version platform.Version, now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	last, ok := m.observed[name]
	if !ok || last.version != version {
		last = observation{version: version, firstSeen: now}
		m.observed[name] = last
	}
	return Term - now.Sub(last.firstSeen)
}

// read returns a row and its content; an absent row has version 0.
func (m *Manager) read(ctx context.Context, key platform.Key) (platform.Row, leaseRecord, error) {
	row, err := m.table.Get(ctx, key)
	if errors.Is(err, platform.ErrNotFound) {
		return platform.Row{Key: key}, leaseRecord{}, nil
	}
	if err != nil {
		return platform.Row{}, leaseRecord{}, unavailableError(err)
	}
	var r leaseRecord
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return platform.Row{}, leaseRecord{}, fault.At(fault.StepPlatform, "", errors.Wrapf(err, "lease %s", key.ID))
	}
	return row, r, nil
}

func unavailableError(err error) error {
	return fault.At(fault.StepPlatform, "", errors.WithSecondaryError(ErrUnavailable, err))
}

// write replaces a row by compare-and-swap and returns its new version. A lost
// answer is settled by reading back the nonce.
func (m *Manager) write(ctx context.Context, key platform.Key, expect platform.Version, r leaseRecord) (platform.Version, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return 0, err
	}
	err = m.table.Commit(ctx, []platform.Write{{Key: key, Expect: expect, Value: value}})
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		return expect + 1, nil
	case errors.As(err, &conflict):
		return 0, m.heldError(conflict)
	case errors.Is(err, platform.ErrUnavailable):
		return 0, unavailableError(err)
	default:
		return m.resolveOutcome(ctx, key, r, err)
	}
}

// heldError names the holder that came first.
func (m *Manager) heldError(conflict *platform.ConflictError) error {
	held := &HeldError{RetryAfter: Term}
	var r leaseRecord
	if len(conflict.Rows) > 0 && json.Unmarshal(conflict.Rows[0].Value, &r) == nil {
		held.Holder = r.Holder
	}
	return fault.At(fault.StepPlatform, "", held)
}

func (m *Manager) resolveOutcome(ctx context.Context, key platform.Key, written leaseRecord, cause error) (platform.Version, error) {
	row, found, err := m.read(ctx, key)
	switch {
	case err != nil:
		return 0, fault.At(fault.StepPlatform, "", cause)
	case found.Nonce == written.Nonce:
		return row.Version, nil
	case found.FencingToken >= written.FencingToken && found.Holder != m.holder:
		return 0, fault.At(fault.StepPlatform, "", &HeldError{Holder: found.Holder, RetryAfter: Term})
	default:
		// The write may still arrive; whoever holds the lease by it does not
		// know so and does not act.
		return 0, fault.At(fault.StepPlatform, "", cause)
	}
}

// FencingToken returns the fencing number; it does not change with renewals.
func (l *Lease) FencingToken() uint64 { return l.fencingToken }

// Check returns nil if the holder may act now, else ErrLapsed. Call it before
// each step.
func (l *Lease) Check() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.manager.clock.Now().Add(safetyMargin).Before(l.expires) {
		return nil
	}
	return ErrExpired
}

// ActAfter is the earliest time for the first order: by then each order of the
// predecessor has arrived or failed.
func (l *Lease) ActAfter() time.Time { return l.actAfter }

// Renew extends the lease by a term from now. After ErrLapsed or ErrHeld it is
// lost; after any other error it runs on to its end, and Renew may be repeated.
func (l *Lease) Renew(ctx context.Context) error {
	return l.update(ctx, false)
}

// Release gives the lease up, so that a successor need not wait. Call it only
// when no order is under way.
func (l *Lease) Release(ctx context.Context) error {
	return l.update(ctx, true)
}

func (l *Lease) update(ctx context.Context, release bool) error {
	l.renewMu.Lock()
	defer l.renewMu.Unlock()
	if err := l.Check(); err != nil {
		return err
	}
	l.mu.Lock()
	expect := l.version
	l.mu.Unlock()
	started := l.manager.clock.Now()
	r := leaseRecord{Holder: l.manager.holder, FencingToken: l.fencingToken, Nonce: uuid.NewString(), Released: release}
	if release {
		// Even if the answer is lost, the holder acts no more.
		l.expire()
	}
	version, err := l.manager.write(ctx, l.key, expect, r)
	if errors.Is(err, ErrHeld) {
		return l.resolveRenewConflict(ctx, err)
	}
	if err != nil || release {
		return err
	}
	l.setExpiry(version, started)
	return nil
}

// resolveRenewConflict settles a conflict with an earlier renewal of this holder whose
// answer was lost and which arrived late.
func (l *Lease) resolveRenewConflict(ctx context.Context, conflict error) error {
	row, found, err := l.manager.read(ctx, l.key)
	if err == nil && found.Holder == l.manager.holder && found.FencingToken == l.fencingToken && !found.Released {
		// The row was written after the present term began, and no successor
		// has watched it for longer than that: only the version is taken.
		l.mu.Lock()
		defer l.mu.Unlock()
		l.version = row.Version
		return fault.At(fault.StepPlatform, "", errors.Wrap(platform.ErrOutcomeUnknown, "lease: renewal overtaken"))
	}
	if err == nil {
		l.expire()
	}
	return conflict
}

func (l *Lease) setExpiry(version platform.Version, termStart time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.version = version
	l.expires = termStart.Add(Term)
}

// expire makes Check fail from now on.
func (l *Lease) expire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expires = time.Time{}
}
