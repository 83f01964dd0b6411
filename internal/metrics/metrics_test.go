package metrics

import (
	"encoding/json"
	"expvar"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Many accounts must not add histograms without limit: those beyond
// MaxAccounts share one entry.
func TestAccountsAreBounded(t *testing.T) {
	s := New(t.Name())
	defer s.Close()
	const accountCount = 27_000
	for i := range accountCount {
		s.Observe(0, fmt.Sprint("account-", i), time.Millisecond, 2*time.Millisecond)
	}
	snapshot := s.snapshot().(Snapshot)
	assert.Equal(t, len(snapshot.Accounts), MaxAccounts+1)
	assert.Equal(t, snapshot.Accounts[OtherAccounts].Total.Count, int64(accountCount-MaxAccounts))
	assert.Equal(t, snapshot.Tiers[0].Total.Count, int64(accountCount))
}

func TestInstancesOfOneProcessHaveSeparateMetrics(t *testing.T) {
	a, b := New("instance-a"), New("instance-b")
	defer a.Close()
	defer b.Close()
	a.Add(RequestsAccepted, 2)
	b.Add(RequestsAccepted, 3)
	b.RegisterPart("part", func() any { return 7 })
	var published map[string]struct {
		Counters map[string]int `json:"counters"`
		Parts    map[string]int `json:"parts"`
	}
	assert.NilError(t, json.Unmarshal([]byte(expvar.Get("hibiscuspost").String()), &published))
	assert.Equal(t, published["instance-a"].Counters[RequestsAccepted], 2)
	assert.Equal(t, published["instance-b"].Counters[RequestsAccepted], 3)
	assert.Equal(t, published["instance-b"].Parts["part"], 7)
	assert.Equal(t, a.Count(RequestsAccepted), int64(2))
}
