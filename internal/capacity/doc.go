// Package capacity calculates what each role of the system costs at the size
// that is expected in two years, and compares it with a budget.
//
// A Slope is a straight line fitted by least squares to measured points, or a
// constant that was counted. Slopes are stored in slopes.json with their
// points, command, seeds and date, so that the fit can be repeated. Roles
// calculates the cost of each role from the slopes and a Size; Page writes
// docs/CAPACITY.md.
//
// Invariants: all figures come from slopes.json, Size or Budget; a cost
// without a measured slope is reported as not measured and never as zero; a
// test compares docs/CAPACITY.md with Page, so that the two cannot diverge.
//
// Lines are extrapolated far beyond their points, from tens of instances to
// hundreds. The page gives the measured points of each line.
package capacity
