package callers

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/firlever/firlever/internal/boottime"
	"github.com/firlever/firlever/internal/core"
)

// refusal is the body of an answer that doesn't come from a target.
type refusal struct {
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
	Request string `json:"request"`
	Retry   int64  `json:"retry,omitempty"` // milliseconds from now
}

// refuse writes the final answer of a request that no target answered.
func (x *exchange) refuse(d core.Refuse) {
	outcome := OutcomeNotRun
	if d.Unknown {
		outcome = OutcomeUnknown
	}
	now := x.s.dispatcher.Now()
	x.setAnswerHeaders(outcome, d.Reason)
	setRetry(x.w.Header(), now, d.RetryAt)
	body := refusal{Outcome: outcome, Reason: string(d.Reason), Request: x.req.Name}
	if !d.RetryAt.IsZero() {
		body.Retry = max(d.RetryAt.Sub(now).Milliseconds(), 0) + 1
	}
	x.s.writeJSON(x.w, statusOf(d), body)
}

// statusOf maps a refusal to the status that HTTP clients expect.
func statusOf(d core.Refuse) int {
	switch d.Reason {
	case core.ReasonNoKey, core.ReasonBadKey:
		return http.StatusBadRequest
	case core.ReasonNoService:
		return http.StatusNotFound
	case core.ReasonKeyRunning:
		return http.StatusConflict
	case core.ReasonKeyExpired:
		return http.StatusGone
	}
	if d.Unknown {
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}

// badRequest refuses an invalid request, which has not run.
func (s *Server) badRequest(w http.ResponseWriter, status int, err error) {
	s.refuseEarly(w, status, core.ReasonBadRequest, err)
}

// refuseEarly refuses a request that is never passed to the node.
func (s *Server) refuseEarly(w http.ResponseWriter, status int, reason core.Reason, err error) {
	h := w.Header()
	h.Set(HeaderOutcome, OutcomeNotRun)
	h.Set(HeaderReason, string(reason))
	s.writeJSON(w, status, refusal{Outcome: OutcomeNotRun, Reason: err.Error()})
}

// writeJSON writes a short answer of this instance.
func (s *Server) writeJSON(w http.ResponseWriter, status int, v any) {
	s.setWriteDeadline(w, s.dispatcher.Now().Add(replyTimeout))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(v)
}

// setWriteDeadline limits how long a caller may take to receive its answer. Every writer of an
// answer must call it, because a reused connection still has the deadline of the previous answer.
func (s *Server) setWriteDeadline(w http.ResponseWriter, at time.Time) {
	http.NewResponseController(w).SetWriteDeadline(boottime.ToRuntime(at))
}

func (x *exchange) setWriteDeadline(at time.Time) { x.s.setWriteDeadline(x.w, at) }

// setReadDeadline limits how long a caller may take to send a body that hasn't arrived completely.
func (x *exchange) setReadDeadline(at time.Time) {
	if x.body.remaining != nil {
		http.NewResponseController(x.w).SetReadDeadline(boottime.ToRuntime(at))
	}
}
