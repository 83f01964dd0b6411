// Package report defines the responses to the status requests of the
// administration API: configuration, instances, targets and moves.
package report

import (
	"github.com/hibiscuspost/hibiscuspost/internal/move"
	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

// Config is the configuration in force at one instance, as GET
// /admin/v1/config returns it.
type Config struct {
	// Version and Hash identify the configuration in force at this instance.
	Version uint64 `json:"version"`
	Hash    string `json:"hash"`
	// AgeMillis is the time since the newest known read of the configuration
	// table, in milliseconds; -1 when none is known.
	AgeMillis int64 `json:"age_ms"`
	// MayBeBehind is set when this instance may have missed an accepted
	// configuration.
	MayBeBehind bool `json:"may_be_behind"`
	// Mode states on what basis new requests are accepted or refused.
	Mode string `json:"mode"`
	// Reason states why new requests are refused, if they are.
	Reason string `json:"reason,omitempty"`
	// Instances lists the versions in force at other instances, as far as
	// known.
	Instances []InstanceConfig `json:"instances"`
	// Routes and Pools are the tables in force.
	Routes []tables.Route `json:"routes"`
	Pools  []tables.Pool  `json:"pools"`
}

// InstanceConfig is the configuration in force at another instance.
type InstanceConfig struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	// AgeMillis is the age of this information, in milliseconds; negative
	// when no message from the instance has been received.
	AgeMillis int64 `json:"age_ms"`
	// Mode states on what basis the instance accepts or refuses new requests.
	Mode string `json:"mode,omitempty"`
}

// Instances lists the running instances in the view of one of them.
type Instances struct {
	Instances []Instance `json:"instances"`
}

// Instance is one running instance.
type Instance struct {
	Name          string `json:"name"`
	PeerAddress   string `json:"peer_address"`
	CallerAddress string `json:"caller_address"`
	FailureDomain string `json:"failure_domain"`
	Incarnation   uint64 `json:"incarnation"`
	Leaving       bool   `json:"leaving"`
	// Self marks the instance that sends the response.
	Self bool `json:"self"`
}

// Targets lists the targets of all pools.
type Targets struct {
	Targets []Target `json:"targets"`
}

// Target is one target in the view of an instance.
type Target struct {
	Pool          string `json:"pool"`
	Name          string `json:"name"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	Version       string `json:"version"`
	// Usable is false for a target that is leaving or whose version was
	// rolled back.
	Usable bool `json:"usable"`
	// Leaving is set when the target accepts no new requests because it is
	// being removed.
	Leaving bool `json:"leaving"`
	Slots   int  `json:"slots"`
	// Coordinator is the instance that grants the credits of the target.
	Coordinator string `json:"coordinator"`
}

// Moves lists the moves of all pools to new versions.
type Moves struct {
	Moves []move.Status `json:"moves"`
}
