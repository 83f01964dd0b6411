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
	raised, restarted, leaving := b, b, b
	raised.Incarnation = 6
	restarted.Incarnation, restarted.StartIncarnation = 99, 99
	leaving.Leaving = true
	tests := []struct {
		name  string
		views [][]membership.Member
		doubt bool
	}{
		{"nothing happens", [][]membership.Member{{b}}, false},
		{"refutes its death", [][]membership.Member{{b}, {raised}}, false},
		{"dies", [][]membership.Member{{b}, {}}, true},
		{"restarts", [][]membership.Member{{b}, {restarted}}, true},
		{"leaves", [][]membership.Member{{b}, {leaving}, {}}, false},
		{"was only paused", [][]membership.Member{{b}, {}, {raised}}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			viewer := membership.NewStaticViewer(self, test.views[0]...)
			log := newCrashLog(clock, time.Minute, viewer)
			for _, view := range test.views[1:] {
				viewer.SetOthers(view...)
			}
			assert.Equal(t, log.doubtUntil(self).After(clock.Now()), test.doubt)
			assert.Assert(t, !log.doubtUntil(b).After(clock.Now()), "the holder itself does not count")

			other := newCrashLog(clock, time.Minute, membership.NewStaticViewer(self))
			clock.Advance(10 * time.Second)
			other.learn(log.recent())
			assert.Equal(t, other.doubtUntil(self), log.doubtUntil(self), "by hearsay")
			clock.Advance(time.Minute)
			assert.Assert(t, !log.doubtUntil(self).After(clock.Now()), "aged")
		})
	}
}
