package edge

import (
	"context"
	"errors"
	"syscall"

	"github.com/firlever/firlever/internal/http1"
)

// attemptFailure is the way in which an attempt got no complete answer.
type attemptFailure string

// Values of attemptFailure. Those of the connection say nothing about the target if other targets
// fail in the same way at the same time.
const (
	connectionRefused attemptFailure = "connection-refused"
	connectTimeout    attemptFailure = "connect-timeout"
	connectionReset   attemptFailure = "connection-reset"
	connectionSilent  attemptFailure = "connection-silent" // sent bytes or probes were not acknowledged
	noAnswerInTime    attemptFailure = "no-answer"
	otherFailure      attemptFailure = "other"
)

// failureOf classifies the error of an attempt; "" if it has none, or its caller left.
func failureOf(ctx context.Context, err error) attemptFailure {
	var unsent *http1.NotSentError
	switch {
	case err == nil, ctx.Err() != nil && !isTimeout(ctx.Err()):
		return ""
	case errors.Is(err, syscall.ECONNREFUSED):
		return connectionRefused
	case errors.As(err, &unsent) && isTimeout(err):
		return connectTimeout
	case errors.Is(err, syscall.ETIMEDOUT):
		return connectionSilent
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return connectionReset
	case isTimeout(err):
		return noAnswerInTime
	}
	return otherFailure
}
