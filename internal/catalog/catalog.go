// Package catalog holds what the operator and the targets have declared: one
// immutable configuration with its routes, services, client accounts and
// limits, and the targets that offer to serve them.
//
// A Configuration is compiled once, when it is adopted; requests read it
// through one atomic pointer (Holder) and never see two versions at once.
package catalog

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Kind tells what may be repeated on a route.
type Kind int

// The kinds of route.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Streaming requests are answered by a stream of events; whether they may
	// be repeated is told by Route.Resumable.
	Streaming
)

// String returns the kind's name for logs.
func (k Kind) String() string {
	return [...]string{"non_idempotent", "idempotent", "streaming"}[k]
}

// Share is one service's part of a route's traffic.
type Share struct {
	Service string
	// Weight is relative to the other shares of the route.
	Weight int
}

// Route sends one kind of request to its services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout bounds the whole request, as the operator wants it.
	Timeout time.Duration
	// LatencyObjective is the time to the answer, or to a stream's first event, that
	// counts as good service; 0 means none is stated.
	LatencyObjective time.Duration
	// EventGapObjective is the longest pause between events that counts as good
	// service; 0 means none is stated.
	EventGapObjective time.Duration
	// Priority ranks routes; 0 is the highest.
	Priority int
	// Shares is never empty.
	Shares []Share
	// MaxAttempts bounds the targets that one request may be sent to.
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

// PickService returns the service for a request; u is uniform in [0, 1).
func (r *Route) PickService(u float64) string {
	total := 0
	for _, share := range r.Shares {
		total += share.Weight
	}
	at := u * float64(total)
	for _, share := range r.Shares {
		at -= float64(share.Weight)
		if at < 0 {
			return share.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Service is a group of interchangeable targets.
type Service struct {
	Name string
	// MaxConnections bounds a target's connections from all instances; 0 means
	// that no bound is stated.
	MaxConnections int
	// IsEngine is set for model engines.
	IsEngine bool
	// TokensPerEvent is how many tokens an engine puts into one event of a
	// stream; at least 1.
	TokensPerEvent int
}

// Account is a client account.
type Account struct {
	Name string
	// Priority replaces the route's; nil leaves it.
	Priority *int
	// Rate is the quota in units a second and Burst what may be saved up; a
	// Rate of 0 means no quota.
	Rate, Burst float64
	// CountsTokens makes the unit a token instead of a request.
	CountsTokens bool
	// DefaultTokens is the charge of a request that states no tokens.
	DefaultTokens int
}

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

// Limits bound what callers may send; zero fields set no bound.
type Limits struct {
	MaxHeaderBytes, MaxBodyBytes int
	HeaderTimeout, IdleTimeout   time.Duration
}

// Configuration is one version of what the operator has declared. It must not
// be changed once compiled.
type Configuration struct {
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Accounts []Account
	// APIKeys maps an API key to an index into Accounts.
	APIKeys map[string]int
	Limits  Limits
	// Source is the encoded form that the configuration was decoded from, for
	// instances that cannot read it themselves.
	Source []byte

	byHost map[string][]*Route
}

// Compile prepares the lookup of routes.
func (c *Configuration) Compile() *Configuration {
	c.byHost = make(map[string][]*Route)
	for i := range c.Routes {
		host := strings.ToLower(c.Routes[i].Host)
		c.byHost[host] = append(c.byHost[host], &c.Routes[i])
	}
	for _, routes := range c.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int {
			return cmp.Compare(len(b.Prefix), len(a.Prefix))
		})
	}
	return c
}

// Match returns the route of the host with the longest prefix of the path, or
// nil.
func (c *Configuration) Match(host, path string) *Route {
	host = strings.ToLower(host)
	if at := strings.LastIndexByte(host, ':'); at >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:at]
	}
	for _, route := range c.byHost[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// AccountForKey returns the account that holds the key, or nil.
func (c *Configuration) AccountForKey(key string) *Account {
	i, ok := c.APIKeys[key]
	if !ok {
		return nil
	}
	return &c.Accounts[i]
}

// Target is one running back end. It is immutable.
type Target struct {
	// ID names one incarnation of a target together with Born.
	ID      string
	Service string
	// Address is "ip:port".
	Address       string
	FailureDomain string
	Version       string
	// Slots is how many requests it runs at once.
	Slots int
	// Draining targets take no new work.
	Draining bool
	// Born is the start of the incarnation in Unix milliseconds; 0 when it is
	// not told.
	Born int64
}

// Key tells incarnations of a target apart.
func (t *Target) Key() TargetKey { return TargetKey{t.ID, t.Born} }

// TargetKey is the identity of one incarnation of a target.
type TargetKey struct {
	ID   string
	Born int64
}
