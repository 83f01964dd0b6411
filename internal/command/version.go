package command

import (
	"fmt"
	"io"
	"runtime/debug"
)

// Version prints the version of the program.
type Version struct{}

// Run prints the module version recorded in the build.
func (v *Version) Run(out io.Writer) error {
	version := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
	}
	_, err := fmt.Fprintln(out, "hibiscuspost", version)
	return err
}
