package target

import (
	"sync"
	"time"
)

// LoadReport is an engine's report of its state at a past time.
type LoadReport struct {
	Running int    `json:"running"`
	Queued  int    `json:"queued"`
	KVUsed  int    `json:"kv_used"`
	KVTotal int    `json:"kv_total"`
	Version string `json:"version"`
	Leaving bool   `json:"leaving"`
	// AtMS is the time of the report in Unix milliseconds.
	AtMS int64 `json:"at_ms"`
}

// loadHistory remembers load reports so that they can be given late.
type loadHistory struct {
	lag time.Duration

	// mu guards reports.
	mu      sync.Mutex
	reports []datedLoad
}

// datedLoad is a report with its exact time.
type datedLoad struct {
	at   time.Time
	load LoadReport
}

// note adds a report and forgets those that no reader can get any more.
func (h *loadHistory) note(at time.Time, load LoadReport) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reports = append(h.reports, datedLoad{at: at, load: load})
	limit := at.Add(-h.lag)
	keep := 0
	for keep+1 < len(h.reports) && !h.reports[keep+1].at.After(limit) {
		keep++
	}
	h.reports = h.reports[keep:]
}

// lagged returns the report as of now less the lag; it reports false when
// there is none yet.
func (h *loadHistory) lagged(now time.Time) (LoadReport, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	limit := now.Add(-h.lag)
	for i := len(h.reports) - 1; i >= 0; i-- {
		if !h.reports[i].at.After(limit) {
			return h.reports[i].load, true
		}
	}
	return LoadReport{}, false
}

// noteLoad records the present state. Requests beyond the slots count as
// queued, although they run.
func (e *Engine) noteLoad() {
	now := e.options.Clock.Now()
	version, _ := e.orders.serving(now)
	e.mu.Lock()
	defer e.mu.Unlock()
	running := len(e.active)
	e.load.note(now, LoadReport{
		Running: min(running, e.options.Slots),
		Queued:  max(running-e.options.Slots, 0),
		KVUsed:  e.kvUsed,
		KVTotal: e.options.KVCacheTokens,
		Version: version,
		Leaving: e.leaving.Load(),
		AtMS:    now.UnixMilli(),
	})
}

// report is the load as callers see it now.
func (e *Engine) report() LoadReport {
	now := e.options.Clock.Now()
	load, ok := e.load.lagged(now)
	if !ok {
		load = LoadReport{KVTotal: e.options.KVCacheTokens, Version: e.options.Version}
	}
	// The report holds until the lag's edge, since each change is noted.
	load.AtMS = now.Add(-e.options.LoadReportLag).UnixMilli()
	return load
}
