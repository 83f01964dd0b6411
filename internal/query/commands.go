package query

import (
	"context"
	"io"
	"text/tabwriter"

	"github.com/hibiscuspost/hibiscuspost/internal/report"
)

// Config shows the configuration in force.
type Config struct{ flags }

// Run prints the configuration's version and who has it.
func (q *Config) Run(ctx context.Context, out io.Writer) error {
	return fetch(ctx, &q.flags, out, "/admin/v1/config", printConfig)
}

func printConfig(table *tabwriter.Writer, config report.Config) {
	row(table, "version", config.Version)
	row(table, "hash", config.Hash)
	row(table, "age of newest table read, ms", config.AgeMillis)
	row(table, "may be behind", config.MayBeStale)
	row(table, "mode", config.Mode)
	if config.Reason != "" {
		row(table, "new work is refused", config.Reason)
	}
	row(table)
	row(table, "INSTANCE", "VERSION", "AGE MS", "MODE")
	for _, instance := range config.Instances {
		row(table, instance.Name, instance.Version, instance.AgeMillis, instance.Mode)
	}
}

// Targets shows the targets of all pools.
type Targets struct{ flags }

// Run prints one line for each target.
func (q *Targets) Run(ctx context.Context, out io.Writer) error {
	return fetch(ctx, &q.flags, out, "/admin/v1/targets", printTargets)
}

func printTargets(table *tabwriter.Writer, targets report.Targets) {
	row(table, "POOL", "TARGET", "ADDRESS", "DOMAIN", "VERSION", "USABLE", "LEAVING", "SLOTS", "HOME")
	for _, t := range targets.Targets {
		row(table, t.Pool, t.Name, t.Address, t.FailureDomain, t.Version, t.Usable, t.Leaving, t.Slots, t.Coordinator)
	}
}

// Instances shows the live instances.
type Instances struct{ flags }

// Run prints one line for each instance.
func (q *Instances) Run(ctx context.Context, out io.Writer) error {
	return fetch(ctx, &q.flags, out, "/admin/v1/instances", printInstances)
}

func printInstances(table *tabwriter.Writer, instances report.Instances) {
	row(table, "INSTANCE", "PEERS", "CALLERS", "DOMAIN", "INCARNATION", "LEAVING")
	for _, i := range instances.Instances {
		row(table, i.Name, i.PeerAddress, i.CallerAddress, i.FailureDomain, i.Incarnation, i.Leaving)
	}
}
