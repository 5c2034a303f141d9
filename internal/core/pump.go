package core

import (
	"time"

	"github.com/firlever/firlever/internal/owner"
	"github.com/firlever/firlever/internal/queue"
	"github.com/firlever/firlever/pkg/settings"
)

// pump gives free slots to waiting requests, each of which has one try.
func (n *Node) pump(now time.Time) {
	missed := 0
	for range n.queue.Len() {
		item, ok := n.queue.Pop(now, func(service settings.ServiceID, way queue.Way) bool {
			return n.canServe(now, service, way)
		})
		if !ok {
			return
		}
		f := n.flights[ID(item.ID)]
		f.stage = stageNew
		if n.endsTargets(now, f) {
			continue // told while it waited
		}
		if !n.tryPlaces(now, f, ReasonQueue) {
			n.requeue(now, f)
			missed++
		}
		if missed == maxMissed {
			return // the rest has its try at the next event
		}
	}
}

// canServe says whether a waiting request of a service could go somewhere now.
func (n *Node) canServe(now time.Time, service settings.ServiceID, way queue.Way) bool {
	return n.canServeOwn(now, service, way) || !way.Bound && (n.roomNear(now, service) || n.couldLeave(now, service))
}

func (n *Node) canServeOwn(now time.Time, service settings.ServiceID, way queue.Way) bool {
	if reserved := n.reserved(now, service, false); reserved > 0 && n.book.FreeService(now, service) <= reserved {
		return false
	}
	if way.Shifted && n.service(now, service).ramp.Room(now) < 1 {
		return false
	}
	_, ok := n.book.Pick(now, service, func(key owner.TargetKey) int { return n.weight(now, key) })
	return ok
}
