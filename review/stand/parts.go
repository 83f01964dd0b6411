package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hibiscuspost/hibiscuspost/platform/platformtest"
)

// The case of a part of prompts that crashes runners.
const (
	crashingPart   = "bad1"
	partRunners    = 12
	partSlots      = 13
	partEvents     = 6
	partEventPause = 25 * time.Millisecond
	// partCrashes is the crash from which the rule counts.
	partCrashes   = 5
	calmTime      = 9 * time.Second
	troubleTime   = 34 * time.Second
	soundPause    = 147 * time.Millisecond
	crashingPause = 1170 * time.Millisecond
	crashDowntime = 2900 * time.Millisecond
	darkTime      = 1050 * time.Millisecond
	darkPause     = 1100 * time.Millisecond
	darkRunners   = 2
	minSound      = 20
	soundShare    = 0.5
	soundDeadline = 2500
)

// soundRequest is a request without the part that crashes runners.
type soundRequest struct {
	id     string
	at     time.Time
	status int
}

// partWorld is the deployment of the case.
type partWorld struct {
	*world

	// mu guards the fields below.
	mu      sync.Mutex
	targets []*partTarget
	sound   []soundRequest
	began   map[string]bool
	// arrivals counts the requests with the crashing part that ran, crashes are the times of
	// the crashes.
	arrivals int
	crashes  []time.Time
}

// partTarget is a runner that streams without a length.
type partTarget struct {
	*platformtest.Target

	// mu guards the fields below.
	mu   sync.Mutex
	seq  int
	born int64
	down bool
}

func (p *partWorld) renew(t *partTarget) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return
	}
	t.seq++
	entry := t.Entry(service, "stgo-a", partSlots)
	entry["seq_no"], entry["born"] = t.seq, t.born
	p.store.Put("servers", t.ID, entry)
}

// fall lets a runner fall silent, and starts it again under its ID after a time.
func (p *partWorld) fall(t *partTarget, downtime time.Duration) {
	t.mu.Lock()
	wasDown := t.down
	t.down = true
	t.mu.Unlock()
	if wasDown {
		return
	}
	t.Silence()
	time.AfterFunc(downtime, func() {
		t.Crash()
		if err := t.Restart(t.ID); err != nil {
			p.say("runner %s cannot start again: %v", t.ID, err)
			return
		}
		t.mu.Lock()
		t.down, t.seq, t.born = false, 0, time.Now().UnixMilli()
		t.mu.Unlock()
		p.renew(t)
	})
}

// startTargets starts the runners and keeps their entries renewed until stop is closed.
func (p *partWorld) startTargets(stop <-chan struct{}) {
	onRun := func(_ *platformtest.Target, run platformtest.Run) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.began[run.AttemptID] = true
		if strings.Contains(run.Prompt, crashingPart+":") {
			p.arrivals++
		}
		p.note("run      %s", run.AttemptID)
	}
	onEvent := func(target *platformtest.Target, run platformtest.Run, event int) (crashes, half bool) {
		const crashBefore = 2
		if event != crashBefore || !strings.Contains(run.Prompt, crashingPart+":") {
			return false, false
		}
		for _, t := range p.targets {
			if t.Target == target {
				p.fall(t, crashDowntime)
				p.mu.Lock()
				p.crashes = append(p.crashes, time.Now())
				p.mu.Unlock()
				p.say("%s crashes runner %s and leaves it silent", run.AttemptID, t.ID)
			}
		}
		return true, false
	}
	for n := range partRunners {
		t := &partTarget{born: time.Now().UnixMilli()}
		t.Target = platformtest.NewTarget(fmt.Sprintf("i-%02d", n), platformtest.Behavior{
			Events: partEvents, Delay: partEventPause, Unframed: true, OnRun: onRun, OnEvent: onEvent,
		})
		p.targets = append(p.targets, t)
		p.renew(t)
		go func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(heartbeat):
					p.renew(t)
				}
			}
		}()
	}
}

// sendWithParts sends a request whose prompt has the parts, and one of its own.
func (p *partWorld) sendWithParts(id string, parts ...string) int {
	ctx, cancel := context.WithTimeout(context.Background(), soundDeadline*time.Millisecond)
	defer cancel()
	i := p.instances[rand.IntN(len(p.instances))]
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+i.frontend+"/tagging/2f", strings.NewReader(id))
	if err != nil {
		return 0
	}
	var prompt strings.Builder
	for _, part := range parts {
		prompt.WriteString(part + ":100,")
	}
	request.Host = p.host
	for name, value := range map[string]string{
		"Attempt-Id": id, "Deadline-Ms": strconv.Itoa(soundDeadline), "Authorization": "Token " + p.key, "Model": "m",
		"Token-Usage": "300,64", "Prefix-Hash": prompt.String() + fmt.Sprintf("%x:100", id),
	} {
		request.Header.Set(name, value)
	}
	p.note("sent     %s to %s", id, i.name)
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		p.note("answered %s: %v", id, err)
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	read, err := io.Copy(io.Discard, response.Body)
	p.note("answered %s: %d, %d bytes, %v", id, response.StatusCode, read, err)
	return response.StatusCode
}

// playCrashingPart sends sound requests, and beside them ones with a part that crashes
// runners, while others fall silent.
func playCrashingPart(w *world, trouble bool) (bool, error) {
	p := &partWorld{world: w, began: make(map[string]bool)}
	stop := make(chan struct{})
	defer func() {
		for _, t := range p.targets {
			t.Close()
		}
	}()
	p.startTargets(stop)
	w.store.Put("op", "config", map[string]any{
		"version": 1, "services": []any{map[string]any{"name": service, "max_conns": 360, "engine": map[string]any{"stride": 6}}},
		"routes": []any{map[string]any{
			"name": "charge-tagging", "host": w.host, "prefix": "/tagging/", "service": service, "route_kind": "streaming", "sticky": true,
			"max_attempts": 2, "timeout_ms": soundDeadline, "latency_slo_ms": 1000, "itl_target_ms": 250, "priority": 2,
		}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": bodyBytes, "header_timeout_ms": 5000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "hule930", "api_keys": []string{w.key}}},
	})
	const instances, memoryMB = 7, 284
	if err := w.startInstances(instances, memoryMB); err != nil {
		return false, err
	}
	var senders sync.WaitGroup
	senders.Go(func() { p.sendSound(stop) })
	time.Sleep(calmTime)
	calmEnd := time.Now()
	w.say("calm until now")
	if trouble {
		senders.Go(func() { p.sendCrashing(stop) })
		senders.Go(func() { p.darken(stop) })
	}
	time.Sleep(troubleTime)
	close(stop)
	senders.Wait()
	return p.isBroken(calmEnd, trouble)
}

func (p *partWorld) sendSound(stop <-chan struct{}) {
	var calls sync.WaitGroup
	defer calls.Wait()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(soundPause):
		}
		calls.Go(func() {
			s := soundRequest{id: fmt.Sprintf("sound-%04d", n), at: time.Now()}
			s.status = p.sendWithParts(s.id, "aa01", fmt.Sprintf("d%d", n%5))
			p.mu.Lock()
			defer p.mu.Unlock()
			p.sound = append(p.sound, s)
		})
	}
}

func (p *partWorld) sendCrashing(stop <-chan struct{}) {
	var calls sync.WaitGroup
	defer calls.Wait()
	for n := 0; ; n++ {
		calls.Go(func() { p.sendWithParts(fmt.Sprintf("crash-%04d", n), "aa01", crashingPart) })
		select {
		case <-stop:
			return
		case <-time.After(crashingPause):
		}
	}
}

// darken lets some runners fall silent in turn.
func (p *partWorld) darken(stop <-chan struct{}) {
	for n := 0; ; n += darkRunners {
		for k := range darkRunners {
			t := p.targets[(n+k)%partRunners]
			p.note("runner %s goes dark", t.ID)
			p.fall(t, darkTime)
		}
		select {
		case <-stop:
			return
		case <-time.After(darkPause):
		}
	}
}

// isBroken checks LOST for sound requests beside a part that crashes runners.
func (p *partWorld) isBroken(calmEnd time.Time, trouble bool) (bool, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	from := calmEnd
	if trouble {
		if len(p.crashes) == 0 {
			return false, fmt.Errorf("no runner crashed")
		}
		from = p.crashes[min(len(p.crashes), partCrashes)-1].Add(2 * stable)
	}
	share := func(counts func(soundRequest) bool) (sent int, began float64) {
		for _, s := range p.sound {
			if !counts(s) {
				continue
			}
			sent++
			if p.began[s.id] {
				began++
			}
		}
		return sent, began / float64(max(1, sent))
	}
	calm, calmShare := share(func(s soundRequest) bool { return s.at.Before(calmEnd) })
	late, lateShare := share(func(s soundRequest) bool { return s.at.After(from) })
	refused := 0
	for _, s := range p.sound {
		if s.at.After(from) && s.status == http.StatusServiceUnavailable {
			refused++
		}
	}
	p.say("%d crashes by %d requests with the part", len(p.crashes), p.arrivals)
	p.say("of %d sound requests before, %.0f%% began; of %d counted ones beside it, %.0f%%; %d of these got 503", calm, 100*calmShare, late, 100*lateShare, refused)
	if calm < minSound || late < minSound {
		return false, fmt.Errorf("too few sound requests")
	}
	return lateShare < soundShare*calmShare, nil
}
