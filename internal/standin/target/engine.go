package target

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
)

// Engine is a test double of an inference engine. Its methods are safe for
// concurrent use.
type Engine struct {
	httpServer
	runLog
	options     EngineOptions
	cache       *prefixCache
	orders      *orderExecutor
	loadHistory *loadHistory

	leaving          atomic.Bool
	speedPPM         atomic.Int64 // parts per million of the normal speed
	abortAfterEvents atomic.Int64 // events after which a stream is aborted
	abortsLeft       atomic.Int64 // streams still to be aborted
	crashCount       atomic.Int64
	faultyRunCount   atomic.Int64
	runGroup         conc.WaitGroup

	// mu guards the fields below.
	mu                sync.Mutex
	runsByID          map[string]*engineRun // by request ID, including ended runs
	active            map[*engineRun]struct{}
	kvTokensUsed      int
	versionFaults     map[string]VersionFault
	requestsByVersion map[string]int
	rng               *rand.Rand
	anonymousRequests int             // requests without a request ID
	lifetimeCtx       context.Context // cancelled by Crash and Close
	cancelLifetime    context.CancelFunc
}

// normalSpeedPPM is the normal speed in the unit of Engine.speedPPM.
const normalSpeedPPM = 1_000_000

// NewEngine creates an engine, which listens once Start is called.
func NewEngine(options EngineOptions) *Engine {
	options.setDefaults()
	e := &Engine{
		options:           options,
		cache:             newPrefixCache(&options),
		runsByID:          make(map[string]*engineRun),
		active:            make(map[*engineRun]struct{}),
		versionFaults:     make(map[string]VersionFault),
		requestsByVersion: make(map[string]int),
		rng:               rand.New(rand.NewPCG(options.Seed, 2)),
	}
	for version, fault := range options.VersionFaults {
		e.versionFaults[version] = fault
	}
	e.orders = newOrderExecutor(&e.options)
	e.loadHistory = &loadHistory{lag: options.LoadReportLag}
	e.speedPPM.Store(normalSpeedPPM)
	e.handler = e.routes()
	return e
}

// Start listens on a loopback port that the operating system chooses.
func (e *Engine) Start() error {
	e.mu.Lock()
	e.lifetimeCtx, e.cancelLifetime = context.WithCancel(context.Background())
	e.mu.Unlock()
	return e.start()
}

// Restart restarts a crashed engine on its previous address, with an empty
// prefix cache and without its earlier runs, which can no longer be resumed.
func (e *Engine) Restart() error {
	e.mu.Lock()
	clear(e.runsByID)
	e.mu.Unlock()
	e.cache.clear()
	return e.Start()
}

// Crash closes the listener and all connections and ends all active runs with
// StatusCrashed.
func (e *Engine) Crash() {
	e.crashCount.Add(1)
	e.terminate()
}

// CrashCount returns the number of crashes so far.
func (e *Engine) CrashCount() int { return int(e.crashCount.Load()) }

// Close stops the engine and waits for its goroutines.
func (e *Engine) Close() {
	e.terminate()
	e.runGroup.Wait()
	e.serveGroup.Wait()
}

// terminate cancels lifetimeCtx, records all active runs as crashed and then
// stops listening. No run can start once lifetimeCtx is cancelled.
func (e *Engine) terminate() {
	e.mu.Lock()
	if e.cancelLifetime != nil {
		e.cancelLifetime()
	}
	activeRuns := make([]*engineRun, 0, len(e.active))
	for run := range e.active {
		activeRuns = append(activeRuns, run)
	}
	e.mu.Unlock()
	for _, run := range activeRuns {
		e.finish(run, StatusCrashed)
	}
	e.stop()
}

// SetLeaving sets whether the engine is being drained: new requests are refused
// with status 503 and the X-Leaving header, while active runs continue.
func (e *Engine) SetLeaving(leaving bool) {
	e.leaving.Store(leaving)
	e.recordLoad()
}

// SetSpeed sets the speed relative to normal; 0.5 is half the normal speed.
func (e *Engine) SetSpeed(factor float64) {
	e.speedPPM.Store(max(int64(factor*normalSpeedPPM), 1))
}

// AbortStreams closes the connection of each of the next count streams after
// the given number of events. Their runs continue and can be resumed.
func (e *Engine) AbortStreams(events, count int) {
	e.abortAfterEvents.Store(int64(events))
	e.abortsLeft.Store(int64(count))
}

// SetVersionFault replaces the fault that is injected into a version.
func (e *Engine) SetVersionFault(version string, fault VersionFault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.versionFaults[version] = fault
}

// SetVersion makes a version the serving version immediately.
func (e *Engine) SetVersion(version string) {
	e.orders.setVersion(version, e.options.Clock.Now())
	e.recordLoad()
}

// Version returns the serving version.
func (e *Engine) Version() string {
	version, _ := e.orders.servingVersion(e.options.Clock.Now())
	return version
}

// FaultyRunCount returns the number of runs that a version fault has affected.
func (e *Engine) FaultyRunCount() int { return int(e.faultyRunCount.Load()) }

// RunningCount returns the number of active runs.
func (e *Engine) RunningCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.active)
}

// finish records the final status of a run and frees its KV cache tokens. It
// does not change the status of a run that has already ended.
func (e *Engine) finish(run *engineRun, status RunStatus) {
	run.finish(status, func(tokens int) {
		e.recordEnd(run.recordIndex, status, tokens, e.options.Clock.Now())
		e.removeActive(run)
	})
	run.cancel()
	e.recordLoad()
}

// removeActive removes an ended run from the active runs.
func (e *Engine) removeActive(run *engineRun) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.active, run)
	e.kvTokensUsed -= run.kvTokens
}

// slowdownFactor returns the factor by which execution times are currently
// multiplied: the larger of requests per slot and KV cache utilization, at
// least 1, divided by the relative speed.
func (e *Engine) slowdownFactor() float64 {
	e.mu.Lock()
	requestLoad := float64(len(e.active)) / float64(e.options.Slots)
	kvCacheLoad := float64(e.kvTokensUsed) / float64(e.options.KVCacheTokens)
	e.mu.Unlock()
	speed := float64(e.speedPPM.Load()) / normalSpeedPPM
	return max(1, requestLoad, kvCacheLoad) / speed
}

// sleep waits for the duration. It returns false if ctx is done first.
func (e *Engine) sleep(ctx context.Context, duration time.Duration) bool {
	if duration <= 0 {
		return ctx.Err() == nil
	}
	timer := e.options.Clock.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return true
	case <-ctx.Done():
		return false
	}
}
