package measure

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuspost/hibiscuspost/internal/measure/baseline"
	"github.com/hibiscuspost/hibiscuspost/internal/measure/load"
)

// entryCount is the number of instances in the measures' fleets.
const entryCount = 4

// fleet is a set of entry instances behind the platform's balancer: those of
// the system, or those of the naive policy.
type fleet interface {
	// balancer gives callers the instances that live.
	balancer() *load.Balancer
	// url is the base URL for callers of one instance; empty for an ended one.
	url(index int) string
	// crash ends one instance at once, cutting its connections.
	crash(index int)
	// shutdown ends one instance gracefully.
	shutdown(ctx context.Context, index int) error
	// replace starts a new instance in the place of one that has ended.
	replace(ctx context.Context, index int) error
	// close ends all instances.
	close()
}

// starter starts a fleet in front of a bed.
type starter func(ctx context.Context, b *bed, setup setup) (fleet, error)

// naiveFleet runs the naive policy.
type naiveFleet struct {
	bed    *bed
	public *load.Balancer

	// mu guards proxies; an ended one is nil.
	mu      sync.Mutex
	proxies []*baseline.Proxy
}

// startNaive starts the naive policy's instances.
func startNaive(ctx context.Context, b *bed, _ setup) (fleet, error) {
	f := &naiveFleet{bed: b, public: load.NewBalancer(nil), proxies: make([]*baseline.Proxy, entryCount)}
	for i := range entryCount {
		if err := f.replace(ctx, i); err != nil {
			f.close()
			return nil, err
		}
	}
	return f, nil
}

func (f *naiveFleet) balancer() *load.Balancer { return f.public }

func (f *naiveFleet) url(index int) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.proxies[index] == nil {
		return ""
	}
	return f.proxies[index].URL()
}

func (f *naiveFleet) replace(_ context.Context, index int) error {
	limit := max(f.bed.limit/entryCount, 1)
	proxy, err := baseline.Start(f.bed.engineURLs(), f.bed.serviceURLs(), limit)
	if err != nil {
		return errors.Wrap(err, "baseline")
	}
	f.set(index, proxy)
	return nil
}

func (f *naiveFleet) crash(index int) {
	if proxy := f.set(index, nil); proxy != nil {
		proxy.Close()
	}
}

// shutdown of the naive policy is a crash: it knows no other end.
func (f *naiveFleet) shutdown(_ context.Context, index int) error {
	f.crash(index)
	return nil
}

func (f *naiveFleet) close() {
	for i := range entryCount {
		f.crash(i)
	}
}

// set replaces one proxy, tells the balancer and returns the old one.
func (f *naiveFleet) set(index int, proxy *baseline.Proxy) *baseline.Proxy {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.proxies[index]
	f.proxies[index] = proxy
	var urls []string
	for _, p := range f.proxies {
		if p != nil {
			urls = append(urls, p.URL())
		}
	}
	f.public.SetURLs(urls)
	return old
}
