package core

import (
	"math"
	"time"

	"github.com/firlever/firlever/internal/grant"
	"github.com/firlever/firlever/pkg/settings"
)

// Ask is a peer's request for grants, sent with a hand-off or alone.
type Ask struct {
	Peer    string
	Service settings.ServiceID
	Home    string // the callers' home place
	Want    int    // further requests that it would like to hand off, beyond its grants
	Release int    // grants that it returns unused
}

// Offer is the answer to an Ask.
type Offer struct {
	Free  int       // slots of the service that could take a request now
	Grant int       // requests that the peer may hand off, beyond its earlier grants
	Until time.Time // expiry of Grant; valid if Grant is above 0
}

// Offer answers a peer's request for grants. The owner's own accounting still decides on
// each hand-off, with or without a grant.
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
	if _, ok := service.Site(n.cfg.Place); !ok || n.stopping || n.partitioned() || n.snapshot.PlaceDrained(a.Service, n.cfg.Place) {
		return Offer{}
	}
	o := Offer{Free: n.healthyFreeSlots(now, a.Service)}
	if peer.Place == n.cfg.Place || peer.Leaving {
		return o
	}
	o.Grant = n.grants.Grant(now, grant.Ask{Peer: a.Peer, Place: peer.Place, Use: use, Want: a.Want}, n.grantCapacity(now, use))
	o.Until = now.Add(n.grants.Lifetime())
	return o
}

// useHere returns what a hand-off to this place uses.
func (n *Node) useHere(id settings.ServiceID, home string) grant.Use {
	return grant.Use{Service: id, Shifted: home != "" && home != n.cfg.Place}
}

// grantCapacity returns what could be granted if no grants were outstanding. Requests
// queued here have priority.
func (n *Node) grantCapacity(now time.Time, use grant.Use) grant.Capacity {
	waiting := n.queue.Waiting(use.Service)
	return grant.Capacity{
		Slots:      n.healthyFreeSlots(now, use.Service) + n.soonFreeSlots(now, use.Service) - waiting,
		Shifted:    n.state(now, use.Service).ramp.AdmittableUntil(now, now.Add(n.grants.Lifetime())) - waiting,
		PlaceSlots: n.owners.FreeQuota(now) + n.soonFreeSlots(now, use.Service) - n.queue.Len(),
		Weight:     n.snapshot.Share,
	}
}

// healthyFreeSlots returns how many requests of a service could go to targets now, within
// the targets' health.
func (n *Node) healthyFreeSlots(now time.Time, id settings.ServiceID) int {
	if n.partitioned() {
		return 0
	}
	free := 0
	for _, key := range n.state(now, id).keys {
		free += max(min(n.owners.Free(now, key), n.weight(now, key)-n.owners.InFlight(key)), 0)
	}
	return min(free, n.owners.FreeQuota(now))
}

// grantLead is how long a granted request may have to wait for a slot when it arrives. A
// grant takes longer than that to be used, so without it slots would be idle until the
// request arrives.
const grantLead = 20 * time.Millisecond

// soonFreeSlots returns how many slots become free within grantLead, on average.
func (n *Node) soonFreeSlots(now time.Time, id settings.ServiceID) int {
	if n.cfg.handOff == handOffReserved {
		return 0
	}
	s := n.state(now, id)
	soon := 0.0
	for _, key := range s.keys {
		if latency := s.health.Latency(key); latency > 0 {
			soon += float64(n.owners.UsableSlots(now, key)) * min(1, float64(grantLead)/float64(latency))
		}
	}
	return int(math.Round(soon))
}

// Granted returns how many requests of a service this instance has granted to others.
func (n *Node) Granted(now time.Time, id settings.ServiceID) int {
	return n.grants.Outstanding(now, id)
}

// useGrant records that a peer handed a request off, and reports whether the peer held a
// grant for it.
func (n *Node) useGrant(now time.Time, f *inFlight) bool {
	return n.grants.Used(now, f.req.From, n.useHere(f.req.Service, f.home))
}

// grantReceived processes a peer's offer.
func (n *Node) grantReceived(now time.Time, ev GrantReceived) {
	peer, ok := n.peer(ev.Peer)
	if !ok || peer.Incarnation != ev.Incarnation {
		return
	}
	if peer.Place == n.cfg.Place {
		n.localSlotsReceived(ev)
		return
	}
	a := destination{place: peer.Place, use: grant.Use{Service: ev.Service, Shifted: ev.Home != peer.Place}}
	n.holdings.Add(ev.Peer, a.use, ev.Grant, ev.Until)
	if ev.ID == 0 && ev.Grant == 0 {
		n.slotsOf(ev.Peer, ev.Service).backOffUntil = now.Add(askBackOff + time.Duration(n.cfg.Rand.Int64N(int64(askBackOff))))
	}
	n.serveQueue(now)
}

// localSlotsReceived stores the free slots that a peer of this place reported after a
// hand-off.
func (n *Node) localSlotsReceived(ev GrantReceived) {
	if f, ok := n.requests[ev.ID]; ok && f.stage == stagePeer {
		f.slotsReported = true
		r := n.slotsOf(ev.Peer, ev.Service)
		r.free, r.backOffUntil = ev.Free, time.Time{}
	}
}
