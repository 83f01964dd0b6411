package configuration

import (
	"context"
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/backoff"
	"github.com/hibiscuspost/hibiscuspost/internal/membership"
)

// Bounds of what an instance may do without a fresh word from the table.
const (
	// InForceBound is how long after its acceptance a configuration may be
	// missing on an instance that takes new work.
	InForceBound = 8 * time.Second
	// contactLimit is how old the last answered probe may be for an instance
	// that counts itself in contact with others.
	contactLimit = 5 * time.Second
	// decisionInterval is the time between decisions for an outage, and
	// decisionLifetime how long one holds; a paused process has none.
	decisionInterval = 250 * time.Millisecond
	decisionLifetime = time.Second
	// verifySample is how many peers a starting instance asks at most.
	verifySample  = 15
	verifyTimeout = time.Second
	// verifyInterval is the longest time between such questions.
	verifyInterval = 2 * time.Second
)

// Mode tells on what ground an instance takes new work, or why not.
type Mode string

// The modes.
const (
	// ModeFresh means that the table was read within InForceBound, by this
	// instance or by one that told it.
	ModeFresh Mode = "fresh"
	// ModeTableDown means that nobody heard of has read the table, and that
	// this instance serves since it is in contact with a majority.
	ModeTableDown Mode = "table_down"
	// ModeBehind means that a newer version may be in force.
	ModeBehind Mode = "may_be_behind"
	// ModeStarting means that the version in force is not known yet.
	ModeStarting Mode = "starting"
)

// decision is the outcome of the rule for an outage.
type decision struct {
	at   time.Time
	mode Mode
}

// status implements the local side of membership.CarryStatus.
func (a *Adopter) status() membership.Status {
	// The stamp is read before the version, which only rises: the version is
	// at least the one that the stamp vouches for.
	s := a.stamp.Load()
	status := membership.Status{Version: a.Current().Version}
	if s != nil {
		status.TableAge, status.TableKnown = a.clock.Since(s.at), true
	}
	return status
}

// hear takes the status of another instance.
func (a *Adopter) hear(h membership.Heard) {
	a.want(h.Status.Version)
	if h.Status.TableKnown && !h.AsOf.IsZero() {
		a.refresh(h.Status.Version, h.AsOf.Add(-h.Status.TableAge), h.Member.Name)
	}
}

// refresh moves the stamp forward to a time at which the table held no higher
// version than the given one, provided that this one is held here.
func (a *Adopter) refresh(version uint64, at time.Time, source string) {
	if a.Current().Version < version {
		return
	}
	next := &stamp{at: at, source: source}
	for {
		old := a.stamp.Load()
		if old != nil && !at.After(old.at) {
			return
		}
		if a.stamp.CompareAndSwap(old, next) {
			return
		}
	}
}

// Admitting returns nil if this instance may take new work, else ErrStarting
// or ErrMayBeBehind. It takes no lock.
//
// The instance may if its stamp is younger than InForceBound. Otherwise the
// table may be down for all, and then no configuration can be accepted
// either: it may go on while it is in contact with a majority of the members
// known, knows of no higher version, and has learned the version in force from
// the table or from enough peers. Since Store.Apply writes only on an instance
// in contact with a majority, whatever is accepted reaches this majority by
// push and rumour.
func (a *Adopter) Admitting() error {
	switch a.mode() {
	case ModeFresh, ModeTableDown:
		return nil
	case ModeStarting:
		return ErrStarting
	default:
		return ErrMayBeBehind
	}
}

func (a *Adopter) mode() Mode {
	now := a.clock.Now()
	s := a.stamp.Load()
	if s != nil && now.Sub(s.at) < InForceBound {
		return ModeFresh
	}
	if d := a.outage.Load(); d != nil && now.Sub(d.at) < decisionLifetime {
		return d.mode
	}
	if s == nil {
		return ModeStarting
	}
	return ModeBehind
}

// Freshness tells how an instance stands to the table.
type Freshness struct {
	// Version is the one in force here.
	Version uint64
	// Known is set if Age is known.
	Known bool
	// Age is how long ago the table was read that vouches for Version.
	Age time.Duration
	// Source is the peer that told of that read; empty for an own read.
	Source string
	// Mode is the ground for taking or refusing new work.
	Mode Mode
	// MayBeBehind is set unless the table vouches for Version within
	// InForceBound. In ModeTableDown the instance serves nevertheless.
	MayBeBehind bool
}

// Freshness returns the present standing.
func (a *Adopter) Freshness() Freshness {
	s := a.stamp.Load()
	f := Freshness{Version: a.Current().Version, Mode: a.mode()}
	if s != nil {
		f.Known, f.Age, f.Source = true, a.clock.Since(s.at), s.source
	}
	f.MayBeBehind = f.Mode != ModeFresh
	return f
}

// runOutageDecisions keeps the decision for an outage up to date.
func (a *Adopter) runOutageDecisions(ctx context.Context) {
	for {
		a.decide(ctx)
		if backoff.Sleep(ctx, a.clock, decisionInterval) != nil {
			return
		}
	}
}

// decide applies the rule for an outage if the stamp is old.
func (a *Adopter) decide(ctx context.Context) {
	now := a.clock.Now()
	s := a.stamp.Load()
	if s != nil && now.Sub(s.at) < InForceBound/2 {
		a.verified.Store(true)
		return
	}
	if !a.verified.Load() && !now.Before(a.verifyAt) {
		a.verified.Store(a.verify(ctx))
		now = a.clock.Now()
		a.verifyAt = now.Add(a.between(verifyInterval/2, verifyInterval))
	}
	d := &decision{at: now, mode: ModeTableDown}
	switch {
	case !a.verified.Load() && s == nil:
		d.mode = ModeStarting
	case !a.verified.Load(), a.wanted.Load() > a.Current().Version, !a.inContact():
		d.mode = ModeBehind
	}
	a.outage.Store(d)
}

// inContact tells whether this instance hears from a majority of the members
// that it knows.
func (a *Adopter) inContact() bool {
	reach := a.members.Reach()
	if reach.Known == 1 {
		return reach.Joined
	}
	return reach.Majority() && a.clock.Since(reach.LastAck) < contactLimit
}

// verify asks peers for the version in force. More than half of those asked,
// and of all known members if these are few, must answer that they know it
// from the table or in the same way; the highest version named must be held
// here in the end.
func (a *Adopter) verify(ctx context.Context) bool {
	known := a.members.Reach().Known
	if known == 1 {
		return false
	}
	sample := min(verifySample, known-1)
	others := a.shuffled()
	others = others[:min(sample, len(others))]
	certain := 0
	answers := a.askVersions(ctx, others)
	for _, answer := range answers {
		a.want(answer.Version)
		if answer.Certain {
			certain++
		}
	}
	wanted := a.wanted.Load()
	for _, answer := range answers {
		if a.Current().Version < wanted && answer.Version >= wanted {
			a.fetchFrom(ctx, answer.address)
		}
	}
	return 2*certain > sample && a.Current().Version >= a.wanted.Load()
}
