package edge

import (
	"time"

	"github.com/firlever/firlever/internal/boottime"
	"github.com/firlever/firlever/internal/metrics"
	"github.com/firlever/firlever/internal/steer"
)

// told lists what targets have told this instance of themselves since a time.
func (n *Node) told(since time.Time) steer.Told {
	n.mu.Lock()
	defer n.mu.Unlock()
	return steer.Told{Loads: n.fleet.Reports(boottime.Now(), since), Constraints: n.fleet.Constraints(since)}
}

// hear takes in what targets have told other instances.
func (n *Node) hear(told steer.Told) {
	now := boottime.Now()
	n.mu.Lock()
	n.fleet.Hear(now, told.Loads)
	heard := n.fleet.HearConstraints(now, told.Constraints)
	n.mu.Unlock()
	for _, h := range heard {
		n.logNotice(now, h, "peer", true)
	}
}

// loadsFailed notes that reports of load were not passed on.
func (n *Node) loadsFailed(err error) {
	n.cfg.Metrics.Decided(metrics.Decision{Kind: "loads", Reason: "failed"})
	if suppressed, ok := n.failures.Allow(boottime.Now()); ok {
		n.cfg.Log.Warn("loads not exchanged", "suppressed", suppressed, "err", err)
	}
}

// freshLoad is the age until which a report of load tells what the target has to do now:
// about the time of one request's work where load matters most.
const freshLoad = time.Second

// knowledge names what a choice rests on, for metrics.
func knowledge(c steer.Choice) string {
	switch {
	case c.Age < 0:
		return "never"
	case c.Age < freshLoad:
		return "fresh"
	}
	return "old"
}
