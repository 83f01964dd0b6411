package entry

import (
	"math"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v2"

	"github.com/hibiscuspost/hibiscuspost/internal/fault"
)

// Problem is the body of a refusal, application/problem+json (RFC 9457).
type Problem struct {
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	// Run states whether the request ran: not_run, ran_in_part or unknown.
	Run fault.Run `json:"run"`
	// Step is where the request was given up.
	Step fault.Step `json:"step"`
}

const problemType = "application/problem+json"

// sendRefusal answers with a refusal.
func sendRefusal(c *fiber.Ctx, handle string, refusal *fault.Refusal) error {
	if handle != "" {
		c.Set(HeaderRequest, handle)
	}
	if refusal.RetryAfter > 0 {
		c.Set(fiber.HeaderRetryAfter, strconv.Itoa(int(math.Ceil(refusal.RetryAfter.Seconds()))))
	}
	err := c.Status(refusal.Status).JSON(Problem{
		Title: "request refused", Status: refusal.Status, Detail: refusal.Reason,
		Run: refusal.Run, Step: refusal.Step,
	})
	c.Set(fiber.HeaderContentType, problemType)
	return err
}

// handleError answers errors of the HTTP library, as a body over the limit.
func handleError(c *fiber.Ctx, err error) error {
	status := fiber.StatusInternalServerError
	var known *fiber.Error
	if errors.As(err, &known) {
		status = known.Code
	}
	return sendRefusal(c, "", &fault.Refusal{
		Run: fault.NotRun, Step: fault.StepAccept, Status: status, Reason: err.Error(),
	})
}
