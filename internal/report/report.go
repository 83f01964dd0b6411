// Package report holds the typed answers to the operators' queries.
package report

import (
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
	// MayBeStale is set when an accepted configuration could be missing here.
	MayBeStale bool `json:"may_be_behind"`
	// Mode is the ground on which new work is taken or refused.
	Mode string `json:"mode"`
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
	// AgeMillis is the age of this knowledge, in milliseconds; negative when
	// the instance was never heard.
	AgeMillis int64 `json:"age_ms"`
	// Mode is the ground on which the instance takes or refuses new work.
	Mode string `json:"mode,omitempty"`
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
	// Leaving is set when the target takes no new work since it leaves.
	Leaving bool `json:"leaving"`
	Slots   int  `json:"slots"`
	// Coordinator is the instance that grants the target's credits.
	Coordinator string `json:"coordinator"`
}

// Moves lists the moves of all pools.
type Moves struct {
	Moves []move.Status `json:"moves"`
}
