package target

import (
	"slices"
	"sync"
	"time"
)

// Order is an instruction to an engine.
type Order struct {
	ID    string `json:"id"`
	Fence uint64 `json:"fence"`
	// Kind is "load", "unload", "drain" or "role".
	Kind    string `json:"kind"`
	Version string `json:"version,omitempty"`
	Role    string `json:"role,omitempty"`
}

// EngineState is what an engine tells of its versions and orders.
type EngineState struct {
	Versions []string `json:"versions"`
	Loading  string   `json:"loading"`
	Role     string   `json:"role"`
	Fence    uint64   `json:"fence"`
}

// orderBook carries out orders. A version that was loaded last serves.
type orderBook struct {
	checksFencing bool
	loadTime      time.Duration

	// mu guards the fields below.
	mu        sync.Mutex
	state     EngineState
	loadedAt  time.Time // when the version being loaded is ready
	since     time.Time // when the serving version began
	known     map[string]struct{}
	effective []Order
}

func newOrderBook(o *EngineOptions) *orderBook {
	return &orderBook{
		checksFencing: o.EnforceFencing,
		loadTime:      o.VersionLoadTime,
		state:         EngineState{Versions: []string{o.Version}},
		since:         o.Clock.Now(),
		known:         make(map[string]struct{}),
	}
}

// read returns the state as of now.
func (b *orderBook) read(now time.Time) EngineState {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.settle(now)
	state := b.state
	state.Versions = slices.Clone(state.Versions)
	return state
}

// serving returns the version that serves and since when.
func (b *orderBook) serving(now time.Time) (version string, since time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.settle(now)
	if len(b.state.Versions) == 0 {
		return "", b.since
	}
	return b.state.Versions[len(b.state.Versions)-1], b.since
}

// settle completes a load whose time has come; b.mu is held.
func (b *orderBook) settle(now time.Time) {
	if b.state.Loading == "" || now.Before(b.loadedAt) {
		return
	}
	b.serve(b.state.Loading, b.loadedAt)
	b.state.Loading = ""
}

// serve makes a version the last in the list; b.mu is held.
func (b *orderBook) serve(version string, since time.Time) {
	b.remove(version)
	b.state.Versions = append(b.state.Versions, version)
	b.since = since
}

// remove drops a version; b.mu is held.
func (b *orderBook) remove(version string) {
	b.state.Versions = slices.DeleteFunc(b.state.Versions, func(v string) bool { return v == version })
}

// setVersion makes a version serve at once.
func (b *orderBook) setVersion(version string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.serve(version, now)
}

// outcome tells what an order did.
type outcome int

const (
	orderTaken outcome = iota
	orderKnown
	orderFenced
)

// take carries out an order once.
func (b *orderBook) take(order Order, now time.Time) outcome {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.settle(now)
	if b.checksFencing && order.Fence < b.state.Fence {
		return orderFenced
	}
	b.state.Fence = max(b.state.Fence, order.Fence)
	if _, known := b.known[order.ID]; known {
		return orderKnown
	}
	b.known[order.ID] = struct{}{}
	b.effective = append(b.effective, order)
	b.apply(order, now)
	return orderTaken
}

// apply has the effect of an order; b.mu is held.
func (b *orderBook) apply(order Order, now time.Time) {
	switch order.Kind {
	case "load":
		b.state.Loading = order.Version
		b.loadedAt = now.Add(b.loadTime)
		b.settle(now)
	case "unload":
		b.remove(order.Version)
	case "role":
		b.state.Role = order.Role
	}
}

// AppliedOrders returns the orders that had an effect, in their order.
func (e *Engine) AppliedOrders() []Order {
	e.orders.mu.Lock()
	defer e.orders.mu.Unlock()
	return slices.Clone(e.orders.effective)
}
