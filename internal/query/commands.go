package query

import (
	"context"
	"io"
	"text/tabwriter"

	"github.com/hibiscuspost/hibiscuspost/internal/report"
)

// Config shows the configuration in force.
type Config struct{ flags }

// Run prints the version of the configuration and one line for each instance
// that is known to have one.
func (c *Config) Run(ctx context.Context, out io.Writer) error {
	return fetch(ctx, &c.flags, out, "/admin/v1/config", printConfig)
}

func printConfig(table *tabwriter.Writer, config report.Config) {
	printRow(table, "version", config.Version)
	printRow(table, "hash", config.Hash)
	printRow(table, "age of newest table read, ms", config.AgeMillis)
	printRow(table, "may be behind", config.MayBeBehind)
	printRow(table, "mode", config.Mode)
	if config.Reason != "" {
		printRow(table, "new work is refused", config.Reason)
	}
	printRow(table)
	printRow(table, "INSTANCE", "VERSION", "AGE MS", "MODE")
	for _, instance := range config.Instances {
		printRow(table, instance.Name, instance.Version, instance.AgeMillis, instance.Mode)
	}
}

// Targets shows the targets of all pools.
type Targets struct{ flags }

// Run prints one line for each target.
func (t *Targets) Run(ctx context.Context, out io.Writer) error {
	return fetch(ctx, &t.flags, out, "/admin/v1/targets", printTargets)
}

func printTargets(table *tabwriter.Writer, targets report.Targets) {
	printRow(table, "POOL", "TARGET", "ADDRESS", "DOMAIN", "VERSION", "USABLE", "LEAVING", "SLOTS", "HOME")
	for _, t := range targets.Targets {
		printRow(table, t.Pool, t.Name, t.Address, t.FailureDomain, t.Version, t.Usable, t.Leaving, t.Slots, t.Coordinator)
	}
}

// Instances shows the running instances.
type Instances struct{ flags }

// Run prints one line for each instance.
func (i *Instances) Run(ctx context.Context, out io.Writer) error {
	return fetch(ctx, &i.flags, out, "/admin/v1/instances", printInstances)
}

func printInstances(table *tabwriter.Writer, instances report.Instances) {
	printRow(table, "INSTANCE", "PEERS", "CALLERS", "DOMAIN", "INCARNATION", "LEAVING")
	for _, i := range instances.Instances {
		printRow(table, i.Name, i.PeerAddress, i.CallerAddress, i.FailureDomain, i.Incarnation, i.Leaving)
	}
}
