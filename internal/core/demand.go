package core

import (
	"slices"
	"strings"
	"time"

	"github.com/firlever/firlever/internal/grant"
	"github.com/firlever/firlever/pkg/settings"
)

// Bounds of what a sender does without a grant.
const (
	maxUngranted     = 1                      // shifted hand-offs to a place under way without a grant
	maxUngrantedHome = 4                      // the same for callers who are at home there
	maxAsked         = 2                      // owners of a place that are asked at a time
	maxWant          = 4                      // requests that one hand-off asks grants for
	reaskDelay       = 50 * time.Millisecond  // before a place is asked again
	askBackOff       = 200 * time.Millisecond // before a peer is asked again that granted nothing
	noTargetsBackOff = 2 * time.Second        // before a peer is tried again that owns no target of the service
	askEvery         = 100 * time.Millisecond // an instance asks, on average, no more often than this
	askBurst         = time.Second            // for so long an instance may save up asking
	maxMissed        = 16                     // requests taken from the queue in vain before it is left alone
)

// destination names what demand is for.
type destination struct {
	place string
	use   grant.Use
}

// demand is what this instance would like to hand off to another place.
type demand struct {
	recent    grant.Demand
	ungranted int       // hand-offs under way without a grant
	denied    bool      // the latest request that could go there found no grant
	askAt     time.Time // the place isn't asked before
}

// useAt is what a hand-off of f to a place uses.
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

// chooseRemotePeer finds a peer of another place that has granted something, or one to
// try without a grant, so that somebody is asked first.
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

// countDemand counts f among those that would like to go to a place, once.
func (f *inFlight) countDemand(now time.Time, place string, d *demand) {
	if !slices.Contains(f.demandCounted, place) {
		f.demandCounted = append(f.demandCounted, place)
		d.recent.Add(now)
	}
}

// acceptingPeers lists the peers of a place that take new work.
func (n *Node) acceptingPeers(place string) []Peer {
	var list []Peer
	for _, p := range n.peers.byPlace[place] {
		if !p.Leaving {
			list = append(list, p)
		}
	}
	return list
}

// bestGranter finds the peer that has granted most.
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

// pickUngranted picks a peer to try without a grant: any that has not just refused.
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

// ungrantedLimit is higher for requests at home there: the cap does not hold them
// back, and each that finds no way home is a shift somewhere else.
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

// startRemoteHandOff notes that f goes to a peer of another place, and returns how many
// grants to ask for with it.
func (n *Node) startRemoteHandOff(now time.Time, f *inFlight, peer Peer) int {
	d := n.demandOf(f.dest)
	f.ungranted = n.holdings.Take(now, peer.ID, f.dest.use, 1) == 0
	if f.ungranted {
		d.ungranted++
	}
	return min(n.missingGrants(now, f.dest, d), maxWant)
}

// finishRemoteHandOff notes how a hand-off to another place ended. A peer that refuses, or
// fails, has its grants forgotten: they are not worth a second round trip.
func (n *Node) finishRemoteHandOff(now time.Time, f *inFlight, ev Finished) {
	if f.ungranted {
		n.demandOf(f.dest).ungranted--
		f.ungranted = false
	}
	if ev.Result == Answered || ev.Gone {
		return
	}
	n.holdings.Take(now, f.peer, f.dest.use, n.holdings.Held(now, f.peer, f.dest.use))
	if ev.Reason == ReasonNoTargets {
		n.slotsOf(f.peer, f.req.Service).backOffUntil = now.Add(noTargetsBackOff)
	}
}

// missingGrants is how many more grants of a place this instance could use.
func (n *Node) missingGrants(now time.Time, a destination, d *demand) int {
	want := max(d.recent.Want(now), n.queue.Waiting(a.use.Service))
	for _, p := range n.acceptingPeers(a.place) {
		want -= n.holdings.Held(now, p.ID, a.use)
	}
	return max(want, 0)
}

// requestGrants asks two owners of a place directly, if that isn't too soon again.
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

// askAllowed keeps what asking costs this instance bounded.
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

// askGrant names the callers' home only as far as it makes a difference.
func (n *Node) askGrant(a destination, p Peer, want, release int) AskGrant {
	home := a.place
	if a.use.Shifted {
		home = n.cfg.Place
	}
	return AskGrant{Peer: p, Service: a.use.Service, Home: home, Want: want, Release: release}
}

// maintainGrants asks for the requests that wait, and gives back what has no use.
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

// canHandOff says whether a waiting request of a service might be handed to
// another place now.
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
