// Package command implements the commands that run an instance, validate
// files, apply tables and print the program version.
package command

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/hibiscuspost/hibiscuspost/internal/admin"
	"github.com/hibiscuspost/hibiscuspost/internal/adminclient"
	"github.com/hibiscuspost/hibiscuspost/internal/exit"
)

// Apply uploads both tables to an instance.
type Apply struct {
	adminclient.Flags
	Routes string  `help:"The table of routes." required:"" type:"existingfile"`
	Pools  string  `help:"The table of pools." required:"" type:"existingfile"`
	Base   *uint64 `help:"The version that was edited; default: the version in force at the instance."`
}

// Run applies the tables and prints the accepted version.
func (a *Apply) Run(ctx context.Context, out io.Writer) error {
	client, err := a.Client()
	if err != nil {
		return err
	}
	routes, err := readTableFile(a.Routes)
	if err != nil {
		return err
	}
	pools, err := readTableFile(a.Pools)
	if err != nil {
		return err
	}
	base, err := a.baseVersion(ctx, client)
	if err != nil {
		return err
	}
	response, err := client.Apply(ctx, base, admin.ApplyRequest{Routes: routes, Pools: pools})
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "accepted as version %d\n", response.Version)
	return err
}

// baseVersion returns the version that the new tables succeed.
func (a *Apply) baseVersion(ctx context.Context, client *adminclient.Client) (uint64, error) {
	if a.Base != nil {
		return *a.Base, nil
	}
	var inForce struct {
		Version uint64 `json:"version"`
	}
	err := client.Get(ctx, "/admin/v1/config", &inForce)
	return inForce.Version, err
}

// readTableFile reads a table file; the error has the exit code for invalid
// input.
func readTableFile(path string) (admin.TableFile, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return admin.TableFile{}, exit.WithCode(exit.BadInput, err)
	}
	return admin.TableFile{Name: path, Text: string(text)}, nil
}
