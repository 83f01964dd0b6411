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

// countingPlatform is the stand-in platform with counts of its requests and
// bytes.
type countingPlatform struct {
	*platform.Server
	http                                     *httptest.Server
	headReads, otherReads, writes, listReads atomic.Int64
	trafficBytes                             atomic.Int64
}

// countingConn counts the bytes of a connection in both directions.
type countingConn struct {
	net.Conn
	trafficBytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.trafficBytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.trafficBytes.Add(int64(n))
	return n, err
}

// countingListener counts the bytes of its connections.
type countingListener struct {
	net.Listener
	trafficBytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{conn, l.trafficBytes}, nil
}

func startPlatform(b *testing.B) *countingPlatform {
	server, err := platform.New(platform.Options{})
	assert.NilError(b, err)
	p := &countingPlatform{Server: server}
	p.http = httptest.NewUnstartedServer(p)
	p.http.Listener = countingListener{p.http.Listener, &p.trafficBytes}
	p.http.Start()
	return p
}

// ServeHTTP counts a request by its kind.
func (p *countingPlatform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Method == http.MethodPost:
		p.writes.Add(1)
	case r.URL.Path == "/instances":
		p.listReads.Add(1)
	case strings.HasPrefix(r.URL.Path, "/tables/configuration"):
		p.headReads.Add(1)
	default:
		p.otherReads.Add(1)
	}
	p.Server.ServeHTTP(w, r)
}

// sample holds the cumulative resource use of a fleet at one time.
type sample struct {
	at                                       time.Time
	peerBytes, platformBytes                 float64
	cpu                                      time.Duration
	headReads, otherReads, writes, listReads float64
}

func (p *countingPlatform) sample(b *testing.B) sample {
	var usage syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return sample{
		at: time.Now(), peerBytes: float64(peer.BytesTransferred()), platformBytes: float64(p.trafficBytes.Load()),
		cpu:       time.Duration(usage.Utime.Nano() + usage.Stime.Nano()),
		headReads: float64(p.headReads.Load()), otherReads: float64(p.otherReads.Load()),
		writes: float64(p.writes.Load()), listReads: float64(p.listReads.Load()),
	}
}

// liveBytes returns the heap and stacks in use after a garbage collection.
func liveBytes() float64 {
	debug.FreeOSMemory()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return float64(memory.HeapInuse + memory.StackInuse)
}

// fleetSize is the size of one measurement. The targets exist only in the
// tables.
type fleetSize struct{ instances, targets, routes int }

const (
	settleTime  = 25 * time.Second
	measureTime = 8 * time.Second
	fleetToken  = "capacity-admin-token"
	fleetSecret = "capacity-peer-secret"
	bytesPerMB  = 1 << 20
)

// BenchmarkFleet measures whole instances without requests, in one process:
//
//	go test -run xxx -bench Fleet -benchtime 1x ./internal/capacity
//
// The processor time includes that of the stand-in platform.
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
	time.Sleep(settleTime)
	first := p.sample(b)
	time.Sleep(measureTime)
	last := p.sample(b)
	n := float64(size.instances)
	elapsedSeconds := last.at.Sub(first.at).Seconds()
	reportRate := func(increase float64, unit string) { b.ReportMetric(increase/elapsedSeconds/n, unit) }
	reportRate(last.peerBytes-first.peerBytes, "peerB/s")
	reportRate(last.platformBytes-first.platformBytes, "platformB/s")
	reportRate(100*(last.cpu-first.cpu).Seconds(), "cpu%")
	reportRate(last.headReads-first.headReads, "headreads/s")
	reportRate(last.otherReads-first.otherReads, "otherreads/s")
	reportRate(last.writes-first.writes, "writes/s")
	reportRate(last.listReads-first.listReads, "listreads/s")
	b.ReportMetric((liveBytes()-before)/bytesPerMB/n, "liveMB")
}

func startFleet(b *testing.B, platformURL string, count int) []*instance.Instance {
	var fleet []*instance.Instance
	var seedPeers []string
	for n := range count {
		i, err := instance.Start(b.Context(), instance.Options{
			Settings: settings.Settings{
				Name: "entry-" + strconv.Itoa(n), FailureDomain: "fd-" + strconv.Itoa(n%6),
				Listen:   settings.Listen{Callers: "127.0.0.1:0", Admin: "127.0.0.1:0", Peers: "127.0.0.1:0"},
				Platform: platformURL, Peers: seedPeers, Limits: settings.DefaultLimits(),
			},
			Secrets: settings.Secrets{AdminToken: []byte(fleetToken), PeerSecret: []byte(fleetSecret)},
			Logger:  zap.NewNop(), Seed: uint64(n + 1),
		})
		assert.NilError(b, err)
		fleet = append(fleet, i)
		seedPeers = []string{fleet[0].PeerAddress()}
	}
	return fleet
}

// applyTables applies the tables, with retries until the instances have
// discovered each other.
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
		assert.Assert(b, time.Now().Before(deadline), "%v", errors.Wrap(err, "apply tables within one minute"))
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
