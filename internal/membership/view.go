// Package membership maintains each instance's view of the live instances by a
// SWIM-style gossip protocol, and disseminates rumors: small facts that are
// ordered by rank, so that merging is idempotent.
//
// Membership is the implementation over a peer.Bus. Its parts are probes with
// indirect probes for failure detection, gossip of member updates and rumors on
// the probes, anti-entropy syncs that compare digests, and joins through seeds
// and the platform's instance list. View is an immutable snapshot of the live
// members, from which Owner and RankMembers assign responsibilities by
// rendezvous hashing. StaticViewer and LocalRumors are fakes for tests and
// single instances.
package membership

// Member is one instance of the deployment.
type Member struct {
	// Name is the instance's name from its settings.
	Name string `json:"name" msgpack:"n"`
	// PeerAddress is its "ip:port" for other instances.
	PeerAddress string `json:"peer_address" msgpack:"p"`
	// CallerAddress is its "ip:port" for callers; other instances forward
	// requests to it.
	CallerAddress string `json:"caller_address" msgpack:"c"`
	// FailureDomain is the failure domain that the instance runs in.
	FailureDomain string `json:"failure_domain" msgpack:"d"`
	// Incarnation orders the updates of a member; a higher one is newer.
	// Successive processes with one name have different incarnations.
	Incarnation uint64 `json:"incarnation" msgpack:"i"`
	// StartIncarnation is the incarnation that the process started with. It
	// identifies the process: unlike Incarnation, which a process raises to
	// refute updates about itself, it does not change while the process runs.
	// Zero stands for Incarnation.
	StartIncarnation uint64 `json:"started,omitempty" msgpack:"t,omitempty"`
	// Leaving is true while the instance shuts down: it takes no new
	// responsibilities.
	Leaving bool `json:"leaving,omitempty" msgpack:"l,omitempty"`
}

// ProcessID returns the number that distinguishes this process from others with
// the same name. It is not the operating system's process id.
func (m Member) ProcessID() uint64 {
	if m.StartIncarnation != 0 {
		return m.StartIncarnation
	}
	return m.Incarnation
}

// View is an immutable snapshot of the live members, sorted by name. It always
// contains the instance itself.
type View struct {
	// Sequence increases by one with each change seen by this instance.
	Sequence uint64
	// Self is the instance that the view belongs to.
	Self Member
	// Members are the live members, including those that are leaving.
	Members []Member
}

// Viewer provides the current view.
type Viewer interface {
	// View returns the current view; it is never nil. It takes no lock.
	View() *View
	// OnChange registers a function that is called after each change, one call
	// at a time. Register before the membership starts.
	OnChange(func(*View))
}

// RumorKind is the kind of a rumor.
type RumorKind uint8

// The kinds of rumors.
const (
	// RumorConfig announces a configuration version; the subject is empty.
	RumorConfig RumorKind = 1
	// RumorRollback announces the rollback of a version; the subject is
	// "pool/version", the rank the configuration version current at the
	// rollback.
	RumorRollback RumorKind = 2
	// RumorTargetLeaving announces that a target is leaving; the subject is its
	// address, the rank the wall-clock time in milliseconds.
	RumorTargetLeaving RumorKind = 3
	// RumorQuarantine announces a quarantined request; the subject is its
	// fingerprint, the rank the wall-clock time in milliseconds.
	RumorQuarantine RumorKind = 4
	// RumorTableRead stands for the latest successful read of the configuration
	// row; the subject is the reader, the rank its wall-clock time in
	// milliseconds. It is stored and passed on like the others, but no instance
	// publishes it: the age of the read is part of each Status.
	RumorTableRead RumorKind = 5
)

// Rumor is a fact that is disseminated to all members. Of two rumors with the
// same kind and subject the one with the higher rank is kept, so that merging
// is idempotent, commutative and associative.
type Rumor struct {
	Kind    RumorKind `msgpack:"k"`
	Subject string    `msgpack:"s"`
	Rank    uint64    `msgpack:"r"`
	// Body is at most MaxRumorBody bytes.
	Body []byte `msgpack:"b,omitempty"`
}

// MaxRumorBody is the maximum size of a rumor body in bytes.
const MaxRumorBody = 256

// Rumors disseminates and stores rumors.
type Rumors interface {
	// Publish merges a rumor and starts to disseminate it.
	Publish(Rumor)
	// Subscribe registers a function that is called once for each new rumor of
	// the kind, whether published here or received. Register before the
	// membership starts.
	Subscribe(RumorKind, func(Rumor))
	// RumorsOfKind returns the stored rumors of a kind, sorted by subject.
	RumorsOfKind(RumorKind) []Rumor
}
