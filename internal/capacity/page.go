package capacity

import (
	"fmt"
	"strconv"
	"strings"
)

// Page returns the content of docs/CAPACITY.md.
func Page(size Size, ordered []*Slope, slopes Slopes) string {
	var b strings.Builder
	b.WriteString(introText)
	writeRoles(&b, Roles(size, slopes))
	fmt.Fprintf(&b, "Of the entry's processor time, admission alone (its benchmark with 12 targets) takes %s of a core.\n\n",
		formatCoreShare(AdmissionCPU(size, slopes)))
	writeWholeInstance(&b, WholeInstance(size, slopes))
	writeSubset(&b, SubsetPeerBytes(slopes))
	writeMechanisms(&b, Roles(size, slopes))
	writePlatform(&b, size)
	writeUnsettled(&b, slopes)
	b.WriteString(regionsText)
	writeFailureDay(&b, size)
	writeSlopes(&b, ordered)
	return b.String()
}

const rolesHeader = `| role | messages/s | bytes/s | core | MB | table writes/s, all | reads/s, all |
|---|---|---|---|---|---|---|
`

func writeRoles(b *strings.Builder, roles []Role) {
	b.WriteString("## Each role\n\n" + rolesHeader)
	for i := range roles {
		writeRole(b, &roles[i])
	}
	b.WriteString("\n")
}

func writeRole(b *strings.Builder, r *Role) {
	fmt.Fprintf(b, "| %s | %s | %s | %s | %s | %s | %s |\n", r.Name,
		r.MessagesPerS.format(2), formatWithLimit(r.BytesPerS, ControlBudget.BytesPerS, 0), formatCoreShare(r.CPU),
		formatWithLimit(r.MemoryMB, ControlBudget.MemoryMB, 2), formatWithLimit(r.WritesPerS, ControlBudget.WritesPerS, 2),
		formatWithLimit(r.ReadsPerS, ControlBudget.ReadsPerS, 0))
}

func writeWholeInstance(b *strings.Builder, whole Role) {
	b.WriteString("## A whole daemon at rest\n\n" +
		"The roles above cannot all be told apart in a running instance. This is the line of whole instances without " +
		"requests, carried to 380 instances and 940 targets. The points of bytes by instances flatten from 20 on, so that " +
		"their line overstates; that by targets was measured to 80 targets only.\n\n" + rolesHeader)
	writeRole(b, &whole)
	b.WriteString("\n")
}

func writeSubset(b *strings.Builder, peerBytes Cost) {
	fmt.Fprintf(b, "With a subset of %d targets an entry, the exchange with coordinators would take %s bytes/s on the same "+
		"line. Subsets are not built, so this is arithmetic and no measurement.\n\n",
		subsetTargets, formatWithLimit(peerBytes, ControlBudget.BytesPerS, 0))
}

// unsettledSize is the number of instances of the fleet that had not become
// idle when it was measured.
const unsettledSize = 40

func writeUnsettled(b *strings.Builder, slopes Slopes) {
	c := calculator{slopes: slopes}
	fmt.Fprintf(b, unsettledText, c.valueAt("unsettled.peer_bytes", unsettledSize).format(0),
		formatCoreShare(c.valueAt("unsettled.cpu", unsettledSize)), c.valueAt("unsettled.other_reads", unsettledSize).format(0),
		c.valueAt("unsettled.live_mb", unsettledSize).format(1))
}

func writeMechanisms(b *strings.Builder, roles []Role) {
	b.WriteString("## What carries each role, and what does not fit yet\n\n")
	for i := range roles {
		r := &roles[i]
		fmt.Fprintf(b, "**%s.** Holds: %s. Carried by: %s. %s\n\n", r.Name, r.State, r.Mechanism, r.Limitations)
	}
}

func writeFailureDay(b *strings.Builder, size Size) {
	replacedPerDay := size.FailuresPerDay + size.ReplacementsPerDay
	fmt.Fprintf(b, failureDayText, replacedPerDay, secondsPerDay/replacedPerDay, size.Instances/size.FailureDomains,
		size.ChangesPerDay, secondsPerDay/size.ChangesPerDay)
}

func writeSlopes(b *strings.Builder, ordered []*Slope) {
	b.WriteString("## Recorded slopes\n\nEach line is fitted by least squares; R2 is the part of the variance that " +
		"it explains. Of a constant only the base is given.\n\n" +
		"| slope | unit | per | points (size: value) | base | slope | R2 |\n|---|---|---|---|---|---|---|\n")
	for _, s := range ordered {
		var points []string
		for _, p := range s.Points {
			points = append(points, formatSignificant(p.X)+": "+formatSignificant(p.Y))
		}
		fmt.Fprintf(b, "| %s | %s | %s | %s | %s | %s | %s |\n", s.Name, s.Unit, s.Per,
			strings.Join(points, ", "), formatSignificant(s.Fit.Base), formatSignificant(s.Fit.Slope), formatFixed(s.Fit.R2, 2))
	}
	b.WriteString("\nHow they were measured:\n\n")
	for _, s := range ordered {
		trial := ""
		if s.Trial {
			trial = ", a trial recorded in docs/design/agreement.md"
		}
		fmt.Fprintf(b, "- %s: `%s`, seeds %v, code of %s, %s%s\n", s.Name, s.Command, s.Seeds, s.Commit, s.Date, trial)
	}
}

// format returns the value as text, or "not measured".
func (c Cost) format(digits int) string {
	if !c.Known {
		return "not measured"
	}
	return formatFixed(c.Value, digits)
}

// formatWithLimit formats a cost and marks it if it exceeds the limit.
func formatWithLimit(c Cost, limit float64, digits int) string {
	text := c.format(digits)
	if c.Known && c.Value > limit {
		return "**" + text + "** (over " + formatSignificant(limit) + ")"
	}
	return text
}

// formatCoreShare formats a share of a core in percent.
func formatCoreShare(c Cost) string {
	if !c.Known {
		return "not measured"
	}
	return formatWithLimit(knownCost(100*c.Value), 100*ControlBudget.CPU, 2) + " %"
}

func formatSignificant(v float64) string { return strconv.FormatFloat(v, 'g', 4, 64) }

func formatFixed(v float64, digits int) string { return strconv.FormatFloat(v, 'f', digits, 64) }
