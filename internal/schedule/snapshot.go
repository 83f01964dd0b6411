package schedule

// ServiceState is what the metrics say of one service.
type ServiceState struct {
	Targets int `json:"targets"`
	// Slots are all that the targets have, Free those taken to be free now.
	Slots     int `json:"places"`
	FreeSlots int `json:"free"`
	// Running counts the requests that run.
	Running int `json:"running"`
	// Queued counts the requests that wait here, by priority.
	Queued [PriorityCount]int `json:"waiting"`
	// Ejected counts the targets that are left alone for their failures.
	Ejected int `json:"ejected"`
}

// Snapshot returns the state of each service.
func (s *Scheduler) Snapshot() map[string]ServiceState {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	states := make(map[string]ServiceState, len(s.services))
	for name, sv := range s.services {
		state := ServiceState{Targets: len(sv.targets), FreeSlots: sv.freeSlots(now)}
		for _, t := range sv.targets {
			state.Slots += t.info.Slots
			state.Running += t.running
			if t.ejector.Ejected(now) {
				state.Ejected++
			}
		}
		for p, waiting := range sv.queues {
			state.Queued[p] = len(waiting)
		}
		states[name] = state
	}
	return states
}
