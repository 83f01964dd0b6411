package admission

import (
	"time"

	"go.uber.org/zap"

	"github.com/hibiscuspost/hibiscuspost/internal/credit"
	"github.com/hibiscuspost/hibiscuspost/internal/membership"
)

// heartbeat is how often an unchanged report is sent, so that its lease goes
// on; quietReport is how soon a change that nobody waits for is sent.
const (
	heartbeat   = credit.LeaseDuration / 3
	quietReport = 50 * time.Millisecond
)

// receive takes a datagram into the inbox.
func (c *Controller) receive(_ string, body []byte) {
	d, err := credit.Decode(body)
	if err != nil {
		c.log.Warn("credit datagram not understood", zap.Error(err))
		return
	}
	c.inboxMu.Lock()
	if len(c.inbox) < inboxBound {
		c.inbox = append(c.inbox, d)
	}
	c.inboxMu.Unlock()
	c.wake()
}

// round is one step in the making.
type round struct {
	c    *Controller
	now  time.Time
	view *membership.View
	// out collects messages by member.
	out map[string]*credit.Datagram
}

// step does all background work once.
func (c *Controller) step() {
	c.stepMu.Lock()
	defer c.stepMu.Unlock()
	r := &round{c: c, now: c.clock.Now(), view: c.options.Viewer.View(), out: make(map[string]*credit.Datagram)}
	c.rankings.follow(r.view)
	c.refreshPools(r.now)
	c.forgetLedgers()
	r.takeInbox()
	for _, p := range *c.pools.Load() {
		r.entrySide(p)
	}
	for _, p := range *c.pools.Load() {
		r.coordinatorSide(p)
	}
	for _, p := range *c.pools.Load() {
		p.pumpIfWaiting(r.now)
	}
	r.send()
}

func (c *Controller) refreshPools(now time.Time) {
	if c.options.Pools != nil {
		for _, name := range c.options.Pools() {
			c.pool(name, now)
		}
	}
	for _, p := range *c.pools.Load() {
		p.refresh(now)
		p.refreshEjections(now)
		p.refreshBest(now)
	}
}

// forgetLedgers drops the ledgers of targets that are no longer listed.
func (c *Controller) forgetLedgers() {
	for name := range c.ledgers {
		if c.target(name) == nil {
			delete(c.ledgers, name)
		}
	}
}

// takeInbox applies what other instances sent.
func (r *round) takeInbox() {
	r.c.inboxMu.Lock()
	inbox := r.c.inbox
	r.c.inbox = nil
	r.c.inboxMu.Unlock()
	for _, d := range inbox {
		for _, report := range d.Reports {
			r.hear(d.From, d.Incarnation, report)
		}
		for _, g := range d.Grants {
			r.apply(d.From, d.Incarnation, g)
		}
	}
}

func (r *round) hear(from string, incarnation uint64, report credit.Report) {
	t := r.c.target(report.Target)
	if t == nil || r.rank(report.Target).coordinator.Name != r.view.Self.Name {
		return
	}
	r.c.ledger(t, r.now).ApplyReport(from, incarnation, report, r.now)
}

func (r *round) apply(from string, incarnation uint64, g credit.Grant) {
	t := r.c.target(g.Target)
	if t == nil {
		return
	}
	t.mu.Lock()
	t.holder.ApplyGrant(from, incarnation, g)
	t.mu.Unlock()
}

// entrySide brings allowances up to date, starts and gives up requests, and
// reports to the coordinators.
func (r *round) entrySide(p *pool) {
	for _, t := range *p.targets.Load() {
		r.setCoordinator(t)
	}
	p.mu.Lock()
	p.pump(r.now)
	p.sweep(r.now)
	p.pump(r.now)
	demand := p.demand()
	p.mu.Unlock()
	for _, t := range *p.targets.Load() {
		asked := demand
		if t.ejected.Load() || !p.usable(t) {
			asked = &nothing
		}
		r.report(t, asked)
	}
}

// nothing is the demand at targets that may take no request now.
var nothing demand

// setCoordinator tells the target's holder who its coordinator is, and reads the allowance.
func (r *round) setCoordinator(t *target) {
	ranking := r.rank(t.info.Load().Name)
	t.mu.Lock()
	if t.holder.SetCoordinator(ranking.coordinator.Name, ranking.coordinator.Incarnation, r.now) {
		t.reportedAt = time.Time{}
	}
	t.mu.Unlock()
	t.setAllowance(r.now, ranking.self, len(ranking.names))
	stopped := t.obeyKeep(r.now)
	r.c.counters.preempted.Add(uint64(stopped))
}

// report sends the entry's state at the target to its coordinator if it is due.
func (r *round) report(t *target, demand *demand) {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := t.describe(demand)
	if !t.due(&next, r.now) {
		return
	}
	t.holder.PrepareReport(&next, r.now)
	t.reported, t.reportedAt = next, r.now
	coordinator := r.rank(next.Target).coordinator
	if coordinator.Name == r.view.Self.Name {
		r.c.ledger(t, r.now).ApplyReport(coordinator.Name, coordinator.Incarnation, next, r.now)
		return
	}
	to := r.to(coordinator.Name)
	to.Reports = append(to.Reports, next)
}

// coordinatorSide grants credits for the targets whose coordinator this instance is.
func (r *round) coordinatorSide(p *pool) {
	for _, t := range *p.targets.Load() {
		name := t.info.Load().Name
		ranking := r.rank(name)
		if ranking.coordinator.Name != r.view.Self.Name {
			delete(r.c.ledgers, name)
			continue
		}
		ledger := r.c.ledger(t, r.now)
		ledger.SetCapacity(capacity(t.info.Load()))
		r.deliver(ledger.Allocate(r.now, ranking.names))
		t.setAllowance(r.now, ranking.self, len(ranking.names))
	}
}

func (r *round) deliver(grants []credit.AddressedGrant) {
	for _, g := range grants {
		if g.To == r.view.Self.Name {
			r.apply(g.To, r.view.Self.Incarnation, g.Grant)
			continue
		}
		to := r.to(g.To)
		to.Grants = append(to.Grants, g.Grant)
	}
}

// ledger returns the target's ledger, which is made when this instance becomes
// its coordinator.
func (c *Controller) ledger(t *target, now time.Time) *credit.Ledger {
	info := t.info.Load()
	l := c.ledgers[info.Name]
	if l == nil {
		l = credit.NewLedger(capacity(info), now)
		l.SetPriorRunning(t.holder.LastTotalRunning(now))
		c.ledgers[info.Name] = l
	}
	return l
}

func (r *round) to(member string) *credit.Datagram {
	d := r.out[member]
	if d == nil {
		d = &credit.Datagram{From: r.view.Self.Name, Incarnation: r.view.Self.Incarnation}
		r.out[member] = d
	}
	return d
}

// send sends what the step collected; what is lost is repeated by later steps.
func (r *round) send() {
	if r.c.options.Bus == nil {
		return
	}
	for _, m := range r.view.Members {
		d := r.out[m.Name]
		if d == nil {
			continue
		}
		r.c.post(m.PeerAddress, d)
	}
}
