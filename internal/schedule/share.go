package schedule

import "github.com/cespare/xxhash/v2"

// uncoordinatedShare is the part of what targets state in their terms that all
// instances together use for requests placed without a coordinator, since other
// instances may have one, or their requests may still run.
const uncoordinatedShare = 0.5

// share is what a scheduler may use of the terms of targets. The zero value is all.
type share struct {
	// index is the position of this instance among instances.
	index, instances int
}

// rate returns the part of a rate limit that may be used.
func (s share) rate() float64 {
	if s.instances == 0 {
		return 1
	}
	return uncoordinatedShare / float64(s.instances)
}

// slots returns how many slots of a brittle target may be used. The slots are divided
// among the instances; which get one more depends on the target.
func (s share) slots(t *target) int {
	if s.instances == 0 {
		return t.info.Slots
	}
	divided := int(uncoordinatedShare * float64(t.info.Slots))
	offset := int(xxhash.Sum64String(t.info.ID) % uint64(s.instances))
	own := divided / s.instances
	if (s.index+offset)%s.instances < divided%s.instances {
		own++
	}
	return own
}

// SetShare divides what targets state in their terms among the instances that place
// requests without a coordinator, of which this one has the given position.
func (s *Scheduler) SetShare(index, instances int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.share = share{index, instances}
	now := s.clock.Now()
	for _, t := range s.targets {
		t.share = s.share
		t.limiter.setTerms(t.terms.Terms, t.share.rate(), now)
		t.limiter.setCold(t.info.Limits, t.share.rate(), now)
	}
}
