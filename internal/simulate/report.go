package simulate

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// outcome is how a request ended.
type outcome int

const (
	// onTime and late are complete responses within the objectives and
	// outside of them.
	onTime outcome = iota
	late
	refused
	failed
	// abandoned means that the caller disconnected before the first token.
	abandoned
	outcomeCount
)

// ClassReport holds the outcomes and queue times of the requests of one
// class.
type ClassReport struct {
	Class      Class
	counts     [outcomeCount]int
	queueTimes []time.Duration
}

// Requests returns the number of requests that have ended.
func (r *ClassReport) Requests() int {
	sum := 0
	for _, n := range r.counts {
		sum += n
	}
	return sum
}

// ValueFraction returns the earned value of the class as a fraction of the
// value that it would have earned with all requests on time; 1 without
// requests.
func (r *ClassReport) ValueFraction() float64 {
	offered := float64(r.Requests()) * r.Class.Value
	if offered == 0 {
		return 1
	}
	return r.earnedValue() / offered
}

func (r *ClassReport) earnedValue() float64 {
	return float64(r.counts[onTime])*r.Class.Value + float64(r.counts[late])*r.Class.LateValue
}

// Report is the result of a simulation.
type Report struct {
	Classes []*ClassReport
	// seconds holds the earned and the offered value by the second of
	// arrival.
	seconds []secondTotals
}

type secondTotals struct{ earned, offered float64 }

func newReport(env Environment) *Report {
	r := &Report{seconds: make([]secondTotals, int(env.Duration/time.Second)+1)}
	for _, class := range env.Classes {
		r.Classes = append(r.Classes, &ClassReport{Class: class})
	}
	return r
}

func (r *Report) classReport(class *Class) *ClassReport {
	for _, c := range r.Classes {
		if c.Class.Name == class.Name {
			return c
		}
	}
	return nil
}

func (r *Report) recordOutcome(class *Class, arrivedAt time.Duration, result outcome) {
	r.classReport(class).counts[result]++
	second := min(int(arrivedAt/time.Second), len(r.seconds)-1)
	r.seconds[second].offered += class.Value
	switch result {
	case onTime:
		r.seconds[second].earned += class.Value
	case late:
		r.seconds[second].earned += class.LateValue
	}
}

func (r *Report) recordQueueTime(class *Class, queueTime time.Duration) {
	c := r.classReport(class)
	c.queueTimes = append(c.queueTimes, queueTime)
}

// ValueFraction returns the earned value of all classes as a fraction of the
// offered value.
func (r *Report) ValueFraction() float64 {
	earned, offered := 0.0, 0.0
	for _, c := range r.Classes {
		earned += c.earnedValue()
		offered += float64(c.Requests()) * c.Class.Value
	}
	return earned / offered
}

// ValueFractionBySecond returns the earned fraction of the offered value by
// the second of arrival, without seconds in which no value was offered.
func (r *Report) ValueFractionBySecond() []float64 {
	fractions := make([]float64, 0, len(r.seconds))
	for _, s := range r.seconds {
		if s.offered > 0 {
			fractions = append(fractions, s.earned/s.offered)
		}
	}
	return fractions
}

// Write prints the report as a table.
func (r *Report) Write(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "class\tasked\tin time\tlate\trefused\tfailed\tleft\tworth\tmean wait ms\t")
	for _, c := range r.Classes {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.3f\t%.0f\t\n", c.Class.Name, c.Requests(), c.counts[onTime],
			c.counts[late], c.counts[refused], c.counts[failed], c.counts[abandoned], c.ValueFraction(), c.meanQueueTime().Seconds()*1000)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "worth %.3f\n", r.ValueFraction())
	return err
}

func (r *ClassReport) meanQueueTime() time.Duration {
	if len(r.queueTimes) == 0 {
		return 0
	}
	var sum time.Duration
	for _, queueTime := range r.queueTimes {
		sum += queueTime
	}
	return sum / time.Duration(len(r.queueTimes))
}
