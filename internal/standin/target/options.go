package target

import (
	"time"

	"github.com/jonboulle/clockwork"
)

// Defaults of EngineOptions, and the minimum number of cache events that are kept
// for clients.
const (
	defaultSlots                     = 8
	defaultKVTokens                  = 200_000
	defaultPrefillTokensPerSecond    = 20_000.0
	defaultDecodeTimePerToken        = 5 * time.Millisecond
	defaultCacheBlocks               = 512
	defaultConcurrentRequestsPerSlot = 4
	retainedCacheEvents              = 4096
)

// EngineOptions configures an Engine. Zero fields take their defaults.
type EngineOptions struct {
	// Name is the name of the target in recorded runs.
	Name string
	// Version is the version that is loaded initially; default "v1".
	Version string
	// Slots is the number of requests that run at full speed; default 8.
	Slots int
	// MaxConcurrentRequests is the maximum number of active runs; further requests
	// are refused with status 429. The default is four times the slots.
	MaxConcurrentRequests int
	// KVCacheTokens is the KV cache capacity in tokens; default 200,000. Beyond
	// it, runs slow down.
	KVCacheTokens int
	// PrefillTokensPerSecond is the prefill speed of uncached prompt tokens at
	// full speed; default 20,000.
	PrefillTokensPerSecond float64
	// DecodeTimePerToken is the decode time of one output token at full speed;
	// default 5 ms.
	DecodeTimePerToken time.Duration
	// CacheBlocks is the capacity of the prefix cache in blocks; default 512,
	// negative for no cache.
	CacheBlocks int
	// CacheEventDelay is the time until a cache event becomes visible.
	CacheEventDelay time.Duration
	// CacheEventLossProbability is the probability that a cache event is lost.
	CacheEventLossProbability float64
	// LoadReportLag is the age of the load reports that clients get.
	LoadReportLag time.Duration
	// VersionLoadTime is how long loading a version takes.
	VersionLoadTime time.Duration
	// CrashMarker is a text that crashes the engine when it runs a request whose
	// body contains it; empty for none.
	CrashMarker string
	// VersionFaults holds the fault to inject into each version.
	VersionFaults map[string]VersionFault
	// EnforceFencing makes the engine refuse orders whose fencing token is lower
	// than the highest one that it has accepted.
	EnforceFencing bool
	// Seed is the seed of all random choices.
	Seed uint64
	// Clock is the source of time; nil means the real clock.
	Clock clockwork.Clock
}

// VersionFault is a fault that is injected into the runs of a version, with the
// conditions under which it applies. All conditions must hold; a zero condition
// always holds.
type VersionFault struct {
	// FailureRatio is the share of requests that fail with status 500.
	FailureRatio float64
	// SlowdownFactor multiplies the execution times; 0 means 1.
	SlowdownFactor float64
	// OmitStreamEnd omits the end marker of streams; a response that is not
	// streamed is aborted.
	OmitStreamEnd bool

	// AfterRequests is the number of requests that the version handles before the
	// fault applies.
	AfterRequests int
	// AfterTime is how long the version serves before the fault applies.
	AfterTime time.Duration
	// MinRunning is the number of other active runs from which the fault applies.
	MinRunning int
	// Path limits the fault to requests with exactly this path.
	Path string
	// Model limits the fault to requests for this model.
	Model string
}

func (o *EngineOptions) setDefaults() {
	if o.Version == "" {
		o.Version = "v1"
	}
	if o.Slots <= 0 {
		o.Slots = defaultSlots
	}
	if o.MaxConcurrentRequests <= 0 {
		o.MaxConcurrentRequests = defaultConcurrentRequestsPerSlot * o.Slots
	}
	if o.KVCacheTokens <= 0 {
		o.KVCacheTokens = defaultKVTokens
	}
	if o.PrefillTokensPerSecond <= 0 {
		o.PrefillTokensPerSecond = defaultPrefillTokensPerSecond
	}
	if o.DecodeTimePerToken <= 0 {
		o.DecodeTimePerToken = defaultDecodeTimePerToken
	}
	if o.CacheBlocks == 0 {
		o.CacheBlocks = defaultCacheBlocks
	}
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
}
