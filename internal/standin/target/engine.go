package target

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
)

// Engine is a running stand-in of a model engine. All methods may be called
// from any goroutine.
type Engine struct {
	listener
	journal
	options EngineOptions
	cache   *prefixCache
	orders  *orderBook
	load    *loadHistory

	leaving   atomic.Bool
	speed     atomic.Int64 // millionths of the normal speed
	cutAfter  atomic.Int64 // events after which a stream is cut; 0 for never
	cutsLeft  atomic.Int64
	crashes   atomic.Int64
	badRuns   atomic.Int64
	generator conc.WaitGroup

	// mu guards the fields below.
	mu       sync.Mutex
	runs     map[string]*progress // by request id, also those that ended
	active   map[*progress]struct{}
	kvUsed   int
	badness  map[string]VersionFault
	served   map[string]int // requests by version
	random   *rand.Rand
	unnamed  int             // requests without an id
	lifetime context.Context // ends at a crash or at Close
	endLife  context.CancelFunc
}

// speedUnit is the normal speed in Engine.speed.
const speedUnit = 1_000_000

// NewEngine prepares an engine; it listens after Start.
func NewEngine(options EngineOptions) *Engine {
	options.setDefaults()
	e := &Engine{
		options: options,
		cache:   newPrefixCache(&options),
		runs:    make(map[string]*progress),
		active:  make(map[*progress]struct{}),
		badness: make(map[string]VersionFault),
		served:  make(map[string]int),
		random:  rand.New(rand.NewPCG(options.Seed, 2)),
	}
	for version, bad := range options.VersionFaults {
		e.badness[version] = bad
	}
	e.orders = newOrderBook(&e.options)
	e.load = &loadHistory{lag: options.LoadReportLag}
	e.speed.Store(speedUnit)
	e.handler = e.routes()
	return e
}

// Start listens on a loopback port that the system chooses.
func (e *Engine) Start() error {
	e.mu.Lock()
	e.lifetime, e.endLife = context.WithCancel(context.Background())
	e.mu.Unlock()
	return e.start()
}

// Restart brings a crashed engine back on its address, with an empty cache
// and without its old runs.
func (e *Engine) Restart() error {
	e.mu.Lock()
	clear(e.runs)
	e.mu.Unlock()
	e.cache.clear()
	return e.Start()
}

// Crash closes the listener and all connections and loses all runs.
func (e *Engine) Crash() {
	e.crashes.Add(1)
	e.die()
}

// CrashCount counts the crashes so far.
func (e *Engine) CrashCount() int { return int(e.crashes.Load()) }

// Close ends everything and waits for it.
func (e *Engine) Close() {
	e.die()
	e.generator.Wait()
	e.serving.Wait()
}

// die ends the lifetime, records all runs as lost and then stops listening.
// No run can start after the lifetime has ended.
func (e *Engine) die() {
	e.mu.Lock()
	if e.endLife != nil {
		e.endLife()
	}
	lost := make([]*progress, 0, len(e.active))
	for p := range e.active {
		lost = append(lost, p)
	}
	e.mu.Unlock()
	for _, p := range lost {
		e.finish(p, StatusCrashed)
	}
	e.stop()
}

// SetLeaving makes the engine refuse new work with 503 and X-Leaving, or ends
// that. Runs go on.
func (e *Engine) SetLeaving(leaving bool) {
	e.leaving.Store(leaving)
	e.noteLoad()
}

// SetSpeed sets the speed as a factor of the normal one; 0.5 is half as fast.
func (e *Engine) SetSpeed(factor float64) {
	e.speed.Store(max(int64(factor*speedUnit), 1))
}

// AbortStreams breaks the connection of the next count streams after events
// events each. Their runs go on and can be resumed.
func (e *Engine) AbortStreams(events, count int) {
	e.cutAfter.Store(int64(events))
	e.cutsLeft.Store(int64(count))
}

// SetVersionFault replaces how a version misbehaves.
func (e *Engine) SetVersionFault(version string, bad VersionFault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.badness[version] = bad
}

// SetVersion makes a version the serving one at once.
func (e *Engine) SetVersion(version string) {
	e.orders.setVersion(version, e.options.Clock.Now())
	e.noteLoad()
}

// Version is the version that serves now.
func (e *Engine) Version() string {
	version, _ := e.orders.serving(e.options.Clock.Now())
	return version
}

// FaultyRunCount counts the runs on which the badness of their version showed.
func (e *Engine) FaultyRunCount() int { return int(e.badRuns.Load()) }

// RunningCount counts the requests that run now.
func (e *Engine) RunningCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.active)
}

// finish records the end of a run and frees its memory. It has no effect on a
// run that has ended.
func (e *Engine) finish(p *progress, end RunStatus) {
	p.finish(end, func(tokens int) {
		e.end(p.index, end, tokens, e.options.Clock.Now())
		e.release(p)
	})
	p.cancel()
	e.noteLoad()
}

// release takes an ended run off the active ones.
func (e *Engine) release(p *progress) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.active, p)
	e.kvUsed -= p.kv
}

// slowdown is the factor by which running times grow now: with the requests
// per slot or the share of token memory held, and with a lower speed.
func (e *Engine) slowdown() float64 {
	e.mu.Lock()
	running := float64(len(e.active)) / float64(e.options.Slots)
	memory := float64(e.kvUsed) / float64(e.options.KVCacheTokens)
	e.mu.Unlock()
	speed := float64(e.speed.Load()) / speedUnit
	return max(1, running, memory) / speed
}

// sleep waits for d; it reports false when ctx ended first.
func (e *Engine) sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := e.options.Clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return true
	case <-ctx.Done():
		return false
	}
}
