// Package lease assigns infrequent tasks to one instance at a time and carries
// out orders to targets under the lease.
//
// A lease is a row of the platform's table service. Its fencing token increases
// with each new holder and never decreases. No wall-clock times are compared
// between instances: the holder measures its term on its own monotonic clock
// from just before it sent the write, and stops safetyMargin early; a successor
// measures a whole term on its own clock from when it first saw the current row
// version. A paused holder therefore finds its lease expired before it may act
// again, unless the pause falls between the check and the sending of an order.
// An order that is sent after such a pause is late. Targets that check fencing
// tokens reject it; for the others, the successor waits for the longest order
// timeout before it acts, reads the state back, and repairs what a late order
// has changed.
//
// Manager acquires leases, Lease is one that is held, Target is the receiver of
// orders, and Reconciler brings a target into a DesiredState under a lease.
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

// Durations of a lease.
const (
	// Term is how long a lease is valid without renewal.
	Term = 10 * time.Second
	// RenewInterval is how often the holder should renew its lease.
	RenewInterval = 3 * time.Second
	// safetyMargin is how long before the end of the term the holder stops
	// acting.
	safetyMargin = 2 * time.Second
	// OrderTimeout is the longest time that an order may be in transit.
	OrderTimeout = 3 * time.Second
)

// tableName is the name of the table of leases.
const tableName = "leases"

// Errors of leases; test with errors.Is.
var (
	// ErrHeld means that another instance holds the lease; see HeldError.
	ErrHeld = errors.New("lease: held by another instance")
	// ErrExpired means that the lease has expired, and that the holder must not
	// act any more.
	ErrExpired = errors.New("lease: expired")
	// ErrUnavailable means that the table service cannot be reached.
	ErrUnavailable = errors.New("lease: the table service is unavailable")
)

// HeldError reports which instance holds a lease.
type HeldError struct {
	// Holder is the instance's name; empty if it could not be determined.
	Holder string
	// RetryAfter is how long to wait before the next attempt.
	RetryAfter time.Duration
}

// Error implements error.
func (e *HeldError) Error() string { return "lease: held by " + e.Holder }

// Is reports whether target is ErrHeld.
func (e *HeldError) Is(target error) bool { return target == ErrHeld }

// leaseRecord is the content of a lease's row.
type leaseRecord struct {
	Holder       string `json:"holder"`
	FencingToken uint64 `json:"fence"`
	// Nonce identifies the write.
	Nonce string `json:"nonce"`
	// Released is true after a release, when the holder has no order in
	// transit.
	Released bool `json:"released,omitempty"`
}

// observation records when a manager first saw a row at its current version.
type observation struct {
	version   platform.Version
	firstSeen time.Time
}

// Options configure a Manager.
type Options struct {
	// Table holds the rows.
	Table platform.TableService
	// Holder is this instance's name.
	Holder string
	// Clock defaults to the real clock.
	Clock clockwork.Clock
}

// Manager acquires leases for one instance.
type Manager struct {
	table  platform.TableService
	holder string
	clock  clockwork.Clock

	// mu guards observed.
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

// Lease is a lease held by this instance since one acquisition. Its methods are
// safe for concurrent use.
type Lease struct {
	manager      *Manager
	key          platform.Key
	fencingToken uint64
	// actAfter is the time from which no order of the predecessor can be in
	// transit.
	actAfter time.Time

	// renewMu serializes Renew and Release.
	renewMu sync.Mutex
	// mu guards the fields below.
	mu      sync.Mutex
	version platform.Version
	expires time.Time
}

// Acquire acquires the lease if it is free, has been released, or has not been
// renewed for a whole Term during which this manager observed it. Otherwise the
// error is a HeldError, ErrUnavailable, or one that matches
// platform.ErrOutcomeUnknown. In the last case this instance does not hold the
// lease, and a later call determines the outcome.
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

// observe records the version of a row held by another instance, and returns
// how long it must still remain unchanged before the lease can be acquired.
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

// read returns a row and its content. A missing row has version 0.
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
		return platform.Row{}, leaseRecord{}, fault.At(fault.StepPlatform, "", errors.Wrapf(err, "decode row of lease %s", key.ID))
	}
	return row, r, nil
}

func unavailableError(err error) error {
	return fault.At(fault.StepPlatform, "", errors.WithSecondaryError(ErrUnavailable, err))
}

// write replaces a row by compare-and-swap and returns its new version. If the
// response is lost, the outcome is determined by reading back the nonce.
func (m *Manager) write(ctx context.Context, key platform.Key, expect platform.Version, r leaseRecord) (platform.Version, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return 0, err
	}
	err = m.table.Commit(ctx, []platform.Write{{Key: key, ExpectedVersion: expect, Value: value}})
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

// heldError returns a HeldError with the holder whose write came first.
func (m *Manager) heldError(conflict *platform.ConflictError) error {
	held := &HeldError{RetryAfter: Term}
	var r leaseRecord
	if len(conflict.Rows) > 0 && json.Unmarshal(conflict.Rows[0].Value, &r) == nil {
		held.Holder = r.Holder
	}
	return fault.At(fault.StepPlatform, "", held)
}

// resolveOutcome determines the outcome of a write whose response was lost.
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
		// The write may still take effect. This instance would then be the
		// recorded holder, but does not act as one.
		return 0, fault.At(fault.StepPlatform, "", cause)
	}
}

// FencingToken returns the fencing token. It does not change with renewals.
func (l *Lease) FencingToken() uint64 { return l.fencingToken }

// Check returns nil if the holder may act now, else ErrExpired. Call it before
// each action.
func (l *Lease) Check() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.manager.clock.Now().Add(safetyMargin).Before(l.expires) {
		return nil
	}
	return ErrExpired
}

// ActAfter returns the earliest time for the first order. By then each order of
// the predecessor has arrived or failed.
func (l *Lease) ActAfter() time.Time { return l.actAfter }

// Renew extends the lease to a Term from now. After ErrExpired or ErrHeld the
// lease is lost. After any other error it remains valid until its end, and
// Renew may be repeated.
func (l *Lease) Renew(ctx context.Context) error {
	return l.update(ctx, false)
}

// Release gives up the lease, so that a successor need not wait. Call it only
// when no order is in transit.
func (l *Lease) Release(ctx context.Context) error {
	return l.update(ctx, true)
}

// update renews or releases the lease.
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
		// Even if the response is lost, the holder must not act any more.
		l.expire()
	}
	version, err := l.manager.write(ctx, l.key, expect, r)
	if errors.Is(err, ErrHeld) {
		return l.resolveRenewConflict(ctx, err)
	}
	if err != nil || release {
		return err
	}
	l.applyRenewal(version, started)
	return nil
}

// resolveRenewConflict handles a conflict that may be with an earlier renewal
// by this holder whose response was lost and which took effect late.
func (l *Lease) resolveRenewConflict(ctx context.Context, conflict error) error {
	row, found, err := l.manager.read(ctx, l.key)
	if err == nil && found.Holder == l.manager.holder && found.FencingToken == l.fencingToken && !found.Released {
		// The row was written after the current term began, and no successor
		// has observed it for longer than that. Only the version is updated.
		l.mu.Lock()
		defer l.mu.Unlock()
		l.version = row.Version
		return fault.At(fault.StepPlatform, "", errors.Wrap(platform.ErrOutcomeUnknown, "lease: conflict with an earlier renewal"))
	}
	if err == nil {
		l.expire()
	}
	return conflict
}

// applyRenewal records a successful renewal whose term begins at termStart.
func (l *Lease) applyRenewal(version platform.Version, termStart time.Time) {
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
