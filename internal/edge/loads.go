package edge

import (
	"time"

	"github.com/firlever/firlever/internal/boottime"
	"github.com/firlever/firlever/internal/loads"
	"github.com/firlever/firlever/internal/metrics"
	"github.com/firlever/firlever/internal/placement"
	"github.com/firlever/firlever/internal/steer"
)

// newExchanges creates the exchanges of what the instances of a region learn of the targets.
func (n *Node) newExchanges() {
	n.loads = loads.New(loads.Peers{
		Name: n.cfg.Settings.Instance, LinkMbps: n.cfg.Settings.LinkMbps, Collector: n.collector, Interval: n.loadInterval,
		Reports: n.loadReports, Receive: n.receiveLoadReports, Failed: n.exchangeFailed("loads"),
	})
	n.objects = loads.NewObjects(loads.ObjectPeers{
		Collector: n.collector, Counts: n.objectCounts, Receive: n.receiveObjectLoads, Failed: n.exchangeFailed("objects"),
	})
	n.runs = loads.NewRuns(loads.RunPeers{
		Collector: n.collector, Reports: n.keptReports, Receive: n.receiveKeptReports, Failed: n.exchangeFailed("runs"),
	})
}

// loadInterval returns after which time reports are to be exchanged again.
func (n *Node) loadInterval() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.fleet.ReportInterval(boottime.Now())
}

// loadReports returns the loads and constraints that targets have reported to this instance itself
// since a time.
func (n *Node) loadReports(since time.Time) steer.TargetReports {
	n.mu.Lock()
	defer n.mu.Unlock()
	return steer.TargetReports{Loads: n.fleet.Reports(boottime.Now(), since), Constraints: n.fleet.Constraints(since)}
}

// receiveLoadReports applies what targets have reported to other instances.
func (n *Node) receiveLoadReports(reports steer.TargetReports) {
	now := boottime.Now()
	n.mu.Lock()
	n.fleet.ApplyReports(now, reports.Loads)
	notices := n.fleet.ApplyConstraints(now, reports.Constraints)
	n.mu.Unlock()
	for _, h := range notices {
		n.logNotice(now, h, "peer", true)
	}
}

// objectCounts returns up to most counts of the requests for objects since the last call.
func (n *Node) objectCounts(most int) []placement.ServiceCounts {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.fleet.TakeObjectCounts(most)
}

// receiveObjectLoads applies the work of objects, and updates the plans of their homes.
func (n *Node) receiveObjectLoads(now time.Time, b placement.Batch) {
	n.mu.Lock()
	n.fleet.ApplyObjectLoads(b)
	moved := n.fleet.PlaceObjects(now)
	n.mu.Unlock()
	for _, m := range moved {
		if suppressed, ok := n.changeLimiter.Allow(now); ok {
			n.cfg.Log.Info("homes moved", "service", m.Service, "objects", m.Objects, "displaced", m.Displaced, "moves", m.Moves, "work", m.Work, "highest", m.Highest, "suppressed", suppressed)
		}
	}
}

// exchangeFailed returns a function that counts and logs a failed exchange. Collectors of earlier versions
// don't know the exchanges of objects and of runs.
func (n *Node) exchangeFailed(what string) func(err error) {
	return func(err error) {
		n.cfg.Metrics.CountDecision(metrics.Decision{Kind: what, Reason: "failed"})
		if suppressed, ok := n.failureLimiter.Allow(boottime.Now()); ok {
			n.cfg.Log.Warn("loads not exchanged", "what", what, "suppressed", suppressed, "err", err)
		}
	}
}

// freshLoadAge is the age up to which a load report describes the target's current work: about
// the duration of one request where load matters most.
const freshLoadAge = time.Second

// loadFreshness classifies the age of the load report behind a choice, for metrics.
func loadFreshness(c steer.Choice) string {
	switch {
	case c.LoadAge < 0:
		return "never"
	case c.LoadAge < freshLoadAge:
		return "fresh"
	}
	return "old"
}
