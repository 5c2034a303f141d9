package edge

import (
	"context"
	"net/http"
	"time"

	"github.com/firlever/firlever/internal/boottime"
	"github.com/firlever/firlever/internal/http1"
	"github.com/firlever/firlever/internal/steer"
	"github.com/firlever/firlever/platform"
)

// forward sends a request to one target after another, as long as retries are allowed.
func (n *Node) forward(ctx context.Context, p *pendingRequest) *http1.Response {
	for ctx.Err() == nil && boottime.Now().Before(p.deadline) && p.canRetry() {
		if p.keyRevoked = !n.reauthorize(p); p.keyRevoked {
			break
		}
		if n.partition.partitioned() {
			return n.forwardElsewhere(ctx, p)
		}
		if resp := n.forwardIfBehind(ctx, p); resp != nil {
			return resp
		}
		if !p.canRetry() {
			break // the hand-off has taken a part of the body
		}
		p.choice = n.pick(p)
		if p.choice.Reason != "" {
			break
		}
		if v := n.sendHedged(ctx, p); v.final {
			p.answeredByTarget = true
			return v.answer
		}
	}
	if p.onlyUnsent() && n.partition.awaitCheck(ctx, p.deadline) {
		return n.forwardElsewhere(ctx, p)
	}
	return n.failureAnswer(p)
}

// failureAnswer returns the answer to a request after its last attempt gave none that is final: the
// last answer of a target if there is one, or else one of this instance.
func (n *Node) failureAnswer(p *pendingRequest) *http1.Response {
	if p.lastAnswer != nil {
		return p.lastAnswer
	}
	status := p.status(boottime.Now(), p.deadline)
	if p.keyRevoked && !p.mayHaveRun && !n.mayBeBehind(n.rules.Load()) {
		status = http.StatusUnauthorized
	}
	resp := ownAnswer(p.info, status)
	if status == http.StatusServiceUnavailable {
		if p.choice.Reason == "" {
			shed := n.refuseShed(p)
			p.choice.RetryAfter, p.choice.Promised = shed.RetryAfter, shed.Promised
		}
		platform.SetRetryAfter(resp.Header, max(p.choice.RetryAfter, minRetryAfter))
	}
	return resp
}

// minRetryAfter is the shortest time after which a refused caller is asked to retry.
const minRetryAfter = 50 * time.Millisecond

// attempt is a finished attempt at a target.
type attempt struct {
	choice steer.Choice
	start  time.Time
	resp   *http1.Response
	err    error
}

// sendHedged sends the request to the chosen target. If the answer is slower than expected, the
// request is also sent to a second target, provided that it may run more than once, has an attempt
// left, and the configuration has not changed, as the new one might not allow it. The first
// final answer counts, and the other attempt is cancelled.
func (n *Node) sendHedged(ctx context.Context, p *pendingRequest) attemptOutcome {
	p.begin(p.choice.Target.ID)
	if !p.repeatable || p.in.Rest != nil || !p.canRetry() {
		return n.complete(ctx, p, n.send(ctx, p, p.choice))
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan attempt, maxConcurrentAttempts)
	start := func(c steer.Choice) { go func() { results <- n.send(ctx, p, c) }() }
	start(p.choice)
	hedge := time.NewTimer(boottime.Until(p.choice.HedgeAt))
	defer hedge.Stop()
	var v attemptOutcome
	for p.inFlight > 0 && !v.final {
		select {
		case r := <-results:
			v = n.complete(ctx, p, r)
		case <-hedge.C:
			if n.rules.Load() != p.rules || n.partition.partitioned() {
				continue
			}
			if c := n.pick(p); c.Reason == "" {
				p.begin(c.Target.ID)
				start(c)
			}
		}
	}
	if p.inFlight > 0 {
		go n.completeOvertaken(p, results)
	}
	return v
}

// maxConcurrentAttempts bounds the targets that work on a request at the same time.
const maxConcurrentAttempts = 2

// send makes an attempt at a target.
func (n *Node) send(ctx context.Context, p *pendingRequest, c steer.Choice) attempt {
	start := boottime.Now()
	resp, err := n.exchange(ctx, p, c.Target)
	return attempt{choice: c, start: start, resp: resp, err: err}
}

// complete records the outcome of an attempt.
func (n *Node) complete(ctx context.Context, p *pendingRequest, r attempt) attemptOutcome {
	v := classify(ctx, r.resp, r.err)
	n.countFailure(ctx, r)
	n.partition.recordAttempt(ctx, r)
	p.choice, p.ending, p.cause = r.choice, v.ending, r.err
	p.end(r.choice.Target.ID, v)
	if r.resp != nil && v.answer == nil {
		defer r.resp.Discard()
	}
	n.recordOutcome(p, r, v)
	n.trackCrashes(p, r, v)
	if !v.final {
		n.logFailedAttempt(p, r, v)
	}
	return v
}

// trackCrashes passes what an attempt shows about poison requests to the crash tracker.
func (n *Node) trackCrashes(p *pendingRequest, r attempt, v attemptOutcome) {
	switch {
	case v.aborted && !n.partition.partitioned():
		n.crashes.exchangeAborted(boottime.Now(), r.choice.Target, p.fingerprint)
	case v.final && v.answer.Rest != nil:
		v.answer.Rest = &streamedAnswer{ReadCloser: v.answer.Rest, tracker: n.crashes, target: r.choice.Target, fingerprint: p.fingerprint}
	case v.final && v.answer.Status < http.StatusMultipleChoices:
		n.crashes.answered(boottime.Now(), p.fingerprint)
	}
}

// completeOvertaken records the outcome of an attempt that was cancelled because another target
// answered first. It counts as late, unless it ended by itself at the same moment.
func (n *Node) completeOvertaken(p *pendingRequest, results <-chan attempt) {
	r := <-results
	if r.resp != nil {
		defer r.resp.Discard()
	}
	v := classify(context.Background(), r.resp, r.err)
	if r.resp != nil {
		n.partition.recordAttempt(context.Background(), r)
	}
	n.recordOutcome(p, r, v)
	n.logFailedAttempt(p, r, v)
}
