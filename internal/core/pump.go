package core

import (
	"time"

	"github.com/firlever/firlever/internal/owner"
	"github.com/firlever/firlever/internal/queue"
	"github.com/firlever/firlever/pkg/settings"
)

// serveQueue gives free slots to queued requests, each of which is tried once.
func (n *Node) serveQueue(now time.Time) {
	missed := 0
	for range n.queue.Len() {
		item, ok := n.queue.Pop(now, func(service settings.ServiceID, way queue.Placement) bool {
			return n.canServe(now, service, way)
		})
		if !ok {
			return
		}
		f := n.requests[ID(item.ID)]
		f.stage = stageNew
		if n.refusePoison(now, f) {
			continue // reported while it was queued
		}
		if !n.tryPlaces(now, f, ReasonQueue) {
			n.enqueue(now, f)
			missed++
		}
		if missed == maxMissed {
			return // the others are tried at the next event
		}
	}
}

// canServe reports whether a queued request of a service could be sent somewhere now.
func (n *Node) canServe(now time.Time, service settings.ServiceID, way queue.Placement) bool {
	return n.canServeOwn(now, service, way) || !way.OwnTargetsOnly && (n.localPeerFree(now, service) || n.canHandOff(now, service))
}

func (n *Node) canServeOwn(now time.Time, service settings.ServiceID, way queue.Placement) bool {
	if reserved := n.reserved(now, service, false); reserved > 0 && n.owners.FreeService(now, service) <= reserved {
		return false
	}
	if way.Shifted && n.state(now, service).ramp.Free(now) < 1 {
		return false
	}
	_, ok := n.owners.Pick(now, service, func(key owner.TargetKey) int { return n.weight(now, key) })
	return ok
}
