// Package endtoend tests the built program as operators run it: as processes on
// the loopback interface that are controlled only by files, signals and commands.
// The platform and the targets are test doubles within the test process, which
// record what ran as ground truth.
package endtoend

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// programPath is the path of the built program.
var programPath string

var otherProgram = flag.String("other", "", "absolute path of a program that every second instance runs instead")

// programFor returns the path of the program that the instance with the given
// index runs.
func programFor(index int) string {
	if *otherProgram != "" && index%2 == 1 {
		return *otherProgram
	}
	return programPath
}

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

// buildAndRun builds the program once and runs all tests.
func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "hibiscuspost-endtoend-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	programPath = filepath.Join(dir, "hibiscuspost")
	build := exec.Command("go", "build", "-buildvcs=false", "-o", programPath, "../../cmd/hibiscuspost")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build the program:", err)
		return 1
	}
	return m.Run()
}
