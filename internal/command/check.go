package command

import (
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuspost/hibiscuspost/internal/exit"
	"github.com/hibiscuspost/hibiscuspost/internal/settings"
	"github.com/hibiscuspost/hibiscuspost/internal/strictjson"
	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

// Check validates settings and tables without an instance.
type Check struct {
	Settings string `help:"A settings file." type:"existingfile"`
	Routes   string `help:"A table of routes; needs --pools." type:"existingfile" and:"tables"`
	Pools    string `help:"A table of pools; needs --routes." type:"existingfile" and:"tables"`
}

// Run validates the files and prints "ok", or returns all errors found in
// them.
func (c *Check) Run(out io.Writer) error {
	if c.Settings == "" && c.Routes == "" {
		return exit.WithCode(exit.BadInput, errors.New("nothing to check: give --settings or --routes with --pools"))
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
	if len(fieldErrors) > 0 {
		return exit.WithCode(exit.BadInput, fieldErrors)
	}
	_, err := fmt.Fprintln(out, "ok")
	return err
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
