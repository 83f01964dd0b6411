// Package tables holds the operators' two tables: routes, which say where each
// kind of request goes, and pools, which describe groups of targets. The two
// are joined by the pool's name.
package tables

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
)

// TierCount is the number of tiers; tier 0 is the highest.
const TierCount = 4

// Tier is a request's priority class, 0 (highest) to TierCount-1.
type Tier int

// Duration is a time.Duration written as a string such as "2s".
type Duration time.Duration

// MarshalJSON writes the duration as a string.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON reads a string such as "2s".
func (d *Duration) UnmarshalJSON(text []byte) error {
	var s string
	if err := json.Unmarshal(text, &s); err != nil {
		return errors.Newf("a duration is a string such as \"2s\", not %s", text)
	}
	parsed, err := time.ParseDuration(s)
	if err != nil {
		return errors.Newf("%q is no duration such as \"2s\"", s)
	}
	*d = Duration(parsed)
	return nil
}

// Match tells which requests a route takes. Empty fields match everything.
type Match struct {
	// Path is a path prefix that ends at a segment boundary, as "/v1/chat".
	Path string `json:"path,omitempty"`
	// Model is the request's model name, for engine pools.
	Model string `json:"model,omitempty"`
	// Accounts are client accounts.
	Accounts []string `json:"accounts,omitempty"`
}

// Route sends one kind of request to a pool.
type Route struct {
	Name  string `json:"name"`
	Match Match  `json:"match"`
	// Pool names the pool.
	Pool string `json:"pool"`
	// Tier is the priority, 0 (highest) to 3.
	Tier Tier `json:"tier"`
	// Idempotent allows a request without an idempotency key. Routes that are
	// not idempotent require one.
	Idempotent bool `json:"idempotent"`
	// Deadline bounds the whole request; default 60 s.
	Deadline Duration `json:"deadline,omitempty"`
	// FirstTokenObjective is the goal for the first token; zero means none.
	FirstTokenObjective Duration `json:"first_token,omitempty"`
	// MaxWait bounds the wait for a target; default: the deadline.
	MaxWait Duration `json:"max_wait,omitempty"`
}

// PoolKind tells what the targets of a pool are.
type PoolKind string

// The kinds of pool.
const (
	// KindEngine is a pool of model engines.
	KindEngine PoolKind = "engine"
	// KindService is a pool of plain services.
	KindService PoolKind = "service"
)

// Target is one back end.
type Target struct {
	Name string `json:"name"`
	// Address is "ip:port".
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	// Version is the version that the target runs.
	Version string `json:"version"`
	// Slots bounds the requests that run at once.
	Slots int `json:"slots"`
	// KVTokens bounds the prompt and output tokens held at once; 0 means no
	// bound.
	KVTokens int `json:"kv_tokens,omitempty"`
	// ChecksFencing is set for targets that refuse orders with an old fencing
	// number.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
}

// Pool is a group of targets.
type Pool struct {
	Name string   `json:"name"`
	Kind PoolKind `json:"kind"`
	// FailureDomains are those in which the pool may run; empty means all.
	FailureDomains []string `json:"failure_domains,omitempty"`
	// Version is the version that shall serve; a change with a deadline is a
	// move.
	Version string `json:"version"`
	// Deadline is when a move must have ended; zero means no move.
	Deadline time.Time `json:"deadline,omitzero"`
	Targets  []Target  `json:"targets"`
}

// Routes is the content of routes.json.
type Routes struct {
	Routes []Route `json:"routes"`
}

// Pools is the content of pools.json.
type Pools struct {
	Pools []Pool `json:"pools"`
}

// Tables is one configuration: both tables with their version.
type Tables struct {
	// Version rises by one with each accepted configuration; 0 is the empty
	// one before the first.
	Version uint64 `json:"version"`
	// Hash is the hash of the content, hexadecimal.
	Hash   string  `json:"hash"`
	Routes []Route `json:"routes"`
	Pools  []Pool  `json:"pools"`
}
