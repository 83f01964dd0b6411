// Package entry serves callers over HTTP: it turns a request into an executor
// call and the answer's parts into a response as they arrive.
package entry

import (
	"context"
	"net"
	"strings"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/google/uuid"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/hibiscuspost/hibiscuspost/internal/dispatch"
	"github.com/hibiscuspost/hibiscuspost/internal/executor"
	"github.com/hibiscuspost/hibiscuspost/internal/fault"
	"github.com/hibiscuspost/hibiscuspost/internal/settings"
)

// Header fields of the contract with callers.
const (
	HeaderAccount = "Hibiscus-Account"
	HeaderRequest = "Hibiscus-Request"
	HeaderKey     = "Idempotency-Key"
)

// Runner carries calls out.
type Runner interface {
	// Execute carries out one call; see executor.Executor.
	Execute(ctx context.Context, call *executor.Call, sink executor.Sink) error
}

// Options are what a server works with.
type Options struct {
	Runner Runner
	Limits settings.Limits
	Logger *zap.Logger
	// NewHandle names a request; nil means random handles.
	NewHandle func(account string) string
	// Ready tells why the instance takes no new work, or nil.
	Ready func() error
}

// Server serves callers.
type Server struct {
	Options
	app *fiber.App
	// base ends all requests when it is cancelled.
	base context.Context
	stop context.CancelFunc
	// running holds the executions.
	running conc.WaitGroup
}

// New returns a server; Serve starts it.
func New(options Options) *Server {
	if options.NewHandle == nil {
		options.NewHandle = func(string) string { return uuid.NewString() }
	}
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
	s.app.All("/*", s.handle)
	return s
}

// Serve serves callers on the listener until Shutdown.
func (s *Server) Serve(listener net.Listener) error { return s.app.Listener(listener) }

// Shutdown stops accepting connections and waits for the running requests,
// until the context ends; then it cancels them.
func (s *Server) Shutdown(ctx context.Context) error {
	err := s.app.ShutdownWithContext(ctx)
	s.stop()
	s.running.Wait()
	return err
}

func (s *Server) ready(c *fiber.Ctx) error {
	if s.Ready != nil {
		if err := s.Ready(); err != nil {
			return c.Status(fiber.StatusServiceUnavailable).SendString(err.Error() + "\n")
		}
	}
	return c.SendString("ready\n")
}

func (s *Server) handle(c *fiber.Ctx) error {
	call, refusal := s.call(c)
	if refusal != nil {
		return sendRefusal(c, "", refusal)
	}
	return s.run(c, call)
}

// call copies the request out of the HTTP library's buffers.
func (s *Server) call(c *fiber.Ctx) (*executor.Call, *fault.Refusal) {
	account := c.Get(HeaderAccount)
	call := &executor.Call{
		Handle: s.NewHandle(account), Account: account, Key: c.Get(HeaderKey),
		Method: c.Method(), Path: c.Path(),
		Query: string(c.Request().URI().QueryString()), Received: time.Now(),
		Body: append([]byte(nil), c.Body()...),
	}
	for name, value := range c.Request().Header.All() {
		call.Header = append(call.Header, dispatch.Field{Name: string(name), Value: string(value)})
	}
	if !executor.IsModelPath(call.Path) {
		return call, nil
	}
	prompt, err := executor.ParsePrompt(call.Body)
	if err != nil {
		return nil, &fault.Refusal{
			Run: fault.NotRun, Step: fault.StepAccept, Status: fiber.StatusBadRequest,
			Reason: "the body is no model request: " + err.Error(),
		}
	}
	call.Prompt = prompt
	return call, nil
}

// run starts the call and answers once its first part or refusal is there.
func (s *Server) run(c *fiber.Ctx, call *executor.Call) error {
	ctx, cancel := context.WithCancel(s.base)
	watch := watchHangUp(c.Context().Conn(), cancel)
	pipe := newPipe(cancel)
	s.running.Go(func() {
		defer cancel()
		pipe.refuse(s.Runner.Execute(ctx, call, pipe))
	})
	err := pipe.wait()
	watch.stop()
	if err != nil {
		return sendRefusal(c, call.Handle, asRefusal(err))
	}
	s.answer(c, call, pipe)
	return nil
}

// answer sets the response up from the pipe.
func (s *Server) answer(c *fiber.Ctx, call *executor.Call, pipe *pipe) {
	response := c.Response()
	response.SetStatusCode(pipe.status)
	length := -1
	for _, field := range pipe.header {
		if strings.EqualFold(field.Name, fiber.HeaderContentType) {
			response.Header.SetContentType(field.Value)
			continue
		}
		response.Header.Add(field.Name, field.Value)
	}
	response.Header.Set(HeaderRequest, call.Handle)
	if call.Method == fiber.MethodHead {
		response.SkipBody = true
		pipe.abandon()
		return
	}
	response.SetBodyStream(pipe, length)
	response.ImmediateHeaderFlush = true
}

func asRefusal(err error) *fault.Refusal {
	if refusal, ok := fault.AsRefusal(err); ok {
		return refusal
	}
	return &fault.Refusal{
		Run: fault.Unknown, Step: fault.StepAccept,
		Status: fiber.StatusInternalServerError, Reason: err.Error(),
	}
}
