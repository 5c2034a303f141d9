package caller

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Outcome is the outcome of a request.
type Outcome string

// Outcomes, as in the header Firlever-Outcome.
const (
	Answered Outcome = "answered" // a target's response was passed on
	NotRun   Outcome = "not-run"  // no target started it
	Unknown  Outcome = "unknown"  // it may have run
)

// OutcomeOf returns the outcome for an error of Do, or of reading a response's
// body. A truncated response counts as Answered, as the request ran.
func OutcomeOf(err error) Outcome {
	var notRun *NotRunError
	var incomplete *IncompleteError
	switch {
	case err == nil, errors.As(err, &incomplete):
		return Answered
	case errors.As(err, &notRun):
		return NotRun
	default:
		return Unknown
	}
}

// Reasons set by the client; instances send others.
const (
	ReasonRequest = "request"     // the request is invalid and can't be sent
	ReasonLookup  = "look-up"     // the lookup of the service failed
	ReasonKey     = "key"         // no idempotency key could be obtained
	ReasonConnect = "connect"     // no connection to an instance
	ReasonTimeout = "timeout"     // the caller's context ended: its deadline passed, or it was cancelled
	ReasonLost    = "lost-answer" // the request was sent and no response was received
	ReasonForeign = "foreign"     // the response belongs to another request or has no valid outcome
)

// reasonOldSettings is sent by an instance that doesn't know the service and whose settings may be
// old. It says nothing about other instances, nor about other services there.
const reasonOldSettings = "old-settings"

// ConfigError lists all faults of an invalid configuration.
type ConfigError struct{ Faults []string }

// Error lists the faults.
func (e *ConfigError) Error() string { return "caller configuration: " + strings.Join(e.Faults, "; ") }

// LookupError reports that a lookup failed. Refused is set if an instance refused
// it or the service's name is malformed; otherwise no instance could be reached or
// gave a valid answer.
type LookupError struct {
	Service string
	Refused bool
	Errs    []error // one for each instance that was tried
}

// Error names the service and the error of each instance.
func (e *LookupError) Error() string {
	return fmt.Sprintf("look up %s: %v", e.Service, errors.Join(e.Errs...))
}

// Unwrap returns the error of each instance.
func (e *LookupError) Unwrap() []error { return e.Errs }

// StatusError reports that an instance answered a lookup with a status other than
// 200.
type StatusError struct {
	Address string
	Status  int
	Reason  string // one word; empty if none was given
}

// Error names the instance and the status.
func (e *StatusError) Error() string { return fmt.Sprintf("%s: status %d", e.Address, e.Status) }

// AnswerError reports that a lookup got no valid answer.
type AnswerError struct {
	Reason string
	Err    error // may be nil
}

// Error gives the reason.
func (e *AnswerError) Error() string { return "lookup answer: " + e.Reason + causeSuffix(e.Err) }

// Unwrap returns the cause.
func (e *AnswerError) Unwrap() error { return e.Err }

// NotRunError reports that a request was not run and may be sent again.
type NotRunError struct {
	Service string
	Request string    // ID of the request
	Reason  string    // one word
	RetryAt time.Time // earliest time for a retry, by the local clock; zero if none was given
	Status  int       // HTTP status of the refusal; 0 if no instance refused it
	Err     error     // may be nil
}

// Error names the service and the reason.
func (e *NotRunError) Error() string {
	return fmt.Sprintf("%s: request %s not run: %s%s", e.Service, e.Request, e.Reason, causeSuffix(e.Err))
}

// Unwrap returns the cause.
func (e *NotRunError) Unwrap() error { return e.Err }

// final reports whether trying another instance is pointless: the request itself
// is invalid or refused, or the refusal names a time for a retry that holds for all.
func (e *NotRunError) final() bool {
	if e.Status == 0 {
		return e.Reason == ReasonRequest
	}
	if e.Reason == reasonOldSettings {
		return false
	}
	return !e.RetryAt.IsZero() || e.Status < http.StatusInternalServerError
}

// UnknownError reports that a request may or may not have run.
type UnknownError struct {
	Service string
	Request string    // ID of the request
	Key     Key       // to send the request again with; empty if it has none
	Reason  string    // one word
	RetryAt time.Time // earliest time for a retry, by the local clock; zero if none was given
	Err     error     // may be nil; never a *NotRunError
}

// Error names the service and the reason.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("%s: request %s may have run: %s%s", e.Service, e.Request, e.Reason, causeSuffix(e.Err))
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Err }

// IncompleteError reports that a response body was truncated.
type IncompleteError struct {
	Request string // ID of the request
	Got     int64  // bytes read
	Want    int64  // bytes announced; -1 if the response has no length
	Err     error  // may be nil
}

// Error gives the number of bytes received and announced.
func (e *IncompleteError) Error() string {
	return fmt.Sprintf("response to request %s truncated after %d of %d bytes%s", e.Request, e.Got, e.Want, causeSuffix(e.Err))
}

// Unwrap returns the cause.
func (e *IncompleteError) Unwrap() error { return e.Err }

func causeSuffix(err error) string {
	if err == nil {
		return ""
	}
	return ": " + err.Error()
}

// PathError reports that a request's path can't be sent.
type PathError struct{ Path string }

// Error names the path.
func (e *PathError) Error() string { return fmt.Sprintf("invalid request path %q", e.Path) }

// ForeignError reports that a response doesn't belong to the request: it names
// another request, or no valid outcome.
type ForeignError struct {
	Request string // named by the response
	Outcome string
}

// Error names the request and the outcome that the response gave.
func (e *ForeignError) Error() string {
	return fmt.Sprintf("response names request %q and outcome %q", e.Request, e.Outcome)
}
