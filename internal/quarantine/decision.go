package quarantine

import "time"

// causedCrashes reports whether a request with at least two marks is to be
// quarantined: it has unconditionalMarks marks, or there are two crashed
// targets for which no other request is marked. r.mu must be held for reading.
func (r *Registry) causedCrashes(fp Fingerprint) bool {
	marks := r.validMarks(r.suspects[fp])
	if len(marks) >= unconditionalMarks {
		return true
	}
	for first := range marks {
		for second := range marks {
			if first < second && r.onlySuspectAtBoth(fp, first, second) {
				return true
			}
		}
	}
	return false
}

// onlySuspectAtBoth reports whether no other request is marked for both
// targets. r.mu must be held for reading.
func (r *Registry) onlySuspectAtBoth(fp Fingerprint, first, second string) bool {
	for other, s := range r.suspects {
		if other != fp && hasBoth(r.validMarks(s), first, second) {
			return false
		}
	}
	return true
}

func hasBoth(marks map[string]time.Time, first, second string) bool {
	_, one := marks[first]
	_, two := marks[second]
	return one && two
}
