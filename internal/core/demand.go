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
	maxTrying     = 1                      // shifted hand-offs to a place under way without a grant
	maxTryingHome = 4                      // the same for callers who are at home there
	maxAsked      = 2                      // owners of a place that are asked at a time
	maxWant       = 4                      // requests that one hand-off asks grants for
	askAgain      = 50 * time.Millisecond  // before a place is asked again
	askRefuse     = 200 * time.Millisecond // before a peer is asked again that granted nothing
	noTargets     = 2 * time.Second        // before a peer is tried again that owns no target of the service
	askEvery      = 100 * time.Millisecond // an instance asks, on average, no more often than this
	askBurst      = time.Second            // for so long an instance may save up asking
	maxMissed     = 16                     // requests taken from the queue in vain before it is left alone
)

// destination names what demand is for.
type destination struct {
	place string
	use   grant.Use
}

// demand is what this instance would like to hand off to another place.
type demand struct {
	recent grant.Demand
	trying int       // hand-offs under way without a grant
	denied bool      // the latest request that could go there found no grant
	askAt  time.Time // the place isn't asked before
}

// useAt is what a hand-off of f to a place uses.
func useAt(f *flight, place string) grant.Use {
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

// chooseAway finds a peer of another place that has granted something, or one to
// try without a grant, so that somebody is asked first.
func (n *Node) chooseAway(now time.Time, f *flight, place string) (Peer, Reason) {
	peers := n.takers(place)
	peers = slices.DeleteFunc(peers, func(p Peer) bool { return f.hasTried(p.ID) })
	if len(peers) == 0 {
		return Peer{}, ReasonNoTargets
	}
	if n.cfg.sending.ungranted() {
		return n.chooseUngranted(now, f, place, peers)
	}
	a := destination{place: place, use: useAt(f, place)}
	d := n.demandOf(a)
	f.countDemand(now, place, d)
	f.away = a
	if p, ok := n.granter(now, peers, a.use); ok {
		d.denied = false
		return p, ReasonGrant
	}
	if p, ok := n.explore(now, peers, a, d); ok {
		return p, ReasonUngranted
	}
	d.denied, f.awaits = true, true
	n.askFor(now, a, d)
	return Peer{}, ReasonNoGrant
}

// countDemand counts f among those that would like to go to a place, once.
func (f *flight) countDemand(now time.Time, place string, d *demand) {
	if !slices.Contains(f.counted, place) {
		f.counted = append(f.counted, place)
		d.recent.Add(now)
	}
}

// takers lists the peers of a place that take new work.
func (n *Node) takers(place string) []Peer {
	var list []Peer
	for _, p := range n.peers.local[place] {
		if !p.Leaving {
			list = append(list, p)
		}
	}
	return list
}

// granter finds the peer that has granted most.
func (n *Node) granter(now time.Time, peers []Peer, use grant.Use) (Peer, bool) {
	var best Peer
	most := 0
	for _, p := range peers {
		if held := n.holdings.Held(now, p.ID, use); held > most {
			best, most = p, held
		}
	}
	return best, most > 0
}

// explore picks a peer to try without a grant: any that has not just refused.
func (n *Node) explore(now time.Time, peers []Peer, a destination, d *demand) (Peer, bool) {
	if d.trying >= mostTrying(a.use) {
		return Peer{}, false
	}
	open := n.open(now, peers, a.use)
	if len(open) == 0 {
		return Peer{}, false
	}
	return open[n.cfg.Rand.IntN(len(open))], true
}

// mostTrying is higher for requests at home there: the cap does not hold them
// back, and each that finds no way home is a shift somewhere else.
func mostTrying(use grant.Use) int {
	if use.Shifted {
		return maxTrying
	}
	return maxTryingHome
}

func (n *Node) open(now time.Time, peers []Peer, use grant.Use) []Peer {
	var list []Peer
	for _, p := range peers {
		if until := n.roomOf(p.ID, use.Service).until; !now.Before(until) {
			list = append(list, p)
		}
	}
	return list
}

// departed notes that f goes to a peer of another place, and returns how many
// grants to ask for with it.
func (n *Node) departed(now time.Time, f *flight, peer Peer) int {
	d := n.demandOf(f.away)
	f.trying = n.holdings.Take(now, peer.ID, f.away.use, 1) == 0
	if f.trying {
		d.trying++
	}
	return min(n.lack(now, f.away, d), maxWant)
}

// returned notes how a hand-off to another place ended. A peer that refuses, or
// fails, has its grants forgotten: they are not worth a second round trip.
func (n *Node) returned(now time.Time, f *flight, ev Finished) {
	if f.trying {
		n.demandOf(f.away).trying--
		f.trying = false
	}
	if ev.Result == Answered || ev.Gone {
		return
	}
	n.holdings.Take(now, f.peer, f.away.use, n.holdings.Held(now, f.peer, f.away.use))
	if ev.Reason == ReasonNoTargets {
		n.roomOf(f.peer, f.req.Service).until = now.Add(noTargets)
	}
}

// lack is how many more grants of a place this instance could use.
func (n *Node) lack(now time.Time, a destination, d *demand) int {
	want := max(d.recent.Want(now), n.queue.Waiting(a.use.Service))
	for _, p := range n.takers(a.place) {
		want -= n.holdings.Held(now, p.ID, a.use)
	}
	return max(want, 0)
}

// askFor asks two owners of a place directly, if that isn't too soon again.
func (n *Node) askFor(now time.Time, a destination, d *demand) {
	want := n.lack(now, a, d)
	if want == 0 || now.Before(d.askAt) {
		return
	}
	d.askAt = now.Add(askAgain)
	peers := n.open(now, n.takers(a.place), a.use)
	n.cfg.Rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	peers = peers[:min(len(peers), maxAsked)]
	for _, p := range peers {
		if n.mayAsk(now) {
			n.decide(n.askGrant(a, p, (want+len(peers)-1)/len(peers), 0))
		}
	}
}

// mayAsk keeps what asking costs this instance bounded.
func (n *Node) mayAsk(now time.Time) bool {
	if full := now.Add(-askBurst); n.askPaced.Before(full) {
		n.askPaced = full
	}
	if n.askPaced.After(now) {
		return false
	}
	n.askPaced = n.askPaced.Add(askEvery)
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

// tendGrants asks for the requests that wait, and gives back what has no use.
func (n *Node) tendGrants(now time.Time) {
	for _, a := range sortedDestinations(n.demands) {
		d := n.demands[a]
		waiting := n.queue.Waiting(a.use.Service)
		if waiting > 0 && d.denied {
			n.askFor(now, a, d)
		}
		if waiting == 0 && d.trying == 0 && d.recent.Want(now) == 0 {
			n.releaseAll(now, a)
			delete(n.demands, a)
		}
	}
}

func (n *Node) releaseAll(now time.Time, a destination) {
	for _, p := range n.takers(a.place) {
		held := n.holdings.Held(now, p.ID, a.use)
		if held > 0 && n.mayAsk(now) {
			n.holdings.Take(now, p.ID, a.use, held)
			n.decide(n.askGrant(a, p, 0, held))
		}
	}
}

// couldLeave says whether a waiting request of a service might be handed to
// another place now.
func (n *Node) couldLeave(now time.Time, id settings.ServiceID) bool {
	if n.soonHere(now, id) {
		return false
	}
	for a, d := range n.demands {
		if a.use.Service != id || n.snapshot.PlaceDrained(id, a.place) {
			continue
		}
		peers := n.takers(a.place)
		if _, ok := n.granter(now, peers, a.use); ok {
			return true
		}
		if d.trying < mostTrying(a.use) && len(n.open(now, peers, a.use)) > 0 {
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
