package measure

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuspost/hibiscuspost/internal/measure/baseline"
	"github.com/hibiscuspost/hibiscuspost/internal/measure/load"
)

// fleetSize is the number of instances of a fleet, in all measures but "control".
const fleetSize = 4

// fleet is a set of instances behind the platform's load balancer: those of the
// system, or baseline proxies.
type fleet interface {
	// balancer returns the load balancer over the live instances.
	balancer() *load.Balancer
	// clientURL returns the base URL of one instance for clients; empty when the
	// instance has ended.
	clientURL(index int) string
	// crash ends one instance at once and closes its connections.
	crash(index int)
	// shutdown ends one instance gracefully, if it supports that.
	shutdown(ctx context.Context, index int) error
	// replace starts a new instance in place of one that has ended.
	replace(ctx context.Context, index int) error
	// close crashes all instances.
	close()
}

// fleetStarter starts a fleet in front of the targets of a testbed.
type fleetStarter func(ctx context.Context, tb *testbed, config fleetConfig) (fleet, error)

// naiveFleet is a fleet of baseline proxies.
type naiveFleet struct {
	testbed      *testbed
	loadBalancer *load.Balancer

	// mu guards proxies; an ended proxy is nil.
	mu      sync.Mutex
	proxies []*baseline.Proxy
}

// startNaiveFleet starts fleetSize baseline proxies.
func startNaiveFleet(ctx context.Context, tb *testbed, _ fleetConfig) (fleet, error) {
	f := &naiveFleet{testbed: tb, loadBalancer: load.NewBalancer(nil), proxies: make([]*baseline.Proxy, fleetSize)}
	for i := range fleetSize {
		if err := f.replace(ctx, i); err != nil {
			f.close()
			return nil, err
		}
	}
	return f, nil
}

func (f *naiveFleet) balancer() *load.Balancer { return f.loadBalancer }

func (f *naiveFleet) clientURL(index int) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.proxies[index] == nil {
		return ""
	}
	return f.proxies[index].URL()
}

func (f *naiveFleet) replace(_ context.Context, index int) error {
	limit := max(f.testbed.totalHardLimit/fleetSize, 1)
	proxy, err := baseline.Start(f.testbed.engineURLs(), f.testbed.serviceURLs(), limit)
	if err != nil {
		return errors.Wrap(err, "start baseline proxy")
	}
	f.setProxy(index, proxy)
	return nil
}

func (f *naiveFleet) crash(index int) {
	if proxy := f.setProxy(index, nil); proxy != nil {
		proxy.Close()
	}
}

// shutdown crashes the proxy, since the baseline has no graceful shutdown.
func (f *naiveFleet) shutdown(_ context.Context, index int) error {
	f.crash(index)
	return nil
}

func (f *naiveFleet) close() {
	for i := range fleetSize {
		f.crash(i)
	}
}

// setProxy replaces one proxy, updates the load balancer and returns the old proxy.
func (f *naiveFleet) setProxy(index int, proxy *baseline.Proxy) *baseline.Proxy {
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
	f.loadBalancer.SetURLs(urls)
	return old
}
