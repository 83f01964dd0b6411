package measure

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuspost/hibiscuspost/internal/measure/load"
	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

// controlScale is one operating point at which the control overhead is measured.
type controlScale struct {
	instances, targets, requestsPerSecond, accounts, routes int
}

// baseScale is the operating point from which each dimension is raised separately.
var baseScale = controlScale{instances: 4, targets: 8, requestsPerSecond: 10, accounts: 5, routes: 5}

// raisedScales are the other operating points, with the dimension that is raised and
// by how much.
var raisedScales = []struct {
	dimension string
	scale     controlScale
	increase  float64
}{
	{"instance", controlScale{12, 8, 10, 5, 5}, 8},
	{"target", controlScale{4, 40, 10, 5, 5}, 32},
	{"request_per_s", controlScale{4, 8, 90, 5, 5}, 80},
	{"account", controlScale{4, 8, 10, 405, 5}, 400},
	{"route", controlScale{4, 8, 10, 5, 105}, 100},
}

const (
	controlDeadline     = 5 * time.Second
	controlWarmUp       = time.Second // before the first reading
	controlPointRatio   = 0.3         // of the duration, for each operating point
	controlOutputTokens = 4           // for each request
	bytesPerMB          = 1 << 20
)

// controlCost is the overhead of one instance.
type controlCost struct {
	bytesPerSecond, cpuShare float64
	// rssMB is the growth of the resident set. It is valid only for the first
	// operating point of a process, since the process keeps pages of earlier ones;
	// slopes are computed from liveMB, the heap and stacks in use.
	rssMB, liveMB float64
}

// controlMeasure returns measure "control", which measures the overhead of instances
// at several operating points.
func controlMeasure() Measure {
	return Measure{
		Name: "control",
		Summary: "bytes, processor time and memory of an instance, with their slopes " +
			"(processor time and memory include the stand-ins and callers of the process)",
		Run: runControl,
	}
}

func runControl(ctx context.Context, options Options) ([]Figure, error) {
	pointDuration := time.Duration(controlPointRatio * float64(options.duration()))
	// The first run includes the one-time initialization of the process, so slopes
	// are computed from a second run at the same scale.
	first, err := measureControl(ctx, options.Seed, pointDuration, baseScale)
	if err != nil {
		return nil, err
	}
	base, err := measureControl(ctx, options.Seed, pointDuration, baseScale)
	if err != nil {
		return nil, err
	}
	figures := []Figure{
		{Name: "bytes_per_s", Value: base.bytesPerSecond, Unit: "B/s"},
		{Name: "cpu_share", Value: base.cpuShare, Unit: unitRatio},
		{Name: "rss_mb", Value: first.rssMB, Unit: "MB"},
	}
	for _, raised := range raisedScales {
		cost, err := measureControl(ctx, options.Seed, pointDuration, raised.scale)
		if err != nil {
			return nil, err
		}
		figures = append(figures,
			slope("bytes_per_s", raised.dimension, "B/s", cost.bytesPerSecond-base.bytesPerSecond, raised.increase),
			slope("cpu_share", raised.dimension, unitRatio, cost.cpuShare-base.cpuShare, raised.increase),
			slope("rss_mb", raised.dimension, "MB", cost.liveMB-base.liveMB, raised.increase),
		)
	}
	return figures, nil
}

// slope returns the figure's increase per unit of a dimension.
func slope(figure, dimension, unit string, rise, increase float64) Figure {
	return Figure{Name: fmt.Sprintf("%s_per_%s", figure, dimension), Value: rise / increase, Unit: unit}
}

// measureControl measures one operating point over a duration.
func measureControl(ctx context.Context, seed uint64, duration time.Duration, scale controlScale) (controlCost, error) {
	tb, err := newTestbed(uniformEngines(seed, scale.targets), 0)
	if err != nil {
		return controlCost{}, err
	}
	defer tb.close()
	before, err := readResourceUsage(nil)
	if err != nil {
		return controlCost{}, err
	}
	f, err := startInstances(tb, seed, scale.instances)
	if err != nil {
		return controlCost{}, err
	}
	defer f.close()
	if err := f.applyInitialTables(ctx, tb.tablesWithRoutes(scale.routes)); err != nil {
		return controlCost{}, err
	}
	if err := f.waitReady(ctx); err != nil {
		return controlCost{}, err
	}
	generator := load.NewGenerator(f.balancer(), controlDeadline)
	defer generator.Close()
	loadDone := startEvents(ctx, []scheduledEvent{{0, func() { generator.Send(ctx, controlPlan(seed, duration, scale)) }}})
	sleep(ctx, controlWarmUp)
	first, err := readResourceUsage(tb.platform)
	if err != nil {
		return controlCost{}, err
	}
	sleep(ctx, duration)
	last, err := readResourceUsage(tb.platform)
	if err != nil {
		return controlCost{}, err
	}
	loadDone.Wait()
	return costBetween(before, first, last, scale.instances), errors.Wrap(ctx.Err(), "measure control overhead")
}

// costBetween returns the overhead per instance: network bytes and processor time
// between first and last, and memory growth since before the instances started.
func costBetween(before, first, last resourceUsage, instances int) controlCost {
	n := float64(instances)
	elapsed := last.takenAt.Sub(first.takenAt).Seconds()
	return controlCost{
		bytesPerSecond: float64(last.networkBytes-first.networkBytes) / elapsed / n,
		cpuShare:       (last.cpuTime - first.cpuTime).Seconds() / elapsed / n,
		rssMB:          float64(last.rssBytes-before.rssBytes) / bytesPerMB / n,
		liveMB:         float64(last.inUseBytes-before.inUseBytes) / bytesPerMB / n,
	}
}

// tablesWithRoutes returns the testbed's tables with count routes, all to engines. The
// count must be at least the number of tiers.
func (tb *testbed) tablesWithRoutes(count int) *tables.Tables {
	config := tb.tables(controlDeadline)
	config.Routes = config.Routes[:tables.TierCount]
	config.Pools = config.Pools[:1]
	for n := len(config.Routes); n < count; n++ {
		config.Routes = append(config.Routes, tables.Route{
			Name: fmt.Sprintf("extra-%d", n), Match: tables.Match{Path: "/v1", Model: fmt.Sprintf("model-%d", n)},
			Pool: enginePoolName, Tier: tables.TierCount - 1, Idempotent: true,
		})
	}
	return config
}

// controlPlan returns small requests at a constant mean rate, all with idempotency
// keys.
func controlPlan(seed uint64, duration time.Duration, scale controlScale) []*load.Request {
	accounts := make([]string, scale.accounts)
	for i := range accounts {
		accounts[i] = fmt.Sprintf("acc-%d", i)
	}
	return load.GeneratePlan(seed, []load.Source{{
		Template:          load.Request{Path: textPath, Model: tierModel(0)},
		RequestsPerSecond: float64(scale.requestsPerSecond), End: controlWarmUp + duration, Accounts: accounts,
		MinTokens: controlOutputTokens, MaxTokens: controlOutputTokens, PromptBytesPerOutputToken: promptBytesPerOutputToken, IdempotencyKeyRatio: 1,
	}})
}
