package node

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/catalog"
	"github.com/hibiscuspost/hibiscuspost/internal/quarantine"
)

func TestPositionsAreOrderedByEraFirst(t *testing.T) {
	ordered := []Position{{}, {0, 9}, {1, 0}, {1, 3}, {2, 1}}
	for i, a := range ordered {
		for j, b := range ordered {
			assert.Equal(t, a.Before(b), i < j)
		}
		assert.Equal(t, a.IsZero(), i == 0)
	}
}

// entry is an entry of a list of targets.
type entry struct {
	id       string
	born     int64
	sequence int64
	draining bool
}

func toTargets(entries []entry) []*catalog.Target {
	var targets []*catalog.Target
	for _, e := range entries {
		targets = append(targets, &catalog.Target{ID: e.id, Slots: 1, Born: e.born, SequenceNumber: e.sequence, Draining: e.draining})
	}
	return targets
}

// inUse returns whether each target in use takes new requests.
func (l *targetList) inUse() map[string]bool {
	used := make(map[string]bool)
	for key, target := range l.present {
		used[key.String()] = !target.Draining
	}
	return used
}

const testHoldTime = 5 * time.Second

// A copy of the store may list targets that have left, and list as ready those that
// drain. It may lack new ones.
func TestListOfACopyIsHeldAgainstWhatIsKnown(t *testing.T) {
	for _, tc := range []struct {
		name string
		// before are the lists read in the first era, copied and later those read in
		// the second.
		before        [][]entry
		copied, later []entry
		// want are the targets in use after the copy was read, wantLater after later
		// was, and wantEnd after the hold.
		want, wantLater, wantEnd map[string]bool
	}{
		{
			name: "gone", before: [][]entry{{{"a", 1, 4, false}, {"b", 1, 1, false}}, {{"b", 1, 1, false}}},
			copied: []entry{{"a", 1, 3, false}, {"b", 1, 1, false}}, later: []entry{{"a", 1, 4, false}, {"b", 1, 1, false}},
			want: map[string]bool{"b@1": true}, wantLater: map[string]bool{"b@1": true}, wantEnd: map[string]bool{"a@1": true, "b@1": true},
		},
		{
			name: "gone, its last number not known", before: [][]entry{{{"a", 1, 4, false}}, {}},
			copied: []entry{{"a", 1, 6, false}}, later: []entry{{"a", 1, 6, false}},
			want: map[string]bool{}, wantLater: map[string]bool{}, wantEnd: map[string]bool{"a@1": true},
		},
		{
			name: "gone, but renewed", before: [][]entry{{{"a", 1, 4, false}}, {}},
			copied: []entry{{"a", 1, 3, false}}, later: []entry{{"a", 1, 5, false}},
			want: map[string]bool{}, wantLater: map[string]bool{"a@1": true}, wantEnd: map[string]bool{"a@1": true},
		},
		{
			name: "gone, listed in a new incarnation", before: [][]entry{{{"a", 1, 4, false}}, {}},
			copied: []entry{{"a", 2, 1, false}}, later: []entry{{"a", 2, 1, false}},
			want: map[string]bool{"a@2": true}, wantLater: map[string]bool{"a@2": true}, wantEnd: map[string]bool{"a@2": true},
		},
		{
			name: "listed in the incarnation before the last one", before: [][]entry{{{"a", 2, 1, false}}},
			copied: []entry{{"a", 1, 9, false}}, later: []entry{{"a", 2, 1, false}},
			want: map[string]bool{"a@2": true}, wantLater: map[string]bool{"a@2": true}, wantEnd: map[string]bool{"a@2": true},
		},
		{
			name: "draining", before: [][]entry{{{"a", 1, 4, true}}},
			copied: []entry{{"a", 1, 3, false}}, later: []entry{{"a", 1, 5, true}},
			want: map[string]bool{"a@1": false}, wantLater: map[string]bool{"a@1": false}, wantEnd: map[string]bool{"a@1": false},
		},
		{
			name: "begins to drain", before: [][]entry{{{"a", 1, 4, false}}},
			copied: []entry{{"a", 1, 3, false}}, later: []entry{{"a", 1, 5, true}},
			want: map[string]bool{"a@1": true}, wantLater: map[string]bool{"a@1": false}, wantEnd: map[string]bool{"a@1": false},
		},
		{
			name: "missing, then written again", before: [][]entry{{{"a", 1, 1, false}, {"b", 1, 1, false}}},
			copied: []entry{{"a", 1, 1, false}}, later: []entry{{"a", 1, 1, false}, {"b", 1, 2, false}},
			want: map[string]bool{"a@1": true, "b@1": true}, wantLater: map[string]bool{"a@1": true, "b@1": true}, wantEnd: map[string]bool{"a@1": true, "b@1": true},
		},
		{
			name: "missing", before: [][]entry{{{"a", 1, 1, false}, {"b", 1, 1, false}}},
			copied: []entry{{"a", 1, 1, false}}, later: []entry{{"a", 1, 1, false}},
			want: map[string]bool{"a@1": true, "b@1": true}, wantLater: map[string]bool{"a@1": true, "b@1": true}, wantEnd: map[string]bool{"a@1": true},
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			l := targetList{returnHold: returnHold{holdTime: testHoldTime}}
			for i, entries := range tc.before {
				now = now.Add(targetReadInterval)
				l.apply(toTargets(entries), Position{1, uint64(50 + i)}, now, 0)
			}
			l.apply(toTargets(tc.copied), Position{2, 10}, now.Add(targetReadInterval), 0)
			assert.DeepEqual(t, l.inUse(), tc.want)
			l.apply(toTargets(tc.later), Position{2, 11}, now.Add(2*targetReadInterval), 0)
			assert.DeepEqual(t, l.inUse(), tc.wantLater)
			for end := now.Add(testHoldTime + time.Second); now.Before(end); now = now.Add(targetReadInterval) {
				l.confirm(now, Position{2, 11})
			}
			assert.DeepEqual(t, l.inUse(), tc.wantEnd)
			assert.Assert(t, !l.apply(nil, Position{1, 99}, now.Add(time.Second), 0), "a read of before the return")
		})
	}
}

// Within an era, the list is never older than what is known: a target that is
// listed again is used at once.
func TestTargetListedAgainWithinAnEraIsUsed(t *testing.T) {
	now := time.Unix(1000, 0)
	l := targetList{returnHold: returnHold{holdTime: testHoldTime}}
	l.apply(toTargets([]entry{{"a", 1, 4, false}, {"b", 1, 1, false}}), Position{1, 1}, now, 0)
	l.apply(toTargets([]entry{{"a", 1, 4, false}}), Position{2, 1}, now, 0)
	now = now.Add(outageGrace + time.Millisecond)
	l.confirm(now, Position{2, 1})
	assert.DeepEqual(t, l.inUse(), map[string]bool{"a@1": true})
	l.apply(toTargets([]entry{{"a", 1, 4, false}, {"b", 1, 1, false}}), Position{2, 2}, now, 0)
	assert.DeepEqual(t, l.inUse(), map[string]bool{"a@1": true, "b@1": true})
	assert.Equal(t, l.heldCount, uint64(0))
}

// The entry of a target that has crashed starts to expire anew in the copy. It must
// not count as a sign of survival meanwhile.
func TestEntryOfACopyIsNoSignOfSurvival(t *testing.T) {
	const expiry = 5 * time.Second
	start := time.Unix(1000, 0)
	l := targetList{returnHold: returnHold{holdTime: testHoldTime}}
	listed := toTargets([]entry{{"a", 1, 4, false}})
	read := func(from, until time.Time, era uint64) {
		for now := from; now.Before(until); now = now.Add(targetReadInterval) {
			l.apply(listed, Position{era, 1}, now, 0)
		}
	}
	returnedAt := start.Add(expiry)
	read(start, returnedAt, 1)
	read(returnedAt, start.Add(expiry+maxRenewalDelay+time.Second), 2)
	assert.Equal(t, l.liveness("a@1", start, expiry), quarantine.Undecided)
	read(start.Add(expiry+maxRenewalDelay+time.Second), returnedAt.Add(expiry+maxRenewalDelay+time.Second), 2)
	assert.Equal(t, l.liveness("a@1", start, expiry), quarantine.Survived)
}

// An instance that has not seen the return learns of it from another one's read
// with the same list.
func TestConfirmedReadBeginsAnEra(t *testing.T) {
	now := time.Unix(1000, 0)
	l := targetList{returnHold: returnHold{holdTime: testHoldTime}}
	listed := toTargets([]entry{{"a", 1, 4, false}})
	l.apply(listed, Position{1, 50}, now, 0)
	l.confirm(now.Add(targetReadInterval), Position{2, 10})
	assert.Equal(t, l.position, Position{2, 10})
	assert.Assert(t, !l.apply(nil, Position{2, 11}, now.Add(2*targetReadInterval), 0), "missing entries are kept")
}

// formerMessage has the fields of the messages of versions without an era.
type formerMessage struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack                                                               struct{} `msgpack:",as_array"`
	Name                                                                   string
	Incarnation                                                            int64
	Capacity                                                               uint16
	Draining, RecentlyStarted, WantsAggregate, IsAggregate, IsIntroduction bool
	RosterDigest                                                           uint32
	Roster                                                                 msgpack.RawMessage
	InstanceCount                                                          uint16
	ConfigVersion                                                          uint64
	Usages, KnownAddresses, RolloutReports, EndedRollouts                  msgpack.RawMessage
	Reserved                                                               []msgpack.RawMessage
	TargetsDigest                                                          uint32
	TargetsPosition                                                        uint64
	TargetsAgeMs, WatchAgeMs, PeerWatchAgeMs                               uint32
	Quarantine                                                             msgpack.RawMessage
}

// The codec rejects messages with another number of fields. Versions without an era
// must be able to read those with one, and the other way round.
func TestVersionsWithAndWithoutAnEraUnderstandEachOther(t *testing.T) {
	m := message{Name: "edge-1", TargetsDigest: 8, PeerWatchAgeMs: 9}
	m.TargetsPosition = 7
	assert.NilError(t, m.setAdditions(300, []string{"10.0.0.1:1", "10.0.0.2:1"}, unknownAge, 0))
	body, err := encodeMessage(&m)
	assert.NilError(t, err)
	var former formerMessage
	assert.NilError(t, msgpack.Unmarshal(body, &former))
	assert.Equal(t, former.Name, "edge-1")
	assert.Equal(t, former.TargetsPosition, uint64(7))
	assert.Equal(t, former.PeerWatchAgeMs, uint32(9))

	var decoded message
	assert.NilError(t, msgpack.Unmarshal(body, &decoded))
	assert.Equal(t, decoded.targetsPosition(), Position{Era: 300, Version: 7})
	former.Reserved = nil
	body, err = msgpack.Marshal(&former)
	assert.NilError(t, err)
	assert.NilError(t, msgpack.Unmarshal(body, &decoded))
	assert.Equal(t, decoded.targetsPosition(), Position{Version: 7})
	decoded.Additions = []msgpack.RawMessage{{0xa1, 'x'}}
	assert.Equal(t, decoded.targetsPosition(), Position{Version: 7})
}

func TestReturnIsObservedOnce(t *testing.T) {
	n := &Node{
		logger: zap.NewNop(), announceNow: make(chan struct{}, 1), peers: newPeerTable(clockwork.NewFakeClock(), address(0), nil),
		quarantine: quarantine.New(quarantine.Options{Clock: clockwork.NewFakeClock(), Logger: zap.NewNop()}),
	}
	for _, era := range []uint64{4, 4, 5, 5, 4, 7} {
		n.observeEra(era)
	}
	assert.Equal(t, n.era.current(), uint64(7))
	assert.Equal(t, n.era.returns.Load(), uint64(2))
	assert.Equal(t, len(n.announceNow), 0, "there is no verdict")
}
