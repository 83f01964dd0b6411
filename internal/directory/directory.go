// Package directory keeps the usable targets of each pool.
//
// The targets of a pool are those of the operators' configuration together with
// those that the platform's instance list shows under the pool's label. Whether a
// target is leaving is known from the list, from the target's own responses or
// from another instance. Leaving is announced to all instances by a rumor, and
// they stop using the target without further agreement, since a target that is
// leaving never becomes usable again. A target counts as the same as long as
// its address has the same name in the list and in the configuration. A
// replacement at a reused address is therefore a new target.
//
// Directory merges the sources into one immutable snapshot, which readers load
// without a lock and which each change replaces. Entry is one target of a pool
// with its state.
package directory

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/hibiscuspost/hibiscuspost/internal/membership"
	"github.com/hibiscuspost/hibiscuspost/internal/platform"
	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

// Options configure a Directory.
type Options struct {
	// Config returns the current configuration. Call Refresh when it
	// changes.
	Config func() *tables.Tables
	// List is the platform's instance list; nil if there is none.
	List platform.InstanceList
	// Rumors disseminates which targets are leaving.
	Rumors membership.Rumors
	// Clock defaults to the real clock.
	Clock clockwork.Clock
	// Rand randomizes the times of list reads; it defaults to a randomly seeded
	// source.
	Rand *rand.Rand
	// Logger logs state changes; nil discards them.
	Logger *zap.Logger
}

// Entry is one target of a pool, usable or not.
type Entry struct {
	tables.Target
	// Leaving is true if the target takes no new work.
	Leaving bool
	// Listed is true if the platform's list contains the target's address.
	Listed bool
}

// snapshot is an immutable state of the directory.
type snapshot struct {
	entries map[string][]Entry
	usable  map[string][]tables.Target
}

// Directory merges the configuration, the instance list and rumors.
type Directory struct {
	config func() *tables.Tables
	list   platform.InstanceList
	rumors membership.Rumors
	clock  clockwork.Clock
	logger *zap.Logger

	snapshot atomic.Pointer[snapshot]

	// mu guards the fields below and serializes the building of snapshots.
	mu   sync.Mutex
	rand *rand.Rand
	// listedTargets holds the targets of the last list that could be read, by
	// address.
	listedTargets map[string]platform.ListedInstance
	// listReadAt is the time of that read; zero if there was none.
	listReadAt time.Time
	listeners  []func()
}

// New returns a directory of the configured targets. Call it before the membership
// starts to deliver rumors.
func New(options Options) *Directory {
	d := &Directory{
		config:        options.Config,
		list:          options.List,
		rumors:        options.Rumors,
		clock:         options.Clock,
		logger:        options.Logger,
		rand:          options.Rand,
		listedTargets: make(map[string]platform.ListedInstance),
	}
	if d.clock == nil {
		d.clock = clockwork.NewRealClock()
	}
	if d.logger == nil {
		d.logger = zap.NewNop()
	}
	if d.rand == nil {
		d.rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	d.snapshot.Store(&snapshot{})
	d.rumors.Subscribe(membership.RumorTargetLeaving, func(membership.Rumor) { d.Refresh() })
	d.Refresh()
	return d
}

// Targets returns the usable targets of a pool, sorted by name. The slice must
// not be modified.
func (d *Directory) Targets(pool string) []tables.Target {
	return d.snapshot.Load().usable[pool]
}

// Entries returns all targets of a pool, sorted by name. The slice must not be
// modified.
func (d *Directory) Entries(pool string) []Entry {
	return d.snapshot.Load().entries[pool]
}

// OnChange registers a function that is called after each Refresh, whether or
// not the targets have changed. Register before Run.
func (d *Directory) OnChange(listener func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.listeners = append(d.listeners, listener)
}

// Refresh rebuilds the snapshot. Call it after a change of the configuration.
func (d *Directory) Refresh() {
	d.mu.Lock()
	marks := d.leavingMarks()
	next := &snapshot{entries: make(map[string][]Entry), usable: make(map[string][]tables.Target)}
	for _, pool := range d.config().Pools {
		entries := d.poolEntries(&pool, marks)
		next.entries[pool.Name] = entries
		next.usable[pool.Name] = usableTargets(entries)
	}
	d.snapshot.Store(next)
	listeners := d.listeners
	d.mu.Unlock()
	for _, listener := range listeners {
		listener()
	}
}

// poolEntries merges the configuration and the list into the entries of a pool; d.mu is
// held.
func (d *Directory) poolEntries(pool *tables.Pool, marks map[string]leavingMark) []Entry {
	var entries []Entry
	configuredAddresses := make(map[string]bool)
	for _, target := range pool.Targets {
		configuredAddresses[target.Address] = true
		listed, ok := d.listedTargets[target.Address]
		entries = append(entries, Entry{
			Target:  withListDefaults(target, listed),
			Listed:  ok,
			Leaving: listed.Leaving || marks[target.Address].matches(target.Name, listed.Name),
		})
	}
	for address, listed := range d.listedTargets {
		if listed.Pool != pool.Name || configuredAddresses[address] || !allowsFailureDomain(pool, listed.FailureDomain) {
			continue
		}
		entries = append(entries, Entry{
			Target:  withListDefaults(tables.Target{Name: listed.Name, Address: address}, listed),
			Listed:  true,
			Leaving: listed.Leaving || marks[address].matches("", listed.Name),
		})
	}
	slices.SortFunc(entries, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Address, b.Address))
	})
	return entries
}

// withListDefaults returns the target with the values that the configuration
// omits taken from the list.
func withListDefaults(target tables.Target, listed platform.ListedInstance) tables.Target {
	target.FailureDomain = cmp.Or(target.FailureDomain, listed.FailureDomain)
	target.Version = cmp.Or(target.Version, listed.Version)
	target.Slots = cmp.Or(target.Slots, listed.Slots)
	target.KVTokens = cmp.Or(target.KVTokens, listed.KVTokens)
	return target
}

func allowsFailureDomain(pool *tables.Pool, domain string) bool {
	return len(pool.FailureDomains) == 0 || slices.Contains(pool.FailureDomains, domain)
}

func usableTargets(entries []Entry) []tables.Target {
	var targets []tables.Target
	for _, e := range entries {
		if !e.Leaving {
			targets = append(targets, e.Target)
		}
	}
	return targets
}

// Run reads the list at random intervals until ctx ends, and returns the error
// of ctx.
func (d *Directory) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		readable := d.readList(ctx) == nil
		select {
		case <-ctx.Done():
		case <-d.clock.After(d.nextReadWait(readable)):
		}
	}
	return errors.Wrap(ctx.Err(), "directory")
}
