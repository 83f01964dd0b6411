package catalog

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// drawContents returns contents of a few elements each, so that versions overlap.
func drawContents(t *rapid.T, label string) Contents {
	contents := Contents{Limits: &Limits{MaxBodyBytes: rapid.IntRange(1, 3).Draw(t, label+" limit")}}
	for _, i := range rapid.SliceOfNDistinct(rapid.IntRange(0, 9), 0, 8, rapid.ID[int]).Draw(t, label+" routes") {
		contents.Routes = append(contents.Routes, &Route{
			Name: fmt.Sprint("r", i), Host: fmt.Sprintf("H%d.example", i%3), Prefix: fmt.Sprintf("/%d/", i),
			Timeout: time.Duration(rapid.IntRange(1, 2).Draw(t, "timeout")) * time.Second,
			Shares:  []Share{{"x", rapid.IntRange(1, 2).Draw(t, "weight")}}, MaxAttempts: 2,
		})
	}
	for _, i := range rapid.SliceOfNDistinct(rapid.IntRange(0, 4), 0, 4, rapid.ID[int]).Draw(t, label+" accounts") {
		contents.Accounts = append(contents.Accounts, &Account{
			Name: fmt.Sprint("a", i), APIKeys: []string{fmt.Sprintf("k%d-%d", i, rapid.IntRange(1, 2).Draw(t, "key"))},
		})
	}
	for i := range rapid.IntRange(0, 3).Draw(t, label+" services") {
		contents.Services = append(contents.Services, &Service{Name: fmt.Sprint("s", i), MaxConnections: rapid.IntRange(0, 2).Draw(t, "connections")})
	}
	return contents
}

// assertSame checks that a configuration has the content and the answers of one that
// was made from nothing.
func assertSame(t *rapid.T, got *Configuration, version uint64, contents Contents) {
	want, err := New(version, contents)
	assert.NilError(t, err)
	assert.Equal(t, got.Revision(), want.Revision())
	assert.DeepEqual(t, got.Contents(), want.Contents())
	assert.Equal(t, got.RouteCount(), want.RouteCount())
	assert.Equal(t, got.HasAccounts(), want.HasAccounts())
	assert.Equal(t, got.Limits(), want.Limits())
	for i := range 10 {
		host, path := fmt.Sprintf("h%d.example", i%3), fmt.Sprintf("/%d/x", i)
		assert.DeepEqual(t, got.Match(host, path), want.Match(host, path))
	}
	for i := range 5 {
		for j := 1; j <= 2; j++ {
			key := fmt.Sprintf("k%d-%d", i, j)
			assert.DeepEqual(t, got.AccountForKey(key), want.AccountForKey(key))
		}
	}
}

// Whatever way leads to a version, it is the same.
func TestChangesLeadToTheDeclaredContents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var declared, applied *Configuration
		var changes []*Change
		var first *Configuration
		for version := uint64(1); version <= 4; version++ {
			contents := drawContents(t, fmt.Sprint("version ", version))
			next, change, err := declared.Replace(version, contents)
			assert.NilError(t, err)
			assertSame(t, next, version, contents)
			applied, err = applied.Apply(change)
			assert.NilError(t, err)
			assertSame(t, applied, version, contents)
			if version == 1 {
				first = next
			} else {
				changes = append(changes, change)
				merged, err := first.Apply(Merge(changes))
				assert.NilError(t, err)
				assertSame(t, merged, version, contents)
			}
			snapshot, err := next.Snapshot()
			assert.NilError(t, err)
			var empty *Configuration
			whole, err := empty.Apply(snapshot)
			assert.NilError(t, err)
			assertSame(t, whole, version, contents)
			declared = next
		}
	})
}

func TestChangeOfAnotherRevisionIsRejected(t *testing.T) {
	one, err := New(1, Contents{Services: []*Service{{Name: "a"}}})
	assert.NilError(t, err)
	other, err := New(1, Contents{Services: []*Service{{Name: "b"}}})
	assert.NilError(t, err)
	_, change, err := one.Replace(2, Contents{Services: []*Service{{Name: "a"}, {Name: "c"}}})
	assert.NilError(t, err)
	_, err = other.Apply(change)
	assert.ErrorIs(t, err, ErrOtherRevision)
	change.Entries = nil
	_, err = one.Apply(change)
	assert.ErrorIs(t, err, ErrOtherRevision)
}

func TestEntryUnderAnotherKeyIsRejected(t *testing.T) {
	encoded, err := encodeElement(&Service{Name: "a"})
	assert.NilError(t, err)
	for _, key := range []string{"", "x", "sb", "rhost\x00/"} {
		var empty *Configuration
		_, err := empty.Apply(&Change{To: Revision{Version: 1}, Entries: []Entry{{Key: []byte(key), Value: encoded}}})
		assert.Assert(t, err != nil, "key %q", key)
	}
}

// largeContents returns routes like those of a configuration that has grown.
func largeContents(routes int) Contents {
	random := rand.New(rand.NewPCG(1, 2))
	word := func() string {
		letters := make([]byte, 8)
		for i := range letters {
			letters[i] = "abcdefghijklmnopqrstuvwxyz0123456789"[random.IntN(36)]
		}
		return string(letters)
	}
	contents := Contents{Limits: &Limits{MaxBodyBytes: 1000}}
	for range routes {
		contents.Routes = append(contents.Routes, &Route{
			Name: "r-" + word(), Host: "api.example", Prefix: "/" + word() + "/", Kind: Idempotent, Timeout: 8 * time.Second,
			LatencyObjective: 2 * time.Second, Shares: []Share{{"engines", 1}}, MaxAttempts: 2,
		})
	}
	return contents
}

// What a change costs must not grow with what it leaves alone.
func TestSmallChangeOfALargeConfigurationCostsLittle(t *testing.T) {
	for _, routes := range []int{100, 10_000} {
		contents := largeContents(routes)
		c, err := New(1, contents)
		assert.NilError(t, err)
		contents.Routes = append(contents.Routes, &Route{Name: "new", Host: "api.example", Prefix: "/new/", Shares: []Share{{"engines", 1}}})
		next, change, err := c.Replace(2, contents)
		assert.NilError(t, err)
		assert.Equal(t, len(change.Entries), 1)
		result := testing.Benchmark(func(b *testing.B) {
			for b.Loop() {
				_, err := c.Apply(change)
				assert.NilError(b, err)
			}
		})
		assert.Assert(t, result.AllocedBytesPerOp() < 64<<10, "%d routes: %d bytes", routes, result.AllocedBytesPerOp())
		path := strings.TrimPrefix(contents.Routes[routes/2].Prefix, "")
		allocs := testing.AllocsPerRun(100, func() { _ = next.Match("api.example", path) })
		assert.Assert(t, allocs <= 2, "%v allocations per match", allocs)
	}
}
