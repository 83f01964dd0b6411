package once

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/hibiscuspost/hibiscuspost/internal/membership"
)

const (
	// DefaultResendWindow is how long a keyed request is recorded after its
	// end.
	DefaultResendWindow = 2 * time.Minute
	// maxForwards bounds the records of one instance.
	maxForwards = 1 << 16
)

// Location identifies where a keyed request is queued or runs, so that it can
// be followed or resumed.
type Location struct {
	// Instance is the name of the instance that dispatched the request, or to
	// which it was forwarded.
	Instance string `json:"instance"`
	// Handle is the request's handle at that instance.
	Handle string `json:"handle,omitempty"`
	// Target is the target's "ip:port"; empty if it is not known.
	Target string `json:"target,omitempty"`
	// RequestID is the request's ID at the target.
	RequestID string `json:"request_id,omitempty"`
}

// Record is what instances exchange about a keyed request. It states that the
// request may have been dispatched.
type Record struct {
	Key      Key         `json:"key"`
	Hash     RequestHash `json:"hash"`
	Location Location    `json:"dispatched"`
	// SoleKeyOwner is the identity of the only process to which the request was
	// forwarded; empty if there were several or it is not known.
	SoleKeyOwner string `json:"key_owner,omitempty"`
	// RetentionMillis is how long the record must be kept, counted from the
	// message.
	RetentionMillis int64 `json:"keep_ms"`
}

// forwardPartitions is the number of independently locked partitions of
// Forwards.
const forwardPartitions = 64

// Forwards stores records of the keyed requests that this instance has
// forwarded to their key owners, and replicas of other instances' records. When
// a key owner has crashed, its successor collects them.
type Forwards struct {
	clock        clockwork.Clock
	resendWindow time.Duration
	count        atomic.Int64
	partitions   [forwardPartitions]forwardPartition
}

// forwardPartition holds the records of every forwardPartitions-th shard.
type forwardPartition struct {
	// mu guards records.
	mu      sync.Mutex
	records map[Key]*trackedForward
}

// trackedForward is a record with its state at this instance.
type trackedForward struct {
	record Record
	// activeCallers is the number of callers that are still served.
	activeCallers int
	// mayHaveRun is set once an attempt has ended and it is not certain that it
	// was not dispatched.
	mayHaveRun bool
	// expiry is when the record may be removed, if no caller is served any
	// more.
	expiry time.Time
}

// ForwardOutcome is how a forwarded attempt ended for its caller.
type ForwardOutcome uint8

const (
	// ForwardInterrupted means that the key owner may still run the request.
	ForwardInterrupted ForwardOutcome = iota
	// ForwardEnded means that the request has ended at the key owner.
	ForwardEnded
	// ForwardNotRun means that the request was certainly not dispatched,
	// according to the key owner or because the key owner could not be reached.
	ForwardNotRun
)

// NewForwards returns an empty store; a zero window means DefaultResendWindow.
func NewForwards(clock clockwork.Clock, resendWindow time.Duration) *Forwards {
	if clock == nil {
		clock = clockwork.NewRealClock()
	}
	if resendWindow == 0 {
		resendWindow = DefaultResendWindow
	}
	f := &Forwards{clock: clock, resendWindow: resendWindow}
	for i := range f.partitions {
		f.partitions[i].records = make(map[Key]*trackedForward)
	}
	return f
}

// Track must be called before a request is forwarded to its key owner, and Done
// once its caller has its response. Deadline is the latest end of the request.
// Track fails with a not_run refusal if there are too many records.
func (f *Forwards) Track(key Key, hash RequestHash, keyOwner membership.Member, deadline time.Time) error {
	partition := f.partition(key)
	partition.mu.Lock()
	defer partition.mu.Unlock()
	tracked := partition.records[key]
	if tracked == nil {
		if f.count.Load() >= maxForwards {
			return notRunRefusal("too many keyed requests are remembered here")
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
	tracked.expiry = later(tracked.expiry, deadline.Add(f.resendWindow))
	return nil
}

// SetLocation records the location that the key owner has reported for a
// request.
func (f *Forwards) SetLocation(key Key, location Location) {
	partition := f.partition(key)
	partition.mu.Lock()
	defer partition.mu.Unlock()
	if tracked := partition.records[key]; tracked != nil {
		tracked.record.Location = location
	}
}

// Done ends the attempt that Track began.
func (f *Forwards) Done(key Key, outcome ForwardOutcome) {
	partition := f.partition(key)
	partition.mu.Lock()
	defer partition.mu.Unlock()
	tracked := partition.records[key]
	if tracked == nil {
		return
	}
	tracked.activeCallers--
	tracked.mayHaveRun = tracked.mayHaveRun || outcome != ForwardNotRun
	if outcome == ForwardEnded {
		tracked.expiry = f.clock.Now().Add(f.resendWindow)
	}
	if tracked.activeCallers <= 0 && !tracked.mayHaveRun {
		f.remove(partition, key)
	}
}

// storeReplicas stores replicas of other instances' records. It returns false
// if there are too many.
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

// collect returns the records whose keys match.
func (f *Forwards) collect(match func(Key) bool) []Record {
	now := f.clock.Now()
	var records []Record
	for i := range f.partitions {
		partition := &f.partitions[i]
		partition.mu.Lock()
		for key, tracked := range partition.records {
			if match(key) {
				records = append(records, tracked.snapshot(now, f.resendWindow))
			}
		}
		partition.mu.Unlock()
	}
	return records
}

// snapshot returns the record with its remaining retention.
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

// RemoveExpired removes the expired records. Ledger.RemoveExpired calls it.
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

// add adds an empty record; partition.mu is held.
func (f *Forwards) add(partition *forwardPartition, key Key) *trackedForward {
	added := &trackedForward{}
	partition.records[key] = added
	f.count.Add(1)
	return added
}

// remove deletes a record; partition.mu is held.
func (f *Forwards) remove(partition *forwardPartition, key Key) {
	delete(partition.records, key)
	f.count.Add(-1)
}
