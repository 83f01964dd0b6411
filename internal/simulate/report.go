package simulate

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// result is how a request ended.
type result int

const (
	inTime result = iota
	late
	refused
	failed
	// left means that the caller did not wait any longer.
	left
	resultCount
)

// ClassReport counts the requests of a class.
type ClassReport struct {
	Class  Class
	counts [resultCount]int
	waits  []time.Duration
}

// Requests counts all requests.
func (r *ClassReport) Requests() int {
	sum := 0
	for _, n := range r.counts {
		sum += n
	}
	return sum
}

// ValueFraction is the part of its worth that the class has earned.
func (r *ClassReport) ValueFraction() float64 {
	owed := float64(r.Requests()) * r.Class.Value
	if owed == 0 {
		return 1
	}
	return r.earned() / owed
}

func (r *ClassReport) earned() float64 {
	return float64(r.counts[inTime])*r.Class.Value + float64(r.counts[late])*r.Class.LateValue
}

// Report is what a play has brought.
type Report struct {
	Classes []*ClassReport
	// windows hold what was earned and owed by the second of arrival.
	windows []window
}

type window struct{ earned, owed float64 }

func newReport(world Environment) *Report {
	r := &Report{windows: make([]window, int(world.Duration/time.Second)+1)}
	for _, class := range world.Classes {
		r.Classes = append(r.Classes, &ClassReport{Class: class})
	}
	return r
}

func (r *Report) class(class *Class) *ClassReport {
	for _, c := range r.Classes {
		if c.Class.Name == class.Name {
			return c
		}
	}
	return nil
}

func (r *Report) ended(class *Class, began time.Duration, result result) {
	r.class(class).counts[result]++
	at := min(int(began/time.Second), len(r.windows)-1)
	r.windows[at].owed += class.Value
	switch result {
	case inTime:
		r.windows[at].earned += class.Value
	case late:
		r.windows[at].earned += class.LateValue
	}
}

func (r *Report) waited(class *Class, wait time.Duration) {
	c := r.class(class)
	c.waits = append(c.waits, wait)
}

// ValueFraction is the part of all worth that was earned.
func (r *Report) ValueFraction() float64 {
	earned, owed := 0.0, 0.0
	for _, c := range r.Classes {
		earned += c.earned()
		owed += float64(c.Requests()) * c.Class.Value
	}
	return earned / owed
}

// ValueFractionBySecond returns the part of the worth earned, by the second of arrival.
func (r *Report) ValueFractionBySecond() []float64 {
	parts := make([]float64, 0, len(r.windows))
	for _, w := range r.windows {
		if w.owed > 0 {
			parts = append(parts, w.earned/w.owed)
		}
	}
	return parts
}

// Write prints the report.
func (r *Report) Write(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "class\tasked\tin time\tlate\trefused\tfailed\tleft\tworth\tmean wait ms\t")
	for _, c := range r.Classes {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.3f\t%.0f\t\n", c.Class.Name, c.Requests(), c.counts[inTime],
			c.counts[late], c.counts[refused], c.counts[failed], c.counts[left], c.ValueFraction(), c.meanWait().Seconds()*1000)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "worth %.3f\n", r.ValueFraction())
	return err
}

func (r *ClassReport) meanWait() time.Duration {
	if len(r.waits) == 0 {
		return 0
	}
	var sum time.Duration
	for _, wait := range r.waits {
		sum += wait
	}
	return sum / time.Duration(len(r.waits))
}
