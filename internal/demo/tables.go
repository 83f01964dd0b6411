package demo

import (
	"fmt"
	"strings"
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/handle"
)

// routes is the sample table of routes.
const routes = `{
  "routes": [
    // Analysts wait for these.
    {"name": "chat", "match": {"path": "/v1/chat/completions"}, "pool": "assistant",
     "tier": 0, "idempotent": true, "deadline": "30s", "first_token": "2s"},
    {"name": "billing", "match": {"path": "/billing"}, "pool": "billing",
     "tier": 1, "idempotent": true, "deadline": "10s"},
    // A cancellation must never run twice.
    {"name": "cancel", "match": {"path": "/billing/cancel"}, "pool": "billing",
     "tier": 0, "idempotent": false, "deadline": "10s"},
  ],
}`

// pools returns the table of pools, with a move to the version when there is a
// deadline.
func (c *cluster) pools(version string, deadline time.Time) string {
	var targets []string
	for i, engine := range c.engines {
		targets = append(targets, fmt.Sprintf(
			`{"name": "engine-%d", "address": %q, "failure_domain": "domain-%d", "version": %q, "slots": 8}`,
			i+1, engine.Address(), i+1, engine.Version()))
	}
	move := ""
	if !deadline.IsZero() {
		move = fmt.Sprintf(`"deadline": %q, `, deadline.Format(time.RFC3339))
	}
	return fmt.Sprintf(`{"pools": [
  {"name": "assistant", "kind": "engine", "version": %q, %s"targets": [
    %s]},
  {"name": "billing", "kind": "service", "version": "v1", "targets": [
    {"name": "billing-1", "address": %q, "failure_domain": "domain-1", "version": "v1", "slots": 16}]},
]}`, version, move, strings.Join(targets, ",\n    "), c.service.Address())
}

// ranAt names the engine that ran a request, by the engines' own logs.
func (c *cluster) ranAt(text string) string {
	named, err := handle.Decode([]byte(peerSecret), text)
	if err != nil {
		return "no engine"
	}
	for i, engine := range c.engines {
		for _, run := range engine.Runs() {
			if run.RequestID == named.RequestID {
				return fmt.Sprintf("engine-%d", i+1)
			}
		}
	}
	return "no engine"
}
