package target

import (
	"time"

	"github.com/jonboulle/clockwork"
)

// Defaults of EngineOptions.
const (
	defaultSlots           = 8
	defaultKVTokens        = 200_000
	defaultPrefillPerS     = 20_000.0
	defaultTokenTime       = 5 * time.Millisecond
	defaultCacheBlocks     = 512
	admittedPerSlot        = 4
	defaultRecentCacheNews = 4096
)

// EngineOptions configure an Engine; zero fields take defaults.
type EngineOptions struct {
	// Name is used in the log.
	Name string
	// Version is the version that is loaded at the start; default "v1".
	Version string
	// Slots is how many requests run at full speed; default 8.
	Slots int
	// MaxConcurrentRequests is how many requests are admitted at once, above which new
	// ones get 429; default four times the slots.
	MaxConcurrentRequests int
	// KVCacheTokens is the token memory; default 200,000.
	KVCacheTokens int
	// PrefillTokensPerSecond is the speed of uncached prompt tokens; default 20,000.
	PrefillTokensPerSecond float64
	// DecodeTimePerToken is the decode time of one output token at full speed; default
	// 5 ms.
	DecodeTimePerToken time.Duration
	// CacheBlocks bounds the prefix cache; default 512, negative for none.
	CacheBlocks int
	// CacheEventDelay is how late cache events become visible.
	CacheEventDelay time.Duration
	// CacheEventLossProbability is the probability that a cache event is left out.
	CacheEventLossProbability float64
	// LoadReportLag is the age of load reports.
	LoadReportLag time.Duration
	// VersionLoadTime is how long a load order takes.
	VersionLoadTime time.Duration
	// CrashMarker crashes the engine on a request whose body contains it;
	// empty means never.
	CrashMarker string
	// VersionFaults tells how each version misbehaves.
	VersionFaults map[string]VersionFault
	// EnforceFencing refuses orders with an old fencing number.
	EnforceFencing bool
	// Seed drives all random choices.
	Seed uint64
	// Clock drives all timing; nil means the real clock.
	Clock clockwork.Clock
}

// VersionFault describes how a version misbehaves and when. The conditions must
// all hold; those left zero hold always.
type VersionFault struct {
	// FailureRatio is the share of requests answered 500.
	FailureRatio float64
	// SlowdownFactor multiplies the running times; 0 means 1.
	SlowdownFactor float64
	// OmitStreamEnd leaves out the explicit end of streams.
	OmitStreamEnd bool

	// AfterRequests is how many requests of the version pass before.
	AfterRequests int
	// AfterTime is how long the version serves before.
	AfterTime time.Duration
	// MinRunning is the number of running requests from which it shows.
	MinRunning int
	// Path limits it to requests with the exact path.
	Path string
	// Model limits it to requests for the model.
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
		o.MaxConcurrentRequests = admittedPerSlot * o.Slots
	}
	if o.KVCacheTokens <= 0 {
		o.KVCacheTokens = defaultKVTokens
	}
	if o.PrefillTokensPerSecond <= 0 {
		o.PrefillTokensPerSecond = defaultPrefillPerS
	}
	if o.DecodeTimePerToken <= 0 {
		o.DecodeTimePerToken = defaultTokenTime
	}
	if o.CacheBlocks == 0 {
		o.CacheBlocks = defaultCacheBlocks
	}
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
}
