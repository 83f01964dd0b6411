package entry

import (
	"math"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v2"

	"github.com/hibiscuspost/hibiscuspost/internal/executor"
	"github.com/hibiscuspost/hibiscuspost/internal/fault"
)

// contentTypeProblem marks a refusal's body (RFC 9457).
const contentTypeProblem = "application/problem+json"

// sendRefusal answers with a refusal.
func sendRefusal(c *fiber.Ctx, refusal *fault.Refusal) error {
	if refusal.RetryAfter > 0 {
		c.Set(fiber.HeaderRetryAfter, strconv.Itoa(int(math.Ceil(refusal.RetryAfter.Seconds()))))
	}
	if refusal.Peer != "" {
		c.Set(executor.HeaderKeyOwner, refusal.Peer)
	}
	c.Set(executor.HeaderRefusal, string(refusal.Execution))
	err := c.Status(refusal.Status).JSON(executor.WireRefusal(refusal))
	c.Set(fiber.HeaderContentType, contentTypeProblem)
	return err
}

// handleError answers errors of the HTTP library, as a body over the limit.
func handleError(c *fiber.Ctx, err error) error {
	status := fiber.StatusInternalServerError
	var known *fiber.Error
	if errors.As(err, &known) {
		status = known.Code
	}
	return sendRefusal(c, badRequest(status, err.Error()))
}
