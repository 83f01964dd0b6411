package main

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The case of long bodies has the machines and limits of the deployment lantern-pos, with one
// machine of 134 MB in each of its three zones.
const (
	bodyBytes     = 4 << 20
	bodyClients   = 15
	bodyMachines  = 3
	smallMemoryMB = 134
	downTime      = 3500 * time.Millisecond
	restartDelay  = 300 * time.Millisecond
	changeTimeout = 1500 * time.Millisecond
	allowedLost   = 3
)

// memory returns the memory of the process in MB, without that of mapped files; 0 if it has
// ended.
func (i *instance) memory() int {
	i.mu.Lock()
	pid := i.process.Process.Pid
	i.mu.Unlock()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	const kilobytesPerMB = 1024
	for line := range strings.SplitSeq(string(text), "\n") {
		var kilobytes int
		if n, _ := fmt.Sscanf(line, "RssAnon: %d kB", &kilobytes); n == 1 {
			return kilobytes / kilobytesPerMB
		}
	}
	return 0
}

// bodyWorld is the deployment with its clients.
type bodyWorld struct {
	*world

	// mu guards the fields below.
	mu sync.Mutex
	// down holds the machines that are down, disturbed those that have lost power, ran the
	// requests that have run.
	down      map[*instance]bool
	disturbed map[*instance]bool
	ran       map[string]bool
	// lost are the requests on kept connections that got no answer although the machine
	// counted as running.
	lost []string
	// peak is the highest memory seen, ends the number of processes ended for it.
	peak, ends int
}

// enforceMemory ends processes that exceed their memory, as the platform does, and asks
// for their restart.
func (b *bodyWorld) enforceMemory(restarts chan<- *instance, stop <-chan struct{}) {
	const interval = 5 * time.Millisecond
	for {
		select {
		case <-stop:
			return
		case <-time.After(interval):
		}
		for _, i := range b.instances {
			used := i.memory()
			b.mu.Lock()
			b.peak = max(b.peak, used)
			exceeds := used > smallMemoryMB && !b.down[i]
			if exceeds {
				b.down[i] = true
				b.ends++
			}
			b.mu.Unlock()
			if exceeds {
				i.signal(syscall.SIGKILL)
				b.say("%s has %d MB of %d and is ended", i.name, used, smallMemoryMB)
				time.AfterFunc(restartDelay, func() { restarts <- i })
			}
		}
	}
}

// machineFor returns the machine of a client: the one in its zone, or the next that runs.
func (b *bodyWorld) machineFor(client int) *instance {
	b.mu.Lock()
	defer b.mu.Unlock()
	for n := range bodyMachines {
		if i := b.instances[(client+n)%bodyMachines]; !b.down[i] {
			return i
		}
	}
	return b.instances[client%bodyMachines]
}

// runClient sends changes one after another.
func (b *bodyWorld) runClient(number int, stop <-chan struct{}) {
	body := bytes.Repeat([]byte("x"), bodyBytes)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	var last *instance
	const pause = 20 * time.Millisecond
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
		i, id := b.machineFor(number), fmt.Sprintf("%02d-%04d", number, n)
		b.note("sent     %s to %s", id, i.name)
		got := b.send(client, i, http.MethodPost, "/change/2f", id, changeTimeout, bytes.NewReader(body))
		b.note("answered %s by %s: %d", id, i.name, got.status)
		b.mu.Lock()
		if got.status == 0 && last == i && b.ran[id] && !b.disturbed[i] && !errors.Is(got.err, os.ErrDeadlineExceeded) {
			b.lost = append(b.lost, id)
		}
		b.mu.Unlock()
		last = i
		if got.status == 0 {
			last = nil
		}
	}
}

// playLongBodies stops two of three machines, so that the other one gets all clients, which
// send bodies within the limit.
func playLongBodies(w *world, trouble bool) (bool, error) {
	b := &bodyWorld{world: w, down: make(map[*instance]bool), disturbed: make(map[*instance]bool), ran: make(map[string]bool)}
	onRun := func(r *http.Request) int {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.ran[r.Header.Get("Attempt-Id")] = true
		return http.StatusOK
	}
	if _, err := w.startRunners(service, "v1", 3, onRun); err != nil {
		return false, err
	}
	w.configureChange()
	if err := w.startInstances(bodyMachines, smallMemoryMB); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	restarts := make(chan *instance, bodyMachines)
	var clients sync.WaitGroup
	for c := range bodyClients {
		clients.Go(func() { b.runClient(c, stop) })
	}
	go b.enforceMemory(restarts, stop)
	time.Sleep(5 * time.Second)
	w.say("all machines run; at most %d MB so far", b.peak)
	end := time.After(15 * time.Second)
	if trouble {
		for _, other := range w.instances[1:] {
			b.mu.Lock()
			b.down[other], b.disturbed[other] = true, true
			b.mu.Unlock()
			other.signal(syscall.SIGKILL)
			w.say("%s loses power for %v", other.name, downTime)
			time.AfterFunc(downTime, func() { restarts <- other })
		}
	}
	for running := true; running; {
		select {
		case i := <-restarts:
			i.awaitExit()
			if err := i.start(); err != nil {
				return false, err
			}
			for !i.isReady() {
				time.Sleep(10 * time.Millisecond)
			}
			b.mu.Lock()
			b.down[i] = false
			b.mu.Unlock()
			w.say("%s is back", i.name)
		case <-end:
			running = false
		}
	}
	close(stop)
	clients.Wait()
	w.say("at most %d MB of %d; %d processes ended for their memory", b.peak, smallMemoryMB, b.ends)
	w.say("%d requests on kept connections had been passed on and got no answer: %v", len(b.lost), b.lost[:min(len(b.lost), 8)])
	return len(b.lost) > allowedLost && b.ends > 0, nil
}

// configureChange writes a configuration with a route that may not be repeated.
func (w *world) configureChange() {
	w.store.Put("op", "config", map[string]any{
		"version": 1, "services": []any{map[string]any{"name": service, "max_conns": 96}},
		"routes": []any{map[string]any{
			"name": "account-action", "host": w.host, "prefix": "/change/", "service": service, "route_kind": "non_idempotent",
			"max_attempts": 1, "timeout_ms": 1500, "latency_slo_ms": 300, "priority": 2,
		}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": bodyBytes, "header_timeout_ms": 5000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "hule930", "api_keys": []string{w.key}}},
	})
}
