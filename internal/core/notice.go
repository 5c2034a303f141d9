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
	// retrySpread spreads the callers that are refused until the same time, so that they
	// don't come back at once.
	retrySpread = time.Second
	// retryLeaving is when a caller may come back that finds only targets which leave:
	// others have to be registered first.
	retryLeaving = time.Second
	// zeroLimitBackOff is how long a target that names a limit of 0 is left alone until it is
	// asked whether that is over; probes show it sooner.
	zeroLimitBackOff = 10 * time.Second
)

// Noticed tells what a target said, in an answer or when it was probed, of the requests that
// it wants.
type Noticed struct {
	Target owner.TargetKey
	Asked  time.Time // when the request or probe was sent
	Notice notice.Notice
	Unread []string // what of it can't be read
	Whole  bool     // a success: what it does not say is not so
}

func (Noticed) event() {}

// TargetNews says that a target wants other requests than before.
type TargetNews struct {
	Target owner.TargetKey
	Notice notice.Notice
	Unread []string
}

func (TargetNews) decision() {}

// constraint is what a target has said of the requests that it wants. The target has one owner,
// so that a limit over all instances is one for this instance.
type constraint struct {
	leaving      bool
	limited      bool
	rate         float64   // requests a second; counts if limited
	next         time.Time // when it takes the next one, if limited
	backOffUntil time.Time // it gets nothing before
	updated      time.Time // when it last said anything
	unreadable   bool      // its last notice could not be read whole
}

// noticeReceived takes in what a target said. Requests that wait for nothing else then are refused.
func (n *Node) noticeReceived(now time.Time, ev Noticed) {
	s, ok := n.services[ev.Target.Service]
	if !ok || !slices.Contains(s.keys, ev.Target) {
		return
	}
	c := s.constraints[ev.Target]
	if c == nil {
		if !ev.Notice.Any() && ev.Unread == nil {
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
		n.decide(TargetNews{Target: ev.Target, Notice: ev.Notice, Unread: ev.Unread})
		n.rerouteQueued(now, ev.Target.Service)
	}
}

// apply takes a notice in, and says whether it changes anything.
func (c *constraint) apply(now time.Time, ev Noticed) bool {
	before := *c
	if ev.Notice.Rest > 0 {
		if ends := now.Add(ev.Notice.Rest); ends.After(c.backOffUntil) {
			c.backOffUntil = ends
		}
	}
	later := ev.Asked.After(c.updated)
	if ev.Notice.Leaving || ev.Whole && later {
		c.leaving = ev.Notice.Leaving
	}
	if ev.Notice.Limited || ev.Whole && later {
		c.limited, c.rate = ev.Notice.Limited, ev.Notice.Limit
	}
	if ev.Notice.Any() {
		c.updated = now
	}
	c.unreadable = ev.Unread != nil
	return c.unreadable != before.unreadable || c.leaving != before.leaving || c.limited != before.limited || c.rate != before.rate ||
		c.backOffUntil != before.backOffUntil && !now.Before(before.backOffUntil)
}

// unavailableUntil says until when a target gets no requests, and why; "" if it may get one now.
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

// allUnavailableUntil says until when none of the targets that this instance may use gets requests of a
// service, and why; "" if one may get some.
func (n *Node) allUnavailableUntil(now time.Time, id settings.ServiceID) (time.Time, Reason) {
	var first time.Time
	var why Reason
	for _, key := range n.state(now, id).keys {
		if !n.baseline() && n.owners.Usable(now, key) == 0 {
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

// countAgainstLimit notes that a request goes to a target, which takes the next one later if it has named a
// limit.
func (n *Node) countAgainstLimit(now time.Time, key owner.TargetKey) {
	if c := n.state(now, key.Service).constraints[key]; c != nil && c.limited {
		c.next = now.Add(n.requestInterval(now, key, c))
	}
}

// requestInterval is the time between two requests at a target that has named a limit. Who has a part of the
// target's slots, as ownership changes, has that part of the limit.
func (n *Node) requestInterval(now time.Time, key owner.TargetKey, c *constraint) time.Duration {
	rate := c.rate
	if limit := n.state(now, key.Service).limits[key]; limit > 0 && !n.baseline() {
		rate *= float64(n.owners.Usable(now, key)) / float64(limit)
	}
	return time.Duration(math.Min(float64(time.Second)/rate, float64(zeroLimitBackOff)))
}

// refuseUnavailable refuses a request that only targets could serve which want none now.
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

// rerouteQueued decides anew on the waiting requests of a service whose targets want none now.
func (n *Node) rerouteQueued(now time.Time, id settings.ServiceID) {
	if _, why := n.allUnavailableUntil(now, id); why == "" {
		return
	}
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
