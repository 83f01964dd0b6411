package once

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/membership"
)

func TestCrashLog(t *testing.T) {
	self := membership.Member{Name: "a", Incarnation: 1, StartIncarnation: 1}
	b := membership.Member{Name: "b", Incarnation: 5, StartIncarnation: 5}
	refuted, restarted, leaving := b, b, b
	refuted.Incarnation = 6
	restarted.Incarnation, restarted.StartIncarnation = 99, 99
	leaving.Leaving = true
	tests := []struct {
		name        string
		views       [][]membership.Member
		wantUnknown bool
	}{
		{"no change", [][]membership.Member{{b}}, false},
		{"refutes a false suspicion", [][]membership.Member{{b}, {refuted}}, false},
		{"crashes", [][]membership.Member{{b}, {}}, true},
		{"restarts", [][]membership.Member{{b}, {restarted}}, true},
		{"leaves gracefully", [][]membership.Member{{b}, {leaving}, {}}, false},
		{"returns after a pause", [][]membership.Member{{b}, {}, {refuted}}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			viewer := membership.NewStaticViewer(self, test.views[0]...)
			log := newCrashLog(clock, time.Minute, viewer)
			for _, view := range test.views[1:] {
				viewer.SetOthers(view...)
			}
			assert.Equal(t, log.unknownUntil(self).After(clock.Now()), test.wantUnknown)
			assert.Assert(t, !log.unknownUntil(b).After(clock.Now()), "crash of the holder itself counted")

			other := newCrashLog(clock, time.Minute, membership.NewStaticViewer(self))
			clock.Advance(10 * time.Second)
			other.addReported(log.recent())
			assert.Equal(t, other.unknownUntil(self), log.unknownUntil(self), "crashes reported by another instance")
			clock.Advance(time.Minute)
			assert.Assert(t, !log.unknownUntil(self).After(clock.Now()), "crash not removed after the window")
		})
	}
}
