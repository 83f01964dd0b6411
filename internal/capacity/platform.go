package capacity

import (
	"fmt"
	"strings"
)

// Sizes of the messages between instances on the users' platform, in bytes:
// measured by encoding them (packages node and placement), without UDP and IP.
const (
	sealBytes     = 32
	reportBytes   = 75
	perUsage      = 29
	questionBytes = 48
	answerBytes   = 23
	progressBytes = 17
	renewalBytes  = 4
	perRun        = 12
	roomBytes     = 5
	perGroup      = 3
)

// Frequencies there; see the same packages.
const (
	gatherPerSecond  = 5
	gatherers        = 6
	renewalPerSecond = 2.5
	groupTargets     = 12
	maxCoordinators  = 48
	roomPerOther     = 0.008
	// progressMessages are those of a streamed request: the first event, the
	// pace, the end.
	progressMessages = 3
)

const (
	// knownAccounts is how many accounts an instance has taken requests of: fewer
	// than its requests in a quota's window of 8 s.
	knownAccounts = 250
	// tellSeconds and tellAgain are how long a change is told, and in how many
	// reports the rest; see package quota.
	tellSeconds = 0.7
	tellAgain   = 10
)

// perRequest is what a request's place costs all instances together.
func perRequest() float64 {
	return questionBytes + answerBytes + progressMessages*progressBytes + (2+progressMessages)*sealBytes
}

// renewals is what an instance sends about its running requests each second.
func renewals(running, coordinators float64) float64 {
	told := min(running, coordinators)
	return renewalPerSecond * (told*(sealBytes+renewalBytes) + running*perRun)
}

// writePlatform says what control costs on the users' platform.
func writePlatform(b *strings.Builder, size Size) {
	const meanSeconds = 0.8
	daemons := size.Instances
	groups := size.Targets / groupTargets
	coordinators := min(groups, maxCoordinators)
	running := size.RequestsPerS * meanSeconds / daemons
	rooms := coordinators * (coordinators - 1) *
		(sealBytes + roomBytes + perGroup*groups/coordinators) / (coordinators * roomPerOther)
	changed := size.RequestsPerS / daemons * tellSeconds
	accounts := changed + (knownAccounts-changed)/tellAgain
	report := sealBytes + reportBytes + accounts*perUsage
	places := size.RequestsPerS / daemons * perRequest()
	b.WriteString("## On the users' platform\n\n" +
		"There, instances ask the coordinators of groups of targets for places\n" +
		"(docs/design/platform.md). Sizes of encoded messages with their seal: a question 80\n" +
		"bytes, an answer 55, each word of a request's progress 49, a renewal 36 and 12 for each\n" +
		"request, a report 107 and 29 for each account. The rest follows from these.\n\n" +
		"| what, at " + fmt.Sprintf("%.0f instances, %.0f targets and %.0f requests/s", daemons, size.Targets, size.RequestsPerS) +
		" | bytes/s an instance |\n|---|---|\n")
	fmt.Fprintf(b, "| places: questions, answers, progress | **%.0f** |\n", places)
	fmt.Fprintf(b, "| renewals of %.0f requests that run, at %.0f coordinators | %.0f |\n",
		running, coordinators, renewals(running, coordinators))
	fmt.Fprintf(b, "| room told among coordinators, as a mean | %.0f |\n", rooms/daemons)
	fmt.Fprintf(b, "| reports to %d that gather, each with %.0f accounts | **%.0f** |\n",
		gatherers, accounts, gatherers*gatherPerSecond*report)
	fmt.Fprintf(b, "| reports received by one that gathers | **%.0f** |\n\n", daemons*gatherPerSecond*report)
	b.WriteString("Over the budget of 4096: places (they grow with requests, not with instances), and the\n" +
		"use of quotas, which goes to all that gather. Not built: an owner for each account, as for\n" +
		"groups of targets. Calls to the store do not\n" +
		"grow with the instances but for their start and their announcement every 20 s (two calls).\n\n")
}
