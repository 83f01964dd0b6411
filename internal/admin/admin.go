// Package admin serves the administration API: operators upload tables and
// read the status of the instance (Server). All endpoints except the health
// checks require the bearer token.
package admin

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"expvar"
	"fmt"
	"net"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v2"

	"github.com/hibiscuspost/hibiscuspost/internal/configuration"
	"github.com/hibiscuspost/hibiscuspost/internal/strictjson"
	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

// Applier puts configurations in force.
type Applier interface {
	// Apply makes the tables the successor of the version base and returns
	// the new version. Errors are those of configuration.Store.
	Apply(ctx context.Context, base uint64, t tables.Tables) (uint64, error)
}

// StatusProvider returns the responses to status requests; each is encoded as
// JSON.
type StatusProvider interface {
	Config() any
	Moves() any
	Targets() any
	Instances() any
}

// Options configures a Server.
type Options struct {
	// Token is the bearer token.
	Token   []byte
	Applier Applier
	Status  StatusProvider
	// CheckReady returns the reason why the instance accepts no new requests,
	// or nil.
	CheckReady func() error
}

// Server serves the administration API.
type Server struct {
	Options
	tokenHash [sha256.Size]byte
	app       *fiber.App
}

// maxTablesBytes limits the size of both tables together, in bytes.
const maxTablesBytes = 16 << 20

// New returns a server; Serve starts it.
func New(options Options) *Server {
	s := &Server{Options: options, tokenHash: sha256.Sum256(options.Token)}
	s.app = fiber.New(fiber.Config{DisableStartupMessage: true, Immutable: true, BodyLimit: maxTablesBytes})
	s.app.Get("/healthz", func(c *fiber.Ctx) error { return c.SendString("ok\n") })
	s.app.Get("/readyz", s.handleReady)
	s.app.Use(s.authenticate)
	s.app.Put("/admin/v1/tables", s.handlePutTables)
	s.app.Get("/admin/v1/config", s.handleStatus(func() any { return s.Status.Config() }))
	s.app.Get("/admin/v1/moves", s.handleStatus(func() any { return s.Status.Moves() }))
	s.app.Get("/admin/v1/targets", s.handleStatus(func() any { return s.Status.Targets() }))
	s.app.Get("/admin/v1/instances", s.handleStatus(func() any { return s.Status.Instances() }))
	s.app.Get("/debug/vars", handleVars)
	return s
}

// Serve accepts connections on the listener until Shutdown.
func (s *Server) Serve(listener net.Listener) error { return s.app.Listener(listener) }

// Shutdown stops the server gracefully.
func (s *Server) Shutdown(ctx context.Context) error { return s.app.ShutdownWithContext(ctx) }

func (s *Server) handleReady(c *fiber.Ctx) error {
	if err := s.CheckReady(); err != nil {
		return c.Status(fiber.StatusServiceUnavailable).SendString(err.Error() + "\n")
	}
	return c.SendString("ready\n")
}

// authenticate compares hashes of the tokens in constant time, so that timing
// reveals neither the token nor its length.
func (s *Server) authenticate(c *fiber.Ctx) error {
	presented, _ := strings.CutPrefix(c.Get(fiber.HeaderAuthorization), "Bearer ")
	hash := sha256.Sum256([]byte(presented))
	if subtle.ConstantTimeCompare(hash[:], s.tokenHash[:]) != 1 {
		return c.SendStatus(fiber.StatusUnauthorized)
	}
	return c.Next()
}

// handleStatus returns a handler that responds with the result of query as
// JSON.
func (s *Server) handleStatus(query func() any) fiber.Handler {
	return func(c *fiber.Ctx) error { return c.JSON(query()) }
}

// TableFile is the text of one table as the operator uploaded it.
type TableFile struct {
	// Name is the file name, which errors in the table refer to.
	Name string `json:"name"`
	Text string `json:"text"`
}

// ApplyRequest is the body of PUT /admin/v1/tables. The header If-Match
// contains the version that the operator edited.
type ApplyRequest struct {
	Routes TableFile `json:"routes"`
	Pools  TableFile `json:"pools"`
}

// ApplyResponse is the response to PUT /admin/v1/tables.
type ApplyResponse struct {
	// Outcome is the result for the configuration.
	Outcome Outcome `json:"outcome"`
	// Version is the accepted version, or the one in force after a conflict.
	Version uint64 `json:"version,omitempty"`
	// Errors lists the errors in invalid tables.
	Errors strictjson.FieldErrors `json:"faults,omitempty"`
	// Detail is an explanation for people.
	Detail string `json:"detail,omitempty"`
}

// Outcome is the result of PUT /admin/v1/tables.
type Outcome string

// The outcomes of PUT /admin/v1/tables.
const (
	OutcomeAccepted    Outcome = "accepted"
	OutcomeInvalid     Outcome = "invalid"
	OutcomeConflict    Outcome = "conflict"
	OutcomeUnavailable Outcome = "unavailable"
	OutcomeUnknown     Outcome = "unknown"
)

// handlePutTables validates the tables and applies them on top of the version
// in If-Match.
func (s *Server) handlePutTables(c *fiber.Ctx) error {
	var request ApplyRequest
	if err := c.BodyParser(&request); err != nil {
		return sendApplyResponse(c, fiber.StatusBadRequest, ApplyResponse{Outcome: OutcomeInvalid, Detail: err.Error()})
	}
	base, err := strconv.ParseUint(strings.Trim(c.Get(fiber.HeaderIfMatch), `"`), 10, 64)
	if err != nil {
		return sendApplyResponse(c, fiber.StatusPreconditionRequired, ApplyResponse{
			Outcome: OutcomeInvalid, Detail: "If-Match must give the version that was edited",
		})
	}
	parsed, err := tables.Parse(
		tables.File{Name: request.Routes.Name, Text: []byte(request.Routes.Text)},
		tables.File{Name: request.Pools.Name, Text: []byte(request.Pools.Text)},
	)
	if err != nil {
		var fieldErrors strictjson.FieldErrors
		errors.As(err, &fieldErrors)
		return sendApplyResponse(c, fiber.StatusUnprocessableEntity, ApplyResponse{
			Outcome: OutcomeInvalid, Errors: fieldErrors, Detail: "nothing was changed",
		})
	}
	version, err := s.Applier.Apply(c.UserContext(), base, *parsed)
	status, response := applyResult(version, err)
	return sendApplyResponse(c, status, response)
}

// applyResult converts the result of Apply to a status and a response.
func applyResult(version uint64, err error) (int, ApplyResponse) {
	var conflict *configuration.ConflictError
	switch {
	case err == nil:
		return fiber.StatusOK, ApplyResponse{Outcome: OutcomeAccepted, Version: version}
	case errors.As(err, &conflict):
		return fiber.StatusPreconditionFailed, ApplyResponse{
			Outcome: OutcomeConflict, Version: conflict.Current,
			Detail: fmt.Sprintf("version %d is in force; edit that one", conflict.Current),
		}
	case errors.Is(err, configuration.ErrOutcomeUnknown):
		return fiber.StatusGatewayTimeout, ApplyResponse{
			Outcome: OutcomeUnknown,
			Detail:  "the configuration may have been accepted; `config` tells once the table service answers: " + err.Error(),
		}
	case errors.Is(err, configuration.ErrUnavailable):
		return fiber.StatusServiceUnavailable, ApplyResponse{Outcome: OutcomeUnavailable, Detail: err.Error()}
	default:
		return fiber.StatusInternalServerError, ApplyResponse{Outcome: OutcomeUnknown, Detail: err.Error()}
	}
}

func sendApplyResponse(c *fiber.Ctx, status int, response ApplyResponse) error {
	return c.Status(status).JSON(response)
}

// handleVars responds with all expvar variables, in the format of the expvar
// package.
func handleVars(c *fiber.Ctx) error {
	var text strings.Builder
	text.WriteString("{")
	separator := "\n"
	expvar.Do(func(kv expvar.KeyValue) {
		fmt.Fprintf(&text, "%s%q: %s", separator, kv.Key, kv.Value)
		separator = ",\n"
	})
	text.WriteString("\n}\n")
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSONCharsetUTF8)
	return c.SendString(text.String())
}
