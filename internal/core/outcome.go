package core

import (
	"time"

	"github.com/firlever/firlever/internal/health"
	"github.com/firlever/firlever/internal/invariant"
	"github.com/firlever/firlever/internal/once"
	"github.com/firlever/firlever/internal/retry"
)

// Retry delays given to callers.
const (
	retryRunning = 50 * time.Millisecond  // the key's first request is in flight
	retryFull    = 200 * time.Millisecond // no better estimate is available
)

// finished processes the end of an attempt.
func (n *Node) finished(now time.Time, ev Finished) {
	f, ok := n.requests[ev.ID]
	if !ok || f.stage == stageQueued {
		return // it has no attempt in flight
	}
	ev = n.withoutDenial(now, f, ev)
	forwarded := f.stage == stageForward
	n.endAttempt(now, f, ev)
	switch {
	case ev.Result == Answered:
		n.complete(now, f, once.Outcome{
			Kind: once.OutcomeAnswered, Status: ev.Status, Header: ev.Header, Body: ev.Body, Dropped: ev.Dropped,
		})
	case ev.Final:
		n.complete(now, f, once.Outcome{Kind: once.OutcomeUnknown})
	case ev.CallerGone:
		n.retryOrRefuse(now, f, ev, ev.Result == NotRun)
	case forwarded:
		n.forwardFailed(now, f, ev)
	case ev.Result == NotRun:
		n.retryOrRefuse(now, f, ev, true)
	default:
		n.retryOrRefuse(now, f, ev, false)
	}
	n.serveQueue(now)
}

// withoutDenial returns the end of an attempt at a peer that lacks the service. The settings in force
// here have it, so that the peer's lack of it is not final.
func (n *Node) withoutDenial(now time.Time, f *inFlight, ev Finished) Finished {
	if _, known := n.snapshot.Service(f.req.Service); !known || ev.Reason != ReasonNoService {
		return ev
	}
	ev.Reason = ReasonOldSettings
	if ev.RetryAt.IsZero() {
		ev.RetryAt = now.Add(retryFull)
	}
	return ev
}

// forwardFailed ends a request whose key's home gave no answer. No other instance may run
// it, and only the home can confirm that the key has not run: a connection that was never
// opened proves nothing about an earlier request with the key.
func (n *Node) forwardFailed(now time.Time, f *inFlight, ev Finished) {
	if ev.Result == NotRun && ev.Proof == once.ProofRefusal {
		n.refuse(now, f, ev.Reason)
		return
	}
	reason := ev.Reason
	if reason == "" {
		reason = ReasonHomeUnreachable
	}
	f.lowerRetryAt(now.Add(retryFull))
	n.refuseUnknown(f, reason)
}

// endAttempt releases what the attempt held and records how it went.
func (n *Node) endAttempt(now time.Time, f *inFlight, ev Finished) {
	switch f.stage {
	case stageTarget:
		n.freeSlot(now, f, ev)
		n.recordAttempt(now, f, ev)
		n.recordReach(now, f, ev)
		if ev.Aborted && !ev.CallerGone {
			n.recordAbort(now, f)
		}
		f.tried = append(f.tried, f.target.Name)
	case stagePeer:
		n.finishHandOff(now, f, ev)
		f.tried = append(f.tried, f.peer)
	}
	if ev.Result == Answered {
		n.recordSuccess(now, f, ev)
	}
	f.stage = stageNew
	f.mayHaveRun = f.mayHaveRun || ev.Result == Failed
	f.req.Replayable = f.req.Replayable && !ev.BodyConsumed
	if !ev.RetryAt.IsZero() {
		f.lowerRetryAt(ev.RetryAt)
	}
}

// finishHandOff records how a hand-off ended.
func (n *Node) finishHandOff(now time.Time, f *inFlight, ev Finished) {
	if ev.Result == Answered {
		n.queue.Completed(now, f.req.Service, ev.Took)
		n.recordPeerServed(f.peer)
	}
	if !f.slotsReported || ev.Result != Answered {
		n.slotReturned(now, f.peer, f.req.Service, ev)
	}
	if f.dest.place != "" {
		n.finishRemoteHandOff(now, f, ev)
	}
	f.dest, f.slotsReported = destination{}, false
}

// freeSlot releases the attempt's slot, or quarantines it if the target may still be
// working.
func (n *Node) freeSlot(now time.Time, f *inFlight, ev Finished) {
	if ev.Result == Answered || ev.Proof == once.ProofRefusal {
		n.targetResponded(now, f.target, now.Add(-ev.Took))
	}
	if f.unowned {
		return
	}
	if ev.Result == Failed {
		n.quarantineSlot(now, f)
		return
	}
	n.owners.Done(f.target)
}

func (n *Node) recordAttempt(now time.Time, f *inFlight, ev Finished) {
	kind := health.Failed
	switch {
	case ev.Result == Answered:
		kind = health.OK
	case ev.Result == NotRun && ev.Proof == once.ProofRefusal:
		kind = health.Refused
	case !now.Before(f.req.Deadline):
		kind = health.Timeout
	}
	n.queue.Completed(now, f.req.Service, ev.Took)
	if ev.CallerGone || ev.LackedHere {
		return
	}
	n.state(now, f.req.Service).health.Observe(now, f.target, kind, ev.Took)
	if kind == health.OK {
		n.postponeProbe(now, f.target)
	}
}

// retryOrRefuse decides whether a request whose attempt gave no answer is tried again.
func (n *Node) retryOrRefuse(now time.Time, f *inFlight, ev Finished, proof bool) {
	reason := ev.Reason
	if reason == "" {
		reason = ReasonTargetError
	}
	if f.keyed && proof {
		n.once.Withdraw(f.key, f.keyAttempt, ev.Proof)
	}
	if f.keyed && !proof {
		n.once.Finish(now, f.key, f.keyAttempt, once.Outcome{Kind: once.OutcomeUnknown})
	}
	if ev.CallerGone {
		n.refuse(now, f, ReasonCallerGone)
		return
	}
	if !n.mayRetry(now, f, proof) {
		n.refuse(now, f, reason)
		return
	}
	n.route(now, f, ReasonRetry)
}

// mayRetry consults the retry policy. Only the instance that the caller asked retries.
func (n *Node) mayRetry(now time.Time, f *inFlight, proof bool) bool {
	budget := n.state(now, f.req.Service).budget
	d := n.retry.Decide(now, retry.Attempt{
		Idempotent:     f.idempotent,
		NotRun:         proof,
		HandedOff:      f.origin == FromPeer,
		Streamed:       !f.req.Replayable,
		AttemptsMade:   f.attempts,
		UntriedTargets: n.otherCandidates(now, f),
		Expected:       now,
		Deadline:       f.req.Deadline,
	}, budget)
	if d.Retry() {
		n.cfg.Checks.Check(invariant.RetryBound, budget.WithinBound(), f.req.Service.String)
	}
	return d.Retry()
}

// otherCandidates counts the targets here and the peers elsewhere that have not refused
// f, up to one. Without any, f would wait in vain until its deadline.
func (n *Node) otherCandidates(now time.Time, f *inFlight) int {
	if n.servesHere(f) {
		for _, key := range n.state(now, f.req.Service).keys {
			if _, why := n.unavailableUntil(now, key); why == "" && !f.hasTried(key.Name) {
				return 1
			}
		}
	}
	for _, place := range f.service.Places() {
		for _, p := range n.peers.byPlace[place] {
			if !p.Leaving && !f.hasTried(p.ID) {
				return 1
			}
		}
	}
	return 0
}

// complete closes a request whose answer, complete or truncated, has been sent.
func (n *Node) complete(now time.Time, f *inFlight, o once.Outcome) {
	if f.keyed {
		n.once.Finish(now, f.key, f.keyAttempt, o)
	}
	delete(n.requests, f.id)
}

// refuse gives the final answer "not run", or "unknown" if an earlier attempt may have
// run. The request must not be at any target; its state is removed.
func (n *Node) refuse(now time.Time, f *inFlight, reason Reason) {
	if f.mayHaveRun {
		n.refuseUnknown(f, reason)
		return
	}
	if f.keyed {
		n.once.Finish(now, f.key, f.keyAttempt, once.Outcome{Kind: once.OutcomeNotRun})
	}
	delete(n.requests, f.id)
	n.decide(Refuse{ID: f.id, Reason: reason, RetryAt: f.retryAt, Passed: f.passed})
}

// refuseUnknown gives the final answer "may have run".
func (n *Node) refuseUnknown(f *inFlight, reason Reason) {
	delete(n.requests, f.id)
	n.decide(Refuse{ID: f.id, Unknown: true, Reason: reason, RetryAt: f.retryAt, Passed: f.passed})
}

// cancelled drops a queued request. A request that was sent ends with the shell's
// Finished, since its slot is held until then.
func (n *Node) cancelled(now time.Time, ev Cancelled) {
	f, ok := n.requests[ev.ID]
	if !ok || f.stage != stageQueued {
		return
	}
	n.queue.Cancel(now, uint64(f.id))
	n.refuse(now, f, ReasonCallerGone)
}
