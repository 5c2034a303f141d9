package callers

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/firlever/firlever/internal/boottime"
	"github.com/firlever/firlever/internal/core"
)

// refusal is the body of an answer that is not from a target.
type refusal struct {
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
	Request string `json:"request"`
	Retry   int64  `json:"retry,omitempty"` // milliseconds from now
}

// refuse gives the final answer of a request that none of the targets answered.
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

// badRequest refuses what can't be understood. It has not run.
func (s *Server) badRequest(w http.ResponseWriter, status int, err error) {
	s.refuseEarly(w, status, core.ReasonBadRequest, err)
}

// refuseEarly refuses what the node never hears of.
func (s *Server) refuseEarly(w http.ResponseWriter, status int, reason core.Reason, err error) {
	h := w.Header()
	h.Set(HeaderOutcome, OutcomeNotRun)
	h.Set(HeaderReason, string(reason))
	s.writeJSON(w, status, refusal{Outcome: OutcomeNotRun, Reason: err.Error()})
}

// writeJSON writes a short answer of ours.
func (s *Server) writeJSON(w http.ResponseWriter, status int, v any) {
	s.setWriteDeadline(w, s.dispatcher.Now().Add(replyTimeout))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(v)
}

// setWriteDeadline bounds how long a caller may take over its answer. Whoever writes an
// answer sets it: a kept connection still has that of the answer before.
func (s *Server) setWriteDeadline(w http.ResponseWriter, at time.Time) {
	http.NewResponseController(w).SetWriteDeadline(boottime.Runtime(at))
}

func (x *exchange) setWriteDeadline(at time.Time) { x.s.setWriteDeadline(x.w, at) }

// setReadDeadline bounds how long a caller may take over a body that is not all here.
func (x *exchange) setReadDeadline(at time.Time) {
	if x.body.remaining != nil {
		http.NewResponseController(x.w).SetReadDeadline(boottime.Runtime(at))
	}
}
