package move

import (
	"maps"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"github.com/hibiscuspost/hibiscuspost/internal/evidence"
	"github.com/hibiscuspost/hibiscuspost/internal/membership"
	"github.com/hibiscuspost/hibiscuspost/internal/peer"
	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

// seat is what an instance holds as the analyzer of a move or as its successor.
type seat struct {
	analyzer  *evidence.Analyzer
	entries   map[evidence.InstanceID]*evidence.Assembler
	addresses map[string]time.Time
	answered  time.Time
	// stage is the step that base belongs to, base the requests answered by
	// the new version before it.
	stage int
	share float64
	base  int
}

// outbox collects what is sent after Manager.mu is released.
type outbox struct {
	datagrams []datagram
	marks     []pooledMark
}

type datagram struct {
	to   string
	body []byte
}

type pooledMark struct {
	pool string
	mark Rollback
}

func (o *outbox) add(to string, body []byte) {
	o.datagrams = append(o.datagrams, datagram{to, body})
}

func (o *outbox) flush(m *Manager) {
	for _, marked := range o.marks {
		m.publish(marked.pool, marked.mark)
	}
	for _, d := range o.datagrams {
		if d.to == m.options.Bus.Address() {
			m.datagram(d.to, d.body)
			continue
		}
		// A lost report is covered by the next one.
		_ = m.options.Bus.Send(d.to, peer.KindCounter, d.body)
	}
}

func (m *Manager) publish(pool string, mark Rollback) {
	m.options.Logger.Info("version taken back",
		zap.String("pool", pool), zap.String("version", mark.Version), zap.String("reason", mark.Reason))
	body, err := msgpack.Marshal(rumorBody{mark.DeadlineMillis, mark.Reason})
	if err != nil {
		m.options.Logger.Error("encode a rumour", zap.Error(err))
		return
	}
	m.options.Rumors.Publish(membership.Rumor{
		Kind: membership.RumorTakenBack, Subject: pool + "/" + mark.Version, Rank: mark.ConfigVersion, Body: body,
	})
}

const (
	// reportPeriod is the least time between two reports for one pool.
	reportPeriod = time.Second
	// reportBudget bounds the reports for one pool, in bytes a second.
	reportBudget = 2000
	// fullPeriod is how often all counters are reported; other reports hold
	// those that changed within changedFor, which covers some lost reports.
	fullPeriod = 30 * time.Second
	changedFor = 5 * time.Second
)

// report sends the counters of a pool under move to the analyzer and its
// successor.
func (m *Manager) report(p *pool, now time.Time, out *outbox) {
	if p.ledger == nil || now.Sub(p.reported) < reportPeriod || now.Before(p.room) {
		return
	}
	p.reported = now
	p.sequence++
	self := m.self()
	analyzers := m.analyzers(p.name)
	header := evidence.ReportPart{
		Instance: self.Name, Incarnation: self.Incarnation, Pool: p.name,
		Version: p.move.fresh, ConfigVersion: p.move.rank, Sequence: p.sequence,
		Full: now.Sub(p.full) >= fullPeriod || !slices.Equal(analyzers, p.analyzers),
	}
	since := now.Add(-changedFor)
	if header.Full {
		p.full, p.analyzers, since = now, analyzers, time.Time{}
	}
	parts, err := evidence.EncodeReport(header, p.ledger.ChangedSince(since))
	if err != nil {
		m.options.Logger.Error("encode a report", zap.Error(err))
		return
	}
	bytes := 0
	for _, analyzer := range analyzers {
		for _, part := range parts {
			bytes += len(part)
			out.add(analyzer.PeerAddress, tagged(tagReport, part))
		}
	}
	p.room = now.Add(time.Duration(bytes) * time.Second / reportBudget)
}

// datagram takes a report or the analyzer's answer.
func (m *Manager) datagram(from string, body []byte) {
	if len(body) < 1 {
		return
	}
	switch body[0] {
	case tagReport:
		if report, err := evidence.DecodeReportPart(from, body[1:]); err == nil {
			m.takeReport(from, &report)
		}
	case tagStage:
		var message stageMessage
		if err := msgpack.Unmarshal(body[1:], &message); err == nil {
			m.takeStage(&message)
		}
	}
}

func (m *Manager) takeReport(from string, report *evidence.ReportPart) {
	now := m.options.Clock.Now()
	var out outbox
	defer out.flush(m)
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.pools[report.Pool]
	if p == nil || p.kept.Version == 0 {
		return
	}
	if p.ledger == nil {
		m.answer(p, from, &out)
		return
	}
	s := m.sit(p, now)
	s.addresses[from] = now
	if p.move != (moveID{report.Version, report.ConfigVersion}) {
		return
	}
	id := evidence.InstanceID{Name: report.Instance, Incarnation: report.Incarnation}
	assembler := s.entries[id]
	if assembler == nil {
		assembler = &evidence.Assembler{}
		s.entries[id] = assembler
	}
	if records, complete := assembler.Add(report); complete {
		s.analyzer.AddRecords(id, records, report.Full, now)
	}
}

// sit returns the pool's seat, and takes it when there is none.
func (m *Manager) sit(p *pool, now time.Time) *seat {
	if p.seat != nil {
		return p.seat
	}
	row := &p.kept.Row
	p.seat = &seat{
		analyzer: evidence.NewAnalyzer(evidence.Options{
			OldVersion: row.OldVersion, NewVersion: row.NewVersion, Alpha: analyzerAlpha, PlannedDuration: row.Deadline.Sub(now),
			HistoricalControl: m.noControl,
		}, now),
		entries:   make(map[evidence.InstanceID]*evidence.Assembler),
		addresses: make(map[string]time.Time),
	}
	return p.seat
}

// answerFor is how long an entry is answered after its last report.
const answerFor = 5 * time.Second

// lookAsAnalyzer weighs the evidence of all entries and answers them.
func (m *Manager) lookAsAnalyzer(p *pool, named *tables.Pool, config uint64, now time.Time, out *outbox) {
	s := p.seat
	if s == nil {
		return
	}
	row := &p.kept.Row
	if s.stage != row.Stage || s.share != row.Share {
		s.analyzer.DiscardWindows()
		if s.stage != row.Stage {
			s.base = s.analyzer.Verdict(now).Totals.NewRequests
		}
		s.stage, s.share = row.Stage, row.Share
	}
	s.analyzer.Tick(now)
	verdict := s.analyzer.Verdict(now)
	if verdict.Finding == evidence.Regressed {
		m.takeBack(p, named, config, verdict.Reason, out)
	}
	if now.Sub(s.answered) < reportPeriod {
		return
	}
	s.answered = now
	p.heard = summarize(&verdict)
	in := m.input(p, named, config, now)
	p.heard.HoldReason = holds(row, in)
	for _, address := range slices.Sorted(maps.Keys(s.addresses)) {
		if now.Sub(s.addresses[address]) > answerFor {
			delete(s.addresses, address)
			continue
		}
		m.answer(p, address, out)
	}
}

// answer sends the newest known row to an entry.
func (m *Manager) answer(p *pool, to string, out *outbox) {
	if to == m.options.Bus.Address() {
		return
	}
	body, err := encodeStage(&stageMessage{Kept: p.kept, Summary: p.heard})
	if err != nil {
		m.options.Logger.Error("encode a stage", zap.Error(err))
		return
	}
	out.add(to, body)
}

func summarize(v *evidence.Verdict) EvidenceSummary {
	return EvidenceSummary{
		Totals: v.Totals, LogEvidence: v.LogEvidence, RollbackThreshold: takeBackAt,
		ExcludedTargets: v.Excluded, OldDegraded: v.OldDegraded,
	}
}

// takeStage adopts a newer row.
func (m *Manager) takeStage(message *stageMessage) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.pools[message.Kept.Row.Pool]
	if p == nil {
		return
	}
	p.heard = message.Summary
	p.adopt(message.Kept)
}

// adopt takes a row unless a newer one is known.
func (p *pool) adopt(k kept) {
	p.known = true
	if k.Version > p.kept.Version {
		p.kept = k
	}
}

// rumor takes a version back that another instance has found bad.
func (m *Manager) rumor(r membership.Rumor) {
	pool, version, ok := cutSubject(r.Subject)
	if !ok {
		return
	}
	var body rumorBody
	if err := msgpack.Unmarshal(r.Body, &body); err != nil {
		return
	}
	m.mu.Lock()
	m.pool(pool).learn(Rollback{Version: version, ConfigVersion: r.Rank, DeadlineMillis: body.Deadline, Reason: body.Reason})
	m.mu.Unlock()
	select {
	case m.kick <- struct{}{}:
	default:
	}
}
