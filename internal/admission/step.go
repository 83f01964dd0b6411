package admission

import (
	"time"

	"go.uber.org/zap"

	"github.com/hibiscuspost/hibiscuspost/internal/credit"
	"github.com/hibiscuspost/hibiscuspost/internal/membership"
)

// reportRefreshInterval is the interval at which an unchanged report is sent again
// to renew the lease. deferredReportInterval delays changes that no request waits
// for.
const (
	reportRefreshInterval  = credit.LeaseDuration / 3
	deferredReportInterval = 50 * time.Millisecond
)

// handleDatagram appends a datagram to the inbox.
func (c *Controller) handleDatagram(_ string, body []byte) {
	d, err := credit.Decode(body)
	if err != nil {
		c.log.Warn("cannot decode credit datagram", zap.Error(err))
		return
	}
	c.inboxMu.Lock()
	if len(c.inbox) < maxInboxDatagrams {
		c.inbox = append(c.inbox, d)
	}
	c.inboxMu.Unlock()
	c.wake()
}

// stepState is the state of one step.
type stepState struct {
	controller *Controller
	now        time.Time
	view       *membership.View
	// outgoing collects the messages for each member.
	outgoing map[string]*credit.Datagram
}

// step performs one round of background work.
func (c *Controller) step() {
	c.stepMu.Lock()
	defer c.stepMu.Unlock()
	s := &stepState{controller: c, now: c.clock.Now(), view: c.options.Viewer.View(), outgoing: make(map[string]*credit.Datagram)}
	c.rankings.setView(s.view)
	c.refreshPools(s.now)
	c.dropUnlistedLedgers()
	s.processInbox()
	for _, p := range *c.pools.Load() {
		s.runEntry(p)
	}
	for _, p := range *c.pools.Load() {
		s.runCoordinator(p)
	}
	for _, p := range *c.pools.Load() {
		p.startQueuedIfAny(s.now)
	}
	s.sendAll()
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
		p.refreshBestSpeed(now)
	}
}

// dropUnlistedLedgers removes the ledgers of targets that are no longer listed.
func (c *Controller) dropUnlistedLedgers() {
	for name := range c.ledgers {
		if c.target(name) == nil {
			delete(c.ledgers, name)
		}
	}
}

// processInbox applies the reports and grants received from other instances.
func (s *stepState) processInbox() {
	s.controller.inboxMu.Lock()
	inbox := s.controller.inbox
	s.controller.inbox = nil
	s.controller.inboxMu.Unlock()
	for _, d := range inbox {
		for _, report := range d.Reports {
			s.applyReport(d.From, d.Incarnation, report)
		}
		for _, g := range d.Grants {
			s.applyGrant(d.From, d.Incarnation, g)
		}
	}
}

func (s *stepState) applyReport(from string, incarnation uint64, report credit.Report) {
	t := s.controller.target(report.Target)
	if t == nil || s.rankingOf(report.Target).coordinator.Name != s.view.Self.Name {
		return
	}
	s.controller.ledger(t, s.now).ApplyReport(from, incarnation, report, s.now)
}

func (s *stepState) applyGrant(from string, incarnation uint64, g credit.Grant) {
	t := s.controller.target(g.Target)
	if t == nil {
		return
	}
	t.mu.Lock()
	t.holder.ApplyGrant(from, incarnation, g)
	t.mu.Unlock()
}

// runEntry refreshes allowances, starts or refuses queued requests, and reports to
// the coordinators.
func (s *stepState) runEntry(p *pool) {
	for _, t := range *p.targets.Load() {
		s.updateCoordinator(t)
	}
	p.mu.Lock()
	p.startQueued(s.now)
	p.shedAndPreempt(s.now)
	p.startQueued(s.now)
	demand := p.demand()
	p.mu.Unlock()
	for _, t := range *p.targets.Load() {
		targetDemand := demand
		if t.ejected.Load() || !p.versionUsable(t) {
			targetDemand = &noDemand
		}
		s.queueReport(t, targetDemand)
	}
}

// noDemand is the demand for targets that may not receive requests now.
var noDemand demand

// updateCoordinator sets the target's coordinator, refreshes the allowance, and
// cancels requests above the coordinator's limit.
func (s *stepState) updateCoordinator(t *target) {
	ranking := s.rankingOf(t.info.Load().Name)
	t.mu.Lock()
	if t.holder.SetCoordinator(ranking.coordinator.Name, ranking.coordinator.Incarnation, s.now) {
		t.lastReportAt = time.Time{}
	}
	t.mu.Unlock()
	t.refreshAllowance(s.now, ranking.selfRank, len(ranking.members))
	cancelled := t.enforceMaxRunning(s.now)
	s.controller.counters.preempted.Add(uint64(cancelled))
}

// queueReport adds the entry's report on the target to the datagram for its
// coordinator, if the report is due.
func (s *stepState) queueReport(t *target, demand *demand) {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := t.buildReport(demand)
	if !t.reportDue(&next, s.now) {
		return
	}
	t.holder.PrepareReport(&next, s.now)
	t.lastReport, t.lastReportAt = next, s.now
	coordinator := s.rankingOf(next.Target).coordinator
	if coordinator.Name == s.view.Self.Name {
		s.controller.ledger(t, s.now).ApplyReport(coordinator.Name, coordinator.Incarnation, next, s.now)
		return
	}
	to := s.datagramFor(coordinator.Name)
	to.Reports = append(to.Reports, next)
}

// runCoordinator grants credits for the targets that this instance coordinates.
func (s *stepState) runCoordinator(p *pool) {
	for _, t := range *p.targets.Load() {
		name := t.info.Load().Name
		ranking := s.rankingOf(name)
		if ranking.coordinator.Name != s.view.Self.Name {
			delete(s.controller.ledgers, name)
			continue
		}
		ledger := s.controller.ledger(t, s.now)
		ledger.SetCapacity(configuredCapacity(t.info.Load()))
		s.queueGrants(ledger.Allocate(s.now, ranking.members))
		t.refreshAllowance(s.now, ranking.selfRank, len(ranking.members))
	}
}

func (s *stepState) queueGrants(grants []credit.AddressedGrant) {
	for _, g := range grants {
		if g.To == s.view.Self.Name {
			s.applyGrant(g.To, s.view.Self.Incarnation, g.Grant)
			continue
		}
		to := s.datagramFor(g.To)
		to.Grants = append(to.Grants, g.Grant)
	}
}

// ledger returns the target's ledger, creating it when this instance becomes the
// coordinator.
func (c *Controller) ledger(t *target, now time.Time) *credit.Ledger {
	info := t.info.Load()
	l := c.ledgers[info.Name]
	if l == nil {
		l = credit.NewLedger(configuredCapacity(info), now)
		l.SetPriorRunning(t.holder.LastTotalRunning(now))
		c.ledgers[info.Name] = l
	}
	return l
}

func (s *stepState) datagramFor(member string) *credit.Datagram {
	d := s.outgoing[member]
	if d == nil {
		d = &credit.Datagram{From: s.view.Self.Name, Incarnation: s.view.Self.Incarnation}
		s.outgoing[member] = d
	}
	return d
}

// sendAll sends the collected messages. Later steps repeat lost ones.
func (s *stepState) sendAll() {
	if s.controller.options.Bus == nil {
		return
	}
	for _, m := range s.view.Members {
		d := s.outgoing[m.Name]
		if d == nil {
			continue
		}
		s.controller.sendDatagram(m.PeerAddress, d)
	}
}
