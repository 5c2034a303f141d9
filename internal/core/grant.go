package core

import (
	"math"
	"time"

	"github.com/firlever/firlever/internal/grant"
	"github.com/firlever/firlever/pkg/settings"
)

// Ask is what a peer says with a hand-off, or by itself.
type Ask struct {
	Peer    string
	Service settings.ServiceID
	Home    string // the callers' home place
	Want    int    // requests it would like to hand off beyond those it holds grants for
	Release int    // requests of its grants that it has no use for
}

// Offer is the answer to an Ask.
type Offer struct {
	Free  int       // slots of the service that could take a request now
	Grant int       // requests that the peer may hand off beyond its older grants
	Until time.Time // when Grant runs out; valid if Grant is over 0
}

// Offer answers a peer. Requests that it hands off are let in by the owner's
// own count all the same, with a grant or without.
func (n *Node) Offer(now time.Time, a Ask) Offer {
	if n.snapshot == nil {
		return Offer{}
	}
	peer, known := n.peer(a.Peer)
	service, ok := n.snapshot.Service(a.Service)
	if !known || !ok {
		return Offer{}
	}
	use := n.useHere(a.Service, a.Home)
	n.grants.Release(now, a.Peer, use, a.Release)
	if _, ok := service.Site(n.cfg.Place); !ok || n.stopping || n.snapshot.PlaceDrained(a.Service, n.cfg.Place) {
		return Offer{}
	}
	o := Offer{Free: n.healthyFreeSlots(now, a.Service)}
	if peer.Place == n.cfg.Place || peer.Leaving {
		return o
	}
	o.Grant = n.grants.Grant(now, grant.Ask{Peer: a.Peer, Place: peer.Place, Use: use, Want: a.Want}, n.grantCapacity(now, use))
	o.Until = now.Add(n.grants.Life())
	return o
}

// useHere is what a hand-off to this place uses.
func (n *Node) useHere(id settings.ServiceID, home string) grant.Use {
	return grant.Use{Service: id, Shifted: home != "" && home != n.cfg.Place}
}

// grantCapacity is what could be granted if nothing were. Requests that wait here
// come first.
func (n *Node) grantCapacity(now time.Time, use grant.Use) grant.Room {
	waiting := n.queue.Waiting(use.Service)
	return grant.Room{
		Slots:   n.healthyFreeSlots(now, use.Service) + n.soonFreeSlots(now, use.Service) - waiting,
		Shifted: n.state(now, use.Service).ramp.Ahead(now, now.Add(n.grants.Life())) - waiting,
		Spare:   n.owners.Spare(now) + n.soonFreeSlots(now, use.Service) - n.queue.Len(),
		Weight:  n.snapshot.Share,
	}
}

// healthyFreeSlots is how many requests of a service could go to targets now, as far
// as their health lets them.
func (n *Node) healthyFreeSlots(now time.Time, id settings.ServiceID) int {
	free := 0
	for _, key := range n.state(now, id).keys {
		free += max(min(n.owners.Free(now, key), n.weight(now, key)-n.owners.InFlight(key)), 0)
	}
	return min(free, n.owners.Spare(now))
}

// grantLead is how long a granted request may have to wait for a slot when it
// arrives. A grant is on its way for longer than that, so without it slots
// would stand idle until the request comes.
const grantLead = 20 * time.Millisecond

// soonFreeSlots is how many slots usually come free in that time.
func (n *Node) soonFreeSlots(now time.Time, id settings.ServiceID) int {
	if n.cfg.handOff == handOffReserved {
		return 0
	}
	s := n.state(now, id)
	soon := 0.0
	for _, key := range s.keys {
		if latency := s.health.Latency(key); latency > 0 {
			soon += float64(n.owners.Usable(now, key)) * min(1, float64(grantLead)/float64(latency))
		}
	}
	return int(math.Round(soon))
}

// Granted is how many requests of a service this instance has granted to others.
func (n *Node) Granted(now time.Time, id settings.ServiceID) int {
	return n.grants.Outstanding(now, id)
}

// useGrant notes that a peer handed a request off, and says whether it held a grant.
func (n *Node) useGrant(now time.Time, f *inFlight) bool {
	return n.grants.Used(now, f.req.From, n.useHere(f.req.Service, f.home))
}

// grantReceived takes in what a peer offered.
func (n *Node) grantReceived(now time.Time, ev GrantHeard) {
	peer, ok := n.peer(ev.Peer)
	if !ok || peer.Incarnation != ev.Incarnation {
		return
	}
	if peer.Place == n.cfg.Place {
		n.localSlotsReceived(ev)
		return
	}
	a := destination{place: peer.Place, use: grant.Use{Service: ev.Service, Shifted: ev.Home != peer.Place}}
	n.holdings.Heard(ev.Peer, a.use, ev.Grant, ev.Until)
	if ev.ID == 0 && ev.Grant == 0 {
		n.slotsOf(ev.Peer, ev.Service).backOffUntil = now.Add(askBackOff + time.Duration(n.cfg.Rand.Int64N(int64(askBackOff))))
	}
	n.serveQueue(now)
}

// localSlotsReceived takes in the free slots of a peer of this place, after a hand-off.
func (n *Node) localSlotsReceived(ev GrantHeard) {
	if f, ok := n.requests[ev.ID]; ok && f.stage == stagePeer {
		f.slotsReported = true
		r := n.slotsOf(ev.Peer, ev.Service)
		r.free, r.backOffUntil = ev.Free, time.Time{}
	}
}
