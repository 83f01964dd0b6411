package schedule

// ServiceState is the state of one service as published in the metrics.
type ServiceState struct {
	Targets int `json:"targets"`
	// TotalSlots is the number of slots of all targets, FreeSlots the number of
	// those that requests may use now.
	TotalSlots int `json:"places"`
	FreeSlots  int `json:"free"`
	// Running is the number of running requests.
	Running int `json:"running"`
	// HeldTokens is the memory that the running requests may take.
	HeldTokens int `json:"held_tokens"`
	// Queued is the number of requests queued here, by priority.
	Queued [PriorityCount]int `json:"waiting"`
	// Overdue is the number of queued requests that have missed their objectives, which
	// Queued does not count.
	Overdue int `json:"waiting_overdue"`
	// Ejected is the number of targets ejected for their failures, Resting that of
	// targets that have asked an instance for rest, Leaving that of targets that state
	// that they leave.
	Ejected int `json:"ejected"`
	Resting int `json:"resting"`
	Leaving int `json:"leaving"`
}

// Snapshot returns the state of each service.
func (s *Scheduler) Snapshot() map[string]ServiceState {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	states := make(map[string]ServiceState, len(s.services))
	for name, sv := range s.services {
		state := ServiceState{Targets: len(sv.targets), FreeSlots: sv.totalFreeSlots(now)}
		for _, t := range sv.targets {
			state.TotalSlots += t.info.Slots
			state.Running += t.running
			state.HeldTokens += t.heldTokens
			if t.ejector.Ejected(now) {
				state.Ejected++
			}
			if t.rests.any(now) {
				state.Resting++
			}
			if t.terms.IsLeaving {
				state.Leaving++
			}
		}
		state.Queued, state.Overdue = sv.queues.countByPriority(), sv.queues.overdueCount()
		states[name] = state
	}
	return states
}
