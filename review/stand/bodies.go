package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// memoryOf returns the resident memory of a process in MB, and its highest value so far.
func (i *instance) memory() (now, peak int) {
	i.mu.Lock()
	pid := i.process.Process.Pid
	i.mu.Unlock()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, 0
	}
	const kilobytesPerMB = 1024
	for _, line := range strings.Split(string(text), "\n") {
		var kilobytes int
		if n, _ := fmt.Sscanf(line, "VmRSS: %d kB", &kilobytes); n == 1 {
			now = kilobytes / kilobytesPerMB
		}
		if n, _ := fmt.Sscanf(line, "VmHWM: %d kB", &kilobytes); n == 1 {
			peak = kilobytes / kilobytesPerMB
		}
	}
	return now, peak
}

// playLongBodies lets many clients send bodies within the limit at the same time.
func playLongBodies(w *world, trouble bool) (bool, error) {
	const memoryMB, bodyBytes, clientCount, rounds = 134, 4 << 20, 24, 3
	if _, err := w.startRunners(service, "v1", 3, func(*http.Request) int { return http.StatusOK }); err != nil {
		return false, err
	}
	w.configure(1, false)
	if err := w.startInstances(1, memoryMB); err != nil {
		return false, err
	}
	body := bytes.Repeat([]byte("x"), bodyBytes)
	isBroken := false
	for round := range rounds {
		var clients sync.WaitGroup
		for c := range clientCount {
			clients.Go(func() {
				if !trouble {
					time.Sleep(time.Duration(c) * 100 * time.Millisecond)
				}
				client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
				got := w.send(client, w.instances[0], http.MethodPost, "/lookup/2f", fmt.Sprintf("%d-%d", round, c), 4*time.Second, bytes.NewReader(body))
				w.note("answered %d-%d: %d %v", round, c, got.status, got.err)
			})
		}
		clients.Wait()
		now, peak := w.instances[0].memory()
		w.say("resident memory %d MB, at most %d MB of %d", now, peak, memoryMB)
		isBroken = isBroken || peak > memoryMB
	}
	return isBroken, nil
}
