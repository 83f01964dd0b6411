// Package catalog holds what the operator and the targets have declared: the
// operator's Configuration, with its routes, services, client accounts and
// limits, and the Targets that serve the requests.
//
// A Configuration is immutable. Requests read it through one atomic pointer
// (Holder), so that none sees two versions at once. Versions share what they have in
// common, and a Change leads from one to another: what a new version costs depends
// on what it changes.
package catalog

import (
	"net/netip"
	"strconv"
	"strings"
	"time"
	"unicode"

	"github.com/cockroachdb/errors"
)

// Kind determines whether requests of a route may be retried.
type Kind int

// The kinds of routes.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Streaming requests are answered by a stream of events; Route.Resumable
	// determines whether they may be retried.
	Streaming
)

// String returns the name of the kind. Instances of a later build may send kinds that this one
// does not know.
func (k Kind) String() string {
	names := [...]string{"non_idempotent", "idempotent", "streaming"}
	if k < 0 || int(k) >= len(names) {
		return "kind " + strconv.Itoa(int(k))
	}
	return names[k]
}

// Share is the part of a route's traffic that goes to one service.
type Share struct {
	Service string
	// Weight is relative to the other shares of the route.
	Weight int
}

// Route sends the requests of a host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout bounds the whole request, as configured by the operator.
	Timeout time.Duration
	// LatencyObjective is the objective for the time to the response or to the
	// first event of a stream; 0 means none.
	LatencyObjective time.Duration
	// EventGapObjective is the objective for the longest pause between events; 0
	// means none.
	EventGapObjective time.Duration
	// Priority ranks routes; 0 is the highest.
	Priority int
	// Shares is never empty in a configuration that was checked.
	Shares []Share
	// MaxAttempts bounds the number of targets to which one request is sent.
	MaxAttempts int
	// Anonymous routes need no API key.
	Anonymous bool
	// Resumable streams may be continued by another target.
	Resumable bool
}

// Retryable reports whether a request of the route may run more than once.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || (r.Kind == Streaming && r.Resumable)
}

// PickService returns the service for a request; uniform is a random number,
// uniformly distributed in [0, 1). It is empty if the route has no shares.
func (r *Route) PickService(uniform float64) string {
	if len(r.Shares) == 0 {
		return ""
	}
	total := 0
	for _, share := range r.Shares {
		total += share.Weight
	}
	remaining := uniform * float64(total)
	for _, share := range r.Shares {
		remaining -= float64(share.Weight)
		if remaining < 0 {
			return share.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Service is a group of interchangeable targets.
type Service struct {
	Name string
	// MaxConnections bounds a target's connections from all instances; 0 means
	// no limit.
	MaxConnections int
	// IsEngine is set for inference engines.
	IsEngine bool
	// TokensPerEvent is the number of tokens in one event of an engine's stream;
	// at least 1.
	TokensPerEvent int
}

// ServiceTraits are properties of a service's targets that placement respects. They are not
// part of Service, whose encoding and digest instances of earlier builds share.
type ServiceTraits struct {
	// MemoryTokens is the number of tokens that a target holds for running requests and
	// cached prompts; 0 if unknown.
	MemoryTokens int
	// ColdStart is how long a target is cold after its start, ColdRate the requests a second
	// that a cold target takes from all instances together; 0 means no limit.
	ColdStart time.Duration
	ColdRate  float64
}

// Account is a client account.
type Account struct {
	Name string
	// Priority goes before the route's priority, which ranks requests of equal
	// account priority; nil leaves the route's alone.
	Priority *int
	// Rate is the quota in units per second and Burst the number of units that
	// may accumulate; a Rate of 0 means no quota.
	Rate, Burst float64
	// CountsTokens makes the unit a token instead of a request.
	CountsTokens bool
	// DefaultTokens is charged to requests that do not state their tokens.
	DefaultTokens int
	// APIKeys are the keys with which callers identify themselves as the account.
	APIKeys []string
}

// hasTokenQuota reports whether the account's quota is a rate of tokens.
func (a *Account) hasTokenQuota() bool { return a.CountsTokens && a.Rate > 0 }

// Charge returns how many units of the quota a request takes.
func (a *Account) Charge(tokens int) float64 {
	switch {
	case !a.CountsTokens:
		return 1
	case tokens > 0:
		return float64(tokens)
	default:
		return float64(a.DefaultTokens)
	}
}

// Limits bound what callers may send; a zero field means no limit.
type Limits struct {
	MaxHeaderBytes, MaxBodyBytes int
	HeaderTimeout, IdleTimeout   time.Duration
}

// Target is a running back end. It is immutable.
type Target struct {
	// ID and Born together identify one incarnation of a target.
	ID      string
	Service string
	// Address is "ip:port".
	Address       string
	FailureDomain string
	Version       string
	// Slots is the number of requests that the target runs concurrently.
	Slots int
	// Draining targets take no new requests.
	Draining bool
	// Born is the start of the incarnation in Unix milliseconds; 0 if unknown.
	Born int64
	// SequenceNumber rises with each entry that the incarnation writes; 0 if unknown.
	SequenceNumber int64
	// ColdLeft is how much longer the target was cold when it wrote the entry; 0 if it was
	// not, or if that is not known. It does not identify the entry.
	ColdLeft time.Duration `json:",omitempty"`
	// Limits is set on the targets that are placed, by the instance itself, and is not
	// exchanged.
	Limits TargetLimits `json:"-" msgpack:"-"`
}

// TargetLimits are what placement knows of a target besides its entry in the list. The zero
// value limits nothing.
type TargetLimits struct {
	// MemoryTokens is the number of tokens that the target holds; 0 if unknown.
	MemoryTokens int
	// ColdRate is the requests a second that the target takes from all instances together
	// until ColdUntil.
	ColdRate  float64
	ColdUntil time.Time
	// Evacuated is set if the target drains since its failure domain is evacuated.
	Evacuated bool
}

// maxNameBytes bounds the names that a target states. The operator names services and failure
// domains in keys of the store, which are no longer.
const maxNameBytes = 200

// MaxSlots bounds the slots of a target: a TCP address has no more connections to another.
const MaxSlots = 1<<16 - 1

// Validate returns an error if no target can be as declared. Entries may come from other
// writers than the targets.
func (t *Target) Validate() error {
	if t.Slots <= 0 || t.Slots > MaxSlots {
		return errors.Newf("slots must be from 1 to %d, got %d", MaxSlots, t.Slots)
	}
	if t.ID == "" || !IsHeaderValue(t.ID) {
		return errors.Newf("ID %q cannot stand in a header", t.ID)
	}
	if length := max(len(t.Service), len(t.FailureDomain), len(t.Version)); length > maxNameBytes {
		return errors.Newf("service, failure domain and version must have at most %d bytes, got %d", maxNameBytes, length)
	}
	return ValidateAddress(t.Address)
}

// IsHeaderValue reports whether a text is received as it is if it is sent as the value of a
// header field.
func IsHeaderValue(text string) bool {
	return strings.TrimSpace(text) == text && !strings.ContainsFunc(text, unicode.IsControl)
}

// ValidateAddress returns an error if nothing can listen at an address.
func ValidateAddress(text string) error {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return errors.Wrap(err, "address")
	}
	ip := address.Addr()
	if address.Port() == 0 || ip.IsUnspecified() || ip.IsMulticast() || ip == limitedBroadcast || ip.Zone() != "" {
		return errors.Newf("nothing can listen at address %s", text)
	}
	return nil
}

var limitedBroadcast = netip.AddrFrom4([4]byte{255, 255, 255, 255})

// Key returns the identity of the incarnation.
func (t *Target) Key() TargetKey { return TargetKey{t.ID, t.Born} }

// TargetKey identifies one incarnation of a target.
type TargetKey struct {
	ID   string
	Born int64
}

// String returns a name that is unique among all incarnations.
func (k TargetKey) String() string {
	if k.Born == 0 {
		return k.ID
	}
	return k.ID + "@" + strconv.FormatInt(k.Born, 10)
}
