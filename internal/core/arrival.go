package core

import (
	"net/netip"
	"time"

	"github.com/firlever/firlever/internal/once"
	"github.com/firlever/firlever/internal/queue"
)

// arrived takes in a new request and decides its first step.
func (n *Node) arrived(now time.Time, ev Arrived) {
	f := &flight{id: ev.ID, req: ev.Request, origin: ev.Origin}
	n.flights[f.id] = f
	if n.snapshot == nil {
		n.refuseBlind(now, f, ReasonNoSettings)
		return
	}
	service, ok := n.snapshot.Service(f.req.Service)
	if !ok {
		n.refuseBlind(now, f, ReasonNoService)
		return
	}
	f.service = service
	f.home = n.homeOf(f.req)
	f.idempotent = service.Idempotent(f.req.Method, f.req.Path)
	if limit := now.Add(service.Timeout()); f.req.Deadline.IsZero() || f.req.Deadline.After(limit) {
		f.req.Deadline = limit
	}
	f.until = f.waitUntil(now)
	n.service(now, f.req.Service).budget.Request(now)
	if !f.idempotent && f.origin != FromPeer && !n.claim(now, f) {
		return
	}
	if !f.req.Again.IsZero() {
		f.sooner(f.req.Again)
		n.refuse(now, f, ReasonOverloaded)
		return
	}
	if f.origin == FromPeer {
		f.covered = n.covered(now, f)
	}
	n.place(now, f, "")
}

// refuseBlind refuses a request of which this instance knows no service. An
// earlier one with the same key may have run at the key's home.
func (n *Node) refuseBlind(now time.Time, f *flight, reason Reason) {
	if f.req.Key != "" && f.origin != FromPeer {
		f.sooner(now.Add(retryFull))
		n.unknown(f, reason)
		return
	}
	n.refuse(now, f, reason)
}

// homeOf finds the caller's home place. A caller that no block has is at home
// where it asked first, so that it counts as shifted anywhere else.
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

// claim begins the key of a non-idempotent request. It returns false when the
// request has had its decision: it is forwarded, repeated or refused.
func (n *Node) claim(now time.Time, f *flight) bool {
	if f.req.Key == "" {
		n.refuse(now, f, ReasonNoKey)
		return false
	}
	key, err := once.ParseKey(f.req.Key)
	if err != nil {
		n.refuse(now, f, ReasonBadKey)
		return false
	}
	verdict := n.once.Begin(now, key, f.req.Print, f.req.Name)
	if verdict.Kind == once.VerdictRun {
		f.key, f.keyed, f.turn = key, true, verdict.Attempt
		return true
	}
	if verdict.Kind == once.VerdictForeign {
		n.forward(now, f, key)
		return false
	}
	n.judge(now, f, verdict)
	return false
}

// judge answers a keyed request that must not run, or not again.
func (n *Node) judge(now time.Time, f *flight, v once.Verdict) {
	switch v.Kind {
	case once.VerdictAnswered:
		delete(n.flights, f.id)
		n.decide(Repeat{ID: f.id, Answer: v.Outcome})
	case once.VerdictRunning:
		f.sooner(now.Add(retryRunning))
		n.unknown(f, ReasonKeyRunning)
	case once.VerdictUnknown:
		n.unknown(f, ReasonKeyUnknown)
	case once.VerdictExpired:
		// The record may be gone with the key's deadline, so nothing is known of an earlier run.
		n.unknown(f, ReasonKeyExpired)
	case once.VerdictClosed:
		n.refuse(now, f, ReasonStopping)
	case once.VerdictFull:
		f.sooner(now.Add(retryFull))
		n.refuse(now, f, ReasonKeysFull)
	case once.VerdictGone:
		n.unknown(f, ReasonHomeGone)
	default:
		n.refuse(now, f, ReasonBadKey)
	}
}

// forward sends a request to the incarnation that its key is bound to.
func (n *Node) forward(now time.Time, f *flight, key once.Key) {
	peer, ok := n.peer(key.Instance())
	switch {
	case f.origin == FromForward, ok && peer.Incarnation != key.Incarnation():
		n.unknown(f, ReasonHomeGone)
	case !ok:
		f.sooner(now.Add(retryFull))
		n.unknown(f, ReasonHomeCut)
	default:
		f.stage, f.peer = stageForward, peer.ID
		n.decide(Forward{ID: f.id, Peer: peer, Deadline: f.req.Deadline, Home: f.home, Reason: ReasonKeyHome})
	}
}

// returnTime is kept back of a peer's request for its refusal to get back in
// time. One that comes late is no proof any more that nothing ran.
const returnTime = 100 * time.Millisecond

// waitUntil is how long f may wait in the queue.
func (f *flight) waitUntil(now time.Time) time.Time {
	if f.origin == FromCaller {
		return f.wait()
	}
	left := f.wait().Sub(now)
	return f.wait().Add(-min(returnTime, left/4))
}

// hold puts a request in the queue, or refuses it at once when its deadline
// can't be met there.
func (n *Node) hold(now time.Time, f *flight) {
	if n.requeue(now, f) {
		n.decide(Hold{ID: f.id, Until: f.until, Passed: f.passed})
	}
}

// requeue puts a request in the queue. It returns false if it was refused.
func (n *Node) requeue(now time.Time, f *flight) bool {
	verdict := n.queue.Push(now, queue.Item{
		ID:       uint64(f.id),
		Service:  f.req.Service,
		Bulk:     f.service.Bulk(),
		Way:      queue.Way{Shifted: f.shifted(n.cfg.Place), Bound: f.origin == FromPeer},
		Deadline: f.until,
	})
	if verdict.Kind != queue.VerdictQueued {
		f.sooner(verdict.RetryAt)
		n.refuse(now, f, f.reason())
		return false
	}
	f.stage = stageQueued
	return true
}

func (f *flight) reason() Reason {
	if f.held == "" {
		return ReasonFull
	}
	return f.held
}
