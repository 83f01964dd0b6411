package catalog

import "sync/atomic"

// Holder holds the configuration in force. During the lifetime of a process the
// version only increases, in whatever order versions arrive.
type Holder struct{ current atomic.Pointer[Configuration] }

// Current returns the configuration in force, or nil before the first one.
func (h *Holder) Current() *Configuration { return h.current.Load() }

// Version returns the version in force, or 0 before the first one.
func (h *Holder) Version() uint64 {
	if c := h.current.Load(); c != nil {
		return c.Version
	}
	return 0
}

// Adopt puts the configuration in force if it is newer, and reports whether it
// is.
func (h *Holder) Adopt(next *Configuration) bool {
	for {
		current := h.current.Load()
		if current != nil && current.Version >= next.Version {
			return false
		}
		if h.current.CompareAndSwap(current, next) {
			return true
		}
	}
}
