package edge

import (
	"context"
	"strconv"
	"time"

	"github.com/firlever/firlever/internal/boottime"
	"github.com/firlever/firlever/internal/http1"
	"github.com/firlever/firlever/internal/metrics"
	"github.com/firlever/firlever/internal/steer"
	"github.com/firlever/firlever/platform"
)

// recordAnswer logs and counts the final answer to a request. Failures and successes are logged
// up to a rate limit each.
func (n *Node) recordAnswer(p *pendingRequest, resp *http1.Response) {
	now := boottime.Now()
	took := now.Sub(p.in.ReceivedAt)
	good := resp.Status < 300
	if good {
		n.cfg.Metrics.RecordLatency(p.service, took)
	}
	n.cfg.Metrics.CountDecision(metrics.Decision{Kind: statusKind(resp.Status), Service: p.service, Reason: p.outcome()})
	n.countReturn(p, resp.Status)
	if p.choice.Reason == steer.Overloaded {
		n.cfg.Metrics.CountDecision(metrics.Decision{Kind: "not-admitted", Service: p.service, Reason: "priority-" + strconv.Itoa(p.choice.Admission.Priority)})
	}
	limiter := n.failureLimiter
	if good {
		limiter = n.successLimiter
	}
	suppressed, ok := limiter.Allow(now)
	if !ok {
		return
	}
	line := n.answerFields(now, p, resp)
	if suppressed > 0 {
		line = append(line, "suppressed", suppressed)
	}
	if good {
		n.cfg.Log.Info("request", line...)
		return
	}
	n.cfg.Log.Warn("request", append(line, "first", p.choice.FirstCandidate, "again", p.choice.RetryAfter, "err", p.cause)...)
}

// answerFields returns the fields of the log line about a request's final answer: the request,
// the inputs of the choice of its target, and the outcome.
func (n *Node) answerFields(now time.Time, p *pendingRequest, resp *http1.Response) []any {
	c := p.choice
	line := []any{
		"id", p.info.ID, "print", p.fingerprint, "object", p.info.Object, "route", p.route.Name, "workspace", p.workspaceName(), "service", p.service,
		"config", p.rules.Config().Version,
		"status", resp.Status, "took", now.Sub(p.in.ReceivedAt), "left", p.deadline.Sub(now), "attempts", p.reached,
		"target", c.Target.ID, "domain", c.Target.Domain, "wait", c.Wait, "cost", c.Cost, "home", c.Home, "cold", c.Cold,
		"plan", c.PlannedHome, "planned", c.PlannedLoad,
		"busy", c.TargetLoad, "usual", c.TypicalLoad, "load-age", c.LoadAge, "back", c.Estimate, "store-age", n.mirror.Age(now),
		"ending", p.outcome(), "peer", p.peer, "from", p.from, "ended", p.crashedTargets, "conn", p.in.ConnID,
	}
	if c.SlowdownAge >= 0 {
		line = append(line, "slowdown", c.Slowdown, "slowdown-age", c.SlowdownAge)
	}
	if state := p.returnState(resp.Status); state != "" {
		line = append(line, "return", state)
	}
	if a := c.Admission; a.Short {
		line = append(line, "short", true, "priority", a.Priority, "admitted", a.Share, "expected", a.Answer)
	}
	if c.LimitShare != nil {
		line = append(line, "limit", c.LimitShare.Limit, "part", c.LimitShare.Rate)
	}
	return line
}

// outcome returns what decided a request: the reason for which no target was chosen, or the
// outcome of the last attempt.
func (p *pendingRequest) outcome() string {
	switch {
	case p.keyRevoked:
		return "key-revoked"
	case p.choice.Reason != "":
		return string(p.choice.Reason)
	case p.peer != "":
		return "handed-off"
	case p.reached+p.unsent == 0:
		return "out-of-time"
	}
	return p.ending.String()
}

// statusKind returns the class of a status, for metrics.
func statusKind(status int) string {
	switch {
	case status < 300:
		return "success"
	case status == 503:
		return "refused"
	case status == 429:
		return "limited"
	case status < 500:
		return "client-error"
	default:
		return "failed"
	}
}

// countFailure counts an attempt that got no complete answer.
func (n *Node) countFailure(ctx context.Context, r attempt) {
	if failure := failureOf(ctx, r.err); failure != "" {
		n.cfg.Metrics.CountDecision(metrics.Decision{Kind: "attempt", Service: r.choice.Target.Service, Reason: string(failure)})
	}
}

// logFailedAttempt logs an attempt that did not answer the request.
func (n *Node) logFailedAttempt(p *pendingRequest, r attempt, v attemptOutcome) {
	target := r.choice.Target
	suppressed, ok := n.failureLimiter.Allow(boottime.Now())
	if !ok {
		return
	}
	n.cfg.Log.Warn("attempt", "id", p.info.ID, "print", p.fingerprint, "object", p.info.Object, "route", p.route.Name, "target", target.ID, "address", target.Address,
		"domain", target.Domain, "ending", v.ending, "sent", v.sent, "unrun", v.notRun, "again", p.canRetry(),
		"took", boottime.Since(r.start), "suppressed", suppressed, "err", r.err)
}

// recordRetry counts the decision about a retry, and logs up to a rate limit what is used of the
// service's retry budget. n.mu is held.
func (n *Node) recordRetry(now time.Time, p *pendingRequest, c steer.Choice) {
	reason := "allowed"
	if c.Reason != "" {
		reason = string(c.Reason)
	}
	n.cfg.Metrics.CountDecision(metrics.Decision{Kind: "retry", Service: p.service, Reason: reason})
	suppressed, ok := n.retryLimiter.Allow(now)
	if !ok {
		return
	}
	u := n.fleet.RetryUsage(now, p.service)
	n.cfg.Log.Info("retry", "id", p.info.ID, "service", p.service, "reason", reason, "attempts", p.reached+p.inFlight,
		"requests", u.Requests, "used", u.Retries, "allowed", u.Allowed, "spent", u.Spent, "since", now.Sub(u.Since),
		"instances", n.fleet.PeerCount(), "suppressed", suppressed)
}

// logRefusal counts and logs a request that was refused before a target was chosen.
func (n *Node) logRefusal(r *http1.Request, info platform.Request, why *refusal, fields []any) {
	n.cfg.Metrics.CountDecision(metrics.Decision{Kind: statusKind(why.status), Reason: why.reason})
	suppressed, ok := n.failureLimiter.Allow(boottime.Now())
	if !ok {
		return
	}
	n.cfg.Log.Warn("request", append([]any{
		"id", info.ID, "host", r.Host, "path", r.Path, "status", why.status, "reason", why.reason,
		"again", why.retryAfter, "config", n.configVersion(), "store-age", n.mirror.Age(boottime.Now()), "suppressed", suppressed,
	}, fields...)...)
}

// configVersion returns the version of the configuration in force; 0 if there is none yet.
func (n *Node) configVersion() uint64 {
	if current := n.rules.Load(); current != nil {
		return current.Config().Version
	}
	return 0
}
