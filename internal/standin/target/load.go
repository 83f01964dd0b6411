package target

import (
	"sync"
	"time"
)

// LoadReport is the load of an engine at a past time.
type LoadReport struct {
	Running int    `json:"running"`
	Queued  int    `json:"queued"`
	KVUsed  int    `json:"kv_used"`
	KVTotal int    `json:"kv_total"`
	Version string `json:"version"`
	Leaving bool   `json:"leaving"`
	// AtMS is the time of the report in milliseconds since the Unix epoch.
	AtMS int64 `json:"at_ms"`
}

// loadHistory keeps load reports so that they can be served with a lag.
type loadHistory struct {
	lag time.Duration

	// mu guards reports.
	mu      sync.Mutex
	reports []timedReport
}

// timedReport is a load report with its exact time.
type timedReport struct {
	recordedAt time.Time
	report     LoadReport
}

// add appends a report and drops those that are too old to be served again.
func (h *loadHistory) add(at time.Time, report LoadReport) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reports = append(h.reports, timedReport{recordedAt: at, report: report})
	cutoff := at.Add(-h.lag)
	first := 0
	for first+1 < len(h.reports) && !h.reports[first+1].recordedAt.After(cutoff) {
		first++
	}
	h.reports = h.reports[first:]
}

// delayedReport returns the report that was current at now minus the lag, or
// false if there is none yet.
func (h *loadHistory) delayedReport(now time.Time) (LoadReport, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	cutoff := now.Add(-h.lag)
	for i := len(h.reports) - 1; i >= 0; i-- {
		if !h.reports[i].recordedAt.After(cutoff) {
			return h.reports[i].report, true
		}
	}
	return LoadReport{}, false
}

// recordLoad records the current load. Requests beyond the number of slots are
// reported as queued, although they run.
func (e *Engine) recordLoad() {
	now := e.options.Clock.Now()
	version, _ := e.orders.servingVersion(now)
	e.mu.Lock()
	defer e.mu.Unlock()
	activeRuns := len(e.active)
	e.loadHistory.add(now, LoadReport{
		Running: min(activeRuns, e.options.Slots),
		Queued:  max(activeRuns-e.options.Slots, 0),
		KVUsed:  e.kvTokensUsed,
		KVTotal: e.options.KVCacheTokens,
		Version: version,
		Leaving: e.leaving.Load(),
		AtMS:    now.UnixMilli(),
	})
}

// delayedLoadReport returns the load report that clients currently see.
func (e *Engine) delayedLoadReport() LoadReport {
	now := e.options.Clock.Now()
	report, ok := e.loadHistory.delayedReport(now)
	if !ok {
		report = LoadReport{KVTotal: e.options.KVCacheTokens, Version: e.options.Version}
	}
	// The report is still valid at now minus the lag, since every change of the
	// load is recorded.
	report.AtMS = now.Add(-e.options.LoadReportLag).UnixMilli()
	return report
}
