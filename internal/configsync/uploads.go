package configsync

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/hibiscuspost/hibiscuspost/internal/catalog"
)

const (
	// smallUpdateBytes is the size up to which an update is sent at once, whatever
	// else is: a few packets.
	smallUpdateBytes = 4 << 10
	// uploadTimeout is how long an instance that requests no further part counts as
	// receiving.
	uploadTimeout = 400 * time.Millisecond
	// maxReceivers bounds the instances that are remembered for having received the
	// newest update; maxReferrals is how many of them an instance is referred to.
	maxReceivers = 32
	maxReferrals = 4
)

// Uploads decides to which instances an update is sent now, and refers the others to
// those that have received it. It is safe for concurrent use.
type Uploads struct {
	clock clockwork.Clock
	// limit is the number of instances that receive at a time.
	limit int

	// mu guards the fields below.
	mu sync.Mutex
	// active holds when each receiving instance last requested a part.
	active map[string]time.Time
	// revision is the newest one that was sent, receivers the instances that have
	// received it.
	revision  catalog.Revision
	receivers []string
}

// NewUploads returns Uploads that send to limit instances at a time.
func NewUploads(clock clockwork.Clock, limit int) *Uploads {
	return &Uploads{clock: clock, limit: max(1, limit), active: make(map[string]time.Time)}
}

// Admit reports whether a part of an update may be sent to an instance now. If not, it
// returns instances that have received the update, if there are any.
func (u *Uploads) Admit(to string, update *Update, part int) (ok bool, referrals []string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.clock.Now()
	if update.Bytes() > smallUpdateBytes && !u.activate(to, now) {
		return false, u.refer(to, update.To)
	}
	if part == len(update.Parts)-1 {
		delete(u.active, to)
		u.recordReceiver(to, update.To)
	}
	return true, nil
}

// activate counts an instance as receiving, if it does already or there is room.
func (u *Uploads) activate(to string, now time.Time) bool {
	if _, ok := u.active[to]; !ok && len(u.active) >= u.limit {
		for address, requestedAt := range u.active {
			if now.Sub(requestedAt) > uploadTimeout {
				delete(u.active, address)
			}
		}
		if len(u.active) >= u.limit {
			return false
		}
	}
	u.active[to] = now
	return true
}

func (u *Uploads) recordReceiver(to string, revision catalog.Revision) {
	if revision != u.revision {
		u.revision, u.receivers = revision, nil
	}
	if len(u.receivers) < maxReceivers {
		u.receivers = append(u.receivers, to)
	}
}

// refer returns a random choice of the instances that have received a revision.
func (u *Uploads) refer(to string, revision catalog.Revision) []string {
	if revision != u.revision {
		return nil
	}
	var referrals []string
	for _, i := range rand.Perm(len(u.receivers)) {
		if u.receivers[i] != to && len(referrals) < maxReferrals {
			referrals = append(referrals, u.receivers[i])
		}
	}
	return referrals
}
