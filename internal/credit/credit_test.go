package credit

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/peer"
	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

var testStart = time.Unix(1_000_000, 0)

func TestStaticSharesSumToCapacity(t *testing.T) {
	for members := 1; members <= 9; members++ {
		for capacity := 1; capacity <= 20; capacity++ {
			total := Amount{Slots(capacity), Tokens(capacity * 1000)}
			var sum Amount
			for rank := range members {
				sum = sum.Plus(StaticShare(total, rank, members))
			}
			assert.Equal(t, sum.Slots, total.Slots)
			assert.Assert(t, sum.Tokens <= total.Tokens)
		}
	}
}

func TestEncodeSplitsLargeMessages(t *testing.T) {
	sent := &Datagram{From: "entry-0", Incarnation: 7}
	for i := range 60 {
		name := fmt.Sprintf("target-%02d", i)
		sent.Reports = append(sent.Reports, Report{Target: name, Seq: uint32(i), Running: PerTier{{1, 200}}})
		sent.Grants = append(sent.Grants, Grant{Target: name, Seq: uint32(i), Amount: Amount{3, Unbounded}, MaxRunning: [tables.TierCount]Slots{-1, 2}})
	}
	bodies, err := Encode(sent)
	assert.NilError(t, err)
	total := 0
	got := &Datagram{From: sent.From, Incarnation: sent.Incarnation}
	for _, body := range bodies {
		assert.Assert(t, len(body) <= peer.MaxDatagramBytes)
		total += len(body)
		d, err := Decode(body)
		assert.NilError(t, err)
		got.Reports = append(got.Reports, d.Reports...)
		got.Grants = append(got.Grants, d.Grants...)
	}
	assert.DeepEqual(t, got, sent)
	t.Logf("%d bytes per report and grant", total/len(sent.Reports))
}

func TestDecodeRejectsInvalidInput(t *testing.T) {
	_, err := Decode([]byte{0xc1, 0xff})
	assert.ErrorContains(t, err, "credit: decode datagram")
}

// The lease starts when the report was sent that the grant answers, so that a delayed
// grant is valid for a shorter time.
func TestLeaseStartsAtTheReport(t *testing.T) {
	h := NewHolder(testStart)
	h.SetCoordinator("coordinator", 1, testStart)
	var r Report
	h.PrepareReport(&r, testStart)
	late := testStart.Add(LeaseDuration - time.Millisecond)
	assert.Assert(t, h.ApplyGrant("coordinator", 1, Grant{Seq: 1, ReportSeq: r.Seq, Amount: Amount{3, 0}}))
	assert.Assert(t, h.LeaseValid(late))
	assert.Assert(t, !h.LeaseValid(late.Add(time.Millisecond)))
	assert.Assert(t, !h.ApplyGrant("coordinator", 1, Grant{Seq: 1, ReportSeq: r.Seq}), "a repeated grant was applied")
	assert.Assert(t, !h.ApplyGrant("other", 1, Grant{Seq: 2, ReportSeq: r.Seq}), "a grant from another member was applied")
	assert.Assert(t, !h.ApplyGrant("coordinator", 1, Grant{Seq: 2, ReportSeq: r.Seq + 1}), "a grant for an unknown report was applied")
}

func TestConfirmsNoneBelowNeedsFreshCompleteSnapshot(t *testing.T) {
	cases := []struct {
		name  string
		grant Grant
		after time.Duration
		tier  tables.Tier
		want  bool
	}{
		{"no request runs", Grant{CoversAllMembers: true}, 0, 0, true},
		{"only higher tiers run", Grant{CoversAllMembers: true, TotalRunning: [4]Slots{2, 2}}, 0, 1, true},
		{"a lower tier runs", Grant{CoversAllMembers: true, TotalRunning: [4]Slots{0, 0, 1}}, 0, 1, false},
		{"not all members reported", Grant{}, 0, 0, false},
		{"snapshot too old", Grant{CoversAllMembers: true}, MaxSnapshotAge + 1, 0, false},
		{"snapshot of old reports", Grant{CoversAllMembers: true, OldestReportAge: MaxSnapshotAge}, 1, 0, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := NewHolder(testStart)
			h.SetCoordinator("coordinator", 1, testStart)
			var r Report
			h.PrepareReport(&r, testStart)
			c.grant.Seq, c.grant.ReportSeq = 1, r.Seq
			assert.Assert(t, h.ApplyGrant("coordinator", 1, c.grant))
			assert.Equal(t, h.ConfirmsNoneBelow(testStart.Add(c.after), c.tier), c.want)
		})
	}
}

func TestUrgentDemandCancelsTheLowestTierFirst(t *testing.T) {
	l := NewLedger(Amount{4, Unbounded}, testStart)
	low := Report{Seq: 1, Running: PerTier{{}, {}, {1, 10}, {3, 30}}}
	high := Report{Seq: 1, Demand: PerTier{{2, 20}}, UrgentDemand: PerTier{{2, 20}}}
	assert.Assert(t, l.ApplyReport("a", 1, low, testStart))
	assert.Assert(t, l.ApplyReport("b", 1, high, testStart))
	grants := l.Allocate(testStart, []string{"a", "b"})
	assert.Equal(t, len(grants), 2)
	for _, g := range grants {
		assert.Equal(t, g.Grant.LowestAdmittedTier, tables.Tier(0))
		if g.To == "a" {
			assert.Equal(t, g.Grant.MaxRunning, [tables.TierCount]Slots{-1, -1, -1, 1})
		}
	}
}

func TestLimiterFindsTheRealLimit(t *testing.T) {
	const realLimit, configured = 6, 32
	l := NewLimiter(configured, testStart)
	now := testStart
	for range 400 {
		now = now.Add(100 * time.Millisecond)
		running := l.Limit()
		if running > realLimit {
			l.RecordOverload(now, realLimit)
		}
		l.Tick(now, running)
	}
	assert.Assert(t, l.Limit() >= 4 && l.Limit() <= realLimit+1, "limit %d, want 4 to 7", l.Limit())
}

// The time per token of short responses varies by a factor of two to three.
func TestLimiterIgnoresNoise(t *testing.T) {
	l := NewLimiter(16, testStart)
	now := testStart
	for i := range 200 {
		now = now.Add(100 * time.Millisecond)
		l.RecordTimePerToken(now, time.Duration(5+5*(i%3))*time.Millisecond)
		assert.Equal(t, l.Limit(), Slots(16))
	}
}

func TestLimiterYieldsToASlowdownAndReturns(t *testing.T) {
	l := NewLimiter(16, testStart)
	now := testStart
	observe := func(d time.Duration, times int) {
		for range times {
			now = now.Add(100 * time.Millisecond)
			l.RecordTimePerToken(now, d)
			l.Tick(now, l.Limit())
		}
	}
	observe(10*time.Millisecond, 50)
	assert.Equal(t, l.Limit(), Slots(16))
	observe(100*time.Millisecond, 10)
	assert.Equal(t, l.Limit(), Slots(8), "the floor is half of the configured slots")
	observe(10*time.Millisecond, 300)
	assert.Equal(t, l.Limit(), Slots(16))
}
