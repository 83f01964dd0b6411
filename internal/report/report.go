// Package report holds the typed answers to the operators' queries.
package report

import (
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/move"
	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

// Config tells which configuration is in force.
type Config struct {
	// Version and Hash identify the configuration in force at this instance.
	Version uint64 `json:"version"`
	Hash    string `json:"hash"`
	// AgeMillis is the age of the newest table read known, in milliseconds; -1
	// when none is known.
	AgeMillis int64 `json:"age_ms"`
	// MayBeBehind is set when an accepted configuration could be missing here.
	MayBeBehind bool `json:"may_be_behind"`
	// Reason tells why new work is refused, when it is.
	Reason string `json:"reason,omitempty"`
	// Instances are the versions in force elsewhere, as far as known.
	Instances []InstanceConfig `json:"instances"`
	// Routes and Pools are the tables in force.
	Routes []tables.Route `json:"routes"`
	Pools  []tables.Pool  `json:"pools"`
}

// InstanceConfig is the configuration in force at one instance.
type InstanceConfig struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	// AgeMillis is the age of this knowledge, in milliseconds.
	AgeMillis int64 `json:"age_ms"`
}

// Instances lists the live instances as one of them sees them.
type Instances struct {
	Instances []Instance `json:"instances"`
}

// Instance is one instance of the system.
type Instance struct {
	Name          string `json:"name"`
	PeerAddress   string `json:"peer_address"`
	CallerAddress string `json:"caller_address"`
	FailureDomain string `json:"failure_domain"`
	Incarnation   uint64 `json:"incarnation"`
	Leaving       bool   `json:"leaving"`
	// Self marks the instance that answers.
	Self bool `json:"self"`
}

// Targets lists the targets of all pools.
type Targets struct {
	Targets []Target `json:"targets"`
}

// Target is one target as an instance sees it.
type Target struct {
	Pool          string `json:"pool"`
	Name          string `json:"name"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	Version       string `json:"version"`
	// Usable is false for a target that leaves or whose version was taken back.
	Usable bool `json:"usable"`
	Slots  int  `json:"slots"`
	// Home is the instance that grants the target's credits.
	Home string `json:"home"`
}

// Moves lists the moves of all pools.
type Moves struct {
	Moves []move.Status `json:"moves"`
}

// Millis returns a duration in whole milliseconds.
func Millis(d time.Duration) int64 { return d.Milliseconds() }
