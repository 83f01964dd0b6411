// Package entry serves callers over HTTP: it turns a request into an executor
// call and the recorded answer into a response, part by part as it comes.
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

// Header fields of the contract with callers.
const (
	HeaderAccount = executor.HeaderAccount
	HeaderRequest = executor.HeaderRequest
	HeaderKey     = "Idempotency-Key"
)

// Runner carries calls out; see executor.Executor.
type Runner interface {
	Execute(ctx context.Context, call *executor.Call) (*executor.Execution, error)
	Resume(ctx context.Context, account, handle string, after uint64) (*executor.Execution, error)
	ResumeLocal(account, handle string) (*executor.Execution, error)
}

// Options are what a server works with.
type Options struct {
	Runner Runner
	Limits settings.Limits
	Logger *zap.Logger
	// Secret proves that a request comes from another instance.
	Secret []byte
	// Ready tells why the instance takes no new work, or nil.
	Ready func() error
	// Draining tells that the instance shuts down, so that connections are not
	// kept for further requests.
	Draining func() bool
}

// Server serves callers.
type Server struct {
	Options
	app *fiber.App
	// base ends all responses when it is cancelled.
	base context.Context
	stop context.CancelFunc
}

// New returns a server; Serve starts it.
func New(options Options) *Server {
	s := &Server{Options: options}
	s.base, s.stop = context.WithCancel(context.Background())
	s.app = fiber.New(fiber.Config{
		DisableStartupMessage: true,
		Immutable:             true,
		BodyLimit:             options.Limits.BodyBytes,
		ReadBufferSize:        options.Limits.HeaderBytes,
		Concurrency:           options.Limits.Connections,
		ErrorHandler:          handleError,
	})
	s.app.Get("/healthz", func(c *fiber.Ctx) error { return c.SendString("ok\n") })
	s.app.Get("/readyz", s.ready)
	s.app.Get(executor.PathRequests+":handle", s.resume)
	s.app.All("/*", s.handle)
	return s
}

// Serve serves callers on the listener until Shutdown.
func (s *Server) Serve(listener net.Listener) error { return s.app.Listener(listener) }

// Shutdown stops accepting connections and waits for the open responses; when
// the context ends first it cuts them.
func (s *Server) Shutdown(ctx context.Context) error {
	defer context.AfterFunc(ctx, s.stop)()
	return s.app.ShutdownWithContext(ctx)
}

// Kill cuts all responses at once.
func (s *Server) Kill() {
	s.stop()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = s.app.ShutdownWithContext(ctx)
}

func (s *Server) ready(c *fiber.Ctx) error {
	if err := s.Ready(); err != nil {
		return c.Status(fiber.StatusServiceUnavailable).SendString(err.Error() + "\n")
	}
	return c.SendString("ready\n")
}

// handle takes a new request.
func (s *Server) handle(c *fiber.Ctx) error {
	call, refusal := s.call(c)
	if refusal != nil {
		return sendRefusal(c, refusal)
	}
	return s.respond(c, 0, func(ctx context.Context) (*executor.Execution, error) {
		return s.Runner.Execute(ctx, call)
	})
}

// resume gives the rest of an earlier request's answer.
func (s *Server) resume(c *fiber.Ctx) error {
	account := c.Get(HeaderAccount)
	name, err := url.PathUnescape(c.Params("handle"))
	if err != nil {
		return fiber.ErrBadRequest
	}
	after, err := strconv.ParseUint(c.Get(executor.HeaderLastEvent, "0"), 10, 64)
	if err != nil {
		return fiber.NewError(fiber.StatusBadRequest, "Last-Event-ID must be a number")
	}
	return s.respond(c, after, func(ctx context.Context) (*executor.Execution, error) {
		if c.Get(executor.HeaderLocalOnly) != "" {
			return s.Runner.ResumeLocal(account, name)
		}
		return s.Runner.Resume(ctx, account, name, after)
	})
}

// call copies the request out of the HTTP library's buffers.
func (s *Server) call(c *fiber.Ctx) (*executor.Call, *fault.Refusal) {
	call := &executor.Call{
		Account: c.Get(HeaderAccount), Key: c.Get(HeaderKey),
		Method: c.Method(), Path: c.Path(),
		Query: string(c.Request().URI().QueryString()), Received: time.Now(),
		Body: append([]byte(nil), c.Body()...),
	}
	for name, value := range c.Request().Header.All() {
		call.Header = append(call.Header, dispatch.Field{Name: string(name), Value: string(value)})
	}
	get := func(name string) string { return c.Get(name) }
	if !executor.AcceptForward(s.Secret, call, get) {
		return nil, badRequest(fiber.StatusForbidden, "the forwarding fields carry no valid proof")
	}
	if !executor.IsModelPath(call.Path) {
		return call, nil
	}
	prompt, err := executor.ParsePrompt(call.Body)
	if err != nil {
		return nil, badRequest(fiber.StatusBadRequest, "the body is no model request: "+err.Error())
	}
	call.Prompt = prompt
	return call, nil
}

func badRequest(status int, reason string) *fault.Refusal {
	return &fault.Refusal{Execution: fault.NotRun, Step: fault.StepAccept, Status: status, Reason: reason}
}

// respond starts an execution and answers once its head or refusal is there.
func (s *Server) respond(c *fiber.Ctx, after uint64, start func(context.Context) (*executor.Execution, error)) error {
	if s.Draining() {
		c.Response().SetConnectionClose()
	}
	ctx, cancel := context.WithCancel(s.base)
	watch := watchHangUp(c.Context().Conn(), cancel)
	execution, head, reader, err := begin(ctx, after, start)
	watch.stop()
	if err != nil {
		cancel()
		return sendRefusal(c, toRefusal(err))
	}
	b := &body{
		reader: reader, ctx: ctx, cancel: cancel, abandon: execution.Abandon,
		events: isEventStream(head),
	}
	return send(c, head, b)
}

// begin starts an execution and waits for the head of its answer.
func begin(
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

// send sets the response up; the HTTP library then reads the body.
func send(c *fiber.Ctx, head answer.Head, b *body) error {
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
		return b.Close()
	}
	const unknownLength = -1
	response.SetBodyStream(b, unknownLength)
	response.ImmediateHeaderFlush = true
	return nil
}

// toRefusal turns an error into a refusal. An error that is none arises only
// when the caller has gone, and nobody reads it.
func toRefusal(err error) *fault.Refusal {
	if refusal, ok := fault.AsRefusal(err); ok {
		return refusal
	}
	return &fault.Refusal{
		Execution: fault.ExecutionUnknown, Step: fault.StepAccept, Status: fiber.StatusServiceUnavailable, Reason: err.Error(),
	}
}
