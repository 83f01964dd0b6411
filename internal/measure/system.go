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
	// anyPort lets the system choose a loopback port.
	anyPort = "127.0.0.1:0"
	// adminToken and peerSecret are the secrets of measured fleets.
	adminToken = "measure-admin-token"
	peerSecret = "measure-peer-secret"
	// adoptionBound is how long instances may take to become ready.
	adoptionBound = 10 * time.Second
	// adoptionPoll is how often readiness is looked at.
	adoptionPoll = 20 * time.Millisecond
	// seedsEach is how many instances can have seeds of their own in one run.
	seedsEach = 1000
	// balancerLag is how long the balancer takes to notice that an instance is
	// not ready; it is shorter than an instance waits for that.
	balancerLag = 300 * time.Millisecond
	// stopBound is how long an instance may take to shut down.
	stopBound = 15 * time.Second
)

// systemFleet runs instances of the system in this process.
type systemFleet struct {
	bed    *bed
	public *load.Balancer

	// mu guards the fields below; an ended instance is nil.
	mu        sync.Mutex
	instances []*instance.Instance
	names     []string
	seed      uint64
	started   int
}

// startSystem starts the system's instances and puts the bed's tables in
// force.
func startSystem(ctx context.Context, b *bed, s setup) (fleet, error) {
	return startSystemFleet(ctx, b, s)
}

// startSystemFleet is startSystem with the type of its result.
func startSystemFleet(ctx context.Context, b *bed, s setup) (*systemFleet, error) {
	f, err := startInstances(b, s.seed, entryCount)
	if err != nil {
		return nil, err
	}
	if err := f.applyOnceJoined(ctx, b.tables(s.deadline)); err != nil {
		f.close()
		return nil, err
	}
	if err := f.waitReady(ctx); err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

// applyOnceJoined applies the first tables as soon as the instances have found
// each other; before that, nothing is accepted.
func (f *systemFleet) applyOnceJoined(ctx context.Context, t *tables.Tables) error {
	deadline := time.Now().Add(adoptionBound)
	for {
		_, err := f.apply(ctx, 0, 0, t)
		if exit.Of(err) != exit.Unavailable || time.Now().After(deadline) || ctx.Err() != nil {
			return err
		}
		sleep(ctx, adoptionPoll)
	}
}

// startInstances starts instances without a configuration.
func startInstances(b *bed, seed uint64, count int) (*systemFleet, error) {
	f := &systemFleet{bed: b, public: load.NewBalancer(nil), instances: make([]*instance.Instance, count), names: make([]string, count), seed: seed * seedsEach}
	for i := range count {
		if err := f.launch(i); err != nil {
			f.close()
			return nil, err
		}
	}
	return f, nil
}

func (f *systemFleet) balancer() *load.Balancer { return f.public }

func (f *systemFleet) url(index int) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.instances[index] == nil {
		return ""
	}
	return f.instances[index].CallersURL()
}

// name is the name of one instance; empty for an ended one.
func (f *systemFleet) name(index int) string {
	name, _ := f.admin(index)
	return name
}

// admin returns the name and the administration URL of one instance.
func (f *systemFleet) admin(index int) (name, url string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.instances[index] == nil {
		return "", ""
	}
	return f.names[index], f.instances[index].AdminURL()
}

// launch starts an instance that joins the living ones.
func (f *systemFleet) launch(index int) error {
	f.mu.Lock()
	f.started++
	number := f.started
	name := fmt.Sprintf("entry-%d", number)
	var peers []string
	for _, running := range f.instances {
		if running != nil {
			peers = append(peers, running.PeerAddress())
		}
	}
	f.mu.Unlock()
	running, err := instance.Start(instance.Options{
		Settings: settings.Settings{
			Name: name, FailureDomain: failureDomains[index%len(failureDomains)],
			Listen:   settings.Listen{Callers: anyPort, Admin: anyPort, Peers: anyPort},
			Platform: f.bed.platform.URL(), Peers: peers, Limits: settings.DefaultLimits(),
		},
		Secrets: settings.Secrets{AdminToken: []byte(adminToken), PeerSecret: []byte(peerSecret)},
		Logger:  zap.NewNop(),
		Seed:    f.seed + uint64(number),
	})
	if err != nil {
		return errors.Wrapf(err, "instance %s", name)
	}
	f.mu.Lock()
	f.names[index] = name
	f.mu.Unlock()
	f.set(index, running)
	return nil
}

// replace implements fleet; callers get the instance once it is ready.
func (f *systemFleet) replace(ctx context.Context, index int) error {
	if err := f.launch(index); err != nil {
		return err
	}
	return f.waitReady(ctx)
}

// crash implements fleet: nothing that the instance runs is finished.
func (f *systemFleet) crash(index int) {
	if running := f.set(index, nil); running != nil {
		running.Kill()
	}
}

// shutdown implements fleet. Callers get the instance until the balancer has
// noticed that it is not ready.
func (f *systemFleet) shutdown(ctx context.Context, index int) error {
	ctx, cancel := context.WithTimeout(ctx, stopBound)
	defer cancel()
	f.mu.Lock()
	running := f.instances[index]
	f.mu.Unlock()
	if running == nil {
		return nil
	}
	var noticing conc.WaitGroup
	defer noticing.Wait()
	noticing.Go(func() {
		sleep(ctx, balancerLag)
		f.set(index, nil)
	})
	return running.Shutdown(ctx)
}

func (f *systemFleet) close() {
	var stopping conc.WaitGroup
	for i := range f.instances {
		stopping.Go(func() { f.crash(i) })
	}
	stopping.Wait()
}

// set replaces one instance, tells the balancer and returns the old one.
func (f *systemFleet) set(index int, running *instance.Instance) *instance.Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.instances[index]
	f.instances[index] = running
	var urls []string
	for _, i := range f.instances {
		if i != nil {
			urls = append(urls, i.CallersURL())
		}
	}
	f.public.SetURLs(urls)
	return old
}

// living returns the instances that have not ended.
func (f *systemFleet) living() []*instance.Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	var living []*instance.Instance
	for _, running := range f.instances {
		if running != nil {
			living = append(living, running)
		}
	}
	return living
}

// waitReady waits until all living instances take work.
func (f *systemFleet) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, adoptionBound)
	defer cancel()
	for _, running := range f.living() {
		for !isReady(ctx, running.CallersURL()) {
			if ctx.Err() != nil {
				return errors.Newf("%s is not ready after %v", running.CallersURL(), adoptionBound)
			}
			sleep(ctx, adoptionPoll)
		}
	}
	return nil
}

func isReady(ctx context.Context, base string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/readyz", nil)
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

// apply puts tables in force through one of the living instances.
func (f *systemFleet) apply(ctx context.Context, through int, base uint64, t *tables.Tables) (admin.ApplyAnswer, error) {
	living := f.living()
	if len(living) == 0 {
		return admin.ApplyAnswer{}, errors.New("no instance lives")
	}
	client, err := adminclient.New(living[through%len(living)].AdminURL(), adminToken)
	if err != nil {
		return admin.ApplyAnswer{}, err
	}
	request, err := applyRequest(t)
	if err != nil {
		return admin.ApplyAnswer{}, err
	}
	return client.Apply(ctx, base, request)
}

// applyRequest writes tables as an operator's two files.
func applyRequest(t *tables.Tables) (admin.ApplyRequest, error) {
	routes, err := json.Marshal(tables.Routes{Routes: t.Routes})
	if err != nil {
		return admin.ApplyRequest{}, err
	}
	pools, err := json.Marshal(tables.Pools{Pools: t.Pools})
	if err != nil {
		return admin.ApplyRequest{}, err
	}
	return admin.ApplyRequest{
		Routes: admin.TableFile{Name: "routes.json", Text: string(routes)},
		Pools:  admin.TableFile{Name: "pools.json", Text: string(pools)},
	}, nil
}

// sleep waits for d or the end of ctx.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
