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

// Outcome is how a request ended.
type Outcome string

// The outcomes of a request.
const (
	Answered Outcome = "answered" // the whole answer of a target
	Refused  Outcome = "not-run"  // proved not to have run
	Unknown  Outcome = "unknown"  // may have run
)

// Result tells how a request fared.
type Result struct {
	Outcome Outcome
	Reason  string // one word for Refused and Unknown
	Place   string // that served it, when known
	Wrong   error  // why a body that was passed off as whole was not the whole answer to the request
}

// Do sends a request, reads the answer and verifies it. Its context ends at the
// request's deadline. It is called by many goroutines at once.
type Do func(ctx context.Context, r Request) Result
