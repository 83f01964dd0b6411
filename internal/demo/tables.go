package demo

import (
	"fmt"
	"strings"
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/handle"
)

// routesTable is the table of routes of the demonstration.
const routesTable = `{
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

// poolsTable returns the table of pools for a version of the assistant pool, which is
// moved to by the deadline unless that is zero.
func (c *cluster) poolsTable(version string, deadline time.Time) string {
	var targets []string
	for i, engine := range c.engines {
		targets = append(targets, fmt.Sprintf(
			`{"name": "engine-%d", "address": %q, "failure_domain": "domain-%d", "version": %q, "slots": 8}`,
			i+1, engine.Address(), i+1, engine.Version()))
	}
	deadlineField := ""
	if !deadline.IsZero() {
		deadlineField = fmt.Sprintf(`"deadline": %q, `, deadline.Format(time.RFC3339))
	}
	return fmt.Sprintf(`{"pools": [
  {"name": "assistant", "kind": "engine", "version": %q, %s"targets": [
    %s]},
  {"name": "billing", "kind": "service", "version": "v1", "targets": [
    {"name": "billing-1", "address": %q, "failure_domain": "domain-1", "version": "v1", "slots": 16}]},
]}`, version, deadlineField, strings.Join(targets, ",\n    "), c.service.Address())
}

// engineThatRan returns the name of the engine whose log has the request with the
// given handle, or "no engine".
func (c *cluster) engineThatRan(encodedHandle string) string {
	decoded, err := handle.Decode([]byte(peerSecret), encodedHandle)
	if err != nil {
		return "no engine"
	}
	for i, engine := range c.engines {
		for _, run := range engine.Runs() {
			if run.RequestID == decoded.RequestID {
				return fmt.Sprintf("engine-%d", i+1)
			}
		}
	}
	return "no engine"
}
