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
	// RenewEvery is when its holder should renew.
	RenewEvery = 3 * time.Second
	// margin is how long before the end of the term the holder stops.
	margin = 2 * time.Second
	// OrderTimeout is the longest that an order may be under way.
	OrderTimeout = 3 * time.Second
)

// table is the name of the leases' table.
const table = "leases"

// Errors of leases; test with errors.Is.
var (
	// ErrHeld means that another instance holds the lease; see HeldError.
	ErrHeld = errors.New("lease: held by another instance")
	// ErrLapsed means that the holder must not act any more.
	ErrLapsed = errors.New("lease: lapsed")
	// ErrUnavailable means that the table service cannot be asked.
	ErrUnavailable = errors.New("lease: the table service is unavailable")
)

// HeldError tells who holds a lease.
type HeldError struct {
	// Holder is the instance's name.
	Holder string
	// Wait is how long to wait before the next attempt.
	Wait time.Duration
}

// Error names the holder.
func (e *HeldError) Error() string { return "lease: held by " + e.Holder }

// Is makes the error match ErrHeld.
func (e *HeldError) Is(target error) bool { return target == ErrHeld }

// record is the content of a lease's row.
type record struct {
	Holder string `json:"holder"`
	Fence  uint64 `json:"fence"`
	// Nonce tells one write from all others.
	Nonce string `json:"nonce"`
	// Released is set by a holder that has no order under way.
	Released bool `json:"released,omitempty"`
}

// sighting is when a manager first saw a row at its version.
type sighting struct {
	version platform.Version
	since   time.Time
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
	mu   sync.Mutex
	seen map[string]sighting
}

// NewManager returns a manager without leases.
func NewManager(options Options) *Manager {
	m := &Manager{
		table: options.Table, holder: options.Holder, clock: options.Clock,
		seen: make(map[string]sighting),
	}
	if m.clock == nil {
		m.clock = clockwork.NewRealClock()
	}
	return m
}

// Lease is one term of holding, renewed or not. Its methods may be called from
// several goroutines.
type Lease struct {
	manager *Manager
	key     platform.Key
	fence   uint64
	// actAfter is when the predecessor's orders have ended.
	actAfter time.Time

	// renewing serialises Renew and Release.
	renewing sync.Mutex
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
	key := platform.Key{Table: table, ID: name}
	row, old, err := m.read(ctx, key)
	if err != nil {
		return nil, err
	}
	now := m.clock.Now()
	free := row.Version == 0 || old.Released
	if !free {
		if wait := m.watch(name, row.Version, now); wait > 0 {
			return nil, fault.At(fault.StepPlatform, "", &HeldError{Holder: old.Holder, Wait: wait})
		}
	}
	next := record{Holder: m.holder, Fence: old.Fence + 1, Nonce: uuid.NewString()}
	version, err := m.write(ctx, key, row.Version, next)
	if err != nil {
		return nil, err
	}
	l := &Lease{manager: m, key: key, fence: next.Fence, version: version, expires: now.Add(Term)}
	if !free {
		l.actAfter = m.clock.Now().Add(OrderTimeout)
	}
	return l, nil
}

// watch notes a row held by another and returns how long it is still to be
// watched.
func (m *Manager) watch(name string, version platform.Version, now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	seen, ok := m.seen[name]
	if !ok || seen.version != version {
		seen = sighting{version: version, since: now}
		m.seen[name] = seen
	}
	return Term - now.Sub(seen.since)
}

// read returns a row and its content; an absent row has version 0.
func (m *Manager) read(ctx context.Context, key platform.Key) (platform.Row, record, error) {
	row, err := m.table.Get(ctx, key)
	if errors.Is(err, platform.ErrNotFound) {
		return platform.Row{Key: key}, record{}, nil
	}
	if err != nil {
		return platform.Row{}, record{}, unavailable(err)
	}
	var r record
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return platform.Row{}, record{}, fault.At(fault.StepPlatform, "", errors.Wrapf(err, "lease %s", key.ID))
	}
	return row, r, nil
}

func unavailable(err error) error {
	return fault.At(fault.StepPlatform, "", errors.WithSecondaryError(ErrUnavailable, err))
}

// write replaces a row by compare-and-swap and returns its new version. A lost
// answer is settled by reading back the nonce.
func (m *Manager) write(ctx context.Context, key platform.Key, expect platform.Version, r record) (platform.Version, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return 0, err
	}
	err = m.table.Commit(ctx, []platform.Write{{Key: key, ExpectedVersion: expect, Value: value}})
	var clash *platform.ConflictError
	switch {
	case err == nil:
		return expect + 1, nil
	case errors.As(err, &clash):
		return 0, m.lost(clash)
	case errors.Is(err, platform.ErrUnavailable):
		return 0, unavailable(err)
	default:
		return m.settle(ctx, key, r, err)
	}
}

// lost names the holder that came first.
func (m *Manager) lost(clash *platform.ConflictError) error {
	held := &HeldError{Wait: Term}
	var r record
	if len(clash.Rows) > 0 && json.Unmarshal(clash.Rows[0].Value, &r) == nil {
		held.Holder = r.Holder
	}
	return fault.At(fault.StepPlatform, "", held)
}

func (m *Manager) settle(ctx context.Context, key platform.Key, r record, cause error) (platform.Version, error) {
	row, found, err := m.read(ctx, key)
	switch {
	case err != nil:
		return 0, fault.At(fault.StepPlatform, "", cause)
	case found.Nonce == r.Nonce:
		return row.Version, nil
	case found.Fence >= r.Fence && found.Holder != m.holder:
		return 0, fault.At(fault.StepPlatform, "", &HeldError{Holder: found.Holder, Wait: Term})
	default:
		// The write may still arrive; whoever holds the lease by it does not
		// know so and does not act.
		return 0, fault.At(fault.StepPlatform, "", cause)
	}
}

// Fence returns the fencing number; it does not change with renewals.
func (l *Lease) Fence() uint64 { return l.fence }

// Check returns nil if the holder may act now, else ErrLapsed. Call it before
// each step.
func (l *Lease) Check() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.manager.clock.Now().Add(margin).Before(l.expires) {
		return nil
	}
	return ErrLapsed
}

// ActAfter is the earliest time for the first order: by then each order of the
// predecessor has arrived or failed.
func (l *Lease) ActAfter() time.Time { return l.actAfter }

// Renew extends the lease by a term from now. After ErrLapsed or ErrHeld it is
// lost; after any other error it runs on to its end, and Renew may be repeated.
func (l *Lease) Renew(ctx context.Context) error {
	return l.rewrite(ctx, false)
}

// Release gives the lease up, so that a successor need not wait. Call it only
// when no order is under way.
func (l *Lease) Release(ctx context.Context) error {
	return l.rewrite(ctx, true)
}

func (l *Lease) rewrite(ctx context.Context, release bool) error {
	l.renewing.Lock()
	defer l.renewing.Unlock()
	if err := l.Check(); err != nil {
		return err
	}
	l.mu.Lock()
	expect := l.version
	l.mu.Unlock()
	started := l.manager.clock.Now()
	r := record{Holder: l.manager.holder, Fence: l.fence, Nonce: uuid.NewString(), Released: release}
	if release {
		// Even if the answer is lost, the holder acts no more.
		l.end()
	}
	version, err := l.manager.write(ctx, l.key, expect, r)
	if errors.Is(err, ErrHeld) {
		return l.adoptOwn(ctx, err)
	}
	if err != nil || release {
		return err
	}
	l.extend(version, started)
	return nil
}

// adoptOwn settles a conflict with an earlier renewal of this holder whose
// answer was lost and which arrived late.
func (l *Lease) adoptOwn(ctx context.Context, lost error) error {
	row, found, err := l.manager.read(ctx, l.key)
	if err == nil && found.Holder == l.manager.holder && found.Fence == l.fence && !found.Released {
		// The row was written after the present term began, and no successor
		// has watched it for longer than that: only the version is taken.
		l.mu.Lock()
		defer l.mu.Unlock()
		l.version = row.Version
		return fault.At(fault.StepPlatform, "", errors.Wrap(platform.ErrOutcomeUnknown, "lease: renewal overtaken"))
	}
	if err == nil {
		l.end()
	}
	return lost
}

func (l *Lease) extend(version platform.Version, from time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.version = version
	l.expires = from.Add(Term)
}

// end makes Check fail from now on.
func (l *Lease) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expires = time.Time{}
}
