// Package tables defines the two configuration tables: Routes, which assigns
// kinds of requests to pools, and Pools, which describes groups of targets. A
// route refers to a pool by its name.
//
// Parse decodes and validates both tables, and Tables.Route finds the route
// for a request.
package tables

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
)

// TierCount is the number of tiers.
const TierCount = 4

// Tier is the priority of a request, from 0 (highest) to TierCount-1.
type Tier int

// Duration is a time.Duration that is encoded as a string such as "2s".
type Duration time.Duration

// MarshalJSON encodes the duration as a string.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON decodes a string such as "2s".
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

// Match selects the requests of a route. Empty fields match all requests.
type Match struct {
	// Path is a path prefix that ends at a segment boundary: "/v1/chat"
	// matches "/v1/chat/completions" and not "/v1/chatter".
	Path string `json:"path,omitempty"`
	// Model is the model name in the request, for pools of engines.
	Model string `json:"model,omitempty"`
	// Accounts lists client accounts.
	Accounts []string `json:"accounts,omitempty"`
}

// Route assigns requests to a pool and sets their priority and time limits.
type Route struct {
	Name  string `json:"name"`
	Match Match  `json:"match"`
	// Pool is the name of the pool.
	Pool string `json:"pool"`
	Tier Tier   `json:"tier"`
	// Idempotent allows requests without an idempotency key. Other routes
	// require one.
	Idempotent bool `json:"idempotent"`
	// Deadline limits the total time of a request; default 60 s.
	Deadline Duration `json:"deadline,omitempty"`
	// FirstTokenObjective is the objective for the time to the first token;
	// zero means none.
	FirstTokenObjective Duration `json:"first_token,omitempty"`
	// MaxWait limits the time in the queue; default: the deadline.
	MaxWait Duration `json:"max_wait,omitempty"`
}

// PoolKind is the kind of the targets of a pool.
type PoolKind string

// The kinds of pool.
const (
	// KindEngine is a pool of inference engines.
	KindEngine PoolKind = "engine"
	// KindService is a pool of other services.
	KindService PoolKind = "service"
)

// Target is one back end of a pool.
type Target struct {
	Name string `json:"name"`
	// Address has the form "ip:port".
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	// Version is the version that the target runs.
	Version string `json:"version"`
	// Slots is the largest number of requests that run concurrently.
	Slots int `json:"slots"`
	// KVTokens limits the prompt and output tokens in the KV cache; 0 means
	// no limit.
	KVTokens int `json:"kv_tokens,omitempty"`
	// ChecksFencing is set for targets that reject orders with an outdated
	// fencing token.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
}

// Pool is a group of targets.
type Pool struct {
	Name string   `json:"name"`
	Kind PoolKind `json:"kind"`
	// FailureDomains lists the failure domains in which the pool may run;
	// empty means all.
	FailureDomains []string `json:"failure_domains,omitempty"`
	// Version is the version to serve; a change together with a deadline
	// starts a move.
	Version string `json:"version"`
	// Deadline is the time by which a move must be complete; zero means no
	// move.
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

// Tables is one version of the configuration.
type Tables struct {
	// Version increases by one with each accepted configuration; 0 is the
	// empty configuration before the first.
	Version uint64 `json:"version"`
	// Hash is the hash of the content in hexadecimal; see ContentHash.
	Hash   string  `json:"hash"`
	Routes []Route `json:"routes"`
	Pools  []Pool  `json:"pools"`
}
