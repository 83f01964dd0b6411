package explain

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const sampleLog = `
  1.5 edge-1 {"level":"info","ts":1000,"msg":"target gone","instance":"edge-1","target":"i-9"}
  1.6 edge-1 {"level":"info","ts":1500,"msg":"target gone","instance":"edge-1","target":"i-1"}
  1.7 edge-2 {"level":"warn","ts":1600,"msg":"dependency lost","instance":"edge-2","dependency":"x"}
  1.8 edge-1 {"level":"warn","ts":1700,"msg":"dependency lost","instance":"edge-1","dependency":"list of targets"}
not a line
  2.0 edge-1 {"level":"warn","ts":2000,"msg":"request ended without an answer of a target","instance":"edge-1","request":"r1","route":"audit","account":"a","config":7,"status":502,"story":"placed at i-1; cut after 3 i-1 after 80 ms","took":0.09,"targets_age_ms":120,"instances":6,"error":"broken"}
  2.1 edge-1 {"level":"info","ts":2100,"msg":"request answered","instance":"edge-1","request":"r2","status":200,"story":"","took":0.01}
`

func TestPrintRequestJoinsStepsAndInstanceEvents(t *testing.T) {
	lines, err := ReadLines(strings.NewReader(sampleLog))
	assert.NilError(t, err)
	assert.Equal(t, len(lines), 6)
	var out bytes.Buffer
	assert.Assert(t, PrintRequest(&out, lines, "r1"))
	assert.Equal(t, out.String(), `00:00:02.000 edge-1: request ended without an answer of a target, status 502 after 90 ms
    route audit, account a, configuration 7, targets as of 120 ms before, 6 instances
    - placed at i-1
    - cut after 3 i-1 after 80 ms
    error: broken
    500ms before: {"level":"info","ts":1500,"msg":"target gone","instance":"edge-1","target":"i-1"}
    300ms before: {"level":"warn","ts":1700,"msg":"dependency lost","instance":"edge-1","dependency":"list of targets"}
`)
}

func TestUnknownRequestIsReported(t *testing.T) {
	lines, err := ReadLines(strings.NewReader(sampleLog))
	assert.NilError(t, err)
	assert.Assert(t, !PrintRequest(&bytes.Buffer{}, lines, "r3"))
}

func TestSummaryCountsCausesAndVolume(t *testing.T) {
	lines, err := ReadLines(strings.NewReader(sampleLog +
		`{"level":"warn","ts":2200,"msg":"x","instance":"edge-1","request":"r4","status":503,"reason":"no place at 10.0.0.1:80 after 12 ms"}
{"level":"warn","ts":2300,"msg":"x","instance":"edge-1","request":"r5","status":503,"reason":"no place at 10.0.0.2:81 after 9 ms"}
{"level":"warn","ts":2300,"msg":"x","instance":"edge-1","request":"r6","status":404}
`))
	assert.NilError(t, err)
	var out bytes.Buffer
	assert.NilError(t, PrintSummary(&out, lines))
	for _, want := range []string{"5 requests, 4 failed, 3 of these explained", "2 503 no place at N after N ms", "9 lines"} {
		assert.Assert(t, strings.Contains(out.String(), want), "want %q in %s", want, out.String())
	}
}

func TestShareListsUnexplainedRequests(t *testing.T) {
	lines, err := ReadLines(strings.NewReader(sampleLog))
	assert.NilError(t, err)
	var out bytes.Buffer
	assert.NilError(t, (&Command{ID: []string{"r1", "r2"}}).printShare(&out, lines))
	assert.Equal(t, out.String(), "2 of 2 explained\n")
	assert.ErrorContains(t, (&Command{ID: []string{"r1", "r9"}}).printShare(&out, lines), "r9")

	// The instance crashed while the request was running.
	unfinished, err := ReadLines(strings.NewReader(`{"msg":"request placed","instance":"edge-1","request":"r9","story":"placed at i-1"}`))
	assert.NilError(t, err)
	assert.NilError(t, (&Command{ID: []string{"r9"}}).printShare(&out, unfinished))
}

// One line of more than the bound, as of another program in the same log, kept all others from
// being read.
func TestLongLineKeepsNoOtherFromBeingRead(t *testing.T) {
	long := strings.Repeat("x", maxLineBytes+1)
	for name, log := range map[string]string{
		"before": long + "\n" + sampleLog, "after": sampleLog + long + "\n", "at the end": sampleLog + long,
		"an entry": sampleLog + `{"msg":"` + long + `"}` + "\n", "of several bounds": strings.Repeat(long, 3) + "\n" + sampleLog,
	} {
		lines, err := ReadLines(strings.NewReader(log))
		assert.Check(t, err, name)
		assert.Check(t, len(lines) == 6, "%s: %d lines", name, len(lines))
	}
	lines, err := ReadLines(strings.NewReader(strings.TrimSpace(sampleLog)))
	assert.NilError(t, err)
	assert.Equal(t, len(lines), 6)
}
