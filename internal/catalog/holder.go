package catalog

import "sync/atomic"

// Holder keeps the configuration in force. Within the life of a process the
// version only rises, whatever the order in which versions are heard of.
type Holder struct{ current atomic.Pointer[Configuration] }

// Current returns the configuration in force, or nil before the first.
func (h *Holder) Current() *Configuration { return h.current.Load() }

// Version returns the version in force; 0 before the first.
func (h *Holder) Version() uint64 {
	if c := h.current.Load(); c != nil {
		return c.Version
	}
	return 0
}

// Adopt puts the configuration in force if it is newer; it reports whether it
// did.
func (h *Holder) Adopt(next *Configuration) bool {
	for {
		old := h.current.Load()
		if old != nil && old.Version >= next.Version {
			return false
		}
		if h.current.CompareAndSwap(old, next) {
			return true
		}
	}
}
