package once

import "github.com/hibiscuspost/hibiscuspost/internal/answer"

// Answer returns the recorded answer of the request with a key's ID, or nil.
func (l *Ledger) Answer(id string) *answer.Answer { return l.answers.Get(id) }
