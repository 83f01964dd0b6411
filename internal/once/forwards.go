package once

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/hibiscuspost/hibiscuspost/internal/membership"
)

const (
	// DefaultResendWindow is how long after its end a keyed request is
	// remembered.
	DefaultResendWindow = 2 * time.Minute
	// maxForwards bounds the records of one instance.
	maxForwards = 1 << 16
)

// Location tells where a keyed request runs, so that it can be resumed.
type Location struct {
	// Instance is the name of the key owner that dispatched it.
	Instance string `json:"instance"`
	// Handle is the request's handle at that key owner.
	Handle string `json:"handle,omitempty"`
	// Target is the target's "ip:port"; empty when it is not known.
	Target string `json:"target,omitempty"`
	// RequestID is the run's id at the target.
	RequestID string `json:"request_id,omitempty"`
}

// Record is what an instance other than the key owner knows of a keyed request.
// It says that the request may have been dispatched.
type Record struct {
	Key      Key         `json:"key"`
	Hash     RequestHash `json:"hash"`
	Location Location    `json:"dispatched"`
	// SoleKeyOwner is the identity of the process that alone was asked to run it;
	// empty if there were several or it is not known.
	SoleKeyOwner string `json:"key_owner,omitempty"`
	// RetentionMillis is for how long it must be remembered, as of the message.
	RetentionMillis int64 `json:"keep_ms"`
}

// forwardPartitions is the number of independently locked parts of Forwards.
const forwardPartitions = 64

// Forwards remembers the keyed requests that this instance has forwarded to
// their key owners, and those of which it was asked to keep a copy. After a
// key owner's death its successor collects them.
type Forwards struct {
	clock      clockwork.Clock
	window     time.Duration
	count      atomic.Int64
	partitions [forwardPartitions]forwardPartition
}

// forwardPartition holds the keys whose shard falls to it.
type forwardPartition struct {
	// mu guards records.
	mu      sync.Mutex
	records map[Key]*trackedForward
}

// trackedForward is one record with its use.
type trackedForward struct {
	record Record
	// activeCallers is the number of callers still served.
	activeCallers int
	// mayHaveRun is set once an attempt has ended without proof that it was not
	// dispatched.
	mayHaveRun bool
	// expiry is when it may be forgotten, once no caller is served.
	expiry time.Time
}

// ForwardOutcome tells how the serving of a caller by way of the key owner ended.
type ForwardOutcome uint8

const (
	// ForwardInterrupted means that the key owner may still run the request.
	ForwardInterrupted ForwardOutcome = iota
	// ForwardEnded means that the request has ended at the key owner.
	ForwardEnded
	// ForwardNotRun means that the key owner, or the failure to reach it, proved
	// that the request was not dispatched.
	ForwardNotRun
)

// NewForwards returns an empty memory; zero window means DefaultResendWindow.
func NewForwards(clock clockwork.Clock, window time.Duration) *Forwards {
	if clock == nil {
		clock = clockwork.NewRealClock()
	}
	if window == 0 {
		window = DefaultResendWindow
	}
	f := &Forwards{clock: clock, window: window}
	for i := range f.partitions {
		f.partitions[i].records = make(map[Key]*trackedForward)
	}
	return f
}

// Track must be called before a request is forwarded to its key owner, and Done
// once its caller has been answered. Deadline is when the request ends at the
// latest. Track fails with a not_run refusal when too many requests are
// remembered.
func (f *Forwards) Track(key Key, hash RequestHash, keyOwner membership.Member, deadline time.Time) error {
	partition := f.partition(key)
	partition.mu.Lock()
	defer partition.mu.Unlock()
	tracked := partition.records[key]
	if tracked == nil {
		if f.count.Load() >= maxForwards {
			return refuseNotRun("too many keyed requests are remembered here")
		}
		tracked = f.add(partition, key)
		tracked.record = Record{
			Key: key, Hash: hash, Location: Location{Instance: keyOwner.Name}, SoleKeyOwner: identity(keyOwner),
		}
	}
	if tracked.record.SoleKeyOwner != identity(keyOwner) {
		tracked.record.SoleKeyOwner = ""
	}
	tracked.activeCallers++
	tracked.expiry = later(tracked.expiry, deadline.Add(f.window))
	return nil
}

// SetLocation notes the key owner's word that the request goes to a target.
func (f *Forwards) SetLocation(key Key, at Location) {
	partition := f.partition(key)
	partition.mu.Lock()
	defer partition.mu.Unlock()
	if tracked := partition.records[key]; tracked != nil {
		tracked.record.Location = at
	}
}

// Done ends what Note began.
func (f *Forwards) Done(key Key, end ForwardOutcome) {
	partition := f.partition(key)
	partition.mu.Lock()
	defer partition.mu.Unlock()
	tracked := partition.records[key]
	if tracked == nil {
		return
	}
	tracked.activeCallers--
	tracked.mayHaveRun = tracked.mayHaveRun || end != ForwardNotRun
	if end == ForwardEnded {
		tracked.expiry = f.clock.Now().Add(f.window)
	}
	if tracked.activeCallers <= 0 && !tracked.mayHaveRun {
		f.remove(partition, key)
	}
}

// storeReplicas stores copies of other instances' records.
func (f *Forwards) storeReplicas(records []Record) bool {
	if f.count.Load()+int64(len(records)) > maxForwards {
		return false
	}
	for _, r := range records {
		f.storeReplica(r)
	}
	return true
}

func (f *Forwards) storeReplica(r Record) {
	partition := f.partition(r.Key)
	partition.mu.Lock()
	defer partition.mu.Unlock()
	tracked := partition.records[r.Key]
	if tracked == nil {
		tracked = f.add(partition, r.Key)
	}
	tracked.record = r
	tracked.mayHaveRun = true
	tracked.expiry = later(tracked.expiry, f.clock.Now().Add(time.Duration(r.RetentionMillis)*time.Millisecond))
}

// collect returns the records that meet the condition.
func (f *Forwards) collect(match func(Key) bool) []Record {
	now := f.clock.Now()
	var records []Record
	for i := range f.partitions {
		partition := &f.partitions[i]
		partition.mu.Lock()
		for key, tracked := range partition.records {
			if match(key) {
				records = append(records, tracked.snapshot(now, f.window))
			}
		}
		partition.mu.Unlock()
	}
	return records
}

// snapshot returns the record as of now.
func (t *trackedForward) snapshot(now time.Time, window time.Duration) Record {
	record := t.record
	record.RetentionMillis = max(t.expiry.Sub(now), window).Milliseconds()
	return record
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// RemoveExpired forgets the records past their time. Ledger.Run calls it.
func (f *Forwards) RemoveExpired() {
	now := f.clock.Now()
	for i := range f.partitions {
		partition := &f.partitions[i]
		partition.mu.Lock()
		for key, tracked := range partition.records {
			if tracked.activeCallers <= 0 && now.After(tracked.expiry) {
				f.remove(partition, key)
			}
		}
		partition.mu.Unlock()
	}
}

// Count returns the number of records.
func (f *Forwards) Count() int { return int(f.count.Load()) }

func (f *Forwards) partition(key Key) *forwardPartition {
	return &f.partitions[key.Shard()%forwardPartitions]
}

// add makes an empty record; part.mu is held.
func (f *Forwards) add(partition *forwardPartition, key Key) *trackedForward {
	added := &trackedForward{}
	partition.records[key] = added
	f.count.Add(1)
	return added
}

// remove forgets a record; part.mu is held.
func (f *Forwards) remove(partition *forwardPartition, key Key) {
	delete(partition.records, key)
	f.count.Add(-1)
}
