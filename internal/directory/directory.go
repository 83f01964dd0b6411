// Package directory tells which targets may be used now.
//
// A pool's targets are those of the operators' table together with those that
// the platform's instance list shows under the pool's label. A target that
// leaves is known by the list, by its own answers or from another instance; it
// goes out of use everywhere by rumour, which needs no agreement: leaving is
// never taken back for the same target. A target is the same as long as its
// address has the same name in the list and in the table, so that a
// replacement at a reused address is a new target.
//
// Readers take one immutable snapshot; changes replace it.
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

// Options describe a Directory.
type Options struct {
	// Current returns the configuration in force; call Refresh when it changes.
	Current func() *tables.Tables
	// List is the platform's instance list; nil for none.
	List platform.InstanceList
	// Rumors spread what is leaving.
	Rumors membership.Rumors
	// Clock is the source of time; nil means the real one.
	Clock clockwork.Clock
	// Rand spreads the reads of the list; nil means a seed of the runtime's.
	Rand *rand.Rand
	// Logger takes changes of state; nil discards them.
	Logger *zap.Logger
}

// Entry is one target of a pool, usable or not.
type Entry struct {
	tables.Target
	// Leaving is set when the target takes no new work.
	Leaving bool
	// Listed is set when the platform's list shows it.
	Listed bool
}

// snapshot is one immutable state of the directory.
type snapshot struct {
	entries map[string][]Entry
	usable  map[string][]tables.Target
}

// Directory joins tables, list and rumours.
type Directory struct {
	current func() *tables.Tables
	list    platform.InstanceList
	rumors  membership.Rumors
	clock   clockwork.Clock
	logger  *zap.Logger

	snapshot atomic.Pointer[snapshot]

	// mu guards the fields below and serialises the building of snapshots.
	mu   sync.Mutex
	rand *rand.Rand
	// listed are the targets of the last list that could be read, by address.
	listed map[string]platform.ListedInstance
	// readAt is when that list was read; zero if never.
	readAt    time.Time
	listeners []func()
}

// New returns a directory of the table's targets. Call it before the rumours
// start to arrive.
func New(options Options) *Directory {
	d := &Directory{
		current: options.Current,
		list:    options.List,
		rumors:  options.Rumors,
		clock:   options.Clock,
		logger:  options.Logger,
		rand:    options.Rand,
		listed:  make(map[string]platform.ListedInstance),
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

// Targets returns the usable targets of a pool, by name. The slice must not be
// changed.
func (d *Directory) Targets(pool string) []tables.Target {
	return d.snapshot.Load().usable[pool]
}

// Entries returns all targets of a pool, by name. The slice must not be
// changed.
func (d *Directory) Entries(pool string) []Entry {
	return d.snapshot.Load().entries[pool]
}

// OnChange registers a function called after the targets may have changed.
// Register before Run.
func (d *Directory) OnChange(listener func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.listeners = append(d.listeners, listener)
}

// Refresh builds the snapshot anew, as after a change of the configuration.
func (d *Directory) Refresh() {
	d.mu.Lock()
	marks := d.marks()
	next := &snapshot{entries: make(map[string][]Entry), usable: make(map[string][]tables.Target)}
	for _, pool := range d.current().Pools {
		entries := d.join(&pool, marks)
		next.entries[pool.Name] = entries
		next.usable[pool.Name] = usable(entries)
	}
	d.snapshot.Store(next)
	listeners := d.listeners
	d.mu.Unlock()
	for _, listener := range listeners {
		listener()
	}
}

// join returns the entries of a pool; d.mu is held.
func (d *Directory) join(pool *tables.Pool, marks map[string]mark) []Entry {
	var entries []Entry
	inTable := make(map[string]bool)
	for _, target := range pool.Targets {
		inTable[target.Address] = true
		listed, ok := d.listed[target.Address]
		entries = append(entries, Entry{
			Target:  fill(target, listed),
			Listed:  ok,
			Leaving: listed.Leaving || marks[target.Address].covers(target.Name, listed.Name),
		})
	}
	for address, listed := range d.listed {
		if listed.Pool != pool.Name || inTable[address] || !allowed(pool, listed.FailureDomain) {
			continue
		}
		entries = append(entries, Entry{
			Target:  fill(tables.Target{Name: listed.Name, Address: address}, listed),
			Listed:  true,
			Leaving: listed.Leaving || marks[address].covers("", listed.Name),
		})
	}
	slices.SortFunc(entries, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Address, b.Address))
	})
	return entries
}

// fill takes what the table leaves open from the list.
func fill(target tables.Target, listed platform.ListedInstance) tables.Target {
	target.FailureDomain = cmp.Or(target.FailureDomain, listed.FailureDomain)
	target.Version = cmp.Or(target.Version, listed.Version)
	target.Slots = cmp.Or(target.Slots, listed.Slots)
	target.KVTokens = cmp.Or(target.KVTokens, listed.KVTokens)
	return target
}

func allowed(pool *tables.Pool, domain string) bool {
	return len(pool.FailureDomains) == 0 || slices.Contains(pool.FailureDomains, domain)
}

func usable(entries []Entry) []tables.Target {
	var targets []tables.Target
	for _, e := range entries {
		if !e.Leaving {
			targets = append(targets, e.Target)
		}
	}
	return targets
}

// Run reads the list now and then until ctx ends, and returns why it ended.
func (d *Directory) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		up := d.read(ctx) == nil
		select {
		case <-ctx.Done():
		case <-d.clock.After(d.wait(up)):
		}
	}
	return errors.Wrap(ctx.Err(), "directory")
}
