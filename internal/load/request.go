package load

import (
	"context"
	"time"
)

// Request is one request to send.
type Request struct {
	*Stream
	ID       string    // unique in the run
	Due      time.Time // intended start
	Deadline time.Time // Due plus the stream's timeout
}

// Outcome is the outcome of a request.
type Outcome string

// Outcomes of a request.
const (
	Answered Outcome = "answered" // complete answer of a target
	Refused  Outcome = "not-run"  // proved not to have run
	Unknown  Outcome = "unknown"  // may have run
)

// Result is the result of a request.
type Result struct {
	Outcome Outcome
	Reason  string // one word, for Refused and Unknown
	Place   string // place that served it, if known
	Wrong   error  // why a body that was delivered as complete was not the complete answer to the request
}

// Do sends a request, reads the answer and verifies it. Its context ends at the request's
// deadline. It is called concurrently by many goroutines.
type Do func(ctx context.Context, r Request) Result
