package admission

import (
	"github.com/hibiscuspost/hibiscuspost/internal/fairqueue"
	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

// queue holds a pool's waiting requests. The caller must hold the pool's lock.
type queue struct {
	tiers [tables.TierCount]tierQueue
}

// tierQueue shares a tier among accounts.
type tierQueue = fairqueue.Queue[*job]

// Account implements fairqueue.Item.
func (j *job) Account() string { return j.account }

// Cost implements fairqueue.Item.
func (j *job) Cost() float64 { return float64(j.cost) }

// Weight implements fairqueue.Item.
func (j *job) Weight() float64 { return j.weight }

// Sequence implements fairqueue.Item.
func (j *job) Sequence() uint64 { return j.seq }
