package capacity

import (
	"fmt"
	"strconv"
	"strings"
)

// Page writes docs/CAPACITY.md.
func Page(size Size, list []*Slope, slopes Slopes) string {
	var b strings.Builder
	b.WriteString(intro)
	writeRoles(&b, Roles(size, slopes))
	fmt.Fprintf(&b, "Of the entry's processor time, admission alone (its benchmark with 12 targets) takes %s of a core.\n\n",
		share(AdmissionCPU(size, slopes)))
	writeWhole(&b, WholeInstance(size, slopes))
	writeSubset(&b, SubsetPeerBytes(slopes))
	writeMechanisms(&b, Roles(size, slopes))
	writePlatform(&b, size)
	writeUnsettled(&b, slopes)
	b.WriteString(regions)
	writeBadDay(&b, size)
	writeSlopes(&b, list)
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
		r.MessagesPerS.text(2), against(r.BytesPerS, ControlBudget.BytesPerS, 0), share(r.CPU),
		against(r.MemoryMB, ControlBudget.MemoryMB, 2), against(r.WritesPerS, ControlBudget.WritesPerS, 2),
		against(r.ReadsPerS, ControlBudget.ReadsPerS, 0))
}

func writeWhole(b *strings.Builder, whole Role) {
	b.WriteString("## A whole daemon at rest\n\n" +
		"The roles above cannot all be told apart in a running instance. This is the line of whole instances without " +
		"requests, carried to 380 instances and 940 targets. The points of bytes by instances flatten from 20 on, so that " +
		"their line overstates; that by targets was measured to 80 targets only.\n\n" + rolesHeader)
	writeRole(b, &whole)
	b.WriteString("\n")
}

func writeSubset(b *strings.Builder, subset Cost) {
	fmt.Fprintf(b, "With a subset of %d targets an entry, the exchange with coordinators would take %s bytes/s on the same "+
		"line. Subsets are not built, so this is arithmetic and no measurement.\n\n",
		subsetTargets, against(subset, ControlBudget.BytesPerS, 0))
}

// unsettledSize is the number of instances of the fleet that did not come to rest.
const unsettledSize = 40

func writeUnsettled(b *strings.Builder, slopes Slopes) {
	a := arithmetic{slopes: slopes}
	fmt.Fprintf(b, unsettled, a.at("unsettled.peer_bytes", unsettledSize).text(0),
		share(a.at("unsettled.cpu", unsettledSize)), a.at("unsettled.other_reads", unsettledSize).text(0),
		a.at("unsettled.live_mb", unsettledSize).text(1))
}

func writeMechanisms(b *strings.Builder, roles []Role) {
	b.WriteString("## What carries each role, and what does not fit yet\n\n")
	for i := range roles {
		r := &roles[i]
		fmt.Fprintf(b, "**%s.** Holds: %s. Carried by: %s. %s\n\n", r.Name, r.State, r.Mechanism, r.Gap)
	}
}

func writeBadDay(b *strings.Builder, size Size) {
	replaced := size.FailuresPerDay + size.ReplacementsPerDay
	fmt.Fprintf(b, badDay, replaced, secondsPerDay/replaced, size.Instances/size.FailureDomains,
		size.ChangesPerDay, secondsPerDay/size.ChangesPerDay)
}

func writeSlopes(b *strings.Builder, list []*Slope) {
	b.WriteString("## Recorded slopes\n\nEach line is fitted by least squares; R2 is the part of the variance that " +
		"it explains. Of a constant only the base is given.\n\n" +
		"| slope | unit | per | points (size: value) | base | slope | R2 |\n|---|---|---|---|---|---|---|\n")
	for _, s := range list {
		var points []string
		for _, p := range s.Points {
			points = append(points, number(p.X)+": "+number(p.Y))
		}
		fmt.Fprintf(b, "| %s | %s | %s | %s | %s | %s | %s |\n", s.Name, s.Unit, s.Per,
			strings.Join(points, ", "), number(s.Fit.Base), number(s.Fit.Slope), fixed(s.Fit.R2, 2))
	}
	b.WriteString("\nHow they were measured:\n\n")
	for _, s := range list {
		trial := ""
		if s.Trial {
			trial = ", a trial recorded in docs/design/agreement.md"
		}
		fmt.Fprintf(b, "- %s: `%s`, seeds %v, code of %s, %s%s\n", s.Name, s.Command, s.Seeds, s.Commit, s.Date, trial)
	}
}

// text writes a cost or that it is not measured.
func (c Cost) text(digits int) string {
	if !c.Known {
		return "not measured"
	}
	return fixed(c.Value, digits)
}

// against writes a cost and whether it passes a limit.
func against(c Cost, limit float64, digits int) string {
	text := c.text(digits)
	if c.Known && c.Value > limit {
		return "**" + text + "** (over " + number(limit) + ")"
	}
	return text
}

// share writes a part of a core in percent.
func share(c Cost) string {
	if !c.Known {
		return "not measured"
	}
	return against(known(100*c.Value), 100*ControlBudget.CPU, 2) + " %"
}

func number(v float64) string { return strconv.FormatFloat(v, 'g', 4, 64) }

func fixed(v float64, digits int) string { return strconv.FormatFloat(v, 'f', digits, 64) }
