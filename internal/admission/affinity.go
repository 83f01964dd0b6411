package admission

import (
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/routing"
)

const (
	// minAffinitySaving is the least expected saving of prefill time for which a
	// request waits for the target that has its prefix cached.
	minAffinitySaving = 50 * time.Millisecond
	// affinityWaitFactor is the longest wait relative to the prefill time saved.
	affinityWaitFactor = 1.0
	// affinitySlackShare is the largest share of the request's slack spent on the wait.
	affinitySlackShare = 0.25
	// assumedColdReuse is the reuse expected of the target chosen by rendezvous
	// hashing, when no target is known to have the prefix cached.
	assumedColdReuse = 0.5
)

// preferredTarget returns the target expected to have most of the prompt cached,
// and the expected share. If no target is known to have any of it, rendezvous
// hashing on the first block chooses one, so that all entries route a
// conversation to the same target.
func (p *pool) preferredTarget(job *job, version string, reserved []*target) (*target, float64) {
	prefix := job.request.PrefixHashes
	if len(prefix) == 0 {
		return nil, 0
	}
	var best, cold *target
	mostBlocks, highestScore := 0, uint64(0)
	for _, t := range *p.targets.Load() {
		if t.ejected.Load() || !p.eligible(t, job, version, reserved) {
			continue
		}
		if blocks := t.prefixIndex.Match(prefix); blocks > mostBlocks {
			best, mostBlocks = t, blocks
		}
		if score := routing.RendezvousScore(t.info.Load().Name, prefix[0]); cold == nil || score > highestScore {
			cold, highestScore = t, score
		}
	}
	if best == nil {
		return cold, assumedColdReuse
	}
	return best, float64(mostBlocks) / float64(len(prefix))
}

// waitsForPreferred reports whether the request should wait for its preferred
// target instead of starting on another one. It waits no longer than the prefill
// time that it expects to save.
func (p *pool) waitsForPreferred(job *job, preferred *target, reuse float64, now time.Time) bool {
	if preferred == nil || preferred.checkFit(job) == fits {
		return false
	}
	prefill := p.bestSpeed.Load().TimeToFirstToken(job.request.PromptTokens)
	saved := time.Duration(reuse * float64(prefill))
	if saved < minAffinitySaving {
		return false
	}
	maxWait := time.Duration(affinityWaitFactor * float64(saved))
	if latest, ok := p.latestStart(job, serviceMargin); ok {
		slack := latest.Sub(job.arrivedAt)
		maxWait = min(maxWait, time.Duration(affinitySlackShare*float64(slack)))
	}
	if firstStart, hasObjective := p.latestFirstTokenStart(job, now); hasObjective {
		maxWait = min(maxWait, time.Duration(affinitySlackShare*float64(firstStart.Sub(job.arrivedAt))))
	}
	if job.affinityWaitSince.IsZero() && p.fitsElsewhere(job, preferred) {
		job.affinityWaitSince = now
	}
	return job.affinityWaitSince.IsZero() || now.Sub(job.affinityWaitSince) < maxWait
}

// fitsElsewhere reports whether another target has capacity for the request.
func (p *pool) fitsElsewhere(job *job, preferred *target) bool {
	for _, t := range *p.targets.Load() {
		if t != preferred && t.checkFit(job) == fits {
			return true
		}
	}
	return false
}
