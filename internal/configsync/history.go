package configsync

import (
	"sync"

	"github.com/hibiscuspost/hibiscuspost/internal/catalog"
)

const (
	// maxChanges and maxChangeBytes bound the changes that are kept. An instance that
	// holds an earlier revision receives all of the configuration.
	maxChanges     = 32
	maxChangeBytes = 4 << 20
	// maxUpdates bounds the encoded updates that are kept for the instances that
	// receive them.
	maxUpdates = 6
)

// History holds the configuration in force and the last changes that led to it, and
// encodes updates for other instances. It is safe for concurrent use.
type History struct {
	// mu guards the fields below.
	mu      sync.Mutex
	current *catalog.Configuration
	// changes lead from one to the next and to current.
	changes []*catalog.Change
	// updates are the last encoded updates, the newest last.
	updates []*Update
}

// Record records the configuration in force and the change that led to it from the
// one before.
func (h *History) Record(current *catalog.Configuration, change *catalog.Change) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.current = current
	if len(h.changes) > 0 && h.changes[len(h.changes)-1].To != change.From {
		h.changes = nil
	}
	if change.From == (catalog.Revision{}) {
		// It is not needed: the configuration itself can be sent as a whole.
		return
	}
	h.changes = append(h.changes, change)
	size := 0
	for i := len(h.changes) - 1; i >= 0; i-- {
		size += h.changes[i].Size()
		if size > maxChangeBytes || len(h.changes)-i > maxChanges {
			h.changes = append([]*catalog.Change(nil), h.changes[i+1:]...)
			break
		}
	}
}

// UpdateFrom returns the update from a revision to the configuration in force; nil if
// there is none yet.
func (h *History) UpdateFrom(from catalog.Revision) (*Update, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.current == nil {
		return nil, nil
	}
	change, err := h.changeFrom(from)
	if err != nil {
		return nil, err
	}
	for _, u := range h.updates {
		if u.From == change.From && u.To == change.To {
			return u, nil
		}
	}
	u, err := NewUpdate(change)
	if err != nil {
		return nil, err
	}
	h.updates = append(h.updates, u)
	if len(h.updates) > maxUpdates {
		h.updates = append([]*Update(nil), h.updates[1:]...)
	}
	return u, nil
}

// changeFrom returns the change from a revision, or from nothing if the changes that
// led from it are not known.
func (h *History) changeFrom(from catalog.Revision) (*catalog.Change, error) {
	for i, change := range h.changes {
		if change.From == from {
			return catalog.Merge(h.changes[i:]), nil
		}
	}
	return h.current.Snapshot()
}

// Update returns a kept update by its ID, or nil.
func (h *History) Update(id uint64) *Update {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, u := range h.updates {
		if u.ID == id {
			return u
		}
	}
	return nil
}
