package faultmatrix

import (
	"fmt"
	"strings"
)

const intro = `# Faults at each step

<!-- Written by internal/faultmatrix: go test ./internal/faultmatrix -run TestPage -update -->

Each cell names tests that bring the fault about at the step, or says why it
cannot occur, or that it is **not proved yet** and under which issue. A test
proves the rule of the package that it is in; it does not say that the same was
seen of whole instances.

`

// RenderPage writes docs/FAULTS.md.
func RenderPage() string {
	var b strings.Builder
	b.WriteString(intro)
	writeCounts(&b)
	for _, step := range Steps {
		fmt.Fprintf(&b, "## %s\n\n| fault | covered by |\n|---|---|\n", step)
		for _, fault := range Faults {
			cell := CellAt(step, fault)
			fmt.Fprintf(&b, "| %s | %s |\n", fault, cell.text())
		}
		b.WriteString("\n")
	}
	b.WriteString("## Two faults at once, a sample\n\n| faults | covered by |\n|---|---|\n")
	for i := range Pairs {
		p := &Pairs[i]
		fmt.Fprintf(&b, "| %s and %s | %s |\n", p.First, p.Second, p.text())
	}
	b.WriteString(promisesIntro)
	for i := range Guarantees {
		p := &Guarantees[i]
		day := "the bench's own"
		if p.DayFile != "" {
			day = "`" + p.DayFile + "`"
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s |\n", p.Statement, p.Mechanism, p.text(), day)
	}
	return b.String()
}

const promisesIntro = `
## On the users' platform

What must hold there, the mechanism, the tests, and the day in deploy/days that
strains it.

| promise | mechanism | tests | day |
|---|---|---|---|
`

func writeCounts(b *strings.Builder) {
	var tested, impossible, left int
	for _, step := range Steps {
		for _, fault := range Faults {
			cell := CellAt(step, fault)
			switch {
			case len(cell.Tests) > 0:
				tested++
			case cell.Impossible != "":
				impossible++
			default:
				left++
			}
		}
	}
	fmt.Fprintf(b, "Of %d cells %d have tests, %d cannot occur, and %d are not proved yet.\n\n",
		len(Steps)*len(Faults), tested, impossible, left)
}

func (c *Cell) text() string {
	switch {
	case len(c.Tests) > 0:
		var names []string
		for _, t := range c.Tests {
			names = append(names, "`"+strings.TrimPrefix(t.Package, "../")+"` "+t.Name)
		}
		return strings.Join(names, ", ")
	case c.Impossible != "":
		return "cannot occur: " + c.Impossible
	default:
		return fmt.Sprintf("**not proved yet** (issue %d): %s", c.Issue, c.Untested)
	}
}
