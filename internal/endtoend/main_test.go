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

// program is the path of the built program.
var program string

var other = flag.String("other", "", "absolute path of a program that every second instance runs instead")

// programOf returns the program that the instance with the number runs.
func programOf(number int) string {
	if *other != "" && number%2 == 1 {
		return *other
	}
	return program
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
	program = filepath.Join(dir, "hibiscuspost")
	build := exec.Command("go", "build", "-buildvcs=false", "-o", program, "../../cmd/hibiscuspost")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build the program:", err)
		return 1
	}
	return m.Run()
}
