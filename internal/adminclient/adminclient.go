// Package adminclient is a client of the administration API of an instance.
// Its errors carry the exit codes of the command line.
package adminclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuspost/hibiscuspost/internal/admin"
	"github.com/hibiscuspost/hibiscuspost/internal/exit"
)

// TokenEnvVar is the environment variable with the admin token, which is used
// when no token file is given.
const TokenEnvVar = "HIBISCUSPOST_ADMIN_TOKEN"

// maxResponseBytes bounds the body of a response.
const maxResponseBytes = 64 << 20

// RequestTimeout limits the duration of one request.
const RequestTimeout = 30 * time.Second

// Flags holds the command-line flags of all commands that connect to an
// instance.
type Flags struct {
	Admin     string `help:"URL of an instance's administration address." required:"" placeholder:"URL"`
	TokenFile string `help:"File with the admin token; default: the environment variable HIBISCUSPOST_ADMIN_TOKEN." type:"existingfile"`
}

// Client sends requests to the administration API of one instance.
type Client struct {
	baseURL string
	token   string
	http    *http.Client
}

// Client returns a client for the flags.
func (f *Flags) Client() (*Client, error) {
	token := os.Getenv(TokenEnvVar)
	if f.TokenFile != "" {
		text, err := os.ReadFile(f.TokenFile)
		if err != nil {
			return nil, exit.WithCode(exit.BadInput, err)
		}
		token = strings.TrimSpace(string(text))
	}
	return New(f.Admin, token)
}

// New returns a client for a base URL and token.
func New(adminURL, token string) (*Client, error) {
	parsed, err := url.Parse(adminURL)
	if err != nil || parsed.Host == "" {
		return nil, exit.WithCode(exit.BadInput, errors.Newf("--admin: %q is not a URL with a host", adminURL))
	}
	return &Client{
		baseURL: strings.TrimSuffix(adminURL, "/"), token: token,
		http: &http.Client{Timeout: RequestTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
	}, nil
}

// Get fetches a status response and decodes it into result.
func (c *Client) Get(ctx context.Context, path string, result any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.baseURL+path, nil)
	if err != nil {
		return exit.WithCode(exit.BadInput, err)
	}
	status, body, err := c.do(request)
	if err != nil {
		return exit.WithCode(exit.Unavailable, err)
	}
	if status != http.StatusOK {
		return unexpectedStatus(status, body)
	}
	return json.Unmarshal(body, result)
}

// Apply uploads both tables as the successor of the version base. The error
// has the exit code of the outcome.
func (c *Client) Apply(ctx context.Context, base uint64, tables admin.ApplyRequest) (admin.ApplyResponse, error) {
	var response admin.ApplyResponse
	body, err := json.Marshal(tables)
	if err != nil {
		return response, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, c.baseURL+"/admin/v1/tables", bytes.NewReader(body))
	if err != nil {
		return response, exit.WithCode(exit.BadInput, err)
	}
	// The HTTP library does not retry a request without GetBody.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("If-Match", strconv.FormatUint(base, 10))
	status, text, err := c.do(request)
	if err != nil {
		return response, classifyTransportError(err)
	}
	if err := json.Unmarshal(text, &response); err != nil {
		return response, unexpectedStatus(status, text)
	}
	return response, outcomeError(response)
}

// do sends a request with the admin token and reads the response.
func (c *Client) do(request *http.Request) (int, []byte, error) {
	request.Header.Set("Authorization", "Bearer "+c.token)
	response, err := c.http.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err == nil && len(body) > maxResponseBytes {
		err = errors.Newf("response of more than %d bytes", maxResponseBytes)
	}
	return response.StatusCode, body, err
}

// classifyTransportError adds an exit code to the error of a request without
// a response: nothing was changed only if the connection could not be
// established.
func classifyTransportError(err error) error {
	var opError *net.OpError
	if errors.As(err, &opError) && opError.Op == "dial" {
		return exit.WithCode(exit.Unavailable, err)
	}
	return exit.WithCode(exit.OutcomeUnknown, errors.Wrap(err, "outcome unknown; `config` shows the version in force"))
}

// unexpectedStatus returns the error for a response other than the expected
// one.
func unexpectedStatus(status int, body []byte) error {
	err := errors.Newf("unexpected response from the instance: status %d: %s", status, strings.TrimSpace(string(body)))
	if status == http.StatusServiceUnavailable {
		return exit.WithCode(exit.Unavailable, err)
	}
	return err
}

// outcomeError returns nil for an accepted configuration and otherwise an
// error with the exit code of the outcome.
func outcomeError(response admin.ApplyResponse) error {
	switch response.Outcome {
	case admin.OutcomeAccepted:
		return nil
	case admin.OutcomeInvalid:
		if len(response.Errors) > 0 {
			return exit.WithCode(exit.BadInput, response.Errors)
		}
		return exit.WithCode(exit.BadInput, errors.New(response.Detail))
	case admin.OutcomeConflict:
		return exit.WithCode(exit.Conflict, errors.Newf("conflict: %s", response.Detail))
	case admin.OutcomeUnavailable:
		return exit.WithCode(exit.Unavailable, errors.Newf("nothing changed: %s", response.Detail))
	default:
		return exit.WithCode(exit.OutcomeUnknown, errors.Newf("outcome unknown: %s", response.Detail))
	}
}
