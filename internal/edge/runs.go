package edge

import (
	"time"

	"github.com/firlever/firlever/internal/steer"
)

// keptReports returns what this instance has seen of what targets keep.
func (n *Node) keptReports(now time.Time, runs, services int, collecting bool) []steer.KeptReport {
	n.mu.Lock()
	defer n.mu.Unlock()
	reports := n.fleet.KeptReports(now, runs, services, collecting)
	n.logKept(now)
	return reports
}

// receiveKeptReports applies what a peer has seen of what targets keep.
func (n *Node) receiveKeptReports(now time.Time, reports []steer.KeptReport) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.fleet.ApplyKeptReports(now, reports)
	n.logKept(now)
}

// logKept logs how many objects targets keep, if that has changed. n.mu is held.
func (n *Node) logKept(now time.Time) {
	for _, name := range n.fleet.LearningServices() {
		e := n.fleet.Kept(name)
		if e.Keeps == n.keptLogged[name] {
			continue
		}
		n.keptLogged[name] = e.Keeps
		if suppressed, ok := n.changeLimiter.Allow(now); ok {
			needed, room := n.fleet.KeptNeeded(name)
			n.cfg.Log.Info("kept objects", "service", name, "objects", e.Keeps, "needed", needed, "room", room, "cold-factor", e.ColdFactor, "lifetime", e.Lifetime, "confidence", e.Confidence, "suppressed", suppressed)
		}
	}
}
