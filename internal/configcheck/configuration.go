// Package configcheck finds errors in a configuration of the users' platform before the
// operator sends it, and shows how it differs from the version in force.
//
// Check is a pure function. Its input holds each field with the operator's name for it;
// package platform fills it from the stored form.
package configcheck

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"unicode/utf8"
)

// Configuration is a version of the configuration as written, with the values that
// instances use.
type Configuration struct {
	Version  Field[uint64]
	Routes   []*Route
	Services []*Service
	Tenants  []*Tenant
	Limits   Limits
	// Refusal is set if instances refuse the document as a whole. No element is read then.
	Refusal *Refusal
}

// Refusal is why instances refuse to decode an element or the whole configuration.
type Refusal struct {
	// Field is the operator's name of the field; "" if it is not known.
	Field, Problem string
}

// Field is a field with the operator's name for it.
type Field[T any] struct {
	Name  string
	Value T
	IsSet bool
}

// Header identifies an element.
type Header struct {
	Section string
	// Index is the position in the section; negative if the section is the element.
	Index int
	Name  Field[string]
	// Refusal is set if instances refuse to decode the element. Some of its fields may be
	// missing then.
	Refusal *Refusal
}

// String returns what findings call the element.
func (h *Header) String() string {
	switch {
	case h.Index < 0:
		return h.Section
	case h.Name.Value == "":
		return fmt.Sprintf("%s[%d]", h.Section, h.Index)
	}
	return fmt.Sprintf("%s[%d] %q", h.Section, h.Index, h.Name.Value)
}

func (h *Header) header() *Header { return h }

// Route is a route.
type Route struct {
	Header
	Host, Prefix, Service, Kind Field[string]
	Split                       Field[Split]
	Timeout, LatencyObjective   Field[float64]
	EventGap                    Field[float64]
	Priority, MaxAttempts       Field[float64]
	Anonymous, Resumable        Field[bool]
	IsStreaming                 bool
}

// Split divides a route's requests among services.
type Split []Share

// Share is the part of a split that goes to one service.
type Share struct {
	Service string
	Weight  float64
	// Units is the weight as instances use it, in whole units.
	Units int
}

// Service is a service.
type Service struct {
	Header
	Engine                                 Field[bool]
	MaxConnections, TokensPerEvent, Memory Field[float64]
	ColdStart, ColdRate                    Field[float64]
}

// Tenant is a client account.
type Tenant struct {
	Header
	Keys                                 Field[Keys]
	Unit                                 Field[string]
	Priority, Rate, Burst, DefaultTokens Field[float64]
	// CountsTokens is set if Rate and Burst are in tokens instead of requests.
	CountsTokens bool
}

// Keys are API keys. They are secret.
type Keys []string

// Limits are the limits on what callers send.
type Limits struct {
	Header
	MaxHeaderBytes, MaxBodyBytes, HeaderTimeout, IdleTimeout Field[float64]
}

// element is a part of the configuration whose fields are checked and compared one by one.
type element interface {
	comparable
	header() *Header
	// fields returns all fields but the name.
	fields() []field
}

func (r *Route) fields() []field {
	return []field{
		r.Host, r.Prefix, r.Service, r.Split, r.Kind, r.Timeout, r.LatencyObjective, r.EventGap, r.Priority, r.MaxAttempts,
		r.Anonymous, r.Resumable,
	}
}

func (s *Service) fields() []field {
	return []field{s.MaxConnections, s.Engine, s.TokensPerEvent, s.Memory, s.ColdStart, s.ColdRate}
}

func (t *Tenant) fields() []field {
	return []field{t.Keys, t.Priority, t.Unit, t.Rate, t.Burst, t.DefaultTokens}
}

func (l *Limits) fields() []field {
	return []field{l.MaxHeaderBytes, l.MaxBodyBytes, l.HeaderTimeout, l.IdleTimeout}
}

// field is a Field of any type.
type field interface {
	name() string
	// negative returns the name of each negative number in the field.
	negative() []string
	// changeFrom describes the change from another value of the same field; "" if there is none.
	changeFrom(former field) string
}

func (f Field[T]) name() string { return f.Name }

func (f Field[T]) negative() []string {
	var names []string
	switch value := any(f.Value).(type) {
	case float64:
		if value < 0 {
			names = append(names, f.Name)
		}
	case Split:
		for i, share := range value {
			if share.Weight < 0 {
				names = append(names, fmt.Sprintf("%s[%d]", f.Name, i))
			}
		}
	}
	return names
}

func (f Field[T]) changeFrom(former field) string {
	before := former.(Field[T])
	if keys, ok := any(f.Value).(Keys); ok {
		return keys.changeFrom(any(before.Value).(Keys))
	}
	if f.IsSet == before.IsSet && reflect.DeepEqual(f.Value, before.Value) {
		return ""
	}
	return before.String() + " -> " + f.String()
}

// String returns the value.
func (f Field[T]) String() string {
	if !f.IsSet {
		return "unset"
	}
	switch value := any(f.Value).(type) {
	case float64:
		return FormatNumber(value)
	case string:
		return strconv.Quote(value)
	}
	return fmt.Sprint(f.Value)
}

// FormatNumber returns a number as operators write it.
func FormatNumber(number float64) string { return strconv.FormatFloat(number, 'f', -1, 64) }

// String returns the services with their weights.
func (s Split) String() string {
	shares := make([]string, len(s))
	for i, share := range s {
		shares[i] = share.Service + ":" + FormatNumber(share.Weight)
	}
	return strings.Join(shares, ",")
}

// changeFrom counts keys and shows none of them. Their order has no effect.
func (k Keys) changeFrom(before Keys) string {
	added, removed := k.countMissingIn(before), before.countMissingIn(k)
	if added+removed == 0 {
		return ""
	}
	return fmt.Sprintf("%d added, %d removed", added, removed)
}

func (k Keys) countMissingIn(other Keys) int {
	known := make(map[string]bool, len(other))
	for _, key := range other {
		known[key] = true
	}
	missing := 0
	for _, key := range k {
		if !known[key] {
			known[key] = true
			missing++
		}
	}
	return missing
}

// maskKey returns the beginning of a key: enough to recognize it, and at most a quarter.
func maskKey(key string) string {
	const maxShown = 4
	return string([]rune(key)[:min(maxShown, utf8.RuneCountInString(key)/4)]) + "…"
}
