package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/hibiscuspost/hibiscuspost/internal/admin"
	"github.com/hibiscuspost/hibiscuspost/internal/adminclient"
	"github.com/hibiscuspost/hibiscuspost/internal/instance"
	"github.com/hibiscuspost/hibiscuspost/internal/peer"
	"github.com/hibiscuspost/hibiscuspost/internal/settings"
	"github.com/hibiscuspost/hibiscuspost/internal/standin/platform"
	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

// countedPlatform is the stand-in platform, which counts its operations.
type countedPlatform struct {
	*platform.Server
	http                           *httptest.Server
	heads, reads, writes, instance atomic.Int64
	carried                        atomic.Int64
}

// countedConn counts the bytes of a connection.
type countedConn struct {
	net.Conn
	carried *atomic.Int64
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.carried.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.carried.Add(int64(n))
	return n, err
}

// countedListener counts the bytes of its connections.
type countedListener struct {
	net.Listener
	carried *atomic.Int64
}

func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{conn, l.carried}, nil
}

func startPlatform(b *testing.B) *countedPlatform {
	server, err := platform.New(platform.Options{})
	assert.NilError(b, err)
	p := &countedPlatform{Server: server}
	p.http = httptest.NewUnstartedServer(p)
	p.http.Listener = countedListener{p.http.Listener, &p.carried}
	p.http.Start()
	return p
}

// ServeHTTP counts an operation by its kind.
func (p *countedPlatform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Method == http.MethodPost:
		p.writes.Add(1)
	case r.URL.Path == "/instances":
		p.instance.Add(1)
	case strings.HasPrefix(r.URL.Path, "/tables/configuration"):
		p.heads.Add(1)
	default:
		p.reads.Add(1)
	}
	p.Server.ServeHTTP(w, r)
}

// sample is what a fleet has used up to a time.
type sample struct {
	at                               time.Time
	peers, platform                  float64
	cpu                              time.Duration
	heads, reads, writes, instances_ float64
}

func (p *countedPlatform) sample(b *testing.B) sample {
	var spent syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &spent))
	return sample{
		at: time.Now(), peers: float64(peer.BytesTransferred()), platform: float64(p.carried.Load()),
		cpu:   time.Duration(spent.Utime.Nano() + spent.Stime.Nano()),
		heads: float64(p.heads.Load()), reads: float64(p.reads.Load()),
		writes: float64(p.writes.Load()), instances_: float64(p.instance.Load()),
	}
}

// liveBytes is the heap and stacks in use after a collection.
func liveBytes() float64 {
	debug.FreeOSMemory()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return float64(memory.HeapInuse + memory.StackInuse)
}

// fleetSize is one point; targets exist in the tables only.
type fleetSize struct{ instances, targets, routes int }

const (
	fleetSettle = 25 * time.Second
	fleetSpan   = 8 * time.Second
	fleetToken  = "capacity-admin-token"
	fleetSecret = "capacity-peer-secret"
	mb          = 1 << 20
)

// BenchmarkFleet measures whole instances at rest, in one process:
//
//	go test -run xxx -bench Fleet -benchtime 1x ./internal/capacity
//
// The processor time includes the stand-in platform.
func BenchmarkFleet(b *testing.B) {
	sizes := []fleetSize{
		{4, 8, 5},
		{7, 8, 5},
		{12, 8, 5},
		{20, 8, 5},
		{28, 8, 5},
		{40, 8, 5},
		{80, 8, 5},
		{20, 40, 5},
		{20, 80, 5},
		{20, 8, 105},
	}
	for _, size := range sizes {
		b.Run(fmt.Sprintf("%d-%d-%d", size.instances, size.targets, size.routes), func(b *testing.B) {
			for b.Loop() {
				measureFleet(b, size)
			}
		})
	}
}

func measureFleet(b *testing.B, size fleetSize) {
	p := startPlatform(b)
	defer p.http.Close()
	before := liveBytes()
	fleet := startFleet(b, p.http.URL, size.instances)
	defer func() {
		var stopping conc.WaitGroup
		for _, i := range fleet {
			stopping.Go(i.Kill)
		}
		stopping.Wait()
	}()
	applyTables(b, fleet[0], size)
	time.Sleep(fleetSettle)
	first := p.sample(b)
	time.Sleep(fleetSpan)
	last := p.sample(b)
	n := float64(size.instances)
	passed := last.at.Sub(first.at).Seconds()
	report := func(rise float64, unit string) { b.ReportMetric(rise/passed/n, unit) }
	report(last.peers-first.peers, "peerB/s")
	report(last.platform-first.platform, "platformB/s")
	report(100*(last.cpu-first.cpu).Seconds(), "cpu%")
	report(last.heads-first.heads, "headreads/s")
	report(last.reads-first.reads, "otherreads/s")
	report(last.writes-first.writes, "writes/s")
	report(last.instances_-first.instances_, "listreads/s")
	b.ReportMetric((liveBytes()-before)/mb/n, "liveMB")
}

func startFleet(b *testing.B, platformURL string, count int) []*instance.Instance {
	var fleet []*instance.Instance
	var seeds []string
	for n := range count {
		i, err := instance.Start(instance.Options{
			Settings: settings.Settings{
				Name: "entry-" + strconv.Itoa(n), FailureDomain: "fd-" + strconv.Itoa(n%6),
				Listen:   settings.Listen{Callers: "127.0.0.1:0", Admin: "127.0.0.1:0", Peers: "127.0.0.1:0"},
				Platform: platformURL, Peers: seeds, Limits: settings.DefaultLimits(),
			},
			Secrets: settings.Secrets{AdminToken: []byte(fleetToken), PeerSecret: []byte(fleetSecret)},
			Logger:  zap.NewNop(), Seed: uint64(n + 1),
		})
		assert.NilError(b, err)
		fleet = append(fleet, i)
		seeds = []string{fleet[0].PeerAddress()}
	}
	return fleet
}

// applyTables applies as soon as the instances have found each other.
func applyTables(b *testing.B, i *instance.Instance, size fleetSize) {
	client, err := adminclient.New(i.AdminURL(), fleetToken)
	assert.NilError(b, err)
	t := fleetTables(size)
	routes, err := json.Marshal(map[string]any{"routes": t.Routes})
	assert.NilError(b, err)
	pools, err := json.Marshal(map[string]any{"pools": t.Pools})
	assert.NilError(b, err)
	for deadline := time.Now().Add(time.Minute); ; time.Sleep(100 * time.Millisecond) {
		_, err := client.Apply(context.Background(), 0, admin.ApplyRequest{
			Routes: admin.TableFile{Name: "routes.json", Text: string(routes)},
			Pools:  admin.TableFile{Name: "pools.json", Text: string(pools)},
		})
		if err == nil {
			return
		}
		assert.Assert(b, time.Now().Before(deadline), "%v", errors.Wrap(err, "apply"))
	}
}

func fleetTables(size fleetSize) *tables.Tables {
	t := &tables.Tables{Pools: []tables.Pool{{Name: "pool", Kind: tables.KindEngine, Version: "v1"}}}
	for n := range size.targets {
		t.Pools[0].Targets = append(t.Pools[0].Targets, tables.Target{
			Name: "target-" + strconv.Itoa(n), Address: "127.0.0.1:" + strconv.Itoa(n+1), Version: "v1",
			FailureDomain: "fd-" + strconv.Itoa(n%6), Slots: 8,
		})
	}
	for n := range size.routes {
		t.Routes = append(t.Routes, tables.Route{
			Name: fmt.Sprintf("r%d", n), Match: tables.Match{Path: "/v1", Model: fmt.Sprintf("m%d", n)},
			Pool: "pool", Tier: 3, Idempotent: true,
		})
	}
	return t
}
