// Package entry is the HTTP server for callers. It converts an HTTP request to an
// executor call and streams the recorded response back as it arrives.
//
// Server handles new requests and resumptions by handle, and the health and
// readiness checks of the load balancer.
package entry

import (
	"context"
	"net"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/gofiber/fiber/v2"
	"go.uber.org/zap"

	"github.com/hibiscuspost/hibiscuspost/internal/answer"
	"github.com/hibiscuspost/hibiscuspost/internal/dispatch"
	"github.com/hibiscuspost/hibiscuspost/internal/executor"
	"github.com/hibiscuspost/hibiscuspost/internal/fault"
	"github.com/hibiscuspost/hibiscuspost/internal/settings"
)

// Header fields of the API for callers.
const (
	HeaderAccount        = executor.HeaderAccount
	HeaderRequest        = executor.HeaderRequest
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Runner executes calls; see executor.Executor.
type Runner interface {
	Execute(ctx context.Context, call *executor.Call) (*executor.Execution, error)
	Resume(ctx context.Context, account, handle string, after uint64) (*executor.Execution, error)
	ResumeLocal(account, handle string) (*executor.Execution, error)
}

// Options holds the dependencies and settings of a Server.
type Options struct {
	Runner Runner
	Limits settings.Limits
	Logger *zap.Logger
	// Secret is the key that authenticates requests forwarded by other instances.
	Secret []byte
	// CheckReady returns the reason why the instance accepts no requests, or nil.
	CheckReady func() error
	// Draining reports whether the instance shuts down. Connections are then closed
	// after the response.
	Draining func() bool
}

// Server is the HTTP server for callers.
type Server struct {
	Options
	app *fiber.App
	// responsesContext is the parent context of all responses; its end ends them.
	responsesContext context.Context
	cancelResponses  context.CancelFunc
}

// New returns a Server; Serve starts it.
func New(options Options) *Server {
	s := &Server{Options: options}
	s.responsesContext, s.cancelResponses = context.WithCancel(context.Background())
	s.app = fiber.New(fiber.Config{
		DisableStartupMessage: true,
		Immutable:             true,
		BodyLimit:             options.Limits.BodyBytes,
		ReadBufferSize:        options.Limits.HeaderBytes,
		Concurrency:           options.Limits.Connections,
		ErrorHandler:          handleError,
	})
	s.app.Get("/healthz", func(c *fiber.Ctx) error { return c.SendString("ok\n") })
	s.app.Get("/readyz", s.handleReady)
	s.app.Get(executor.PathRequests+":handle", s.handleResume)
	s.app.All("/*", s.handleRequest)
	return s
}

// Serve accepts connections on the listener until Shutdown.
func (s *Server) Serve(listener net.Listener) error { return s.app.Listener(listener) }

// Shutdown stops accepting connections and waits for the open responses. If the
// context ends first, it cancels them.
func (s *Server) Shutdown(ctx context.Context) error {
	defer context.AfterFunc(ctx, s.cancelResponses)()
	return s.app.ShutdownWithContext(ctx)
}

// Kill cancels all responses immediately.
func (s *Server) Kill() {
	s.cancelResponses()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = s.app.ShutdownWithContext(ctx)
}

func (s *Server) handleReady(c *fiber.Ctx) error {
	if err := s.CheckReady(); err != nil {
		return c.Status(fiber.StatusServiceUnavailable).SendString(err.Error() + "\n")
	}
	return c.SendString("ready\n")
}

// handleRequest executes a new request.
func (s *Server) handleRequest(c *fiber.Ctx) error {
	call, refusal := s.newCall(c)
	if refusal != nil {
		return sendRefusal(c, refusal)
	}
	return s.respond(c, 0, func(ctx context.Context) (*executor.Execution, error) {
		return s.Runner.Execute(ctx, call)
	})
}

// handleResume returns the rest of the response to an earlier request.
func (s *Server) handleResume(c *fiber.Ctx) error {
	account := c.Get(HeaderAccount)
	handleText, err := url.PathUnescape(c.Params("handle"))
	if err != nil {
		return fiber.ErrBadRequest
	}
	after, err := strconv.ParseUint(c.Get(executor.HeaderLastEventID, "0"), 10, 64)
	if err != nil {
		return fiber.NewError(fiber.StatusBadRequest, "Last-Event-ID must be a number")
	}
	return s.respond(c, after, func(ctx context.Context) (*executor.Execution, error) {
		if c.Get(executor.HeaderLocalOnly) != "" {
			return s.Runner.ResumeLocal(account, handleText)
		}
		return s.Runner.Resume(ctx, account, handleText, after)
	})
}

// newCall copies the request out of the buffers of the HTTP library, which reuses
// them. It refuses invalid forwarding fields and model requests.
func (s *Server) newCall(c *fiber.Ctx) (*executor.Call, *fault.Refusal) {
	call := &executor.Call{
		Account: c.Get(HeaderAccount), IdempotencyKey: c.Get(HeaderIdempotencyKey),
		Method: c.Method(), Path: c.Path(),
		Query: string(c.Request().URI().QueryString()), ReceivedAt: time.Now(),
		Body: append([]byte(nil), c.Body()...),
	}
	for name, value := range c.Request().Header.All() {
		call.Header = append(call.Header, dispatch.Field{Name: string(name), Value: string(value)})
	}
	getHeader := func(name string) string { return c.Get(name) }
	if !executor.ApplyForwardFields(s.Secret, call, getHeader) {
		return nil, notRunRefusal(fiber.StatusForbidden, "the forwarding fields carry no valid proof")
	}
	if !executor.IsModelPath(call.Path) {
		return call, nil
	}
	prompt, err := executor.ParsePrompt(call.Body)
	if err != nil {
		return nil, notRunRefusal(fiber.StatusBadRequest, "the body is no model request: "+err.Error())
	}
	call.Prompt = prompt
	return call, nil
}

func notRunRefusal(status int, reason string) *fault.Refusal {
	return &fault.Refusal{Execution: fault.NotRun, Step: fault.StepAccept, Status: status, Reason: reason}
}

// respond starts an execution and sends its response once the headers or a
// refusal are available.
func (s *Server) respond(c *fiber.Ctx, after uint64, start func(context.Context) (*executor.Execution, error)) error {
	if s.Draining() {
		c.Response().SetConnectionClose()
	}
	ctx, cancel := context.WithCancel(s.responsesContext)
	watcher := watchDisconnect(c.Context().Conn(), cancel)
	execution, head, reader, err := startExecution(ctx, after, start)
	watcher.stop()
	if err != nil {
		cancel()
		return sendRefusal(c, refusalForError(err))
	}
	body := &responseBody{
		reader: reader, ctx: ctx, cancel: cancel, abandon: execution.Abandon,
		isEventStream: isEventStream(head),
	}
	return sendResponse(c, head, body)
}

// startExecution starts an execution and waits for the headers of its response.
func startExecution(
	ctx context.Context, after uint64, start func(context.Context) (*executor.Execution, error),
) (*executor.Execution, answer.Head, *answer.Reader, error) {
	execution, err := start(ctx)
	if err != nil {
		return nil, answer.Head{}, nil, err
	}
	reader := execution.Answer.Follow(after)
	head, err := reader.Head(ctx)
	if err != nil {
		reader.Close()
		execution.Abandon()
		return nil, answer.Head{}, nil, err
	}
	return execution, head, reader, nil
}

func isEventStream(head answer.Head) bool {
	for _, field := range head.Fields {
		if strings.EqualFold(field.Name, fiber.HeaderContentType) {
			return strings.HasPrefix(field.Value, "text/event-stream")
		}
	}
	return false
}

// sendResponse sets the status, the headers and the body of the response. The
// HTTP library reads the body afterwards.
func sendResponse(c *fiber.Ctx, head answer.Head, body *responseBody) error {
	response := c.Response()
	response.SetStatusCode(head.Status)
	for _, field := range head.Fields {
		if strings.EqualFold(field.Name, fiber.HeaderContentType) {
			response.Header.SetContentType(field.Value)
			continue
		}
		response.Header.Add(field.Name, field.Value)
	}
	if c.Method() == fiber.MethodHead {
		response.SkipBody = true
		return body.Close()
	}
	const unknownLength = -1
	response.SetBodyStream(body, unknownLength)
	response.ImmediateHeaderFlush = true
	return nil
}

// refusalForError converts an error into a refusal. Errors that are not refusals
// occur only if the caller has disconnected, so that nobody receives them.
func refusalForError(err error) *fault.Refusal {
	if refusal, ok := fault.AsRefusal(err); ok {
		return refusal
	}
	return &fault.Refusal{
		Execution: fault.ExecutionUnknown, Step: fault.StepAccept, Status: fiber.StatusServiceUnavailable, Reason: err.Error(),
	}
}
