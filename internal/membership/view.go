// Package membership keeps each instance's view of which other instances live
// and spreads small facts that only ever grow.
package membership

// Member is one instance of the system.
type Member struct {
	// Name is the instance's name from its settings.
	Name string `json:"name" msgpack:"n"`
	// PeerAddress is its "ip:port" for other instances.
	PeerAddress string `json:"peer_address" msgpack:"p"`
	// CallerAddress is its "ip:port" for callers, used to forward requests.
	CallerAddress string `json:"caller_address" msgpack:"c"`
	// FailureDomain is where it runs.
	FailureDomain string `json:"failure_domain" msgpack:"d"`
	// Incarnation tells successive processes with one name apart; a higher
	// one is newer.
	Incarnation uint64 `json:"incarnation" msgpack:"i"`
	// StartIncarnation tells processes apart: unlike the incarnation, which a process
	// raises to refute its death, it stays the same as long as a process keeps
	// its memory. Zero means the incarnation.
	StartIncarnation uint64 `json:"started,omitempty" msgpack:"t,omitempty"`
	// Leaving is set while it shuts down: it takes no new duties.
	Leaving bool `json:"leaving,omitempty" msgpack:"l,omitempty"`
}

// ProcessID returns the number that tells this process from others of its name.
func (m Member) ProcessID() uint64 {
	if m.StartIncarnation != 0 {
		return m.StartIncarnation
	}
	return m.Incarnation
}

// View is an immutable picture of the live members, sorted by name. It always
// holds the instance itself.
type View struct {
	// Sequence rises by one with each change seen by this instance.
	Sequence uint64
	// Self is the instance that holds the view.
	Self Member
	// Members are the live ones, those leaving included.
	Members []Member
}

// Viewer gives the present view without locks.
type Viewer interface {
	// View returns the present view; it is never nil.
	View() *View
	// OnChange registers a function that is called after each change, one
	// call at a time. Register before the membership starts.
	OnChange(func(*View))
}

// RumorKind tells the sets of rumours apart.
type RumorKind uint8

// The kinds of rumour.
const (
	// RumorConfig announces a configuration version; the subject is empty.
	RumorConfig RumorKind = 1
	// RumorRollback announces a version taken back; the subject is
	// "pool/version", the rank the configuration version of the move.
	RumorRollback RumorKind = 2
	// RumorTargetLeaving announces a target that leaves; the subject is its
	// address, the rank the wall-clock time in milliseconds.
	RumorTargetLeaving RumorKind = 3
	// RumorQuarantine announces a quarantined request; the subject is its
	// fingerprint, the rank the wall-clock time in milliseconds.
	RumorQuarantine RumorKind = 4
	// RumorTableRead gives the newest successful read of the configuration
	// row; the subject is the reader, the rank its wall clock in milliseconds.
	RumorTableRead RumorKind = 5
)

// Rumor is a fact that spreads to all members. Of two with the same kind and
// subject the one with the higher rank stands, so that merging is idempotent,
// commutative and associative.
type Rumor struct {
	Kind    RumorKind `msgpack:"k"`
	Subject string    `msgpack:"s"`
	Rank    uint64    `msgpack:"r"`
	// Body is at most MaxRumorBody bytes.
	Body []byte `msgpack:"b,omitempty"`
}

// MaxRumorBody is the largest rumour body in bytes.
const MaxRumorBody = 256

// Rumors spreads and keeps rumours.
type Rumors interface {
	// Publish merges a rumour and starts to spread it.
	Publish(Rumor)
	// Subscribe registers a function called once for each rumour of the kind
	// that rises here, from whatever source. Register before start.
	Subscribe(RumorKind, func(Rumor))
	// RumorsOfKind returns the rumours of a kind, by subject.
	RumorsOfKind(RumorKind) []Rumor
}
