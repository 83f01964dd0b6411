package capacity

import (
	"fmt"
	"strings"
)

// Sizes of the messages between instances on the users' platform, in bytes,
// without UDP and IP headers: those of encoded messages of packages node and
// placement. Authentication adds authenticationBytes to each datagram.
const (
	authenticationBytes    = 32
	usageReportBytes       = 91
	bytesPerAccountUsage   = 29
	slotRequestBytes       = 111
	slotResponseBytes      = 23
	progressMessageBytes   = 17
	renewalMessageBytes    = 4
	renewalBytesPerRequest = 12
	capacityReportBytes    = 6
	capacityBytesPerGroup  = 14
)

// Rates and group sizes on the users' platform, from the same packages.
const (
	usageReportsPerSecond = 5
	usageAggregators      = 6
	renewalsPerSecond     = 2.5
	targetsPerGroup       = 12
	maxCoordinators       = 48
	// capacityIntervalSecondsPerCoordinator times the number of coordinators
	// is the interval of capacity reports.
	capacityIntervalSecondsPerCoordinator = 0.008
	// progressMessagesPerRequest is the number of progress messages of a
	// streamed request: at the first event, for the pace, and at the end.
	progressMessagesPerRequest = 3
)

const (
	// accountsInWindow is the number of accounts whose requests an instance
	// has accepted within the quota window of 8 s; it is smaller than the
	// number of these requests.
	accountsInWindow = 250
	// changeReportSeconds is how long a change of an account is included in
	// reports. Each other account is included in one of reportsPerFullRefresh
	// reports; see package quota.
	changeReportSeconds   = 0.7
	reportsPerFullRefresh = 10
)

// slotBytesPerRequest returns the bytes of all instances together for the
// slot of one request.
func slotBytesPerRequest() float64 {
	return slotRequestBytes + slotResponseBytes + progressMessagesPerRequest*progressMessageBytes + (2+progressMessagesPerRequest)*authenticationBytes
}

// renewalBytesPerSecond returns the bytes that an instance sends per second
// to renew the leases of its running requests.
func renewalBytesPerSecond(running, coordinators float64) float64 {
	renewedCoordinators := min(running, coordinators)
	return renewalsPerSecond * (renewedCoordinators*(authenticationBytes+renewalMessageBytes) + running*renewalBytesPerRequest)
}

// writePlatform writes the section about the cost of control on the users'
// platform.
func writePlatform(b *strings.Builder, size Size) {
	const meanRequestSeconds = 0.8
	instances := size.Instances
	groups := size.Targets / targetsPerGroup
	coordinators := min(groups, maxCoordinators)
	running := size.RequestsPerS * meanRequestSeconds / instances
	capacityBytesPerSecond := coordinators * (coordinators - 1) *
		(authenticationBytes + capacityReportBytes + capacityBytesPerGroup*groups/coordinators) / (coordinators * capacityIntervalSecondsPerCoordinator)
	changedAccounts := size.RequestsPerS / instances * changeReportSeconds
	accountsPerReport := changedAccounts + (accountsInWindow-changedAccounts)/reportsPerFullRefresh
	usageReport := authenticationBytes + usageReportBytes + accountsPerReport*bytesPerAccountUsage
	slotBytesPerSecond := size.RequestsPerS / instances * slotBytesPerRequest()
	b.WriteString("## On the users' platform\n\n" +
		"There, instances request slots from the coordinators of groups of targets\n" +
		"(docs/design/platform.md). Sizes of encoded messages with their MAC: a slot request 143\n" +
		"bytes (80 without account, content and prompt parts), a response 55, each progress report 49, a renewal 36 and 12 for each\n" +
		"request, a usage report 123 and 29 for each account. The rest follows from these.\n\n" +
		"| what, at " + fmt.Sprintf("%.0f instances, %.0f targets and %.0f requests/s", instances, size.Targets, size.RequestsPerS) +
		" | bytes/s an instance |\n|---|---|\n")
	fmt.Fprintf(b, "| slots: requests, responses, progress reports | **%.0f** |\n", slotBytesPerSecond)
	fmt.Fprintf(b, "| renewals of %.0f requests that run, at %.0f coordinators | %.0f |\n",
		running, coordinators, renewalBytesPerSecond(running, coordinators))
	fmt.Fprintf(b, "| capacity reports among coordinators, as a mean | %.0f |\n", capacityBytesPerSecond/instances)
	fmt.Fprintf(b, "| usage reports to %d aggregators, each with %.0f accounts | **%.0f** |\n",
		usageAggregators, accountsPerReport, usageAggregators*usageReportsPerSecond*usageReport)
	fmt.Fprintf(b, "| usage reports received by an aggregator | **%.0f** |\n\n", instances*usageReportsPerSecond*usageReport)
	b.WriteString("Over the budget of 4096: slots (they grow with requests, not with instances), and the\n" +
		"usage reports, which go to all aggregators. Not built: an owner for each account, as for\n" +
		"groups of targets. Calls to the store do not\n" +
		"grow with the instances but for their start and their announcement every 20 s (two calls).\n\n")
	writeLoadParts(b)
}

// writeLoadParts writes what the parts that answer heavy load hold and send.
func writeLoadParts(b *strings.Builder) {
	b.WriteString("| part | state, at this size | messages and calls |\n|---|---|---|\n" +
		"| evacuations | the evacuated domains and their position | some 16 bytes in each usage report; instances without a confirmation for 2.5 s read the rows |\n" +
		"| cold targets | a time for each of 940 targets, 4,096 at most | 12 targets at most in a report, while any is cold |\n" +
		"| fair queues | accounts with queued or recent requests of one group; none of the others | 18 bytes of a slot request |\n" +
		"| returns | 2,048 contents and 64 counters a group, some 100 KB | 11 bytes of a slot request |\n" +
		"| memory of targets | a number for each request that runs | in renewals, some 4 bytes a request |\n" +
		"| prompt prefixes | 2,048 parts for each of 8 to 16 targets of a group, some 3 MB for each group | 30 bytes of a slot request |\n" +
		"| slow callers | 0.125 of the memory limit, 32 MiB at most | none |\n" +
		"| callers' requests, read or not | 0.35 of the memory limit | none |\n\n" +
		"None grows with instances times accounts. Sizes are counted from the types, and not measured.\n\n")
	b.WriteString("Measured growth, all parts together: middle and busiest instance of a day with 30, 100 and 300 instances before ten\n" +
		"times as many targets (ckmr-logs-grown, code of b9dd954, 2026-12-06, arm64). The power is that of the busiest.\n\n" +
		"| what | 30 | 100 | 300 | power |\n|---|---|---|---|---|\n" +
		"| processor, % of a core | 7.0, 17.2 | 8.8, 51.9 | 23.7, 78.3 | 0.66 |\n" +
		"| memory, MB | 13.2, 22.0 | 18.4, 41.2 | 43.5, 217 | 0.99 |\n" +
		"| sent, kB/s | 31.5, 271 | 35.3, 899 | 244, 3523 | 1.11 |\n" +
		"| connections | 50, 79 | 24, 97 | 20, 262 | 0.52 |\n" +
		"| new connections/s | 3.1, 4.0 | 2.2, 4.7 | 2.0, 11.2 | 0.44 |\n" +
		"| until all serve after all were killed, s | 4.0 | 5.5 | 8.5 | 0.33 |\n" +
		"| read from the store by all, GB in 48 s | | 0.056 | 1.455 | |\n\n" +
		"No rule was broken. Bytes at the store are far over their price at 300 instances; the cause is not traced. On\n" +
		"4b64c1b, all read 1.047 GB in the first 16 s.\n\n")
}
