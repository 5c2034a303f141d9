package edge

import (
	"net/http"
	"time"

	"github.com/firlever/firlever/internal/boottime"
	"github.com/firlever/firlever/internal/metrics"
	"github.com/firlever/firlever/internal/steer"
	"github.com/firlever/firlever/platform"
)

// handleAnswerHeader handles the header of an answer before its body is received, and returns
// whether the answer belongs to the request.
func (n *Node) handleAnswerHeader(p *pendingRequest, target steer.Target, sent time.Time, status int, h http.Header) bool {
	a := platform.ReadAnswer(status, h)
	if !a.BelongsTo(p.info.ID) {
		return false
	}
	if status != http.StatusMisdirectedRequest { // then the notice is another target's
		n.applyNotice(p, target, sent, status, a)
	}
	return true
}

// applyNotice applies what a target announces about the requests that it accepts.
func (n *Node) applyNotice(p *pendingRequest, target steer.Target, sent time.Time, status int, a platform.Answer) {
	now := boottime.Now()
	success := status < http.StatusMultipleChoices && a.Signed && a.InvalidHeaders == nil
	n.mu.Lock()
	changes := n.fleet.ApplyNotice(now, target, sent, a.Notice, success)
	n.mu.Unlock()
	for _, change := range changes {
		n.logNotice(now, steer.ConstraintUpdate{Target: target, Change: change, Limit: a.Notice.Limit}, "rest", a.Notice.BackOff, "id", p.info.ID, "status", status)
	}
	if a.InvalidHeaders == nil {
		return
	}
	n.cfg.Metrics.CountDecision(metrics.Decision{Kind: "notice", Service: target.Service, Reason: "unreadable"})
	if suppressed, ok := n.failureLimiter.Allow(now); ok {
		n.cfg.Log.Warn("target notice unreadable", "target", target.ID, "headers", a.InvalidHeaders, "id", p.info.ID, "suppressed", suppressed)
	}
}

// wanted reports whether a target still accepts the request that it was chosen for.
func (n *Node) wanted(target steer.Target) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.fleet.Accepts(boottime.Now(), target)
}

// refuseShed returns the refusal of a request that all targets which it was sent to have refused.
func (n *Node) refuseShed(p *pendingRequest) steer.Choice {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.fleet.RefuseShed(boottime.Now(), n.query(p))
}

// logNotice counts and logs a change in what a target accepts, with further fields.
func (n *Node) logNotice(now time.Time, h steer.ConstraintUpdate, fields ...any) {
	t := h.Target
	n.cfg.Metrics.CountDecision(metrics.Decision{Kind: "notice", Service: t.Service, Reason: string(h.Change)})
	suppressed, ok := n.failureLimiter.Allow(now)
	if !ok {
		return
	}
	line := []any{
		"target", t.ID, "service", t.Service, "domain", t.Domain, "started", t.Started, "news", h.Change, "limit", h.Limit, "suppressed", suppressed,
	}
	n.cfg.Log.Info("target notice", append(line, fields...)...)
}
