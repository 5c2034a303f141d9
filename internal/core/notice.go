package core

import (
	"math"
	"slices"
	"time"

	"github.com/firlever/firlever/internal/notice"
	"github.com/firlever/firlever/internal/owner"
	"github.com/firlever/firlever/pkg/settings"
)

const (
	// retrySpread randomizes the retry time of callers that are refused until the same
	// moment, so that they don't all come back at once.
	retrySpread = time.Second
	// retryLeaving is when a caller that finds only leaving targets may retry: others have
	// to be registered first.
	retryLeaving = time.Second
	// zeroLimitBackOff is how long a target that announced a limit of 0 gets no request
	// before one is sent to check whether the limit still holds. Probes detect the change
	// sooner.
	zeroLimitBackOff = 10 * time.Second
)

// NoticeReceived delivers the notice of a target, from an answer or a probe, about the requests
// that it accepts.
type NoticeReceived struct {
	Target     owner.TargetKey
	Sent       time.Time // when the request or probe was sent
	Notice     notice.Notice
	Unreadable []string // the parts that could not be parsed
	Complete   bool     // from a successful answer: a constraint that the notice does not state has ended
}

func (NoticeReceived) event() {}

// ReportNotice reports that a target's constraints have changed.
type ReportNotice struct {
	Target     owner.TargetKey
	Notice     notice.Notice
	Unreadable []string
}

func (ReportNotice) decision() {}

// constraint is what a target has announced about the requests that it accepts. As the
// target has one owner, a limit for all instances together is a limit for this instance.
type constraint struct {
	leaving      bool
	limited      bool
	rate         float64   // requests per second; valid if limited
	next         time.Time // when it accepts the next request; valid if limited
	backOffUntil time.Time // end of its back-off
	updated      time.Time // time of the last notice
	unreadable   bool      // the last notice could not be parsed completely
}

// noticeReceived applies a target's notice. Queued requests that have no other option
// left are refused.
func (n *Node) noticeReceived(now time.Time, ev NoticeReceived) {
	s, ok := n.services[ev.Target.Service]
	if !ok || !slices.Contains(s.keys, ev.Target) {
		return
	}
	c := s.constraints[ev.Target]
	if c == nil {
		if !ev.Notice.Any() && ev.Unreadable == nil {
			return
		}
		c = &constraint{}
		s.constraints[ev.Target] = c
	}
	limited := c.limited
	changed := c.apply(now, ev)
	if c.limited && !limited {
		c.next = now.Add(n.requestInterval(now, ev.Target, c))
	}
	if changed {
		n.decide(ReportNotice{Target: ev.Target, Notice: ev.Notice, Unreadable: ev.Unreadable})
		n.rerouteQueued(now, ev.Target.Service)
	}
}

// apply merges a notice into the constraint, and reports whether anything changed.
func (c *constraint) apply(now time.Time, ev NoticeReceived) bool {
	before := *c
	if ev.Notice.BackOff > 0 {
		if ends := now.Add(ev.Notice.BackOff); ends.After(c.backOffUntil) {
			c.backOffUntil = ends
		}
	}
	later := ev.Sent.After(c.updated)
	if ev.Notice.Leaving || ev.Complete && later {
		c.leaving = ev.Notice.Leaving
	}
	if ev.Notice.HasLimit || ev.Complete && later {
		c.limited, c.rate = ev.Notice.HasLimit, ev.Notice.Limit
	}
	if ev.Notice.Any() {
		c.updated = now
	}
	c.unreadable = ev.Unreadable != nil
	return c.unreadable != before.unreadable || c.leaving != before.leaving || c.limited != before.limited || c.rate != before.rate ||
		c.backOffUntil != before.backOffUntil && !now.Before(before.backOffUntil)
}

// unavailableUntil returns until when a target gets no requests, and why; the reason is
// "" if it may get one now.
func (n *Node) unavailableUntil(now time.Time, key owner.TargetKey) (time.Time, Reason) {
	c := n.state(now, key.Service).constraints[key]
	switch {
	case c == nil:
		return time.Time{}, ""
	case c.leaving:
		return now.Add(retryLeaving), ReasonDrained
	case now.Before(c.backOffUntil):
		return c.backOffUntil, ReasonBackingOff
	case c.limited && now.Before(c.next):
		return c.next, ReasonLimited
	}
	return time.Time{}, ""
}

// allUnavailableUntil returns until when none of the targets that this instance may use
// gets requests of a service, and why; the reason is "" if one of them may get some.
func (n *Node) allUnavailableUntil(now time.Time, id settings.ServiceID) (time.Time, Reason) {
	var first time.Time
	var why Reason
	for _, key := range n.state(now, id).keys {
		if !n.baseline() && n.owners.UsableSlots(now, key) == 0 {
			continue
		}
		until, reason := n.unavailableUntil(now, key)
		if reason == "" {
			return time.Time{}, ""
		}
		if why == "" || until.Before(first) {
			first, why = until, reason
		}
	}
	return first, why
}

// countAgainstLimit records that a request goes to a target, which delays the next one if
// the target announced a limit.
func (n *Node) countAgainstLimit(now time.Time, key owner.TargetKey) {
	if c := n.state(now, key.Service).constraints[key]; c != nil && c.limited {
		c.next = now.Add(n.requestInterval(now, key, c))
	}
}

// requestInterval returns the time between two requests at a target that announced a
// limit. During a change of ownership, an instance that may use part of the target's
// slots has the same part of the limit.
func (n *Node) requestInterval(now time.Time, key owner.TargetKey, c *constraint) time.Duration {
	rate := c.rate
	if limit := n.state(now, key.Service).limits[key]; limit > 0 && !n.baseline() {
		rate *= float64(n.owners.UsableSlots(now, key)) / float64(limit)
	}
	return time.Duration(math.Min(float64(time.Second)/rate, float64(zeroLimitBackOff)))
}

// refuseUnavailable refuses a request if none of the targets that could serve it accepts
// any now.
func (n *Node) refuseUnavailable(now time.Time, f *inFlight) bool {
	if !n.servesHere(f) {
		return false
	}
	until, why := n.allUnavailableUntil(now, f.req.Service)
	if why == "" {
		return false
	}
	f.lowerRetryAt(until.Add(time.Duration(n.cfg.Rand.Int64N(int64(retrySpread)))))
	n.refuse(now, f, why)
	return true
}

// rerouteQueued decides again on a service's queued requests if none of its targets
// accepts any now.
func (n *Node) rerouteQueued(now time.Time, id settings.ServiceID) {
	if _, why := n.allUnavailableUntil(now, id); why != "" {
		n.reroute(now, id)
	}
}

// reroute decides again on a service's queued requests.
func (n *Node) reroute(now time.Time, id settings.ServiceID) {
	var waiting []ID
	for _, f := range n.requests {
		if f.stage == stageQueued && f.req.Service == id {
			waiting = append(waiting, f.id)
		}
	}
	slices.Sort(waiting)
	for _, w := range waiting {
		f := n.requests[w]
		n.queue.Cancel(now, uint64(f.id))
		f.stage = stageNew
		n.route(now, f, ReasonQueue)
	}
}
