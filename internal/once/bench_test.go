package once

import (
	"fmt"
	"testing"

	"github.com/hibiscuspost/hibiscuspost/internal/membership"
	"github.com/hibiscuspost/hibiscuspost/internal/peer"
	"github.com/hibiscuspost/hibiscuspost/internal/platform"
)

// largeView returns a view of 380 instances, the size expected in two years.
func largeView() *membership.StaticViewer {
	const instances = 380
	members := make([]membership.Member, instances)
	for i := range members {
		members[i] = membership.Member{Name: fmt.Sprint("entry-", i), Incarnation: 1}
	}
	return membership.NewStaticViewer(members[0], members[1:]...)
}

func BenchmarkPlacement(b *testing.B) {
	view := largeView().View()
	for b.Loop() {
		newPlacement(view)
	}
}

func BenchmarkBeginAndFinish(b *testing.B) {
	viewer := membership.NewStaticViewer(membership.Member{Name: "a", Incarnation: 1})
	bus := peer.NewNetwork().Bus("a")
	shards := NewShards(ShardOptions{Table: platform.NewMemory(), Bus: bus, Viewer: viewer})
	ledger := NewLedger(LedgerOptions{Shards: shards, Forwards: NewForwards(nil, 0), Bus: bus, Viewer: viewer})
	for range 5 {
		shards.Step(b.Context())
	}
	b.ResetTimer()
	for i := 0; b.Loop(); i++ {
		key := Key{Account: "acme", Key: fmt.Sprint(i)}
		decision := ledger.Begin(key, testHash, "b")
		if decision.Kind != DecideRun {
			b.Fatal(decision.Kind)
		}
		if err := decision.Ticket.Dispatch(b.Context(), testLocation); err != nil {
			b.Fatal(err)
		}
		decision.Ticket.MarkNotRun(notRunRefusal("end of the benchmark"))
	}
}
