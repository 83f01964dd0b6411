// Package capacity works out what each role of the system costs at the size
// that is expected in two years, and whether that fits.
//
// A slope is a straight line fitted by least squares to points that were
// measured, or a constant that was counted. Slopes are kept with their points,
// command, seeds and date in slopes.json, so that anyone can fit them again.
// Roles takes slopes and a Size and returns the cost of each role; Page writes
// docs/CAPACITY.md from it.
//
// Invariants: no figure is used that is not in slopes.json, in Size or in
// Budget; a cost without a measured slope is reported as not measured and never
// as zero; the page is compared with Page by a test, so that it cannot drift.
//
// Lines are carried far beyond their points (from tens of instances to
// hundreds). The page says for each cost how far.
package capacity
