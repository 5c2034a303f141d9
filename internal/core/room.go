package core

import (
	"time"

	"github.com/firlever/firlever/pkg/settings"
)

// slotEstimates is what one peer last said of its room, less what was sent to it since.
type slotEstimates map[settings.ServiceID]*slotEstimate

// slotEstimate is a peer's free capacity for one service as far as it is known here.
// It may be wrong: the peer's own count decides.
type slotEstimate struct {
	free         int       // never below zero
	backOffUntil time.Time // the peer asked not to be tried before; zero if it did not
}

// initialEstimate is the room that a peer is taken to have before it has said anything.
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

// freeSlotsReceived takes in a peer's own count.
func (n *Node) freeSlotsReceived(now time.Time, ev RoomHeard) {
	for _, r := range ev.Rooms {
		estimate := n.slotsOf(ev.Peer, r.Service)
		estimate.free = max(r.Free-r.Queued, 0)
		estimate.backOffUntil = time.Time{}
	}
	n.serveQueue(now)
}

// slotTaken notes that a request was sent to the peer.
func (n *Node) slotTaken(peer string, service settings.ServiceID) {
	r := n.slotsOf(peer, service)
	r.free = max(r.free-1, 0)
}

// slotReturned notes how a hand-off ended: an answer, or a caller who gave
// up, gives its slot back, a
// refusal means that the peer is full until it says otherwise.
func (n *Node) slotReturned(now time.Time, peer string, service settings.ServiceID, ev Finished) {
	r := n.slotsOf(peer, service)
	if ev.Result == Answered || ev.Gone {
		r.free++
		return
	}
	r.free = 0
	r.backOffUntil = ev.Retry
	if r.backOffUntil.IsZero() {
		r.backOffUntil = now.Add(retryFull)
	}
}

// estimatedFree is the room of a peer now. A peer that asked to be left alone has
// none; after that it is tried again with a little.
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

// choosePeer finds the peer of a place with the most room, or says why none will do.
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

// localPeerFree says whether a peer of this place has room for the service.
func (n *Node) localPeerFree(now time.Time, service settings.ServiceID) bool {
	for _, p := range n.peers.byPlace[n.cfg.Place] {
		if !p.Leaving && n.estimatedFree(now, p.ID, service) > 0 {
			return true
		}
	}
	return false
}

// Rooms is what this instance tells the peers of its place: of each service that
// has targets there.
func (n *Node) Rooms(now time.Time) []Room {
	if n.snapshot == nil {
		return nil
	}
	var rooms []Room
	for _, id := range n.snapshot.Services() {
		if s, ok := n.services[id]; ok && len(s.keys) > 0 {
			free := n.owners.FreeService(now, id)
			if _, why := n.allUnavailableUntil(now, id); why != "" {
				free = 0
			}
			rooms = append(rooms, Room{Service: id, Free: free})
		}
	}
	return rooms
}
