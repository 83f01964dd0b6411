package target

import (
	"slices"
	"sync"
	"time"
)

// Order is a control command for an engine.
type Order struct {
	ID    string `json:"id"`
	Fence uint64 `json:"fence"`
	// Kind is "load", "unload", "drain" or "role".
	Kind    string `json:"kind"`
	Version string `json:"version,omitempty"`
	Role    string `json:"role,omitempty"`
}

// EngineState is the response to GET /state and to an accepted order: the loaded
// versions, the last one serving, and the highest fencing token.
type EngineState struct {
	Versions []string `json:"versions"`
	Loading  string   `json:"loading"`
	Role     string   `json:"role"`
	Fence    uint64   `json:"fence"`
}

// orderExecutor executes orders. The version that was loaded last serves.
type orderExecutor struct {
	enforceFencing  bool
	versionLoadTime time.Duration

	// mu guards the fields below.
	mu            sync.Mutex
	state         EngineState
	loadDoneAt    time.Time // when loading of state.Loading completes
	servingSince  time.Time // when the last version of the list began to serve
	seenOrderIDs  map[string]struct{}
	appliedOrders []Order
}

func newOrderExecutor(options *EngineOptions) *orderExecutor {
	return &orderExecutor{
		enforceFencing:  options.EnforceFencing,
		versionLoadTime: options.VersionLoadTime,
		state:           EngineState{Versions: []string{options.Version}},
		servingSince:    options.Clock.Now(),
		seenOrderIDs:    make(map[string]struct{}),
	}
}

// snapshot returns a copy of the state as of now.
func (x *orderExecutor) snapshot(now time.Time) EngineState {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.completeDueLoad(now)
	state := x.state
	state.Versions = slices.Clone(state.Versions)
	return state
}

// servingVersion returns the serving version, or "" if none is loaded, and the
// time since which it serves.
func (x *orderExecutor) servingVersion(now time.Time) (version string, since time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.completeDueLoad(now)
	if len(x.state.Versions) == 0 {
		return "", x.servingSince
	}
	return x.state.Versions[len(x.state.Versions)-1], x.servingSince
}

// completeDueLoad completes the load of a version once its load time has passed.
// The caller holds x.mu.
func (x *orderExecutor) completeDueLoad(now time.Time) {
	if x.state.Loading == "" || now.Before(x.loadDoneAt) {
		return
	}
	x.setServing(x.state.Loading, x.loadDoneAt)
	x.state.Loading = ""
}

// setServing makes a version the last in the list, which is the serving one. The
// caller holds x.mu.
func (x *orderExecutor) setServing(version string, since time.Time) {
	x.removeVersion(version)
	x.state.Versions = append(x.state.Versions, version)
	x.servingSince = since
}

// removeVersion removes a version from the list. The caller holds x.mu.
func (x *orderExecutor) removeVersion(version string) {
	x.state.Versions = slices.DeleteFunc(x.state.Versions, func(v string) bool { return v == version })
}

// setVersion makes a version the serving version immediately.
func (x *orderExecutor) setVersion(version string, now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.setServing(version, now)
}

// orderOutcome is the outcome of an order.
type orderOutcome int

const (
	orderApplied orderOutcome = iota
	orderDuplicate
	orderFenced // refused because of an old fencing token
)

// execute applies an order unless its ID has been seen before or fencing rejects
// it.
func (x *orderExecutor) execute(order Order, now time.Time) orderOutcome {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.completeDueLoad(now)
	if x.enforceFencing && order.Fence < x.state.Fence {
		return orderFenced
	}
	x.state.Fence = max(x.state.Fence, order.Fence)
	if _, seen := x.seenOrderIDs[order.ID]; seen {
		return orderDuplicate
	}
	x.seenOrderIDs[order.ID] = struct{}{}
	x.appliedOrders = append(x.appliedOrders, order)
	x.apply(order, now)
	return orderApplied
}

// apply changes the state according to an order. The caller holds x.mu.
func (x *orderExecutor) apply(order Order, now time.Time) {
	switch order.Kind {
	case "load":
		x.state.Loading = order.Version
		x.loadDoneAt = now.Add(x.versionLoadTime)
		x.completeDueLoad(now)
	case "unload":
		x.removeVersion(order.Version)
	case "role":
		x.state.Role = order.Role
	}
}

// AppliedOrders returns the orders that were neither duplicates nor fenced, in
// the order in which they were received.
func (e *Engine) AppliedOrders() []Order {
	e.orders.mu.Lock()
	defer e.orders.mu.Unlock()
	return slices.Clone(e.orders.appliedOrders)
}
