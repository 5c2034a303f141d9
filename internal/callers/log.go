package callers

import (
	"github.com/firlever/firlever/internal/core"
	"github.com/firlever/firlever/internal/metrics"
)

// Kinds of decisions, in logs and metrics.
const (
	kindServe   = "serve"
	kindHand    = "hand"
	kindForward = "forward"
	kindHold    = "hold"
	kindRepeat  = "repeat"
	kindRefuse  = "refuse"
	kindUnknown = "unknown"
	kindAsk     = "ask-grant"
)

// recordDecision counts a decision and logs it.
func (s *Server) recordDecision(req core.Request, d core.Decision) {
	kind, reason := kindAndReason(d)
	s.cfg.Metrics.CountDecision(metrics.Decision{Kind: kind, Service: req.Service.String(), Reason: string(reason)})
	if s.cfg.Log == nil {
		return
	}
	fields := []any{"request", req.Name, "service", req.Service, "reason", reason}
	s.cfg.Log.Info(kind, append(fields, detailFields(d)...)...)
}

// recordAsk counts a call that asked for grants and logs it.
func (s *Server) recordAsk(d core.AskGrant, err error) {
	reason := core.ReasonNoGrant
	if d.Release > 0 {
		reason = core.ReasonReleased
	}
	s.cfg.Metrics.CountDecision(metrics.Decision{Kind: kindAsk, Service: d.Service.String(), Reason: string(reason)})
	if s.cfg.Log == nil {
		return
	}
	s.cfg.Log.Info(kindAsk, "service", d.Service, "reason", reason, "instance", d.Peer.ID, "place", d.Peer.Place,
		"want", d.Want, "release", d.Release, "err", err)
}

// kindAndReason returns a decision's kind and reason.
func kindAndReason(d core.Decision) (string, core.Reason) {
	switch d := d.(type) {
	case core.Serve:
		return kindServe, d.Reason
	case core.HandOff:
		return kindHand, d.Reason
	case core.Forward:
		return kindForward, d.Reason
	case core.Hold:
		return kindHold, core.ReasonFull
	case core.Replay:
		return kindRepeat, core.ReasonReplay
	case core.Refuse:
		if d.Unknown {
			return kindUnknown, d.Reason
		}
		return kindRefuse, d.Reason
	}
	return "", ""
}

// detailFields returns the log fields that are specific to a decision's kind. They include the
// alternatives that were passed over.
func detailFields(d core.Decision) []any {
	switch d := d.(type) {
	case core.Serve:
		return []any{"target", d.Target.Name, "attempt", d.Attempt, "home", d.Home, "shifted", d.Shifted, "passed", d.Passed}
	case core.HandOff:
		return []any{
			"instance", d.Peer.ID, "place", d.Peer.Place, "attempt", d.Attempt, "home", d.Home,
			"granted", d.Granted, "want", d.Want, "passed", d.Passed,
		}
	case core.Forward:
		return []any{"instance", d.Peer.ID}
	case core.Hold:
		return []any{"until", d.Until, "passed", d.Passed}
	case core.Replay:
		return []any{"status", d.Answer.Status}
	case core.Refuse:
		return []any{"retry", d.RetryAt, "passed", d.Passed}
	}
	return nil
}
