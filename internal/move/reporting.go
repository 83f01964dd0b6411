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

// analyzerState is the state of an instance as the analyzer of a move or as the
// analyzer's successor.
type analyzerState struct {
	analyzer   *evidence.Analyzer
	assemblers map[evidence.InstanceID]*evidence.Assembler
	// lastReports holds the time of the last report by the reporter's address.
	lastReports  map[string]time.Time
	lastResponse time.Time
	// stage and share are those of the row at the last tick. requestsBeforeStage
	// counts the new version's requests before the stage.
	stage               int
	share               float64
	requestsBeforeStage int
}

// outbox collects what must be sent once Manager.mu is released.
type outbox struct {
	datagrams []datagram
	rollbacks []poolRollback
}

type datagram struct {
	to   string
	body []byte
}

type poolRollback struct {
	pool     string
	rollback Rollback
}

func (o *outbox) add(to string, body []byte) {
	o.datagrams = append(o.datagrams, datagram{to, body})
}

func (o *outbox) flush(m *Manager) {
	for _, r := range o.rollbacks {
		m.publishRollback(r.pool, r.rollback)
	}
	for _, d := range o.datagrams {
		if d.to == m.options.Bus.Address() {
			m.handleDatagram(d.to, d.body)
			continue
		}
		// A lost datagram is not retried: the next report covers it.
		_ = m.options.Bus.Send(d.to, peer.KindCounter, d.body)
	}
}

func (m *Manager) publishRollback(pool string, rollback Rollback) {
	m.options.Logger.Info("version taken back",
		zap.String("pool", pool), zap.String("version", rollback.Version), zap.String("reason", rollback.Reason))
	body, err := msgpack.Marshal(rollbackRumorBody{rollback.DeadlineMillis, rollback.Reason})
	if err != nil {
		m.options.Logger.Error("failed to encode rollback rumor", zap.Error(err))
		return
	}
	m.options.Rumors.Publish(membership.Rumor{
		Kind: membership.RumorRollback, Subject: pool + "/" + rollback.Version, Rank: rollback.ConfigVersion, Body: body,
	})
}

const (
	// reportPeriod is the minimum time between two reports for one pool.
	reportPeriod = time.Second
	// reportBytesPerSecond limits the rate of the reports for one pool.
	reportBytesPerSecond = 2000
	// fullReportPeriod is the interval between reports with all counters. Other
	// reports hold the counters that changed within partialReportAge, which spans
	// several reports in case some are lost.
	fullReportPeriod = 30 * time.Second
	partialReportAge = 5 * time.Second
)

// sendReport sends the counters of a pool with a move in progress to the
// analyzer and its successor.
func (m *Manager) sendReport(p *poolState, now time.Time, out *outbox) {
	if p.counters == nil || now.Sub(p.lastReport) < reportPeriod || now.Before(p.nextReport) {
		return
	}
	p.lastReport = now
	p.sequence++
	self := m.self()
	analyzers := m.analyzersOf(p.name)
	header := evidence.ReportPart{
		Instance: self.Name, Incarnation: self.Incarnation, Pool: p.name,
		Version: p.moveID.newVersion, ConfigVersion: p.moveID.configVersion, Sequence: p.sequence,
		Full: now.Sub(p.lastFullReport) >= fullReportPeriod || !slices.Equal(analyzers, p.reportedTo),
	}
	changedSince := now.Add(-partialReportAge)
	if header.Full {
		p.lastFullReport, p.reportedTo, changedSince = now, analyzers, time.Time{}
	}
	parts, err := evidence.EncodeReport(header, p.counters.ChangedSince(changedSince))
	if err != nil {
		m.options.Logger.Error("failed to encode report", zap.Error(err))
		return
	}
	sentBytes := 0
	for _, analyzer := range analyzers {
		for _, part := range parts {
			sentBytes += len(part)
			out.add(analyzer.PeerAddress, withTag(tagReportPart, part))
		}
	}
	p.nextReport = now.Add(time.Duration(sentBytes) * time.Second / reportBytesPerSecond)
}

// handleDatagram handles a part of a report or the response to a report.
func (m *Manager) handleDatagram(from string, body []byte) {
	if len(body) < 1 {
		return
	}
	switch body[0] {
	case tagReportPart:
		if part, err := evidence.DecodeReportPart(from, body[1:]); err == nil {
			m.handleReportPart(from, &part)
		}
	case tagReportResponse:
		var response reportResponse
		if err := msgpack.Unmarshal(body[1:], &response); err == nil {
			m.handleResponse(&response)
		}
	}
}

// handleReportPart adds a part of a report to the analyzer's state. When the move
// has ended here, it responds with the row at once.
func (m *Manager) handleReportPart(from string, part *evidence.ReportPart) {
	now := m.options.Clock.Now()
	var out outbox
	defer out.flush(m)
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.pools[part.Pool]
	if p == nil || p.stored.Version == 0 {
		return
	}
	if p.counters == nil {
		m.sendResponse(p, from, &out)
		return
	}
	analysis := m.analysisFor(p, now)
	analysis.lastReports[from] = now
	if p.moveID != (moveID{part.Version, part.ConfigVersion}) {
		return
	}
	id := evidence.InstanceID{Name: part.Instance, Incarnation: part.Incarnation}
	assembler := analysis.assemblers[id]
	if assembler == nil {
		assembler = &evidence.Assembler{}
		analysis.assemblers[id] = assembler
	}
	if records, complete := assembler.Add(part); complete {
		analysis.analyzer.AddRecords(id, records, part.Full, now)
	}
}

// analysisFor returns the pool's analyzer state and creates it when there is
// none.
func (m *Manager) analysisFor(p *poolState, now time.Time) *analyzerState {
	if p.analysis != nil {
		return p.analysis
	}
	row := &p.stored.Row
	p.analysis = &analyzerState{
		analyzer: evidence.NewAnalyzer(evidence.Options{
			OldVersion: row.OldVersion, NewVersion: row.NewVersion, Alpha: analyzerAlpha, PlannedDuration: row.Deadline.Sub(now),
			HistoricalControl: m.historicalControl,
		}, now),
		assemblers:  make(map[evidence.InstanceID]*evidence.Assembler),
		lastReports: make(map[string]time.Time),
	}
	return p.analysis
}

// reporterTimeout is how long after its last report an instance still receives
// responses.
const reporterTimeout = 5 * time.Second

// evaluateAsAnalyzer tests the evidence of all instances, rolls back a version
// that has regressed and responds to the instances.
func (m *Manager) evaluateAsAnalyzer(p *poolState, poolConfig *tables.Pool, configVersion uint64, now time.Time, out *outbox) {
	analysis := p.analysis
	if analysis == nil {
		return
	}
	row := &p.stored.Row
	if analysis.stage != row.Stage || analysis.share != row.Share {
		analysis.analyzer.DiscardWindows()
		if analysis.stage != row.Stage {
			analysis.requestsBeforeStage = analysis.analyzer.Verdict(now).Totals.NewRequests
		}
		analysis.stage, analysis.share = row.Stage, row.Share
	}
	analysis.analyzer.Tick(now)
	verdict := analysis.analyzer.Verdict(now)
	if verdict.Finding == evidence.Regressed {
		m.rollBack(p, poolConfig, configVersion, verdict.Reason, out)
	}
	if now.Sub(analysis.lastResponse) < reportPeriod {
		return
	}
	analysis.lastResponse = now
	p.summary = summarize(&verdict)
	in := m.inputFor(p, poolConfig, configVersion, now)
	p.summary.HoldReason = holdReason(row, in)
	for _, address := range slices.Sorted(maps.Keys(analysis.lastReports)) {
		if now.Sub(analysis.lastReports[address]) > reporterTimeout {
			delete(analysis.lastReports, address)
			continue
		}
		m.sendResponse(p, address, out)
	}
}

// sendResponse sends the newest known row to an instance.
func (m *Manager) sendResponse(p *poolState, to string, out *outbox) {
	if to == m.options.Bus.Address() {
		return
	}
	body, err := encodeReportResponse(&reportResponse{Stored: p.stored, Summary: p.summary})
	if err != nil {
		m.options.Logger.Error("failed to encode report response", zap.Error(err))
		return
	}
	out.add(to, body)
}

func summarize(v *evidence.Verdict) EvidenceSummary {
	return EvidenceSummary{
		Totals: v.Totals, LogEvidence: v.LogEvidence, RollbackThreshold: rollbackLogEvidence,
		ExcludedTargets: v.ExcludedTargets, OldDegraded: v.OldDegraded,
	}
}

// handleResponse adopts the summary of a response, and its row when it is newer.
func (m *Manager) handleResponse(response *reportResponse) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.pools[response.Stored.Row.Pool]
	if p == nil {
		return
	}
	p.summary = response.Summary
	p.adoptRow(response.Stored)
}

// adoptRow replaces the known row by a newer one.
func (p *poolState) adoptRow(row storedRow) {
	p.rowLoaded = true
	if row.Version > p.stored.Version {
		p.stored = row
	}
}

// handleRollbackRumor records a rollback by another instance.
func (m *Manager) handleRollbackRumor(r membership.Rumor) {
	pool, version, ok := splitSubject(r.Subject)
	if !ok {
		return
	}
	var body rollbackRumorBody
	if err := msgpack.Unmarshal(r.Body, &body); err != nil {
		return
	}
	m.mu.Lock()
	m.poolStateFor(pool).addRollback(Rollback{Version: version, ConfigVersion: r.Rank, DeadlineMillis: body.DeadlineMillis, Reason: body.Reason})
	m.mu.Unlock()
	select {
	case m.wake <- struct{}{}:
	default:
	}
}
