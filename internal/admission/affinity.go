package admission

import (
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/routing"
)

const (
	// minAffinitySaving is the least prefill time to be saved for which a request
	// waits for the target that has its prefix.
	minAffinitySaving = 50 * time.Millisecond
	// affinityWaitFactor is how long it waits, relative to the time saved.
	affinityWaitFactor = 1.0
	// affinitySlackShare is the largest part of its slack that it waits.
	affinitySlackShare = 0.25
	// assumedColdReuse is the reuse assumed of the target that all entries prefer for
	// a prefix that none is known to hold.
	assumedColdReuse = 0.5
)

// preferredTarget returns the target that probably has most of the prompt cached, and
// the share. When none is known to, it is chosen by rendezvous hashing on the
// first block, so that all entries send a conversation to the same target.
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
		if score := routing.Score(t.info.Load().Name, prefix[0]); cold == nil || score > highestScore {
			cold, highestScore = t, score
		}
	}
	if best == nil {
		return cold, assumedColdReuse
	}
	return best, float64(mostBlocks) / float64(len(prefix))
}

// waitsForPreferred reports whether the request should rather wait for its favorite than
// start elsewhere: for no longer than the prefill that it saves takes.
func (p *pool) waitsForPreferred(job *job, preferred *target, reuse float64, now time.Time) bool {
	if preferred == nil || preferred.checkFit(job) == fits {
		return false
	}
	prefill := p.bestSpeed.Load().FirstToken(job.request.PromptTokens)
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

// fitsElsewhere reports whether the request could start on another target.
func (p *pool) fitsElsewhere(job *job, preferred *target) bool {
	for _, t := range *p.targets.Load() {
		if t != preferred && t.checkFit(job) == fits {
			return true
		}
	}
	return false
}
