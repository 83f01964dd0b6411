// Package endtoend tests the built program as operators run it: real
// processes on loopback, told what to do by files, signals and commands only.
// The platform and the targets are stand-ins inside the test process, whose
// logs are the ground truth of what ran.
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

// programFor returns the program that the instance with the number runs.
func programFor(index int) string {
	if *otherProgram != "" && index%2 == 1 {
		return *otherProgram
	}
	return programPath
}

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

// buildAndRun builds the program once for all tests.
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
