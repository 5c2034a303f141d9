package core

import (
	"net/netip"
	"time"

	"github.com/firlever/firlever/internal/once"
	"github.com/firlever/firlever/internal/queue"
)

// arrived processes a new request and takes the first decision on it.
func (n *Node) arrived(now time.Time, ev Arrived) {
	f := &inFlight{id: ev.ID, req: ev.Request, origin: ev.Origin}
	n.requests[f.id] = f
	if n.snapshot == nil {
		n.refuseUnconfigured(now, f, ReasonNoSettings)
		return
	}
	service, ok := n.snapshot.Service(f.req.Service)
	if !ok && n.mayBeBehind(now) {
		f.lowerRetryAt(now.Add(retryFull))
		n.refuseUnconfigured(now, f, ReasonOldSettings)
		return
	}
	if !ok {
		n.refuseUnconfigured(now, f, ReasonNoService)
		return
	}
	f.service = service
	f.home = n.homeOf(f.req)
	f.idempotent = service.Idempotent(f.req.Method, f.req.Path)
	if limit := now.Add(service.Timeout()); f.req.Deadline.IsZero() || f.req.Deadline.After(limit) {
		f.req.Deadline = limit
	}
	f.queueUntil = f.queueDeadline(now)
	if f.origin == FromCaller { // others have counted at the instance that they come from
		n.state(now, f.req.Service).budget.Request(now)
	}
	if !f.idempotent && f.origin != FromPeer && !n.beginKey(now, f) {
		return
	}
	if !f.req.OverloadedUntil.IsZero() {
		f.lowerRetryAt(f.req.OverloadedUntil)
		n.refuse(now, f, ReasonOverloaded)
		return
	}
	if f.origin == FromPeer {
		f.granted = n.useGrant(now, f)
	}
	n.route(now, f, "")
}

// refuseUnconfigured refuses a request for a service that this instance has no
// configuration of. An earlier request with the same key may have run at the key's home,
// so a keyed request is answered as "unknown".
func (n *Node) refuseUnconfigured(now time.Time, f *inFlight, reason Reason) {
	if f.req.Key != "" && f.origin != FromPeer {
		f.lowerRetryAt(now.Add(retryFull))
		n.refuseUnknown(f, reason)
		return
	}
	n.refuse(now, f, reason)
}

// homeOf returns the caller's home place. A caller outside all blocks is at home in the
// place of the first instance that it asked, so that it counts as shifted everywhere
// else.
func (n *Node) homeOf(r Request) string {
	if r.Home != "" {
		return r.Home
	}
	if home, ok := n.blockPlace(r.Caller); ok {
		return home
	}
	return n.cfg.Place
}

func (n *Node) blockPlace(a netip.Addr) (string, bool) {
	if !a.IsValid() {
		return "", false
	}
	return n.blocks.Lookup(a)
}

// beginKey begins the key of a non-idempotent request. It returns false if that already
// decided the request: it was forwarded, replayed or refused.
func (n *Node) beginKey(now time.Time, f *inFlight) bool {
	if f.req.Key == "" {
		n.refuse(now, f, ReasonNoKey)
		return false
	}
	key, err := once.ParseKey(f.req.Key)
	if err != nil {
		n.refuse(now, f, ReasonBadKey)
		return false
	}
	verdict := n.once.Begin(now, key, f.req.Fingerprint, f.req.Name)
	if verdict.Kind == once.VerdictRun {
		f.key, f.keyed, f.keyAttempt = key, true, verdict.Attempt
		return true
	}
	if verdict.Kind == once.VerdictForeign {
		n.forward(now, f, key)
		return false
	}
	n.answerVerdict(now, f, verdict)
	return false
}

// answerVerdict answers a keyed request that must not run, or not again.
func (n *Node) answerVerdict(now time.Time, f *inFlight, v once.Verdict) {
	switch v.Kind {
	case once.VerdictAnswered:
		delete(n.requests, f.id)
		n.decide(Replay{ID: f.id, Answer: v.Outcome})
	case once.VerdictRunning:
		f.lowerRetryAt(now.Add(retryRunning))
		n.refuseUnknown(f, ReasonKeyRunning)
	case once.VerdictUnknown:
		n.refuseUnknown(f, ReasonKeyUnknown)
	case once.VerdictExpired:
		// The record may have been dropped at the key's deadline, so an earlier run can't be
		// ruled out.
		n.refuseUnknown(f, ReasonKeyExpired)
	case once.VerdictClosed:
		n.refuse(now, f, ReasonStopping)
	case once.VerdictFull:
		f.lowerRetryAt(now.Add(retryFull))
		n.refuse(now, f, ReasonKeysFull)
	case once.VerdictHomeRestarted:
		n.refuseUnknown(f, ReasonHomeGone)
	default:
		n.refuse(now, f, ReasonBadKey)
	}
}

// forward sends a request to the incarnation that its key is bound to.
func (n *Node) forward(now time.Time, f *inFlight, key once.Key) {
	peer, ok := n.peer(key.Instance())
	switch {
	case f.origin == FromForward, ok && peer.Incarnation != key.Incarnation():
		n.refuseUnknown(f, ReasonHomeGone)
	case !ok:
		f.lowerRetryAt(now.Add(retryFull))
		n.refuseUnknown(f, ReasonHomeUnreachable)
	default:
		f.stage, f.peer = stageForward, peer.ID
		n.decide(Forward{ID: f.id, Peer: peer, Deadline: f.req.Deadline, Home: f.home, Reason: ReasonKeyHome})
	}
}

// refusalMargin is the time reserved for a refusal to travel back to the peer that sent
// the request. A refusal that arrives late no longer proves that nothing ran.
const refusalMargin = 100 * time.Millisecond

// queueDeadline returns until when f may wait in the queue.
func (f *inFlight) queueDeadline(now time.Time) time.Time {
	if f.origin == FromCaller {
		return f.startDeadline()
	}
	left := f.startDeadline().Sub(now)
	return f.startDeadline().Add(-min(refusalMargin, left/4))
}

// hold queues a request, or refuses it at once if its deadline can't be met in the queue.
func (n *Node) hold(now time.Time, f *inFlight) {
	if n.enqueue(now, f) {
		n.decide(Hold{ID: f.id, Until: f.queueUntil, Passed: f.passed})
	}
}

// enqueue puts a request in the queue. It returns false if the request was refused.
func (n *Node) enqueue(now time.Time, f *inFlight) bool {
	verdict := n.queue.Push(now, queue.Item{
		ID:        uint64(f.id),
		Service:   f.req.Service,
		Bulk:      f.service.Bulk(),
		Placement: queue.Placement{Shifted: f.shifted(n.cfg.Place), OwnTargetsOnly: f.origin == FromPeer},
		Deadline:  f.queueUntil,
	})
	if verdict.Kind != queue.VerdictQueued {
		f.lowerRetryAt(verdict.RetryAt)
		n.refuse(now, f, f.refusalReason())
		return false
	}
	f.stage = stageQueued
	return true
}

func (f *inFlight) refusalReason() Reason {
	if f.heldReason == "" {
		return ReasonFull
	}
	return f.heldReason
}
