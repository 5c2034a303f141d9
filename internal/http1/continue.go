package http1

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"github.com/firlever/firlever/internal/boottime"
)

// continueTimeout is how long an exchange waits for the interim answer 100: several round trips between
// regions.
const continueTimeout = 500 * time.Millisecond

// awaitsContinue reports whether the head of the request is sent alone.
func (e *Exchange) awaitsContinue() bool { return e.AwaitContinue && e.Request.Rest != nil }

// begin sends the request. If the target has answered the head of one that is sent alone, it returns the head
// of that answer and sends no body. With an error, no byte of a body was sent. sent yields the result of the
// write; it is nil if there was none.
func (c *poolConn) begin(ctx context.Context, e *Exchange) (sent <-chan error, early *http.Response, err error) {
	if e.awaitsContinue() {
		early, err = c.awaitContinue(ctx, e)
		if early != nil || err != nil {
			return nil, early, err
		}
	}
	return c.send(e), nil, nil
}

// awaitContinue sends the head of a request and waits until the target asks for the body. It returns the
// head of the final answer if the target has answered instead, nil if the body is to be sent.
func (c *poolConn) awaitContinue(ctx context.Context, e *Exchange) (*http.Response, error) {
	header := e.Header.Clone()
	header.Set("Expect", "100-continue")
	var head bytes.Buffer
	appendRequestHead(&head, e.Request, header)
	if _, err := c.conn.Write(head.Bytes()); err != nil {
		return nil, err
	}
	if err := c.readUntil(ctx, earlier(boottime.Now().Add(continueTimeout), e.Deadline)); err != nil {
		return nil, err
	}
	in, err := readHead(c, &http.Request{Method: e.Request.Method}, func(status int) bool {
		return status == http.StatusContinue || status >= http.StatusOK
	})
	if err != nil {
		return nil, err
	}
	if err := c.readUntil(ctx, e.Deadline); err != nil {
		return nil, err
	}
	if in.StatusCode == http.StatusContinue {
		return nil, nil
	}
	return in, nil
}

// readUntil sets the deadline of reads. It returns the error of ctx if that has ended, as the deadline
// that was set at its end may have been replaced.
func (c *poolConn) readUntil(ctx context.Context, deadline time.Time) error {
	c.conn.SetReadDeadline(boottime.ToRuntime(deadline))
	return ctx.Err()
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
