package core

import (
	"time"

	"github.com/firlever/firlever/pkg/settings"
)

// slotEstimates holds one peer's last reported free slots, less the requests sent to it
// since.
type slotEstimates map[settings.ServiceID]*slotEstimate

// slotEstimate is a peer's estimated free capacity for one service. It may be wrong: the
// peer's own accounting decides.
type slotEstimate struct {
	free         int       // never negative
	backOffUntil time.Time // end of the back-off that the peer asked for; zero if none
}

// initialEstimate is the number of free slots assumed for a peer before its first report.
const initialEstimate = 2

func (n *Node) slotsOf(peer string, service settings.ServiceID) *slotEstimate {
	d, ok := n.peerSlots[peer]
	if !ok {
		d = make(slotEstimates)
		n.peerSlots[peer] = d
	}
	r, ok := d[service]
	if !ok {
		r = &slotEstimate{free: initialEstimate}
		d[service] = r
	}
	return r
}

// freeSlotsReceived stores a peer's own counts.
func (n *Node) freeSlotsReceived(now time.Time, ev FreeSlotsReceived) {
	for _, r := range ev.Services {
		estimate := n.slotsOf(ev.Peer, r.Service)
		estimate.free = max(r.Free-r.Queued, 0)
		estimate.backOffUntil = time.Time{}
	}
	n.serveQueue(now)
}

// slotTaken records that a request was sent to the peer.
func (n *Node) slotTaken(peer string, service settings.ServiceID) {
	r := n.slotsOf(peer, service)
	r.free = max(r.free-1, 0)
}

// slotReturned records how a hand-off ended. An answer, or a cancellation by the caller,
// returns the slot. After a refusal or failure the peer counts as full until its next
// report or the end of the back-off.
func (n *Node) slotReturned(now time.Time, peer string, service settings.ServiceID, ev Finished) {
	r := n.slotsOf(peer, service)
	if ev.Result == Answered || ev.CallerGone {
		r.free++
		return
	}
	r.free = 0
	r.backOffUntil = ev.RetryAt
	if r.backOffUntil.IsZero() {
		r.backOffUntil = now.Add(retryFull)
	}
}

// estimatedFree returns the estimated number of free slots of a peer. It is 0 during the
// back-off, and initialEstimate after it.
func (n *Node) estimatedFree(now time.Time, peer string, service settings.ServiceID) int {
	r := n.slotsOf(peer, service)
	if r.backOffUntil.IsZero() {
		return r.free
	}
	if now.Before(r.backOffUntil) {
		return 0
	}
	r.free, r.backOffUntil = initialEstimate, time.Time{}
	return r.free
}

// choosePeer returns the peer of a place with the most free slots, or the reason why none
// is suitable.
func (n *Node) choosePeer(now time.Time, f *inFlight, place string) (Peer, Reason) {
	var best Peer
	why, most := ReasonNoTargets, 0
	for _, p := range n.peers.byPlace[place] {
		if p.Leaving || f.hasTried(p.ID) {
			continue
		}
		why = ReasonFull
		if free := n.estimatedFree(now, p.ID, f.req.Service); free > most {
			best, most = p, free
		}
	}
	if most == 0 {
		return Peer{}, why
	}
	return best, ""
}

// localPeerFree reports whether a peer of this place has free slots for the service.
func (n *Node) localPeerFree(now time.Time, service settings.ServiceID) bool {
	for _, p := range n.peers.byPlace[n.cfg.Place] {
		if !p.Leaving && n.estimatedFree(now, p.ID, service) > 0 {
			return true
		}
	}
	return false
}

// FreeSlots returns the free capacity that this instance reports to the peers of its place,
// for each service that has targets there.
func (n *Node) FreeSlots(now time.Time) []FreeSlots {
	if n.snapshot == nil {
		return nil
	}
	var rooms []FreeSlots
	for _, id := range n.snapshot.Services() {
		if s, ok := n.services[id]; ok && len(s.keys) > 0 {
			free := n.owners.FreeService(now, id)
			if _, why := n.allUnavailableUntil(now, id); why != "" || n.partitioned() {
				free = 0
			}
			rooms = append(rooms, FreeSlots{Service: id, Free: free})
		}
	}
	return rooms
}
