package command

import (
	"bufio"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuspost/hibiscuspost/internal/configcheck"
	"github.com/hibiscuspost/hibiscuspost/internal/exit"
	"github.com/hibiscuspost/hibiscuspost/internal/settings"
	"github.com/hibiscuspost/hibiscuspost/internal/strictjson"
	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

// Check validates settings, tables and configurations without an instance.
type Check struct {
	Settings string `help:"A settings file." type:"existingfile"`
	Routes   string `help:"A table of routes; needs --pools." type:"existingfile" and:"tables"`
	Pools    string `help:"A table of pools; needs --routes." type:"existingfile" and:"tables"`

	Configuration string `help:"A configuration of the users' platform." type:"existingfile"`
	InForce       string `help:"The version of that configuration in force, as read from the store; needs --configuration." type:"existingfile"`

	// ReadConfiguration reads the stored form of a configuration.
	ReadConfiguration func(source []byte) *configcheck.Configuration `kong:"-"`
}

// Run validates the files and prints "ok", or returns all errors found in
// them. What is found in a configuration is printed, one line each.
func (c *Check) Run(out io.Writer) error {
	if c.InForce != "" && c.Configuration == "" {
		return exit.WithCode(exit.BadInput, errors.New("--in-force needs --configuration"))
	}
	if c.Settings == "" && c.Routes == "" && c.Configuration == "" {
		return exit.WithCode(exit.BadInput, errors.New("nothing to check: give --settings, --routes with --pools, or --configuration"))
	}
	var fieldErrors strictjson.FieldErrors
	if c.Settings != "" {
		found, err := splitFieldErrors(c.checkSettings())
		if err != nil {
			return err
		}
		fieldErrors = append(fieldErrors, found...)
	}
	if c.Routes != "" {
		found, err := splitFieldErrors(c.checkTables())
		if err != nil {
			return err
		}
		fieldErrors = append(fieldErrors, found...)
	}
	faults := 0
	if c.Configuration != "" {
		var err error
		if faults, err = c.checkConfiguration(out); err != nil {
			return exit.WithCode(exit.BadInput, err)
		}
	}
	if len(fieldErrors) > 0 {
		return exit.WithCode(exit.BadInput, fieldErrors)
	}
	if faults > 0 {
		return exit.WithCode(exit.BadInput, errors.Newf("%s: faults found: %d", c.Configuration, faults))
	}
	_, err := fmt.Fprintln(out, "ok")
	return err
}

// checkConfiguration prints what is found in the configuration and returns the number of
// findings that are faults.
func (c *Check) checkConfiguration(out io.Writer) (faults int, err error) {
	source, err := os.ReadFile(c.Configuration)
	if err != nil {
		return 0, err
	}
	var inForce *configcheck.Configuration
	if c.InForce != "" {
		inForceSource, err := os.ReadFile(c.InForce)
		if err != nil {
			return 0, err
		}
		inForce = c.ReadConfiguration(inForceSource)
	}
	buffered := bufio.NewWriter(out)
	for _, finding := range configcheck.Check(c.ReadConfiguration(source), inForce) {
		if finding.Kind != configcheck.Difference {
			faults++
		}
		fmt.Fprintln(buffered, finding)
	}
	return faults, buffered.Flush()
}

func (c *Check) checkSettings() error {
	_, err := settings.Load(c.Settings)
	return err
}

func (c *Check) checkTables() error {
	routes, err := os.ReadFile(c.Routes)
	if err != nil {
		return err
	}
	pools, err := os.ReadFile(c.Pools)
	if err != nil {
		return err
	}
	_, err = tables.Parse(tables.File{Name: c.Routes, Text: routes}, tables.File{Name: c.Pools, Text: pools})
	return err
}

// splitFieldErrors returns the errors within a document, or any other error
// with an exit code.
func splitFieldErrors(err error) (strictjson.FieldErrors, error) {
	var fieldErrors strictjson.FieldErrors
	if errors.As(err, &fieldErrors) {
		return fieldErrors, nil
	}
	return nil, exit.WithCode(exit.BadInput, err)
}
