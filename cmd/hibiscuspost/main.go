// Command hibiscuspost is a request scheduler for heterogeneous engines.
package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"

	"github.com/hibiscuspost/hibiscuspost/internal/command"
	"github.com/hibiscuspost/hibiscuspost/internal/demo"
	"github.com/hibiscuspost/hibiscuspost/internal/exit"
	"github.com/hibiscuspost/hibiscuspost/internal/explain"
	"github.com/hibiscuspost/hibiscuspost/internal/measure"
	"github.com/hibiscuspost/hibiscuspost/internal/query"
	"github.com/hibiscuspost/hibiscuspost/internal/simulate"
	"github.com/hibiscuspost/hibiscuspost/platform"
)

// cli defines the commands.
type cli struct {
	Serve     command.Serve    `cmd:"" help:"Run one instance."`
	Node      platform.Command `cmd:"" help:"Run one instance on the users' platform."`
	Check     command.Check    `cmd:"" help:"Validate settings, tables and configurations and print all errors."`
	Apply     command.Apply    `cmd:"" help:"Put new tables in force."`
	Config    query.Config     `cmd:"" help:"Show the configuration in force."`
	Moves     query.Moves      `cmd:"" help:"Show the moves to new versions."`
	Targets   query.Targets    `cmd:"" help:"Show the targets."`
	Instances query.Instances  `cmd:"" help:"Show the running instances."`
	Demo      demo.Command     `cmd:"" help:"Run three instances with stand-ins on loopback."`
	Measure   measure.Command  `cmd:"" help:"Measure the system against a naive policy, with stand-ins on loopback."`
	Simulate  simulate.Command `cmd:"" help:"Simulate load patterns against modelled engines, on a virtual clock."`
	Explain   explain.Command  `cmd:"" help:"Reconstruct the path of one request from the logs of the instances."`
	Version   command.Version  `cmd:"" help:"Print the version."`
}

func main() {
	parsed := cli{Check: command.Check{ReadConfiguration: platform.ReadForCheck}}
	parser := kong.Must(&parsed, kong.Name("hibiscuspost"),
		kong.Description("A request scheduler for heterogeneous engines."), kong.UsageOnError())
	selected, err := parser.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(int(exit.BadInput))
	}
	selected.BindTo(context.Background(), (*context.Context)(nil))
	selected.BindTo(os.Stdout, (*io.Writer)(nil))
	if err := selected.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(int(exit.CodeOf(err)))
	}
}
