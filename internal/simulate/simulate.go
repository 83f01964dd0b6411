// Package simulate plays a load pattern against modelled engines on a virtual
// clock, with the decisions that serve real requests (package schedule).
//
// It shows in a second what a decision about waiting, refusal or placing does to
// half a minute of load. It knows one coordinator with exact counts, and neither
// messages between instances nor processor time; see docs/design/pressure.md for
// how far its figures agree with the bench's.
package simulate

import (
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/enginemodel"
)

// Class is a kind of request.
type Class struct {
	Name string
	// ArrivalsPerSecond is the mean number of arrivals.
	ArrivalsPerSecond float64
	Priority          int
	// MeanPromptTokens and MeanOutputTokens are mean tokens; their logarithms spread by PromptSpread
	// and OutputSpread.
	MeanPromptTokens, MeanOutputTokens               float64
	PromptLogStdDev, OutputLogStdDev                 float64
	FirstTokenObjective, EventGapObjective, Deadline time.Duration
	// Value is earned by an answer in time, LateValue by a later one.
	Value, LateValue float64
}

// Environment is what a pattern is played on.
type Environment struct {
	Classes []Class
	Engine  enginemodel.Settings
	// EngineSpeeds are those of the engines.
	EngineSpeeds   []float64
	TokensPerEvent int
	Duration       time.Duration
}

// DefaultEnvironment returns a world of twelve unlike engines and three classes, at about
// three quarters of what the engines can do.
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

// Pattern is what happens to the load and the engines.
type Pattern struct {
	Name string
	// Begin and End bound the disturbance.
	Begin, End time.Duration
	// ArrivalFactor multiplies arrivals meanwhile, of OnlyClass if set.
	ArrivalFactor float64
	OnlyClass     string
	// DownShare is the share of the engines that break off what they run and take
	// nothing; SlowShare the share that take SlowFactor times as long.
	DownShare, SlowShare, SlowFactor float64
	// DeferArrivals lets all that would have arrived meanwhile arrive at the end.
	DeferArrivals bool
}

// Patterns are those that can be played by name.
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
