package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/hibiscuspost/hibiscuspost/platform/platformtest"
)

// The roll-out of the case. The version turns bad after badAfter; the pause covers the
// moment at which the roll-out would be completed.
const (
	rolloutTime  = 30 * time.Second
	badAfter     = 18700 * time.Millisecond
	pauseAfter   = 18500 * time.Millisecond
	pauseTime    = 2800 * time.Millisecond
	badShare     = 0.6
	watchAfter   = 14 * time.Second
	canaryShare  = 0.1
	canarySlack  = 50
	rollbackTime = 5 * time.Second
	fiftieth     = 50
)

// sentRequest is a request as its client sent it.
type sentRequest struct {
	at       time.Time
	instance int
}

// exposure collects what the rule EXPOSURE depends on.
type exposure struct {
	mu      sync.Mutex
	sent    map[string]sentRequest
	arrived map[string][]string
	// badAnswers are the times of the new version's failures.
	badAnswers []time.Time
	// orderedAt is the time of the order, duration the time that it allows.
	orderedAt time.Time
	duration  time.Duration
	// judged is the version that is bad once isBad is set.
	judged string
	// allOutOfTouchUntil is the time before which no machine is in touch.
	allOutOfTouchUntil time.Time
	isBad              bool
}

// service is the one whose version changes, otherService takes a part of a split route.
const (
	service      = "asistente"
	otherService = "suscripciones"
)

// orderKey is the row of the operator's order.
const orderKey = "rollout/" + service

var zones = []string{"stgo-a", "stgo-b", "stgo-c", "stgo-d"}

// onRun returns how runners of a version answer.
func (e *exposure) onRun(version string) func(*http.Request) int {
	return func(r *http.Request) int {
		id := r.Header.Get("Attempt-Id")
		e.mu.Lock()
		defer e.mu.Unlock()
		e.arrived[id] = append(e.arrived[id], version)
		if version == e.judged && e.isBad && rand.Float64() < badShare {
			e.badAnswers = append(e.badAnswers, time.Now())
			return http.StatusInternalServerError
		}
		return http.StatusOK
	}
}

// startRunners starts the runners of a version.
func (w *world) startRunners(service, version string, count int, onRun func(*http.Request) int) ([]*runner, error) {
	const slots = 13
	const work = 60 * time.Millisecond
	var runners []*runner
	for n := range count {
		id := fmt.Sprintf("i-%s-%s-%02d", service[:3], version, n)
		r, err := w.startRunner(id, service, version, zones[n%len(zones)], slots, work, onRun)
		if err != nil {
			return nil, err
		}
		runners = append(runners, r)
	}
	return runners, nil
}

// configure writes a version of the configuration. With a split, the route sends most of
// its requests to the other service.
func (w *world) configure(version int, split bool) {
	route := map[string]any{
		"name": "plan-lookup", "host": w.host, "prefix": "/lookup/", "route_kind": "idempotent",
		"max_attempts": 2, "timeout_ms": 4000, "latency_slo_ms": 300, "priority": 2,
	}
	if split {
		route["split"] = []any{map[string]any{"service": service, "weight": 10}, map[string]any{"service": otherService, "weight": 90}}
	} else {
		route["service"] = service
	}
	w.store.Put("op", "config", map[string]any{
		"version": version, "routes": []any{route},
		"services": []any{map[string]any{"name": service, "max_conns": 360}, map[string]any{"name": otherService, "max_conns": 360}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "hule930", "api_keys": []string{w.key}}},
	})
}

// rollout is a roll-out with its clients.
type rollout struct {
	*world
	*exposure
	stop    chan struct{}
	clients sync.WaitGroup
}

// startRollout starts the deployment and its clients, and orders the roll-out. change is
// called some seconds before the order.
func startRollout(w *world, duration time.Duration, change func()) (*rollout, error) {
	const runnersPerVersion, instances, memoryMB, clientCount = 12, 7, 284, 28
	r := &rollout{world: w, exposure: &exposure{sent: make(map[string]sentRequest), arrived: make(map[string][]string), judged: "v2"}, stop: make(chan struct{})}
	former, err := w.startRunners(service, "v1", runnersPerVersion, r.onRun("v1"))
	if err != nil {
		return nil, err
	}
	if _, err := w.startRunners(otherService, "v1", runnersPerVersion, func(*http.Request) int { return http.StatusOK }); err != nil {
		return nil, err
	}
	w.configure(1, false)
	if err := w.startInstances(instances, memoryMB); err != nil {
		return nil, err
	}
	for c := range clientCount {
		r.clients.Go(func() { r.runClient(w, c, c%instances, r.stop) })
	}
	time.Sleep(time.Second)
	change()
	time.Sleep(4 * time.Second)
	next, err := w.startRunners(service, "v2", runnersPerVersion, r.onRun("v2"))
	if err != nil {
		return nil, err
	}
	r.mu().Lock()
	r.orderedAt, r.duration = time.Now(), duration
	r.mu().Unlock()
	w.order("v2", duration)
	go w.followStatus(former, next, r.stop)
	return r, nil
}

// order orders a roll-out.
func (w *world) order(version string, duration time.Duration) {
	w.store.Put("op", orderKey, map[string]any{"service": service, "to": version, "duration_s": duration.Seconds()})
	w.say("order: move %s to %s within %v", service, version, duration)
}

// mu returns the mutex of the exposure.
func (r *rollout) mu() *sync.Mutex { return &r.exposure.mu }

// turnBad lets the new version fail from now on.
func (r *rollout) turnBad() {
	r.mu().Lock()
	r.isBad = true
	r.mu().Unlock()
	r.say("%s fails %.0f%% of its requests from now on", r.judged, 100*badShare)
}

// end stops the clients.
func (r *rollout) end() {
	close(r.stop)
	r.clients.Wait()
}

// playSplitRoute orders a roll-out of a service that gets a tenth of a split route. The new
// version turns bad after half of the time.
func playSplitRoute(w *world, trouble bool) (bool, error) {
	const duration = 30 * time.Second
	r, err := startRollout(w, duration, func() {
		w.configure(2, trouble)
		w.say("configuration 2, with a split route: %v", trouble)
	})
	if err != nil {
		return false, err
	}
	time.Sleep(duration / 2)
	r.turnBad()
	time.Sleep(duration/2 + 2*rollbackTime)
	r.end()
	return r.isBroken(w, time.Time{}, time.Time{}), nil
}

// playReturnedStore orders two roll-outs in succession, the first of which is taken back. In
// between, the store returns from a copy. The second version is bad, too.
func playReturnedStore(w *world, trouble bool) (bool, error) {
	const duration, runnersPerVersion = 20 * time.Second, 12
	const away, pause = 500 * time.Millisecond, 2 * time.Second
	var copied *platformtest.Copy
	r, err := startRollout(w, duration, func() {
		copied = w.store.Copy()
		w.say("the store is copied")
	})
	if err != nil {
		return false, err
	}
	r.turnBad()
	for !strings.Contains(string(w.store.Value("status", orderKey)), "rolled_back") {
		if time.Since(r.orderedAt) > duration {
			return false, errors.New("the first version was not taken back")
		}
		time.Sleep(10 * time.Millisecond)
	}
	if trouble {
		w.store.FailWith(http.StatusServiceUnavailable)
		time.Sleep(away)
		w.store.ReturnFrom(copied)
		w.store.FailWith(0)
		w.say("the store is back from its copy; what the operator and the runners wrote is written again")
		w.configure(1, false)
		w.order("v2", duration)
		for _, runner := range w.allRunners() {
			runner.renew()
		}
	}
	time.Sleep(pause)
	if _, err := w.startRunners(service, "v3", runnersPerVersion, r.onRun("v3")); err != nil {
		return false, err
	}
	r.mu().Lock()
	r.judged, r.badAnswers, r.orderedAt = "v3", nil, time.Now()
	r.mu().Unlock()
	w.order("v3", duration)
	outOfTouch := time.Time{}
	if trouble {
		outOfTouch = time.Now()
	}
	time.Sleep(duration)
	r.end()
	w.say("status at the end: %s", w.store.Value("status", orderKey))
	r.allOutOfTouchUntil = outOfTouch.Add(stable)
	return r.isBroken(w, time.Time{}, time.Time{}), nil
}

// playPausedAnalyzer pauses the process that leads a roll-out while the new version turns
// bad.
func playPausedAnalyzer(w *world, trouble bool) (bool, error) {
	e, err := startRollout(w, rolloutTime, func() {})
	if err != nil {
		return false, err
	}
	time.Sleep(time.Until(e.orderedAt.Add(pauseAfter)))
	var pausedAt, resumedAt time.Time
	// The leader is the process that writes the status under a condition: the one with the
	// lowest address.
	leader := w.instances[0]
	if trouble {
		pausedAt = time.Now()
		leader.signal(syscall.SIGSTOP)
		w.say("%s is paused", leader.name)
	}
	time.Sleep(time.Until(e.orderedAt.Add(badAfter)))
	e.turnBad()
	time.Sleep(time.Until(e.orderedAt.Add(pauseAfter + pauseTime)))
	if trouble {
		leader.signal(syscall.SIGCONT)
		resumedAt = time.Now()
		w.say("%s goes on", leader.name)
	}
	time.Sleep(watchAfter)
	e.end()
	return e.isBroken(w, pausedAt, resumedAt), nil
}

// followStatus does what the platform does when the status of the roll-out changes.
func (w *world) followStatus(former, next []*runner, stop <-chan struct{}) {
	last := ""
	for {
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		var status struct {
			To    string `json:"to"`
			State string `json:"state"`
		}
		if json.Unmarshal(w.store.Value("status", orderKey), &status) != nil || status.To+status.State == last {
			continue
		}
		last = status.To + status.State
		w.say("status of the roll-out to %s: %s", status.To, status.State)
		switch status.State {
		case "completed":
			for _, r := range former {
				r.stop()
			}
			w.say("the old runners are stopped")
		case "rolled_back":
			go func() {
				const drainAfter, serveOn = 3 * time.Second, 3 * time.Second
				time.Sleep(drainAfter)
				for _, r := range next {
					r.drain()
				}
				time.Sleep(serveOn)
				for _, r := range next {
					r.stop()
				}
				w.note("the new runners have left")
			}()
		}
	}
}

// runClient sends requests one after another on kept connections to one machine.
func (e *exposure) runClient(w *world, number, instance int, stop <-chan struct{}) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	const deadline = 4 * time.Second
	const meanPause = 120 * time.Millisecond
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rand.ExpFloat64() * float64(meanPause))):
		}
		id := fmt.Sprintf("%02d-%05d", number, n)
		e.mu.Lock()
		e.sent[id] = sentRequest{time.Now(), instance}
		e.mu.Unlock()
		w.note("sent     %s to %s", id, w.instances[instance].name)
		got := w.send(client, w.instances[instance], http.MethodGet, "/lookup/2f", id, deadline, http.NoBody)
		w.note("answered %s by %s: %d", id, w.instances[instance].name, got.status)
	}
}

// isBroken checks EXPOSURE.
func (e *exposure) isBroken(w *world, pausedAt, resumedAt time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	inTouch := func(s sentRequest) bool {
		if s.at.Before(e.allOutOfTouchUntil) {
			return false
		}
		return s.instance != 0 || pausedAt.IsZero() || s.at.Before(pausedAt) || s.at.After(resumedAt.Add(stable))
	}
	var lateAfter time.Time
	if len(e.badAnswers) >= fiftieth {
		lateAfter = e.badAnswers[fiftieth-1].Add(rollbackTime)
	}
	all, exposed, late := 0, 0, 0
	for id, versions := range e.arrived {
		s := e.sent[id]
		if s.at.Before(e.orderedAt) {
			continue
		}
		for _, version := range versions {
			beforeEnd := s.at.Before(e.orderedAt.Add(e.duration))
			if beforeEnd {
				all++
			}
			if version != e.judged || !inTouch(s) {
				continue
			}
			if beforeEnd {
				exposed++
			}
			if !lateAfter.IsZero() && s.at.After(lateAfter) {
				late++
			}
		}
	}
	allowed := canaryShare*float64(all) + canarySlack
	w.say("%s got %d of %d requests before the deadline from machines in touch; allowed are %.0f", e.judged, exposed, all, allowed)
	w.say("%s gave %d bad answers; %d requests reached it that were sent more than %v after the 50th", e.judged, len(e.badAnswers), late, rollbackTime)
	return float64(exposed) > allowed || late > 0
}
