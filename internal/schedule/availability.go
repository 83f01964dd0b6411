package schedule

import (
	"math"
	"time"
)

// Availability describes how soon the targets of a service can take requests.
type Availability struct {
	// FreeSlots is the number of slots that may be used now.
	FreeSlots int
	// QueuedByPriority counts the queued requests of each priority.
	QueuedByPriority [PriorityCount]int
	// SlotInterval is the expected time between two slots that become free while
	// all are in use; 0 if it is not known.
	SlotInterval time.Duration
}

// Queued returns the number of queued requests.
func (a *Availability) Queued() int { return a.queuedAhead(PriorityCount - 1) }

// ExpectedWait returns the expected wait of a request that joins the queue.
func (a *Availability) ExpectedWait(priority int) time.Duration {
	return time.Duration(a.queuedAhead(priority)) * a.SlotInterval
}

// AddQueued counts a request that joins the queue.
func (a *Availability) AddQueued(priority int) { a.QueuedByPriority[queuePriority(priority)]++ }

// queuedAhead returns the number of queued requests that go before one of the
// priority that joins the queue.
func (a *Availability) queuedAhead(priority int) int {
	ahead := 0
	for _, queued := range a.QueuedByPriority[:queuePriority(priority)+1] {
		ahead += queued
	}
	return ahead
}

// Availability returns the availability of a service, by the requests queued
// here.
func (s *Scheduler) Availability(service string) Availability {
	s.mu.Lock()
	defer s.mu.Unlock()
	sv := s.services[service]
	if sv == nil {
		return Availability{}
	}
	now := s.clock.Now()
	a := Availability{FreeSlots: sv.freeSlotsForAll(now), SlotInterval: sv.slotInterval(now)}
	a.QueuedByPriority = sv.queues.countByPriority()
	return a
}

// slotInterval returns the expected time between two requests that can start while
// all slots are in use; 0 if it is not known.
func (sv *service) slotInterval(now time.Time) time.Duration {
	perSecond := 0.0
	for _, t := range sv.targets {
		if t.usable(now, false) && !t.rests.any(now) {
			perSecond += t.throughput(sv.responseTime.duration(), now)
		}
	}
	if perSecond == 0 || math.IsInf(perSecond, 1) {
		return 0
	}
	return time.Duration(float64(time.Second) / perSecond)
}

// usableSlots returns the number of slots of all usable targets.
func (sv *service) usableSlots(now time.Time) int {
	slots := 0
	for _, t := range sv.targets {
		if t.usable(now, false) {
			slots += t.info.Slots
		}
	}
	return slots
}
