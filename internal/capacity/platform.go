package capacity

import (
	"fmt"
	"strings"
)

// Slopes of the reports between instances on the users' platform, in bytes:
// measured by encoding messages (package node), without UDP and IP.
const (
	reportBase     = 60
	reportPerLoad  = 11
	reportPerUsage = 29
)

// Periods of the reports there, per second, and how many instances gather;
// see package node.
const (
	meshPerSecond   = 20
	gatherPerSecond = 10
	gatherers       = 6
)

// loadsPerInstance is how many targets one instance runs requests on at once,
// by the requests that it has under way at the two-year size.
const loadsPerInstance = 40

// writePlatform says what control costs on the users' platform.
func writePlatform(b *strings.Builder, size Size) {
	report := reportBase + loadsPerInstance*reportPerLoad
	sum := reportBase + int(size.Runners)*reportPerLoad
	sent := gatherers * gatherPerSecond * report
	received := gatherPerSecond * sum
	served := int(size.Daemons) / gatherers * received
	b.WriteString("## On the users' platform\n\n" +
		"There, instances tell each other what they run (docs/design/platform.md). Measured\n" +
		"on the bench, serving included, at 45 requests/s an instance: 0.034 of a core and\n" +
		"10.4 MB at the peak with 7 instances (`trouble-2` of gastoclaro-central, seed 11);\n" +
		"13.3 MB with 76. An encoded report takes 60 bytes, 11 for each target with load and\n" +
		"29 for each account; every figure below follows from these.\n\n" +
		"| what | bytes/s an instance |\n|---|---|\n")
	fmt.Fprintf(b, "| 7 instances, each to all, 10 targets with load | %d |\n",
		meshPerSecond*6*(reportBase+10*reportPerLoad))
	fmt.Fprintf(b, "| %d instances: reports sent | **%d** (over 4096) |\n", int(size.Daemons), sent)
	fmt.Fprintf(b, "| %d instances: sums received | **%d** (over 4096) |\n", int(size.Daemons), received)
	fmt.Fprintf(b, "| %d instances: sums sent by one that gathers | **%d** |\n\n", int(size.Daemons), served)
	b.WriteString("So the reports do not fit the budget at that size. What would make them fit, and is\n" +
		"not built: sums of only the targets that an instance uses (a subset of 24 is 1/39 of\n" +
		"them), changes instead of whole sums, and more instances that gather, each for a\n" +
		"failure domain. Calls to the store do not grow with the instances but for their start\n" +
		"and their announcement every 20 s (two calls).\n\n")
}
