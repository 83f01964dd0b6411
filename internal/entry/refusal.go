package entry

import (
	"math"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v2"

	"github.com/hibiscuspost/hibiscuspost/internal/executor"
	"github.com/hibiscuspost/hibiscuspost/internal/fault"
)

// contentTypeProblem is the media type of a refusal's body (RFC 9457).
const contentTypeProblem = "application/problem+json"

// sendRefusal sends a refusal as the response.
func sendRefusal(c *fiber.Ctx, refusal *fault.Refusal) error {
	if refusal.RetryAfter > 0 {
		c.Set(fiber.HeaderRetryAfter, strconv.Itoa(int(math.Ceil(refusal.RetryAfter.Seconds()))))
	}
	if refusal.Peer != "" {
		c.Set(executor.HeaderKeyOwner, refusal.Peer)
	}
	c.Set(executor.HeaderRefusal, string(refusal.Execution))
	err := c.Status(refusal.Status).JSON(executor.NewProblemDetails(refusal))
	c.Set(fiber.HeaderContentType, contentTypeProblem)
	return err
}

// handleError converts errors of the HTTP library, such as a body over the limit,
// into refusals.
func handleError(c *fiber.Ctx, err error) error {
	status := fiber.StatusInternalServerError
	var fiberErr *fiber.Error
	if errors.As(err, &fiberErr) {
		status = fiberErr.Code
	}
	return sendRefusal(c, notRunRefusal(status, err.Error()))
}
