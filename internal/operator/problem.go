package operator

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/firlever/firlever/internal/docstore"
	"github.com/firlever/firlever/pkg/settings"
)

// Code classifies a Problem.
type Code string

// Codes of problems, each with its HTTP status.
const (
	CodeInvalid      Code = "invalid"       // 400
	CodeUnauthorized Code = "unauthorized"  // 401: no token, or an unknown one
	CodeForbidden    Code = "forbidden"     // 403: a token of another team, or without the role
	CodeNotFound     Code = "not-found"     // 404; Version is set for a deleted document
	CodeMethod       Code = "method"        // 405
	CodeConflict     Code = "conflict"      // 409, with the current Version and Body
	CodeTooLarge     Code = "too-large"     // 413
	CodeFaults       Code = "faults"        // 422, with all Faults
	CodePrecondition Code = "precondition"  // 428: If-Match is missing
	CodeInternal     Code = "internal"      // 500
	CodeUnavailable  Code = "unavailable"   // 503: the platform is unreachable, or not all settings have arrived
	CodeBusy         Code = "busy"          // 503: too many concurrent requests, or the platform's rate limit
	CodeFormat       Code = "not-documents" // 502: the stored entry is not a document
)

var statuses = map[Code]int{
	CodeInvalid:      http.StatusBadRequest,
	CodeUnauthorized: http.StatusUnauthorized,
	CodeForbidden:    http.StatusForbidden,
	CodeNotFound:     http.StatusNotFound,
	CodeMethod:       http.StatusMethodNotAllowed,
	CodeConflict:     http.StatusConflict,
	CodeTooLarge:     http.StatusRequestEntityTooLarge,
	CodeFaults:       http.StatusUnprocessableEntity,
	CodePrecondition: http.StatusPreconditionRequired,
	CodeInternal:     http.StatusInternalServerError,
	CodeUnavailable:  http.StatusServiceUnavailable,
	CodeBusy:         http.StatusServiceUnavailable,
	CodeFormat:       http.StatusBadGateway,
}

// retryAfterSeconds is the Retry-After value for CodeBusy and CodeUnavailable.
const retryAfterSeconds = 1

// Problem is the body of every response that is not a success, and the error that a
// Client returns for it.
type Problem struct {
	Code    Code    `json:"code"`
	Reason  string  `json:"reason"`
	Outcome string  `json:"outcome,omitempty"` // of a change: refused or unknown
	WriteID string  `json:"write,omitempty"`
	Path    string  `json:"path,omitempty"`
	Version uint64  `json:"version,omitempty"` // current version
	Deleted bool    `json:"deleted,omitempty"`
	Body    string  `json:"body,omitempty"`
	Faults  []Fault `json:"faults,omitempty"`
}

// Fault is one error in a document.
type Fault struct {
	Path   string `json:"path"`
	Field  string `json:"field,omitempty"`
	Line   int    `json:"line,omitempty"`
	Reason string `json:"reason"`
}

func (p *Problem) Error() string {
	if p.Faults == nil {
		return fmt.Sprintf("operator: %s: %s", p.Code, p.Reason)
	}
	lines := make([]string, 0, len(p.Faults))
	for _, f := range p.Faults {
		lines = append(lines, settings.Fault(f).String())
	}
	return fmt.Sprintf("operator: %s: %s", p.Code, strings.Join(lines, "; "))
}

// newProblem converts an error of the platform or the settings to a Problem.
func newProblem(err error) *Problem {
	var (
		problem     *Problem
		faults      *settings.FaultsError
		conflict    *docstore.ConflictError
		notFound    *docstore.NotFoundError
		tooLarge    *docstore.TooLargeError
		format      *docstore.FormatError
		busy        *docstore.BusyError
		unavailable *docstore.UnavailableError
		role        *settings.RoleError
	)
	code := CodeInternal
	switch {
	case errors.As(err, &problem):
		return problem
	case errors.As(err, &faults):
		return &Problem{Code: CodeFaults, Reason: fmt.Sprintf("%d faults", len(faults.Faults)), Faults: convertFaults(faults)}
	case errors.As(err, &conflict):
		return conflictProblem(conflict)
	case errors.As(err, &notFound):
		code = CodeNotFound
	case errors.As(err, &tooLarge):
		code = CodeTooLarge
	case errors.As(err, &format):
		code = CodeFormat
	case errors.As(err, &busy):
		code = CodeBusy
	case errors.As(err, &unavailable):
		code = CodeUnavailable
	case errors.As(err, &role):
		code = CodeForbidden
	}
	return &Problem{Code: code, Reason: err.Error()}
}

func convertFaults(err *settings.FaultsError) []Fault {
	list := make([]Fault, 0, len(err.Faults))
	for _, f := range err.Faults {
		list = append(list, Fault(f))
	}
	return list
}

func conflictProblem(err *docstore.ConflictError) *Problem {
	p := &Problem{Code: CodeConflict, Reason: err.Error(), Path: err.Path, Version: err.Current.Version}
	doc, decodeErr := docstore.DecodeDocument(err.Current)
	if decodeErr != nil {
		p.Reason += "; " + decodeErr.Error()
		return p
	}
	p.Deleted = doc.Deleted
	p.Body = string(doc.Body)
	return p
}

func (p *Problem) send(w http.ResponseWriter) {
	if p.Code == CodeBusy || p.Code == CodeUnavailable {
		w.Header().Set("Retry-After", strconv.Itoa(retryAfterSeconds))
	}
	if p.Code == CodeUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	if p.Version > 0 {
		w.Header().Set("ETag", FormatVersion(p.Version))
	}
	sendJSON(w, statuses[p.Code], p)
}

func sendJSON(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)+1))
	w.WriteHeader(status)
	_, _ = w.Write(append(body, '\n')) // the client detects a truncated body
}
