// Package simulate runs load patterns against modelled engines on a virtual
// clock. The requests are scheduled by package schedule, which also schedules
// real ones, or forwarded to the least loaded engine as a baseline.
//
// A run shows within a second how a rule for queueing, refusing or placing
// requests affects half a minute of load. The model has one coordinator with
// exact counts; it includes neither messages between instances nor processor
// time. See docs/design/pressure.md for how far its figures agree with those
// of the benchmark.
package simulate

import (
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/enginemodel"
)

// Class is a kind of request with its arrival rate, sizes and objectives.
type Class struct {
	Name string
	// ArrivalsPerSecond is the mean arrival rate; interarrival times are
	// exponentially distributed.
	ArrivalsPerSecond float64
	Priority          int
	// MeanPromptTokens and MeanOutputTokens are means of log-normal
	// distributions; PromptLogStdDev and OutputLogStdDev are the standard
	// deviations of the logarithms.
	MeanPromptTokens, MeanOutputTokens float64
	PromptLogStdDev, OutputLogStdDev   float64
	// FirstTokenObjective and EventGapObjective are the longest time from
	// arrival to the first token, and the longest gap between events, of a
	// response that is on time. Deadline counts from the arrival.
	FirstTokenObjective, EventGapObjective, Deadline time.Duration
	// Value is earned by a response that is on time, LateValue by a late one.
	Value, LateValue float64
}

// Environment is the load and the engines that a pattern is applied to.
type Environment struct {
	Classes []Class
	Engine  enginemodel.Settings
	// EngineSpeeds holds the speed of each engine, which divides its times.
	EngineSpeeds   []float64
	TokensPerEvent int
	// Duration is the time in which requests arrive.
	Duration time.Duration
}

// DefaultEnvironment returns twelve engines of three speeds and three classes
// of requests, at about three quarters of the capacity of the engines.
func DefaultEnvironment() Environment {
	const engines = 12
	speeds := make([]float64, engines)
	for i := range speeds {
		speeds[i] = []float64{0.55, 1, 2.8}[i%3]
	}
	return Environment{
		Classes: []Class{
			{
				Name: "long", ArrivalsPerSecond: 29.4, Priority: 0, MeanPromptTokens: 6610, PromptLogStdDev: 1.4, MeanOutputTokens: 380, OutputLogStdDev: 1.5,
				FirstTokenObjective: 600 * time.Millisecond, EventGapObjective: 250 * time.Millisecond, Deadline: 12 * time.Second, Value: 11, LateValue: 5.3,
			},
			{
				Name: "chat", ArrivalsPerSecond: 62.2, Priority: 1, MeanPromptTokens: 628, PromptLogStdDev: 1, MeanOutputTokens: 290, OutputLogStdDev: 1.5,
				FirstTokenObjective: 500 * time.Millisecond, EventGapObjective: 250 * time.Millisecond, Deadline: 12 * time.Second, Value: 0.95, LateValue: 0.47,
			},
			{
				Name: "tag", ArrivalsPerSecond: 49.7, Priority: 2, MeanPromptTokens: 1800, PromptLogStdDev: 1.3, MeanOutputTokens: 23, OutputLogStdDev: 1.5,
				FirstTokenObjective: time.Second, EventGapObjective: 250 * time.Millisecond, Deadline: 2500 * time.Millisecond, Value: 0.32, LateValue: 0.16,
			},
		},
		Engine: enginemodel.Settings{
			Slots: 13, StepTime: 2970 * time.Microsecond, StepTimePerRequest: 22 * time.Microsecond,
			StepTimePerThousandTokens: 4 * time.Microsecond, PrefillTokensPerMs: 101, PrefillChunkTokens: 2048, KVCacheTokens: 755083,
		},
		EngineSpeeds: speeds, TokensPerEvent: 6, Duration: 34 * time.Second,
	}
}

// Pattern is a disturbance of the load or of the engines.
type Pattern struct {
	Name string
	// Begin and End are the start and the end of the disturbance.
	Begin, End time.Duration
	// ArrivalFactor multiplies the arrival rates during the disturbance; with
	// OnlyClass set, only that of this class.
	ArrivalFactor float64
	OnlyClass     string
	// DownShare is the share of the engines that fail all their requests and
	// accept none during the disturbance; SlowShare is the share whose step
	// times are multiplied by SlowFactor.
	DownShare, SlowShare, SlowFactor float64
	// DeferArrivals moves all arrivals of the disturbance to the second after
	// its end.
	DeferArrivals bool
}

// Patterns returns the patterns that can be selected by name.
func Patterns() []Pattern {
	const begin, end = 10 * time.Second, 16 * time.Second
	return []Pattern{
		{Name: "steady", ArrivalFactor: 1},
		{Name: "burst", Begin: begin, End: end, ArrivalFactor: 1.7},
		{Name: "surge", Begin: begin, End: end, ArrivalFactor: 3},
		{Name: "one-class", Begin: begin, End: end, ArrivalFactor: 4, OnlyClass: "tag"},
		{Name: "third-gone", Begin: begin, End: end, ArrivalFactor: 1, DownShare: 0.34},
		{Name: "third-slow", Begin: begin, End: end, ArrivalFactor: 1, SlowShare: 0.34, SlowFactor: 4},
		{Name: "everyone-returns", Begin: begin, End: 12 * time.Second, DeferArrivals: true},
	}
}
