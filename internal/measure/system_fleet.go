package measure

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/hibiscuspost/hibiscuspost/internal/admin"
	"github.com/hibiscuspost/hibiscuspost/internal/adminclient"
	"github.com/hibiscuspost/hibiscuspost/internal/exit"
	"github.com/hibiscuspost/hibiscuspost/internal/instance"
	"github.com/hibiscuspost/hibiscuspost/internal/measure/load"
	"github.com/hibiscuspost/hibiscuspost/internal/settings"
	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

const (
	// anyLoopbackPort makes the operating system choose a free loopback port.
	anyLoopbackPort = "127.0.0.1:0"
	adminToken      = "measure-admin-token"
	peerSecret      = "measure-peer-secret"
	// readyTimeout bounds the time until the instances are joined, and then until
	// they are ready.
	readyTimeout = 10 * time.Second
	// readyPollInterval is the interval between readiness checks.
	readyPollInterval = 20 * time.Millisecond
	// seedStride separates the instance seeds of different runs; it allows as many
	// instances in one run.
	seedStride = 1000
	// balancerDetectionDelay is the time until the load balancer detects that an
	// instance is not ready. It is shorter than the time for which an instance that
	// shuts down waits for that.
	balancerDetectionDelay = 300 * time.Millisecond
	// shutdownTimeout bounds a graceful shutdown.
	shutdownTimeout = 15 * time.Second
)

// systemFleet is a fleet of instances of the system in this process.
type systemFleet struct {
	testbed      *testbed
	loadBalancer *load.Balancer

	// mu guards the fields below; an ended instance is nil.
	mu            sync.Mutex
	instances     []*instance.Instance
	instanceNames []string
	seedBase      uint64
	launchedCount int
}

// startSystem starts fleetSize instances with the testbed's tables and waits until
// they are ready.
func startSystem(ctx context.Context, tb *testbed, config fleetConfig) (fleet, error) {
	return startSystemFleet(ctx, tb, config)
}

// startSystemFleet is startSystem with a concrete result type.
func startSystemFleet(ctx context.Context, tb *testbed, config fleetConfig) (*systemFleet, error) {
	f, err := startInstances(tb, config.seed, fleetSize)
	if err != nil {
		return nil, err
	}
	if err := f.applyInitialTables(ctx, tb.tables(config.deadline)); err != nil {
		f.close()
		return nil, err
	}
	if err := f.waitReady(ctx); err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

// applyInitialTables applies the first tables. It retries until the instances have
// joined each other, since before that they accept no tables.
func (f *systemFleet) applyInitialTables(ctx context.Context, config *tables.Tables) error {
	deadline := time.Now().Add(readyTimeout)
	for {
		_, err := f.apply(ctx, 0, 0, config)
		if exit.CodeOf(err) != exit.Unavailable || time.Now().After(deadline) || ctx.Err() != nil {
			return err
		}
		sleep(ctx, readyPollInterval)
	}
}

// startInstances starts count instances without tables.
func startInstances(tb *testbed, seed uint64, count int) (*systemFleet, error) {
	f := &systemFleet{testbed: tb, loadBalancer: load.NewBalancer(nil), instances: make([]*instance.Instance, count), instanceNames: make([]string, count), seedBase: seed * seedStride}
	for i := range count {
		if err := f.launchInstance(i); err != nil {
			f.close()
			return nil, err
		}
	}
	return f, nil
}

func (f *systemFleet) balancer() *load.Balancer { return f.loadBalancer }

func (f *systemFleet) clientURL(index int) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.instances[index] == nil {
		return ""
	}
	return f.instances[index].CallersURL()
}

// instanceName returns the name of one instance; empty when it has ended.
func (f *systemFleet) instanceName(index int) string {
	name, _ := f.adminEndpoint(index)
	return name
}

// adminEndpoint returns the name and the administration URL of one instance; both
// are empty when it has ended.
func (f *systemFleet) adminEndpoint(index int) (name, url string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.instances[index] == nil {
		return "", ""
	}
	return f.instanceNames[index], f.instances[index].AdminURL()
}

// launchInstance starts an instance that joins the live ones, and adds it to the load
// balancer.
func (f *systemFleet) launchInstance(index int) error {
	f.mu.Lock()
	f.launchedCount++
	sequence := f.launchedCount
	name := fmt.Sprintf("entry-%d", sequence)
	var peers []string
	for _, inst := range f.instances {
		if inst != nil {
			peers = append(peers, inst.PeerAddress())
		}
	}
	f.mu.Unlock()
	launched, err := instance.Start(context.Background(), instance.Options{
		Settings: settings.Settings{
			Name: name, FailureDomain: failureDomains[index%len(failureDomains)],
			Listen:   settings.Listen{Callers: anyLoopbackPort, Admin: anyLoopbackPort, Peers: anyLoopbackPort},
			Platform: f.testbed.platform.URL(), Peers: peers, Limits: settings.DefaultLimits(),
		},
		Secrets: settings.Secrets{AdminToken: []byte(adminToken), PeerSecret: []byte(peerSecret)},
		Logger:  zap.NewNop(),
		Seed:    f.seedBase + uint64(sequence),
	})
	if err != nil {
		return errors.Wrapf(err, "start instance %s", name)
	}
	f.mu.Lock()
	f.instanceNames[index] = name
	f.mu.Unlock()
	f.setInstance(index, launched)
	return nil
}

// replace implements fleet; clients get the instance once it is ready.
func (f *systemFleet) replace(ctx context.Context, index int) error {
	if err := f.launchInstance(index); err != nil {
		return err
	}
	return f.waitReady(ctx)
}

// crash implements fleet. Requests that the instance is running are not finished.
func (f *systemFleet) crash(index int) {
	if inst := f.setInstance(index, nil); inst != nil {
		inst.Kill()
	}
}

// shutdown implements fleet. The load balancer selects the instance until it has
// detected that the instance is not ready.
func (f *systemFleet) shutdown(ctx context.Context, index int) error {
	ctx, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	f.mu.Lock()
	inst := f.instances[index]
	f.mu.Unlock()
	if inst == nil {
		return nil
	}
	var detection conc.WaitGroup
	defer detection.Wait()
	detection.Go(func() {
		sleep(ctx, balancerDetectionDelay)
		f.setInstance(index, nil)
	})
	return inst.Shutdown(ctx)
}

func (f *systemFleet) close() {
	var crashes conc.WaitGroup
	for i := range f.instances {
		crashes.Go(func() { f.crash(i) })
	}
	crashes.Wait()
}

// setInstance replaces one instance, updates the load balancer and returns the old
// instance.
func (f *systemFleet) setInstance(index int, inst *instance.Instance) *instance.Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.instances[index]
	f.instances[index] = inst
	var urls []string
	for _, inst := range f.instances {
		if inst != nil {
			urls = append(urls, inst.CallersURL())
		}
	}
	f.loadBalancer.SetURLs(urls)
	return old
}

// liveInstances returns the instances that have not ended.
func (f *systemFleet) liveInstances() []*instance.Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	var live []*instance.Instance
	for _, inst := range f.instances {
		if inst != nil {
			live = append(live, inst)
		}
	}
	return live
}

// waitReady waits until all live instances are ready, for at most readyTimeout.
func (f *systemFleet) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, inst := range f.liveInstances() {
		for !isReady(ctx, inst.CallersURL()) {
			if ctx.Err() != nil {
				return errors.Newf("instance at %s is not ready after %v", inst.CallersURL(), readyTimeout)
			}
			sleep(ctx, readyPollInterval)
		}
	}
	return nil
}

func isReady(ctx context.Context, baseURL string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, baseURL+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// apply applies tables through one of the live instances.
func (f *systemFleet) apply(ctx context.Context, instanceIndex int, baseVersion uint64, config *tables.Tables) (admin.ApplyResponse, error) {
	live := f.liveInstances()
	if len(live) == 0 {
		return admin.ApplyResponse{}, errors.New("apply tables: no live instance")
	}
	client, err := adminclient.New(live[instanceIndex%len(live)].AdminURL(), adminToken)
	if err != nil {
		return admin.ApplyResponse{}, err
	}
	request, err := newApplyRequest(config)
	if err != nil {
		return admin.ApplyResponse{}, err
	}
	return client.Apply(ctx, baseVersion, request)
}

// newApplyRequest encodes tables as the two files that operators apply.
func newApplyRequest(config *tables.Tables) (admin.ApplyRequest, error) {
	routes, err := json.Marshal(tables.Routes{Routes: config.Routes})
	if err != nil {
		return admin.ApplyRequest{}, err
	}
	pools, err := json.Marshal(tables.Pools{Pools: config.Pools})
	if err != nil {
		return admin.ApplyRequest{}, err
	}
	return admin.ApplyRequest{
		Routes: admin.TableFile{Name: "routes.json", Text: string(routes)},
		Pools:  admin.TableFile{Name: "pools.json", Text: string(pools)},
	}, nil
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
