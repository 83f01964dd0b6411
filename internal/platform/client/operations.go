package client

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuspost/hibiscuspost/internal/platform"
)

// commitRequest is the body of POST /commit.
type commitRequest struct {
	Writes []platform.Write `json:"writes"`
}

// scanResponse is the response to a scan.
type scanResponse struct {
	Rows []platform.Row `json:"rows"`
}

// instancesResponse is the response to GET /instances.
type instancesResponse struct {
	Instances []platform.ListedInstance `json:"instances"`
}

// Get implements platform.TableService.
func (c *Client) Get(ctx context.Context, key platform.Key) (platform.Row, error) {
	var row platform.Row
	path := tablePath(key.Table) + "/" + url.PathEscape(key.ID)
	err := c.getJSON(ctx, path, &row)
	return row, err
}

// Scan implements platform.TableService.
func (c *Client) Scan(ctx context.Context, table, prefix string, limit int) ([]platform.Row, error) {
	var body scanResponse
	err := c.getJSON(ctx, scanPath(table, prefix, limit), &body)
	return body.Rows, err
}

// Instances implements platform.InstanceList.
func (c *Client) Instances(ctx context.Context) ([]platform.ListedInstance, error) {
	var body instancesResponse
	err := c.getJSON(ctx, "/instances", &body)
	return body.Instances, err
}

// getJSON fetches and decodes a JSON body; status 404 is
// platform.ErrNotFound.
func (c *Client) getJSON(ctx context.Context, path string, into any) error {
	r, err := c.do(ctx, http.MethodGet, path, nil, false)
	if err != nil {
		return err
	}
	switch r.status {
	case http.StatusOK:
		return c.decode(r, into)
	case http.StatusNotFound:
		return c.wrap(platform.ErrNotFound)
	default:
		return c.unexpectedStatus(r, false)
	}
}

// Commit implements platform.TableService. A conflict is a
// *platform.ConflictError in the chain of the returned error.
func (c *Client) Commit(ctx context.Context, writes []platform.Write) error {
	body, err := json.Marshal(commitRequest{Writes: writes})
	if err != nil {
		return c.wrap(errors.Wrap(err, "encode transaction"))
	}
	r, err := c.do(ctx, http.MethodPost, "/commit", body, true)
	if err != nil {
		return err
	}
	switch r.status {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return c.conflictError(r)
	default:
		return c.unexpectedStatus(r, true)
	}
}

// conflictError decodes the conflicting rows from a response with status 409,
// which proves that nothing was done, even if its body is malformed.
func (c *Client) conflictError(r httpResponse) error {
	conflict := &platform.ConflictError{}
	if err := c.decode(r, conflict); err != nil {
		return err
	}
	return c.wrap(conflict)
}

// PutObject implements platform.ObjectStore.
func (c *Client) PutObject(ctx context.Context, name string, value []byte) error {
	r, err := c.do(ctx, http.MethodPut, objectPath(name), value, true)
	if err != nil {
		return err
	}
	return c.checkWritten(r)
}

// DeleteObject implements platform.ObjectStore.
func (c *Client) DeleteObject(ctx context.Context, name string) error {
	r, err := c.do(ctx, http.MethodDelete, objectPath(name), nil, true)
	if err != nil {
		return err
	}
	if r.status == http.StatusNotFound {
		return nil
	}
	return c.checkWritten(r)
}

// checkWritten returns an error unless the status reports a successful write.
func (c *Client) checkWritten(r httpResponse) error {
	if r.status == http.StatusOK || r.status == http.StatusNoContent {
		return nil
	}
	return c.unexpectedStatus(r, true)
}

// GetObject implements platform.ObjectStore.
func (c *Client) GetObject(ctx context.Context, name string) ([]byte, error) {
	r, err := c.do(ctx, http.MethodGet, objectPath(name), nil, false)
	if err != nil {
		return nil, err
	}
	switch r.status {
	case http.StatusOK:
		return r.body, nil
	case http.StatusNotFound:
		return nil, c.wrap(platform.ErrNotFound)
	default:
		return nil, c.unexpectedStatus(r, false)
	}
}
