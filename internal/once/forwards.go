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

// forwardParts is the number of independently locked parts of Forwards.
const forwardParts = 64

// Forwards remembers the keyed requests that this instance has forwarded to
// their key owners, and those of which it was asked to keep a copy. After a
// key owner's death its successor collects them.
type Forwards struct {
	clock  clockwork.Clock
	window time.Duration
	count  atomic.Int64
	parts  [forwardParts]forwardPart
}

// forwardPart holds the keys whose shard falls to it.
type forwardPart struct {
	// mu guards records.
	mu      sync.Mutex
	records map[Key]*forward
}

// forward is one record with its use.
type forward struct {
	record Record
	// open is the number of callers still served.
	open int
	// maybe is set once an attempt has ended without proof that it was not
	// dispatched.
	maybe bool
	// until is when it may be forgotten, once no caller is served.
	until time.Time
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
	for i := range f.parts {
		f.parts[i].records = make(map[Key]*forward)
	}
	return f
}

// Track must be called before a request is forwarded to its key owner, and Done
// once its caller has been answered. Deadline is when the request ends at the
// latest. Track fails with a not_run refusal when too many requests are
// remembered.
func (f *Forwards) Track(key Key, hash RequestHash, keyOwner membership.Member, deadline time.Time) error {
	part := f.part(key)
	part.mu.Lock()
	defer part.mu.Unlock()
	known := part.records[key]
	if known == nil {
		if f.count.Load() >= maxForwards {
			return refuseNotRun("too many keyed requests are remembered here")
		}
		known = f.add(part, key)
		known.record = Record{
			Key: key, Hash: hash, Location: Location{Instance: keyOwner.Name}, SoleKeyOwner: identity(keyOwner),
		}
	}
	if known.record.SoleKeyOwner != identity(keyOwner) {
		known.record.SoleKeyOwner = ""
	}
	known.open++
	known.until = later(known.until, deadline.Add(f.window))
	return nil
}

// SetLocation notes the key owner's word that the request goes to a target.
func (f *Forwards) SetLocation(key Key, at Location) {
	part := f.part(key)
	part.mu.Lock()
	defer part.mu.Unlock()
	if known := part.records[key]; known != nil {
		known.record.Location = at
	}
}

// Done ends what Note began.
func (f *Forwards) Done(key Key, end ForwardOutcome) {
	part := f.part(key)
	part.mu.Lock()
	defer part.mu.Unlock()
	known := part.records[key]
	if known == nil {
		return
	}
	known.open--
	known.maybe = known.maybe || end != ForwardNotRun
	if end == ForwardEnded {
		known.until = f.clock.Now().Add(f.window)
	}
	if known.open <= 0 && !known.maybe {
		f.remove(part, key)
	}
}

// keep stores copies of other instances' records.
func (f *Forwards) keep(records []Record) bool {
	if f.count.Load()+int64(len(records)) > maxForwards {
		return false
	}
	for _, r := range records {
		f.keepOne(r)
	}
	return true
}

func (f *Forwards) keepOne(r Record) {
	part := f.part(r.Key)
	part.mu.Lock()
	defer part.mu.Unlock()
	known := part.records[r.Key]
	if known == nil {
		known = f.add(part, r.Key)
	}
	known.record = r
	known.maybe = true
	known.until = later(known.until, f.clock.Now().Add(time.Duration(r.RetentionMillis)*time.Millisecond))
}

// collect returns the records that meet the condition.
func (f *Forwards) collect(wanted func(Key) bool) []Record {
	now := f.clock.Now()
	var found []Record
	for i := range f.parts {
		part := &f.parts[i]
		part.mu.Lock()
		for key, known := range part.records {
			if wanted(key) {
				found = append(found, known.export(now, f.window))
			}
		}
		part.mu.Unlock()
	}
	return found
}

// export returns the record as of now.
func (k *forward) export(now time.Time, window time.Duration) Record {
	record := k.record
	record.RetentionMillis = max(k.until.Sub(now), window).Milliseconds()
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
	for i := range f.parts {
		part := &f.parts[i]
		part.mu.Lock()
		for key, known := range part.records {
			if known.open <= 0 && now.After(known.until) {
				f.remove(part, key)
			}
		}
		part.mu.Unlock()
	}
}

// Count returns the number of records.
func (f *Forwards) Count() int { return int(f.count.Load()) }

func (f *Forwards) part(key Key) *forwardPart { return &f.parts[key.Shard()%forwardParts] }

// add makes an empty record; part.mu is held.
func (f *Forwards) add(part *forwardPart, key Key) *forward {
	added := &forward{}
	part.records[key] = added
	f.count.Add(1)
	return added
}

// remove forgets a record; part.mu is held.
func (f *Forwards) remove(part *forwardPart, key Key) {
	delete(part.records, key)
	f.count.Add(-1)
}
