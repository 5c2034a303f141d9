package core

import (
	"time"

	"github.com/firlever/firlever/pkg/settings"
)

// rooms is what one peer last said of its room, less what was sent to it since.
type rooms map[settings.ServiceID]*room

// room is a peer's free capacity for one service as far as it is known here.
// It may be wrong: the peer's own count decides.
type room struct {
	free  int       // never below zero
	until time.Time // the peer asked not to be tried before; zero if it did not
}

// unheard is the room that a peer is taken to have before it has said anything.
const unheard = 2

func (n *Node) roomOf(peer string, service settings.ServiceID) *room {
	d, ok := n.rooms[peer]
	if !ok {
		d = make(rooms)
		n.rooms[peer] = d
	}
	r, ok := d[service]
	if !ok {
		r = &room{free: unheard}
		d[service] = r
	}
	return r
}

// roomHeard takes in a peer's own count.
func (n *Node) roomHeard(now time.Time, ev RoomHeard) {
	for _, r := range ev.Rooms {
		known := n.roomOf(ev.Peer, r.Service)
		known.free = max(r.Free-r.Queued, 0)
		known.until = time.Time{}
	}
	n.pump(now)
}

// roomTaken notes that a request was sent to the peer.
func (n *Node) roomTaken(peer string, service settings.ServiceID) {
	r := n.roomOf(peer, service)
	r.free = max(r.free-1, 0)
}

// roomBack notes how a hand-off ended: an answer, or a caller who gave
// up, gives its slot back, a
// refusal means that the peer is full until it says otherwise.
func (n *Node) roomBack(now time.Time, peer string, service settings.ServiceID, ev Finished) {
	r := n.roomOf(peer, service)
	if ev.Result == Answered || ev.Gone {
		r.free++
		return
	}
	r.free = 0
	r.until = ev.Retry
	if r.until.IsZero() {
		r.until = now.Add(retryFull)
	}
}

// roomAt is the room of a peer now. A peer that asked to be left alone has
// none; after that it is tried again with a little.
func (n *Node) roomAt(now time.Time, peer string, service settings.ServiceID) int {
	r := n.roomOf(peer, service)
	if r.until.IsZero() {
		return r.free
	}
	if now.Before(r.until) {
		return 0
	}
	r.free, r.until = unheard, time.Time{}
	return r.free
}

// choosePeer finds the peer of a place with the most room, or says why none will do.
func (n *Node) choosePeer(now time.Time, f *flight, place string) (Peer, Reason) {
	var best Peer
	why, most := ReasonNoTargets, 0
	for _, p := range n.peers.local[place] {
		if p.Leaving || f.hasTried(p.ID) {
			continue
		}
		why = ReasonFull
		if free := n.roomAt(now, p.ID, f.req.Service); free > most {
			best, most = p, free
		}
	}
	if most == 0 {
		return Peer{}, why
	}
	return best, ""
}

// roomNear says whether a peer of this place has room for the service.
func (n *Node) roomNear(now time.Time, service settings.ServiceID) bool {
	for _, p := range n.peers.local[n.cfg.Place] {
		if !p.Leaving && n.roomAt(now, p.ID, service) > 0 {
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
			free := n.book.FreeService(now, id)
			if _, why := n.allBarred(now, id); why != "" {
				free = 0
			}
			rooms = append(rooms, Room{Service: id, Free: free})
		}
	}
	return rooms
}
