package node

import (
	"context"
	"encoding/json"
	"maps"
	"sync/atomic"

	"go.uber.org/zap"

	"github.com/hibiscuspost/hibiscuspost/internal/catalog"
	"github.com/hibiscuspost/hibiscuspost/internal/eventlog"
)

// methodTraits requests the traits of services.
const methodTraits = "service_traits"

// serviceTraits are the traits of services, by name, of a version of the configuration. They
// are immutable. The message between instances has the same form.
type serviceTraits struct {
	Version uint64                           `json:"version"`
	Traits  map[string]catalog.ServiceTraits `json:"traits,omitempty"`
}

// traitsHolder holds the traits of the newest known version.
type traitsHolder struct{ pointer atomic.Pointer[serviceTraits] }

func (h *traitsHolder) current() *serviceTraits {
	if t := h.pointer.Load(); t != nil {
		return t
	}
	return &serviceTraits{}
}

// adopt replaces the traits by those of a newer version. It reports whether they differ.
func (h *traitsHolder) adopt(next *serviceTraits) bool {
	for {
		known := h.pointer.Load()
		if known != nil && next.Version <= known.Version {
			return false
		}
		if h.pointer.CompareAndSwap(known, next) {
			return known == nil && len(next.Traits) > 0 || known != nil && !maps.Equal(known.Traits, next.Traits)
		}
	}
}

// adoptTraits puts the traits of a version of the configuration in force.
func (n *Node) adoptTraits(next *serviceTraits, source string) {
	if !n.traits.adopt(next) {
		return
	}
	n.logger.Info("traits of services in force", zap.Uint64("config", next.Version), zap.Int("services", len(next.Traits)), zap.String("source", source))
	n.targetsMu.Lock()
	defer n.targetsMu.Unlock()
	n.reuseTargets()
}

// handleTraitsVersion has the traits fetched from an instance that has newer ones. They are
// not part of the configuration that instances pass on, since earlier builds share its
// digest.
func (n *Node) handleTraitsVersion(from string, m *message) {
	var version uint64
	if err := m.addition(additionTraits, &version); err != nil {
		n.counters.DecodeErrors.Add(1)
		return
	}
	if version <= n.traits.current().Version {
		return
	}
	select {
	case n.newerTraitsAt <- from:
	default:
	}
}

// handleTraitsRequest sends the known traits.
func (n *Node) handleTraitsRequest(context.Context, string, json.RawMessage) (any, error) {
	return n.traits.current(), nil
}

// fetchTraits receives the traits from another instance.
func (n *Node) fetchTraits(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var response serviceTraits
	if err := n.bus.Call(ctx, address, methodTraits, nil, &response); err != nil {
		n.logger.Warn("cannot fetch traits of services from peer", zap.String("from", address), eventlog.ErrorField(err))
		return
	}
	n.adoptTraits(&response, address)
}
