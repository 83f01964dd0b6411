// Package target serves stand-ins of model engines and plain services over
// HTTP, for tests, demonstrations and measurements.
//
// An engine batches continuously: every admitted request runs at once, and all
// of them slow down as more run than it has slots or as they hold more tokens
// than its KV memory. It knows no priorities. Its text is a function of the
// prompt (ExpectedText), so a caller can prove that a whole answer is its own.
//
// Each stand-in keeps a log of what it ran (Log), which is the ground truth
// that checks compare with. Faults are switches that may be set at any time.
package target
