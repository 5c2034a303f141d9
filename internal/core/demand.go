package core

import (
	"slices"
	"strings"
	"time"

	"github.com/firlever/firlever/internal/grant"
	"github.com/firlever/firlever/pkg/settings"
)

// Limits on hand-offs and on requests for grants.
const (
	maxUngranted     = 1                      // shifted hand-offs in flight to a place without a grant
	maxUngrantedHome = 4                      // the same for callers whose home is that place
	maxAsked         = 2                      // owners of a place that are asked at a time
	maxWant          = 4                      // grants that one hand-off may ask for
	reaskDelay       = 50 * time.Millisecond  // delay before a place is asked again
	askBackOff       = 200 * time.Millisecond // back-off after a peer granted nothing
	noTargetsBackOff = 2 * time.Second        // back-off after a peer turned out to own no target of the service
	askEvery         = 100 * time.Millisecond // minimum average interval between an instance's requests for grants
	askBurst         = time.Second            // unused intervals that may be accumulated, as a duration
	maxMissed        = 16                     // queued requests tried in vain before the queue is left until the next event
)

// destination is what demand is for: a place and a use.
type destination struct {
	place string
	use   grant.Use
}

// demand is what this instance would like to hand off to a destination.
type demand struct {
	recent    grant.Demand
	ungranted int       // hand-offs in flight without a grant
	denied    bool      // the latest request for the destination found no grant
	askAt     time.Time // no request for grants before
}

// useAt returns what a hand-off of f to a place uses.
func useAt(f *inFlight, place string) grant.Use {
	return grant.Use{Service: f.req.Service, Shifted: f.shifted(place)}
}

func (n *Node) demandOf(a destination) *demand {
	d, ok := n.demands[a]
	if !ok {
		d = &demand{}
		n.demands[a] = d
	}
	return d
}

// chooseRemotePeer picks a peer of another place that has granted something, or else a
// peer to try without a grant, which also requests one.
func (n *Node) chooseRemotePeer(now time.Time, f *inFlight, place string) (Peer, Reason) {
	peers := n.acceptingPeers(place)
	peers = slices.DeleteFunc(peers, func(p Peer) bool { return f.hasTried(p.ID) })
	if len(peers) == 0 {
		return Peer{}, ReasonNoTargets
	}
	if n.cfg.handOff.ungranted() {
		return n.chooseUngranted(now, f, place, peers)
	}
	a := destination{place: place, use: useAt(f, place)}
	d := n.demandOf(a)
	f.countDemand(now, place, d)
	f.dest = a
	if p, ok := n.bestGranter(now, peers, a.use); ok {
		d.denied = false
		return p, ReasonGrant
	}
	if p, ok := n.pickUngranted(now, peers, a, d); ok {
		return p, ReasonUngranted
	}
	d.denied, f.awaitsGrant = true, true
	n.requestGrants(now, a, d)
	return Peer{}, ReasonNoGrant
}

// countDemand counts f in the demand for a place, at most once.
func (f *inFlight) countDemand(now time.Time, place string, d *demand) {
	if !slices.Contains(f.demandCounted, place) {
		f.demandCounted = append(f.demandCounted, place)
		d.recent.Add(now)
	}
}

// acceptingPeers returns the peers of a place that accept new work.
func (n *Node) acceptingPeers(place string) []Peer {
	var list []Peer
	for _, p := range n.peers.byPlace[place] {
		if !p.Leaving {
			list = append(list, p)
		}
	}
	return list
}

// bestGranter returns the peer whose unused grants to this instance are the most.
func (n *Node) bestGranter(now time.Time, peers []Peer, use grant.Use) (Peer, bool) {
	var best Peer
	most := 0
	for _, p := range peers {
		if held := n.holdings.Held(now, p.ID, use); held > most {
			best, most = p, held
		}
	}
	return best, most > 0
}

// pickUngranted picks a peer to try without a grant, among those not backing off.
func (n *Node) pickUngranted(now time.Time, peers []Peer, a destination, d *demand) (Peer, bool) {
	if d.ungranted >= ungrantedLimit(a.use) {
		return Peer{}, false
	}
	open := n.notBackingOff(now, peers, a.use)
	if len(open) == 0 {
		return Peer{}, false
	}
	return open[n.cfg.Rand.IntN(len(open))], true
}

// ungrantedLimit is higher for requests whose home is the destination: the shift cap does
// not limit them there, and each one that can't go home is a shift elsewhere.
func ungrantedLimit(use grant.Use) int {
	if use.Shifted {
		return maxUngranted
	}
	return maxUngrantedHome
}

func (n *Node) notBackingOff(now time.Time, peers []Peer, use grant.Use) []Peer {
	var list []Peer
	for _, p := range peers {
		if until := n.slotsOf(p.ID, use.Service).backOffUntil; !now.Before(until) {
			list = append(list, p)
		}
	}
	return list
}

// startRemoteHandOff records that f goes to a peer of another place, and returns how many
// grants to request with it.
func (n *Node) startRemoteHandOff(now time.Time, f *inFlight, peer Peer) int {
	d := n.demandOf(f.dest)
	f.ungranted = n.holdings.Take(now, peer.ID, f.dest.use, 1) == 0
	if f.ungranted {
		d.ungranted++
	}
	return min(n.missingGrants(now, f.dest, d), maxWant)
}

// finishRemoteHandOff records how a hand-off to another place ended. The grants of a peer
// that refused or failed are discarded: they are not worth a second round trip.
func (n *Node) finishRemoteHandOff(now time.Time, f *inFlight, ev Finished) {
	if f.ungranted {
		n.demandOf(f.dest).ungranted--
		f.ungranted = false
	}
	if ev.Result == Answered || ev.CallerGone {
		return
	}
	n.holdings.Take(now, f.peer, f.dest.use, n.holdings.Held(now, f.peer, f.dest.use))
	if ev.Reason == ReasonNoTargets {
		n.slotsOf(f.peer, f.req.Service).backOffUntil = now.Add(noTargetsBackOff)
	}
}

// missingGrants returns how many more grants for a destination this instance could use.
func (n *Node) missingGrants(now time.Time, a destination, d *demand) int {
	want := max(d.recent.Want(now), n.queue.Waiting(a.use.Service))
	for _, p := range n.acceptingPeers(a.place) {
		want -= n.holdings.Held(now, p.ID, a.use)
	}
	return max(want, 0)
}

// requestGrants asks up to two owners of a place for grants, unless the place was asked
// too recently.
func (n *Node) requestGrants(now time.Time, a destination, d *demand) {
	want := n.missingGrants(now, a, d)
	if want == 0 || now.Before(d.askAt) {
		return
	}
	d.askAt = now.Add(reaskDelay)
	peers := n.notBackingOff(now, n.acceptingPeers(a.place), a.use)
	n.cfg.Rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	peers = peers[:min(len(peers), maxAsked)]
	for _, p := range peers {
		if n.askAllowed(now) {
			n.decide(n.askGrant(a, p, (want+len(peers)-1)/len(peers), 0))
		}
	}
}

// askAllowed limits the rate of requests for grants.
func (n *Node) askAllowed(now time.Time) bool {
	if full := now.Add(-askBurst); n.askedUntil.Before(full) {
		n.askedUntil = full
	}
	if n.askedUntil.After(now) {
		return false
	}
	n.askedUntil = n.askedUntil.Add(askEvery)
	return true
}

// askGrant gives the callers' home only where it matters: this place for all shifted
// requests.
func (n *Node) askGrant(a destination, p Peer, want, release int) AskGrant {
	home := a.place
	if a.use.Shifted {
		home = n.cfg.Place
	}
	return AskGrant{Peer: p, Service: a.use.Service, Home: home, Want: want, Release: release}
}

// maintainGrants requests grants for queued requests, and returns unused ones.
func (n *Node) maintainGrants(now time.Time) {
	for _, a := range sortedDestinations(n.demands) {
		d := n.demands[a]
		waiting := n.queue.Waiting(a.use.Service)
		if waiting > 0 && d.denied {
			n.requestGrants(now, a, d)
		}
		if waiting == 0 && d.ungranted == 0 && d.recent.Want(now) == 0 {
			n.releaseGrants(now, a)
			delete(n.demands, a)
		}
	}
}

func (n *Node) releaseGrants(now time.Time, a destination) {
	for _, p := range n.acceptingPeers(a.place) {
		held := n.holdings.Held(now, p.ID, a.use)
		if held > 0 && n.askAllowed(now) {
			n.holdings.Take(now, p.ID, a.use, held)
			n.decide(n.askGrant(a, p, 0, held))
		}
	}
}

// canHandOff reports whether a queued request of a service might be handed off to another
// place now.
func (n *Node) canHandOff(now time.Time, id settings.ServiceID) bool {
	if n.slotSoon(now, id) {
		return false
	}
	for a, d := range n.demands {
		if a.use.Service != id || n.snapshot.PlaceDrained(id, a.place) {
			continue
		}
		peers := n.acceptingPeers(a.place)
		if _, ok := n.bestGranter(now, peers, a.use); ok {
			return true
		}
		if d.ungranted < ungrantedLimit(a.use) && len(n.notBackingOff(now, peers, a.use)) > 0 {
			return true
		}
	}
	return false
}

func sortedDestinations(m map[destination]*demand) []destination {
	list := make([]destination, 0, len(m))
	for a := range m {
		list = append(list, a)
	}
	slices.SortFunc(list, func(x, y destination) int {
		if c := strings.Compare(x.place, y.place); c != 0 {
			return c
		}
		return x.use.Compare(y.use)
	})
	return list
}
