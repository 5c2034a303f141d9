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
func (n *Node) pass(ctx context.Context, p *passage) *http1.Response {
	for ctx.Err() == nil && boottime.Now().Before(p.deadline) && p.again() {
		if p.revoked = !n.judgeAgain(p); p.revoked {
			break
		}
		p.choice = n.pick(p)
		if p.choice.Reason != "" {
			break
		}
		if v := n.round(ctx, p); v.final {
			return v.answer
		}
	}
	return n.giveUp(p)
}

// failureAnswer returns the answer to a request after its last attempt gave none that is final: the
// last answer of a target if there is one, or else one of this instance.
func (n *Node) giveUp(p *passage) *http1.Response {
	if p.last != nil {
		return p.last
	}
	status := p.status(boottime.Now(), p.deadline)
	if p.revoked && !p.mayHaveRun {
		status = http.StatusUnauthorized
	}
	resp := ownAnswer(p.info, status)
	if status == http.StatusServiceUnavailable {
		if p.choice.Reason == "" {
			p.choice.Again = n.rest(p)
		}
		platform.RetryAfter(resp.Header, max(p.choice.Again, againSoonest))
	}
	return resp
}

// minRetryAfter is the shortest time after which a refused caller is asked to retry.
const againSoonest = 50 * time.Millisecond

// attempt is a finished attempt at a target.
type result struct {
	choice steer.Choice
	begun  time.Time
	resp   *http1.Response
	err    error
}

// sendHedged sends the request to the chosen target. If the answer is slower than expected, the
// request is also sent to a second target, provided that it may run more than once, has an attempt
// left, and the configuration has not changed, as the new one might not allow it. The first
// final answer counts, and the other attempt is cancelled.
func (n *Node) round(ctx context.Context, p *passage) verdict {
	p.begin(p.choice.Target.ID)
	if !p.repeatable || !p.again() {
		return n.take(ctx, p, n.run(ctx, p, p.choice))
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan result, mostAtOnce)
	start := func(c steer.Choice) { go func() { results <- n.run(ctx, p, c) }() }
	start(p.choice)
	slow := time.NewTimer(boottime.Until(p.choice.SlowAt))
	defer slow.Stop()
	var v verdict
	for p.running > 0 && !v.final {
		select {
		case r := <-results:
			v = n.take(ctx, p, r)
		case <-slow.C:
			if n.rules.Load() != p.rules {
				continue
			}
			if c := n.pick(p); c.Reason == "" {
				p.begin(c.Target.ID)
				start(c)
			}
		}
	}
	if p.running > 0 {
		go n.overtaken(p, results)
	}
	return v
}

// maxConcurrentAttempts bounds the targets that work on a request at the same time.
const mostAtOnce = 2

// send makes an attempt at a target.
func (n *Node) run(ctx context.Context, p *passage, c steer.Choice) result {
	begun := boottime.Now()
	resp, err := n.exchange(ctx, p, c.Target)
	return result{choice: c, begun: begun, resp: resp, err: err}
}

// complete records the outcome of an attempt.
func (n *Node) take(ctx context.Context, p *passage, r result) verdict {
	v := judge(ctx, r.resp, r.err)
	p.choice, p.ending, p.cause = r.choice, v.ending, r.err
	p.note(v)
	n.settle(p, r, v)
	n.learn(p, r, v)
	if !v.final {
		n.logAttempt(p, r, v)
	}
	return v
}

// trackCrashes passes what an attempt shows about poison requests to the crash tracker.
func (n *Node) learn(p *passage, r result, v verdict) {
	switch {
	case v.broken:
		n.crashes.broke(boottime.Now(), r.choice.Target, p.print)
	case v.final && v.answer.Rest != nil:
		v.answer.Rest = &longAnswer{ReadCloser: v.answer.Rest, crashes: n.crashes, target: r.choice.Target, print: p.print}
	case v.final && v.answer.Status < http.StatusMultipleChoices:
		n.crashes.answered(boottime.Now(), p.print)
	}
}

// completeOvertaken records the outcome of an attempt that was cancelled because another target
// answered first. It counts as late, unless it ended by itself at the same moment.
func (n *Node) overtaken(p *passage, results <-chan result) {
	r := <-results
	if r.resp != nil && r.resp.Rest != nil {
		r.resp.Rest.Close()
	}
	v := judge(context.Background(), r.resp, r.err)
	n.settle(p, r, v)
	n.logAttempt(p, r, v)
}
