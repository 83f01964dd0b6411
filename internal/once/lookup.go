package once

import "github.com/hibiscuspost/hibiscuspost/internal/answer"

// Answer returns the stored answer of the request with the given Key.ID, or
// nil.
func (l *Ledger) Answer(id string) *answer.Answer { return l.answers.Get(id) }
