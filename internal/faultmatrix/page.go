package faultmatrix

import (
	"fmt"
	"strings"
)

const pageIntro = `# Faults at each step

<!-- Written by internal/faultmatrix: go test ./internal/faultmatrix -run TestPage -update -->

Each cell names tests that bring the fault about at the step, or says why it
cannot occur, or that it is **not proved yet** and under which issue. A test
proves the rule of the package that it is in; it does not say that the same was
seen of whole instances.

`

// RenderPage returns the text of docs/FAULTS.md.
func RenderPage() string {
	var b strings.Builder
	b.WriteString(pageIntro)
	writeCounts(&b)
	for _, step := range Steps {
		fmt.Fprintf(&b, "## %s\n\n| fault | covered by |\n|---|---|\n", step)
		for _, fault := range Faults {
			cell := CellAt(step, fault)
			fmt.Fprintf(&b, "| %s | %s |\n", fault, cell.markdown())
		}
		b.WriteString("\n")
	}
	b.WriteString("## Two faults at once, a sample\n\n| faults | covered by |\n|---|---|\n")
	for i := range Pairs {
		pair := &Pairs[i]
		fmt.Fprintf(&b, "| %s and %s | %s |\n", pair.First, pair.Second, pair.markdown())
	}
	b.WriteString(guaranteesIntro)
	for i := range Guarantees {
		guarantee := &Guarantees[i]
		dayFile := "the bench's own"
		if guarantee.DayFile != "" {
			dayFile = "`" + guarantee.DayFile + "`"
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s |\n", guarantee.Statement, guarantee.Mechanism, guarantee.markdown(), dayFile)
	}
	return b.String()
}

const guaranteesIntro = `
## On the users' platform

What must hold there, the mechanism, the tests, and the day in deploy/days that
strains it.

| promise | mechanism | tests | day |
|---|---|---|---|
`

func writeCounts(b *strings.Builder) {
	var testedCount, impossibleCount, untestedCount int
	for _, step := range Steps {
		for _, fault := range Faults {
			cell := CellAt(step, fault)
			switch {
			case len(cell.Tests) > 0:
				testedCount++
			case cell.Impossible != "":
				impossibleCount++
			default:
				untestedCount++
			}
		}
	}
	fmt.Fprintf(b, "Of %d cells %d have tests, %d cannot occur, and %d are not proved yet.\n\n",
		len(Steps)*len(Faults), testedCount, impossibleCount, untestedCount)
}

func (c *Cell) markdown() string {
	switch {
	case len(c.Tests) > 0:
		var names []string
		for _, test := range c.Tests {
			names = append(names, "`"+strings.TrimPrefix(test.Package, "../")+"` "+test.Name)
		}
		return strings.Join(names, ", ")
	case c.Impossible != "":
		return "cannot occur: " + c.Impossible
	default:
		return fmt.Sprintf("**not proved yet** (issue %d): %s", c.Issue, c.Untested)
	}
}
