package configsync

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/catalog"
)

func routes(count int) catalog.Contents {
	random := rand.New(rand.NewPCG(1, 2))
	contents := catalog.Contents{Limits: &catalog.Limits{MaxBodyBytes: 1000}}
	for range count {
		contents.Routes = append(contents.Routes, &catalog.Route{
			Name: "r-" + strconv.FormatUint(random.Uint64(), 36), Host: "api.example", Prefix: "/" + strconv.FormatUint(random.Uint64(), 36) + "/",
			Timeout: 8 * time.Second, LatencyObjective: 2 * time.Second, Shares: []catalog.Share{{Service: "engines", Weight: 1}}, MaxAttempts: 2,
		})
	}
	return contents
}

// version adds a version with the first routes of the contents to a history.
func version(t *testing.T, h *History, number uint64, all catalog.Contents, count int) *catalog.Configuration {
	t.Helper()
	contents := all
	contents.Routes = all.Routes[:count]
	next, change, err := h.current.Replace(number, contents)
	assert.NilError(t, err)
	h.Record(next, change)
	return next
}

// receive applies an update part by part.
func receive(t *testing.T, u *Update, base *catalog.Configuration) *catalog.Configuration {
	t.Helper()
	d := &Download{ID: u.ID, From: u.From, To: u.To, PartCount: len(u.Parts)}
	for !d.IsComplete() {
		assert.NilError(t, d.Add(u.Parts[d.Next]))
	}
	assert.Equal(t, d.Bytes, u.Bytes())
	next, err := base.Apply(d.Change())
	assert.NilError(t, err)
	return next
}

func TestUpdateLeadsFromAnyKnownRevisionToTheNewest(t *testing.T) {
	all := routes(3000)
	var h History
	var held []*catalog.Configuration
	for i, count := range []int{1000, 1400, 1400, 2800, 2790, 3000} {
		held = append(held, version(t, &h, uint64(i+1), all, count))
	}
	newest := held[len(held)-1]
	for _, base := range held[:len(held)-1] {
		u, err := h.UpdateFrom(base.Revision())
		assert.NilError(t, err)
		assert.Equal(t, receive(t, u, base).Revision(), newest.Revision())
		assert.Assert(t, h.Update(u.ID) == u)
	}
	small, err := h.UpdateFrom(held[4].Revision())
	assert.NilError(t, err)
	whole, err := h.UpdateFrom(catalog.Revision{Version: 1, Digest: 17})
	assert.NilError(t, err)
	assert.Equal(t, receive(t, whole, nil).Revision(), newest.Revision())
	assert.Assert(t, len(whole.Parts) > 5 && 8*small.Bytes() < whole.Bytes(), "%d parts, %d and %d bytes", len(whole.Parts), small.Bytes(), whole.Bytes())
	for _, part := range whole.Parts {
		assert.Assert(t, len(part) <= partBytes)
	}
}

func TestChangesThatAreKeptAreBounded(t *testing.T) {
	all := routes(100)
	var h History
	var first *catalog.Configuration
	for i := range maxChanges + 10 {
		c := version(t, &h, uint64(i+1), all, 50+i)
		if i == 1 {
			first = c
		}
	}
	assert.Assert(t, len(h.changes) <= maxChanges && len(h.updates) <= maxUpdates)
	u, err := h.UpdateFrom(first.Revision())
	assert.NilError(t, err)
	assert.Equal(t, u.From, catalog.Revision{}, "the change is no longer known")
}

func TestDamagedPartsAreRejected(t *testing.T) {
	var h History
	version(t, &h, 1, routes(200), 200)
	u, err := h.UpdateFrom(catalog.Revision{})
	assert.NilError(t, err)
	for _, part := range [][]byte{nil, {0xff, 0xff}, u.Parts[0][:len(u.Parts[0])/2]} {
		d := &Download{PartCount: 1}
		assert.Assert(t, d.Add(part) != nil)
		assert.Equal(t, d.Next, 0)
	}
}

func TestFurtherInstancesAreReferred(t *testing.T) {
	clock := clockwork.NewFakeClock()
	var h History
	version(t, &h, 1, routes(2000), 2000)
	update, err := h.UpdateFrom(catalog.Revision{})
	assert.NilError(t, err)
	u := NewUploads(clock, 2)
	last := len(update.Parts) - 1
	admit := func(to string, part int) (bool, []string) { return u.Admit(to, update, part) }
	for _, to := range []string{"a", "b", "a"} {
		ok, _ := admit(to, 0)
		assert.Assert(t, ok)
	}
	ok, referrals := admit("c", 0)
	assert.Assert(t, !ok && len(referrals) == 0)
	ok, _ = admit("a", last)
	assert.Assert(t, ok)
	ok, _ = admit("c", 0)
	assert.Assert(t, ok)
	ok, referrals = admit("d", 0)
	assert.Assert(t, !ok)
	assert.DeepEqual(t, referrals, []string{"a"})
	// Those that request nothing more make room.
	clock.Advance(uploadTimeout + time.Millisecond)
	ok, _ = admit("d", 0)
	assert.Assert(t, ok)
	// Small updates are sent to all.
	small := &Update{Parts: [][]byte{{1}}, bytes: 1}
	for _, to := range []string{"e", "f", "g"} {
		ok, _ = u.Admit(to, small, 0)
		assert.Assert(t, ok)
	}
}

// spread simulates how an update spreads from two instances over links that all send
// and receive at the same speed. It returns the time until all have it, and the most
// bytes that any of them sent.
func spread(t *testing.T, instances int, update *Update, bitsPerSecond float64) (time.Duration, int) {
	const step = time.Millisecond
	clock := clockwork.NewFakeClock()
	random := rand.New(rand.NewPCG(uint64(instances), 7))
	uploads := make([]*Uploads, instances)
	holds, sent, parts := make([]bool, instances), make([]int, instances), make([]int, instances)
	source, left := make([]int, instances), make([]float64, instances)
	wakeAt := make([]time.Duration, instances)
	next := make([][]int, instances)
	for i := range uploads {
		uploads[i] = NewUploads(clock, max(1, int(bitsPerSecond/5e6)))
		source[i] = -1
	}
	holds[0], holds[1] = true, true
	missing := instances - 2
	for now := time.Duration(0); ; now += step {
		active := make([]int, instances)
		for i := range source {
			if source[i] >= 0 {
				active[source[i]]++
			}
		}
		for i := range instances {
			switch {
			case holds[i] || now < wakeAt[i]:
			case source[i] < 0:
				from := random.IntN(2)
				if len(next[i]) > 0 {
					from, next[i] = next[i][0], next[i][1:]
				}
				ok, referrals := uploads[from].Admit(strconv.Itoa(i), update, parts[i])
				if ok {
					source[i], left[i] = from, float64(8*len(update.Parts[parts[i]]))
					sent[from] += len(update.Parts[parts[i]])
					break
				}
				for _, r := range referrals {
					number, err := strconv.Atoi(r)
					assert.NilError(t, err)
					if holds[number] {
						next[i] = append(next[i], number)
					}
				}
				wakeAt[i] = now + 2*step
				if len(next[i]) == 0 {
					wakeAt[i] = now + time.Duration(20+random.IntN(40))*time.Millisecond
				}
			default:
				left[i] -= bitsPerSecond * step.Seconds() / float64(active[source[i]])
				if left[i] > 0 {
					break
				}
				wakeAt[i] = now + 2*step
				if parts[i]++; parts[i] == len(update.Parts) {
					holds[i] = true
					if missing--; missing == 0 {
						most := 0
						for _, bytes := range sent {
							most = max(most, bytes)
						}
						return now, most
					}
				}
				next[i] = append([]int{source[i]}, next[i]...)
				source[i] = -1
			}
		}
		clock.Advance(step)
		if now > time.Minute {
			t.Fatalf("%d of %d instances have no update after a minute", missing, instances)
		}
	}
}

// The stated bounds are 2 to 3 s at 78 instances and 8 s at 380; an update has to be
// in force sooner, since it was read from the store before.
func TestUpdateSpreadsOverSlowLinks(t *testing.T) {
	for _, tc := range []struct {
		instances, routes int
		within            time.Duration
	}{
		{78, 10, 200 * time.Millisecond},
		{78, 1400, time.Second},
		{78, 4200, 1500 * time.Millisecond},
		{380, 1400, 1500 * time.Millisecond},
		{380, 20_000, 8 * time.Second},
	} {
		t.Run(fmt.Sprintf("%d instances, %d routes", tc.instances, tc.routes), func(t *testing.T) {
			var h History
			version(t, &h, 1, routes(tc.routes), tc.routes)
			update, err := h.UpdateFrom(catalog.Revision{})
			assert.NilError(t, err)
			took, most := spread(t, tc.instances, update, 10e6)
			t.Logf("%d bytes in %d parts: %v, an instance sends at most %d bytes", update.Bytes(), len(update.Parts), took, most)
			assert.Assert(t, took <= tc.within, "%v", took)
		})
	}
}
