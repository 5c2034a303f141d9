package core

import (
	"slices"
	"time"

	"github.com/firlever/firlever/internal/invariant"
	"github.com/firlever/firlever/internal/owner"
	"github.com/firlever/firlever/pkg/settings"
)

// route decides where a request goes. The home place is tried first, then this instance's
// place, then others by distance. reason is set if the request comes from the queue or
// from an attempt that ran nothing.
func (n *Node) route(now time.Time, f *inFlight, reason Reason) {
	if n.refusePoison(now, f) {
		return
	}
	if !now.Before(f.startDeadline()) {
		n.refuse(now, f, ReasonDeadline)
		return
	}
	if n.tryPlaces(now, f, reason) {
		return
	}
	switch {
	case f.origin == FromPeer && n.stopping:
		// It is never served here, and its own instance needs the refusal in time.
		n.refuse(now, f, ReasonStopping)
	case f.origin == FromPeer && n.partitioned():
		f.lowerRetryAt(now.Add(retryPartitioned))
		n.refuse(now, f, ReasonPartitioned)
	case f.origin == FromPeer && n.ownSlots(now, f.req.Service) == 0:
		// Only targets owned here may serve it, and none of them belongs to the service.
		n.refuse(now, f, ReasonNoTargets)
	case f.origin != FromPeer && !n.servesHere(f) && !f.awaitsGrant:
		if n.partitioned() {
			f.lowerRetryAt(now.Add(retryPartitioned))
		}
		n.refuse(now, f, f.refusalReason())
	case !f.awaitsGrant && n.refuseUnavailable(now, f):
	default:
		n.hold(now, f)
	}
}

// tryPlaces sends the request off if any place can take it now.
func (n *Node) tryPlaces(now time.Time, f *inFlight, reason Reason) bool {
	f.passed, f.awaitsGrant = nil, false
	for _, p := range n.placesFor(f) {
		if n.rank(f, p) >= rankRegion && n.worthWaiting(now, f) {
			break
		}
		why, done := n.tryPlace(now, f, p, reason)
		if done {
			return true
		}
		f.passed = append(f.passed, Passed{Way: p, Reason: why})
		f.heldReason = why
	}
	return false
}

// worthWaiting reports whether a slot here is expected so soon that the request is not
// shifted to another place: a shift meets cold caches, counts against the cap and adds
// distance.
func (n *Node) worthWaiting(now time.Time, f *inFlight) bool {
	return f.origin != FromPeer && n.servesHere(f) && n.slotSoon(now, f.req.Service)
}

// slotSoon reports whether a slot of this instance is expected soon.
func (n *Node) slotSoon(now time.Time, id settings.ServiceID) bool {
	if n.snapshot.PlaceDrained(id, n.cfg.Place) || n.ownSlots(now, id) == 0 {
		return false
	}
	if _, why := n.allUnavailableUntil(now, id); why != "" {
		return false
	}
	return n.queue.PredictWait(now, id) < n.cfg.ShiftWait
}

// tryPlace tries one place, and returns the reason if the place was not taken.
func (n *Node) tryPlace(now time.Time, f *inFlight, place string, reason Reason) (Reason, bool) {
	if n.snapshot.PlaceDrained(f.req.Service, place) {
		return ReasonDrained, false
	}
	if place != n.cfg.Place {
		return n.tryRemote(now, f, place, reason)
	}
	why, done := n.tryOwn(now, f, or(reason, ReasonOwnFree))
	if done || f.origin == FromPeer {
		return why, done
	}
	if _, done := n.tryPeers(now, f, place, or(reason, ReasonPeerFree)); done {
		return "", true
	}
	return why, false
}

func or(a, b Reason) Reason {
	if a != "" {
		return a
	}
	return b
}

// tryOwn serves the request from a target that this instance owns.
func (n *Node) tryOwn(now time.Time, f *inFlight, reason Reason) (Reason, bool) {
	if n.baseline() {
		return n.tryBaseline(now, f, reason)
	}
	if why := n.ownRefusal(now, f); why != "" {
		return why, false
	}
	key, ok := n.pick(now, f)
	if !ok || !n.owners.Take(now, key) {
		return ReasonFull, false
	}
	n.serve(now, f, key, reason)
	return "", true
}

// ownRefusal returns why this instance can't serve f itself, or "".
func (n *Node) ownRefusal(now time.Time, f *inFlight) Reason {
	if n.stopping && f.origin == FromPeer {
		return ReasonStopping
	}
	if n.partitioned() {
		return ReasonPartitioned
	}
	if f.shifted(n.cfg.Place) {
		ramp := n.state(now, f.req.Service).ramp
		if ramp.Free(now) < 1 {
			f.lowerRetryAt(ramp.RetryAt(now))
			return ReasonShiftCap
		}
	}
	if n.owners.FreeService(now, f.req.Service)-n.reserved(now, f.req.Service, f.granted) < 1 {
		return ReasonFull
	}
	return ""
}

// serve commits the request to a target whose slot it holds.
func (n *Node) serve(now time.Time, f *inFlight, key owner.TargetKey, reason Reason) {
	if f.keyed && !n.once.Dispatch(now, f.key, f.keyAttempt) {
		n.owners.Done(key)
		n.refuse(now, f, ReasonKeyExpired)
		return
	}
	shifted := f.shifted(n.cfg.Place)
	if shifted && !n.baseline() {
		n.check(invariant.ShiftCap, n.state(now, f.req.Service).ramp.Admit(now), func() string {
			return f.req.Service.String() + " admitted a shifted request above the shift cap"
		})
	}
	n.check(invariant.Leaving, !n.snapshot.TargetDrained(f.req.Service, key.Name), func() string {
		return key.Name + " received new work while drained"
	})
	n.countAgainstLimit(now, key)
	f.stage, f.target = stageTarget, key
	f.attempts++
	n.decide(Serve{
		ID: f.id, Target: key, Address: n.addresses[key], Deadline: f.req.Deadline,
		Attempt: f.attempts, Shifted: shifted, Detached: !f.idempotent, AnswerRate: n.answerRate(f),
		Home: f.home, Reason: reason, Passed: f.passed,
	})
}

// pick chooses one of the owned targets by the requests in flight on each and its weight.
func (n *Node) pick(now time.Time, f *inFlight) (owner.TargetKey, bool) {
	return n.owners.Pick(now, f.req.Service, func(key owner.TargetKey) int {
		if f.hasTried(key.Name) {
			return 0
		}
		return n.weight(now, key)
	})
}

// tryPeers hands the request off to the peer of a place with the most free slots.
func (n *Node) tryPeers(now time.Time, f *inFlight, place string, reason Reason) (Reason, bool) {
	if f.origin == FromPeer {
		return ReasonFull, false
	}
	peer, why := n.choosePeer(now, f, place)
	if why != "" {
		return why, false
	}
	n.handOff(now, f, peer, reason)
	return "", true
}

// tryRemote hands the request off to a peer of another place, with a grant or as one of
// the few without.
func (n *Node) tryRemote(now time.Time, f *inFlight, place string, reason Reason) (Reason, bool) {
	if f.origin == FromPeer {
		return ReasonFull, false
	}
	peer, why := n.chooseRemotePeer(now, f, place)
	if peer.ID == "" {
		return why, false
	}
	n.handOff(now, f, peer, or(reason, why))
	return "", true
}

// handOff commits the request to a peer.
func (n *Node) handOff(now time.Time, f *inFlight, peer Peer, reason Reason) {
	if f.keyed && !n.once.Dispatch(now, f.key, f.keyAttempt) {
		n.refuse(now, f, ReasonKeyExpired)
		return
	}
	want, granted := 0, false
	if peer.Place == n.cfg.Place || n.cfg.handOff.ungranted() {
		f.dest = destination{}
		n.slotTaken(peer.ID, f.req.Service)
	} else {
		want = n.startRemoteHandOff(now, f, peer)
		granted = !f.ungranted
	}
	f.stage, f.peer = stagePeer, peer.ID
	f.attempts++
	n.decide(HandOff{
		ID: f.id, Peer: peer, Deadline: f.req.Deadline, Attempt: f.attempts, Detached: !f.idempotent, Home: f.home,
		AnswerRate: n.answerRate(f), UploadRate: n.linkShare(f, peer.Place), Reason: reason, Granted: granted, Want: want, Passed: f.passed,
	})
}

// placesFor lists the places that may serve f, in the order to try.
func (n *Node) placesFor(f *inFlight) []string {
	if f.origin == FromPeer {
		return []string{n.cfg.Place}
	}
	var ranks [rankCount][]string
	for _, p := range f.service.Places() {
		rank := n.rank(f, p)
		ranks[rank] = append(ranks[rank], p)
	}
	return slices.Concat(ranks[:]...)
}

// Ranks of a place for a request, nearest first.
const (
	rankHome = iota
	rankHere
	rankRegion
	rankFar
	rankCount
)

func (n *Node) rank(f *inFlight, place string) int {
	switch {
	case place == f.home:
		return rankHome
	case place == n.cfg.Place:
		return rankHere
	}
	if p, ok := n.snapshot.Place(place); ok && p.Region == n.cfg.Region {
		return rankRegion
	}
	return rankFar
}

// servesHere reports whether waiting in this instance's queue can help f.
func (n *Node) servesHere(f *inFlight) bool {
	if _, ok := f.service.Site(n.cfg.Place); !ok {
		return false
	}
	return !n.partitioned() && !n.snapshot.PlaceDrained(f.req.Service, n.cfg.Place)
}
