package quarantine

import "time"

// guilty tells whether a request with at least two marks is to be quarantined:
// it has maxMarks, or there are two crashed targets at which no other request
// was running both times. l.mu is held for reading.
func (l *Registry) guilty(fp Fingerprint) bool {
	marks := l.valid(l.cases[fp])
	if len(marks) >= maxMarks {
		return true
	}
	for first := range marks {
		for second := range marks {
			if first < second && l.alone(fp, first, second) {
				return true
			}
		}
	}
	return false
}

// alone tells whether no other request is marked for both targets; l.mu is held
// for reading.
func (l *Registry) alone(fp Fingerprint, first, second string) bool {
	for other, s := range l.cases {
		if other != fp && hasBoth(l.valid(s), first, second) {
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
