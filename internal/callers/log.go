package callers

import "github.com/firlever/firlever/internal/core"

// logDecision writes one line for a routing decision.
func (s *Server) logDecision(req core.Request, d core.Decision) {
	if s.cfg.Log == nil {
		return
	}
	l := s.cfg.Log.With("request", req.Name, "service", req.Service)
	switch d := d.(type) {
	case core.Serve:
		l.Info("serve", "target", d.Target.Name, "attempt", d.Attempt, "reason", d.Reason,
			"home", d.Home, "shifted", d.Shifted, "passed", d.Passed)
	case core.Hand:
		l.Info("hand", "instance", d.Peer.ID, "place", d.Peer.Place, "attempt", d.Attempt,
			"reason", d.Reason, "passed", d.Passed)
	case core.Forward:
		l.Info("forward", "instance", d.Peer.ID, "reason", d.Reason)
	case core.Hold:
		l.Info("hold", "until", d.Until, "passed", d.Passed)
	case core.Repeat:
		l.Info("repeat", "status", d.Answer.Status)
	case core.Refuse:
		l.Info("refuse", "reason", d.Reason, "unknown", d.Unknown, "retry", d.RetryAt, "passed", d.Passed)
	}
}
