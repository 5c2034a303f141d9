package caller

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Outcome says what became of a request.
type Outcome string

// Outcomes, as the header Firlever-Outcome spells them.
const (
	Answered Outcome = "answered" // a target's answer was passed on
	NotRun   Outcome = "not-run"  // no target began it
	Unknown  Outcome = "unknown"  // it may have run
)

// OutcomeOf returns the outcome that the error of Do, or of reading a
// response's body, stands for. An answer cut short was answered: it ran.
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

// Reasons that the client itself gives; an instance may give others.
const (
	ReasonRequest = "request"     // the request can't be sent as it is
	ReasonLookup  = "look-up"     // no instance is known for the service
	ReasonKey     = "key"         // no idempotency key could be had
	ReasonConnect = "connect"     // no connection to an instance
	ReasonTimeout = "timeout"     // the caller's deadline passed, or it gave up
	ReasonLost    = "lost-answer" // the request was sent and no answer came back
	ReasonForeign = "foreign"     // the answer isn't one to this request
)

// ConfigError refuses a configuration with all of its faults.
type ConfigError struct{ Faults []string }

// Error names each fault.
func (e *ConfigError) Error() string { return "caller configuration: " + strings.Join(e.Faults, "; ") }

// LookupError says that a look-up got no answer. Refused holds when an instance
// refused it; otherwise none could be reached or answered as it should.
type LookupError struct {
	Service string
	Refused bool
	Errs    []error // what each instance that was asked did
}

// Error names the service and what each instance did.
func (e *LookupError) Error() string {
	return fmt.Sprintf("look up %s: %v", e.Service, errors.Join(e.Errs...))
}

// Unwrap returns what each instance did.
func (e *LookupError) Unwrap() []error { return e.Errs }

// StatusError is an instance's refusal of a look-up.
type StatusError struct {
	Address string
	Status  int
}

// Error names the instance and the status.
func (e *StatusError) Error() string { return fmt.Sprintf("%s: status %d", e.Address, e.Status) }

// AnswerError says that the answer to a look-up is malformed.
type AnswerError struct {
	Reason string
	Err    error // may be nil
}

// Error gives the reason.
func (e *AnswerError) Error() string { return "look-up answer: " + e.Reason + causeSuffix(e.Err) }

// Unwrap returns the error of the decoder.
func (e *AnswerError) Unwrap() error { return e.Err }

// NotRunError says that a request was not run and may be sent again.
type NotRunError struct {
	Service string
	Request string    // id of the request
	Reason  string    // one word
	RetryAt time.Time // when to come back, by this machine's clock; zero when nobody said
	Status  int       // of the instance that refused; 0 when none did
	Err     error     // may be nil
}

// Error names the service and the reason.
func (e *NotRunError) Error() string {
	return fmt.Sprintf("%s: request %s not run: %s%s", e.Service, e.Request, e.Reason, causeSuffix(e.Err))
}

// Unwrap returns the cause.
func (e *NotRunError) Unwrap() error { return e.Err }

// final says that another instance would do no better: the request itself is at
// fault, or there is a time to come back.
func (e *NotRunError) final() bool {
	if e.Status == 0 {
		return e.Reason == ReasonRequest
	}
	return !e.RetryAt.IsZero() || e.Status < http.StatusInternalServerError
}

// UnknownError says that a request may have run, or may not have.
type UnknownError struct {
	Service string
	Request string    // id of the request
	Key     Key       // to send the request again with; empty when it is idempotent
	Reason  string    // one word
	RetryAt time.Time // when to come back, by this machine's clock; zero when nobody said
	Err     error     // may be nil; never a *NotRunError
}

// Error names the service and the reason.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("%s: request %s may have run: %s%s", e.Service, e.Request, e.Reason, causeSuffix(e.Err))
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Err }

// IncompleteError says that an answer's body ended before its end.
type IncompleteError struct {
	Request string // id of the request
	Got     int64  // bytes read
	Want    int64  // bytes announced; -1 when the answer didn't say
	Err     error  // may be nil
}

// Error says how much of the body came.
func (e *IncompleteError) Error() string {
	return fmt.Sprintf("answer to request %s cut short after %d bytes of %d%s", e.Request, e.Got, e.Want, causeSuffix(e.Err))
}

// Unwrap returns the cause.
func (e *IncompleteError) Unwrap() error { return e.Err }

func causeSuffix(err error) string {
	if err == nil {
		return ""
	}
	return ": " + err.Error()
}

// PathError says that a request's path can't be sent.
type PathError struct{ Path string }

// Error names the path.
func (e *PathError) Error() string { return fmt.Sprintf("path %q isn't one below a service", e.Path) }

// ForeignError says that an answer isn't one to the request: it names another
// request, or no outcome.
type ForeignError struct {
	Request string // that the answer names
	Outcome string
}

// Error names what the answer says of itself.
func (e *ForeignError) Error() string {
	return fmt.Sprintf("answer to request %q with outcome %q", e.Request, e.Outcome)
}
