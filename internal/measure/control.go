package measure

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuspost/hibiscuspost/internal/measure/load"
	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

// controlSize is one point at which the cost of control is measured.
type controlSize struct {
	instances, targets, requestsPerS, accounts, routes int
}

// baseSize is the point from which each size is raised by itself.
var baseSize = controlSize{instances: 4, targets: 8, requestsPerS: 10, accounts: 5, routes: 5}

// raisedSizes are the further points, by the size that is raised.
var raisedSizes = []struct {
	name string
	size controlSize
	by   float64
}{
	{"instance", controlSize{12, 8, 10, 5, 5}, 8},
	{"target", controlSize{4, 40, 10, 5, 5}, 32},
	{"request_per_s", controlSize{4, 8, 90, 5, 5}, 80},
	{"account", controlSize{4, 8, 10, 405, 5}, 400},
	{"route", controlSize{4, 8, 10, 5, 105}, 100},
}

const (
	controlDeadline = 5 * time.Second
	controlSettle   = time.Second // before the sampling begins
	controlShare    = 0.3         // of the duration for each point
	controlTokens   = 4           // output of each request
	bytesPerMB      = 1 << 20
)

// controlCost is what control costs one instance.
type controlCost struct {
	bytesPerS, cpuShare float64
	// rssMB is the growth of the resident set. It is true for the first point
	// of a process only, since the process keeps pages of earlier points;
	// slopes are taken from liveMB, the heap and stacks in use.
	rssMB, liveMB float64
}

func controlMeasure() Measure {
	return Measure{
		Name: "control",
		Summary: "bytes, processor time and memory of an instance, with their slopes " +
			"(processor time and memory include the stand-ins and callers of the process)",
		Run: runControl,
	}
}

func runControl(ctx context.Context, o Options) ([]Figure, error) {
	span := time.Duration(controlShare * float64(o.duration()))
	// The first point also pays for what the process sets up once, so that the
	// slopes start from a second one of the same size.
	first, err := controlAt(ctx, o.Seed, span, baseSize)
	if err != nil {
		return nil, err
	}
	base, err := controlAt(ctx, o.Seed, span, baseSize)
	if err != nil {
		return nil, err
	}
	figures := []Figure{
		{Name: "bytes_per_s", Value: base.bytesPerS, Unit: "B/s"},
		{Name: "cpu_share", Value: base.cpuShare, Unit: unitRatio},
		{Name: "rss_mb", Value: first.rssMB, Unit: "MB"},
	}
	for _, raised := range raisedSizes {
		cost, err := controlAt(ctx, o.Seed, span, raised.size)
		if err != nil {
			return nil, err
		}
		figures = append(figures,
			slope("bytes_per_s", raised.name, "B/s", cost.bytesPerS-base.bytesPerS, raised.by),
			slope("cpu_share", raised.name, unitRatio, cost.cpuShare-base.cpuShare, raised.by),
			slope("rss_mb", raised.name, "MB", cost.liveMB-base.liveMB, raised.by),
		)
	}
	return figures, nil
}

func slope(figure, size, unit string, rise, by float64) Figure {
	return Figure{Name: fmt.Sprintf("%s_per_%s", figure, size), Value: rise / by, Unit: unit}
}

// controlAt measures one point over a span of time.
func controlAt(ctx context.Context, seed uint64, span time.Duration, size controlSize) (controlCost, error) {
	b, err := newBed(sameEngines(seed, size.targets), 0)
	if err != nil {
		return controlCost{}, err
	}
	defer b.close()
	before, err := takeUsage(nil)
	if err != nil {
		return controlCost{}, err
	}
	f, err := startInstances(b, seed, size.instances)
	if err != nil {
		return controlCost{}, err
	}
	defer f.close()
	if err := f.applyOnceJoined(ctx, b.manyRoutes(size.routes)); err != nil {
		return controlCost{}, err
	}
	if err := f.waitReady(ctx); err != nil {
		return controlCost{}, err
	}
	sender := load.NewGenerator(f.balancer(), controlDeadline)
	defer sender.Close()
	sent := play(ctx, []event{{0, func() { sender.Send(ctx, controlPlan(seed, span, size)) }}})
	sleep(ctx, controlSettle)
	first, err := takeUsage(b.platform)
	if err != nil {
		return controlCost{}, err
	}
	sleep(ctx, span)
	last, err := takeUsage(b.platform)
	if err != nil {
		return controlCost{}, err
	}
	sent.Wait()
	return costBetween(before, first, last, size.instances), errors.Wrap(ctx.Err(), "control")
}

// costBetween divides what the process used by its instances.
func costBetween(before, first, last usage, instances int) controlCost {
	n := float64(instances)
	passed := last.at.Sub(first.at).Seconds()
	return controlCost{
		bytesPerS: float64(last.bytes-first.bytes) / passed / n,
		cpuShare:  (last.cpu - first.cpu).Seconds() / passed / n,
		rssMB:     float64(last.rss-before.rss) / bytesPerMB / n,
		liveMB:    float64(last.live-before.live) / bytesPerMB / n,
	}
}

// manyRoutes are the bed's tables with as many routes as asked for.
func (b *bed) manyRoutes(count int) *tables.Tables {
	t := b.tables(controlDeadline)
	t.Routes = t.Routes[:tables.TierCount]
	t.Pools = t.Pools[:1]
	for n := len(t.Routes); n < count; n++ {
		t.Routes = append(t.Routes, tables.Route{
			Name: fmt.Sprintf("extra-%d", n), Match: tables.Match{Path: "/v1", Model: fmt.Sprintf("model-%d", n)},
			Pool: enginePool, Tier: tables.TierCount - 1, Idempotent: true,
		})
	}
	return t
}

// controlPlan is an even load of small requests, all with keys.
func controlPlan(seed uint64, span time.Duration, size controlSize) []*load.Request {
	names := make([]string, size.accounts)
	for i := range names {
		names[i] = fmt.Sprintf("acc-%d", i)
	}
	return load.GeneratePlan(seed, []load.Source{{
		Template:          load.Request{Path: textPath, Model: modelOf(0)},
		RequestsPerSecond: float64(size.requestsPerS), End: controlSettle + span, Accounts: names,
		MinTokens: controlTokens, MaxTokens: controlTokens, PromptBytesPerOutputToken: bytesPerOutput, IdempotencyKeyRatio: 1,
	}})
}
