package configcheck

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/hibiscuspost/hibiscuspost/internal/catalog"
)

// Kind is the kind of a finding.
type Kind int

// The kinds of findings.
const (
	// Error is what instances refuse, ignore, or cannot serve.
	Error Kind = iota
	// Unused is an entry that can never match or be used.
	Unused
	// Contradiction is a limit that contradicts another one.
	Contradiction
	// Difference is a difference from the version in force. It is no fault.
	Difference
)

// String returns the name of the kind.
func (k Kind) String() string {
	return [...]string{"error", "unused", "contradiction", "difference"}[k]
}

// Finding is one result of the check.
type Finding struct {
	Kind Kind
	// Element is the element concerned, Field its field; Field is "" if the finding concerns the
	// whole element.
	Element, Field string
	Problem        string
}

// String returns the finding in one line.
func (f Finding) String() string {
	subject := f.Element
	if f.Field != "" {
		subject += " " + f.Field
	}
	return fmt.Sprintf("%s: %s: %s", f.Kind, subject, f.Problem)
}

// Check returns what is wrong with a configuration, and its differences from the version in
// force unless that is nil, ordered by kind.
func Check(c, inForce *Configuration) []Finding {
	r := &report{findings: c.Refusals()}
	if c.Refusal == nil {
		r.checkAll(c)
		if inForce != nil {
			r.compare(c, inForce)
		}
	}
	slices.SortStableFunc(r.findings, func(a, b Finding) int { return cmp.Compare(a.Kind, b.Kind) })
	return r.findings
}

// configurationElement is what findings call the configuration as a whole.
const configurationElement = "configuration"

// Refusals returns why instances refuse the configuration; nothing if they accept it.
func (c *Configuration) Refusals() []Finding {
	var r report
	if c.Refusal != nil {
		r.addRefusal(configurationElement, c.Refusal)
	}
	addRefusals(&r, c.Routes)
	addRefusals(&r, c.Services)
	addRefusals(&r, c.Tenants)
	addRefusals(&r, []*Limits{&c.Limits})
	return r.findings
}

func addRefusals[E element](r *report, elements []E) {
	for _, e := range elements {
		if h := e.header(); h.Refusal != nil {
			r.addRefusal(h.String(), h.Refusal)
		}
	}
}

type report struct {
	findings []Finding
}

func (r *report) add(kind Kind, element, field, problem string, args ...any) {
	r.findings = append(r.findings, Finding{kind, element, field, fmt.Sprintf(problem, args...)})
}

func (r *report) addRefusal(element string, refusal *Refusal) {
	r.add(Error, element, refusal.Field, "instances refuse it: %s", refusal.Problem)
}

func (r *report) checkAll(c *Configuration) {
	if c.Version.Value == 0 {
		r.add(Error, configurationElement, c.Version.Name, "missing or 0")
	}
	services := checkElements(r, c.Services)
	checkElements(r, c.Routes)
	checkElements(r, c.Tenants)
	checkNumbers(r, &c.Limits)
	r.checkMatches(c.Routes)
	r.checkReferences(c, services)
	r.checkKeys(c.Tenants)
	for _, route := range c.Routes {
		r.checkRoute(route)
	}
	for _, service := range c.Services {
		r.checkService(service)
	}
	for _, tenant := range c.Tenants {
		r.checkQuota(tenant)
		if name := tenant.Name; !catalog.IsHeaderValue(name.Value) {
			r.add(Error, tenant.String(), name.Name, "cannot be sent in a header, so that all requests are refused")
		}
	}
	r.checkNotAbove(&c.Limits.Header, c.Limits.HeaderTimeout, c.Limits.IdleTimeout)
}

// checkElements checks names and numbers, and returns the elements by name.
func checkElements[E element](r *report, elements []E) map[string]E {
	byName := indexByName(elements)
	for _, e := range elements {
		checkNumbers(r, e)
		h := e.header()
		switch first := byName[h.Name.Value]; {
		case h.Name.Value == "" && h.Refusal == nil:
			r.add(Error, h.String(), h.Name.Name, "missing")
		case h.Name.Value != "" && first != e:
			r.add(Error, h.String(), h.Name.Name, "duplicate of %s", first.header())
		}
	}
	return byName
}

// indexByName returns the first element of each name; those without a name are left out.
func indexByName[E element](elements []E) map[string]E {
	byName := make(map[string]E, len(elements))
	for _, e := range elements {
		name := e.header().Name.Value
		if _, ok := byName[name]; !ok && name != "" {
			byName[name] = e
		}
	}
	return byName
}

func checkNumbers[E element](r *report, e E) {
	for _, f := range e.fields() {
		for _, name := range f.negative() {
			r.add(Error, e.header().String(), name, "negative")
		}
	}
}

// checkMatches looks for routes that no request reaches.
func (r *report) checkMatches(routes []*Route) {
	type match struct{ host, prefix string }
	first := make(map[match]*Route, len(routes))
	for _, route := range routes {
		if route.Refusal != nil {
			continue
		}
		if prefix := route.Prefix.Value; !strings.HasPrefix(prefix, "/") || !strings.HasSuffix(prefix, "/") {
			r.add(Unused, route.String(), route.Prefix.Name, "%q does not begin and end with a slash", prefix)
		}
		// Instances cut the port from the host of a request.
		if host := route.Host.Value; strings.Contains(host, ":") && !strings.HasSuffix(host, "]") {
			r.add(Unused, route.String(), route.Host.Name, "%q has a port, which requests are matched without", host)
		}
		key := match{strings.ToLower(route.Host.Value), route.Prefix.Value}
		if other, ok := first[key]; ok {
			r.add(Unused, route.String(), route.Prefix.Name, "same host and prefix as %s, which matches first", other)
			continue
		}
		first[key] = route
	}
}

// checkReferences checks that routes name declared services and that each service has a route.
// A reference that could not be read is not held against either side.
func (r *report) checkReferences(c *Configuration, services map[string]*Service) {
	areServicesKnown := !slices.ContainsFunc(c.Services, func(s *Service) bool { return s.Refusal != nil && s.Name.Value == "" })
	areReferencesKnown := !slices.ContainsFunc(c.Routes, (*Route).mayLackReferences)
	used := make(map[string]bool, len(services))
	for _, route := range c.Routes {
		refer := func(field, name string) {
			used[name] = true
			if _, ok := services[name]; !ok && areServicesKnown && !route.mayLackReferences() {
				r.add(Error, route.String(), field, "%q is not declared", name)
			}
		}
		for i, share := range route.Split.Value {
			refer(fmt.Sprintf("%s[%d]", route.Split.Name, i), share.Service)
		}
		switch {
		case route.Service.Value != "":
			refer(route.Service.Name, route.Service.Value)
		case len(route.Split.Value) == 0 && !route.mayLackReferences():
			r.add(Error, route.String(), route.Service.Name, "neither %s nor %s is set", route.Service.Name, route.Split.Name)
		}
	}
	for _, service := range c.Services {
		if name := service.Name.Value; name != "" && !used[name] && areReferencesKnown {
			r.add(Unused, service.String(), service.Name.Name, "no route leads to it")
		}
	}
}

// mayLackReferences reports whether a name of a service may not have been read.
func (r *Route) mayLackReferences() bool {
	if r.Refusal == nil {
		return false
	}
	field := r.Refusal.Field
	return field == "" || field == r.Service.Name || strings.HasPrefix(field, r.Split.Name)
}

// checkKeys looks for API keys that identify no account or not the one that they are listed
// for.
func (r *report) checkKeys(tenants []*Tenant) {
	holders := make(map[string]*Tenant, len(tenants))
	for _, tenant := range tenants {
		if tenant.Refusal != nil {
			continue
		}
		for i, key := range tenant.Keys.Value {
			field := fmt.Sprintf("%s[%d]", tenant.Keys.Name, i)
			if strings.TrimSpace(key) != key {
				r.add(Unused, tenant.String(), field, "has white space around it, which is cut from callers' keys")
			}
			holder, held := holders[key]
			switch {
			case !held:
				holders[key] = tenant
			case holder.Name.Value != tenant.Name.Value:
				r.add(Unused, tenant.String(), field, "key %q is also held by %s", maskKey(key), holder)
			}
		}
	}
}

func (r *report) checkRoute(route *Route) {
	if route.Refusal != nil {
		return
	}
	r.checkNotAbove(&route.Header, route.LatencyObjective, route.Timeout)
	r.checkNotAbove(&route.Header, route.EventGap, route.Timeout)
	if route.Resumable.Value && !route.IsStreaming {
		r.add(Contradiction, route.String(), route.Resumable.Name, "has no effect with %s %s", route.Kind.Name, route.Kind)
	}
	split := route.Split
	if len(split.Value) == 0 {
		return
	}
	if route.Service.Value != "" {
		r.add(Error, route.String(), split.Name, "set together with %s", route.Service.Name)
	}
	sum := 0
	for _, share := range split.Value {
		sum += share.Units
	}
	if sum == 0 {
		r.add(Error, route.String(), split.Name, "the weights sum to 0")
		return
	}
	for i, share := range split.Value {
		if share.Units == 0 {
			r.add(Unused, route.String(), fmt.Sprintf("%s[%d]", split.Name, i), "weight %s counts as 0: %q gets no request", FormatNumber(share.Weight), share.Service)
		}
	}
}

func (r *report) checkService(s *Service) {
	if s.Refusal != nil {
		return
	}
	if s.Memory.IsSet && s.Memory.Value < 1 {
		r.add(Contradiction, s.String(), s.Memory.Name, "%s is below 1", s.Memory)
	}
	if hasStart, hasRate := s.ColdStart.Value > 0, s.ColdRate.Value > 0; hasStart && !hasRate {
		r.add(Contradiction, s.String(), s.ColdStart.Name, "has no effect without %s", s.ColdRate.Name)
	} else if hasRate && !hasStart {
		r.add(Contradiction, s.String(), s.ColdRate.Name, "has no effect without %s", s.ColdStart.Name)
	}
}

// checkQuota compares the burst with what one request is charged. Without a rate there is no
// quota, and the burst has no effect.
func (r *report) checkQuota(t *Tenant) {
	if t.Refusal != nil || t.Rate.Value <= 0 || t.Burst.Value < 0 {
		return
	}
	charge, reason := 1.0, "one request"
	if t.CountsTokens {
		charge, reason = t.DefaultTokens.Value, t.DefaultTokens.Name+" of one request"
	}
	switch burst := t.Burst.Value; {
	case burst == 0:
		r.add(Contradiction, t.String(), t.Burst.Name, "0 with %s %s", t.Rate.Name, t.Rate)
	case burst < charge:
		r.add(Contradiction, t.String(), t.Burst.Name, "%s is less than %s, %s", t.Burst, FormatNumber(charge), reason)
	}
}

// checkNotAbove compares two durations if both are set.
func (r *report) checkNotAbove(h *Header, value, bound Field[float64]) {
	if h.Refusal == nil && bound.Value > 0 && value.Value > bound.Value {
		r.add(Contradiction, h.String(), value.Name, "%s is longer than %s %s", value, bound.Name, bound)
	}
}

// compare lists the differences from the version in force.
func (r *report) compare(c, inForce *Configuration) {
	refusals := inForce.Refusals()
	if len(refusals) == 0 && inForce.Version.Value == 0 {
		refusals = []Finding{{Error, configurationElement, inForce.Version.Name, "missing or 0"}}
	}
	if len(refusals) > 0 {
		r.add(Error, "version in force", "", "cannot be in force: %s", refusals[0])
		return
	}
	if c.Version.Value > 0 && c.Version.Value <= inForce.Version.Value {
		r.add(Error, configurationElement, c.Version.Name, "%d is not higher than %d, the version in force: instances ignore it", c.Version.Value, inForce.Version.Value)
	}
	compareElements(r, c.Routes, inForce.Routes)
	compareElements(r, c.Services, inForce.Services)
	compareElements(r, c.Tenants, inForce.Tenants)
	if c.Limits.Refusal == nil {
		compareFields(r, (*Limits).String, &c.Limits, &inForce.Limits)
	}
}

// compareElements compares the elements that instances know by name: the first one of each.
func compareElements[E element](r *report, elements, inForce []E) {
	label := func(e E) string { return fmt.Sprintf("%s %q", e.header().Section, e.header().Name.Value) }
	byName, formerByName := indexByName(elements), indexByName(inForce)
	for _, e := range elements {
		name := e.header().Name.Value
		former, isKnown := formerByName[name]
		switch {
		case name == "" || byName[name] != e || e.header().Refusal != nil:
		case isKnown:
			compareFields(r, label, e, former)
		default:
			r.add(Difference, label(e), "", "added")
		}
	}
	for _, former := range inForce {
		name := former.header().Name.Value
		if _, remains := byName[name]; !remains && formerByName[name] == former {
			r.add(Difference, label(former), "", "removed")
		}
	}
}

func compareFields[E element](r *report, label func(E) string, e, former E) {
	formerFields := former.fields()
	for i, f := range e.fields() {
		if change := f.changeFrom(formerFields[i]); change != "" {
			r.add(Difference, label(e), f.name(), "changed: %s", change)
		}
	}
}
