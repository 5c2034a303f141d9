package edge

import (
	"github.com/firlever/firlever/internal/metrics"
	"github.com/firlever/firlever/internal/steer"
)

// logRoom logs and counts that a service has become short of room here, or has room again. n.mu is
// held.
func (n *Node) logRoom(service string, a steer.Admission) {
	if !a.Decided || a.Short == n.shortServices[service] {
		return
	}
	msg, reason := "service has room again", "ended"
	delete(n.shortServices, service)
	if a.Short {
		msg, reason = "service short of room", "began"
		n.shortServices[service] = true
	}
	n.cfg.Metrics.CountDecision(metrics.Decision{Kind: "short-of-room", Service: service, Reason: reason})
	n.cfg.Log.Info(msg, "service", service, "load", a.Load, "admitted", n.fleet.AdmittedShares(service))
}
