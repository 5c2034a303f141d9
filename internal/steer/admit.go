package steer

import "time"

// accepts reports whether the request may be sent to the candidate: it gets a slot there within its
// objective and before its deadline, and the target did not just refuse others.
func (c *candidate) accepts(now time.Time, q *Query, e estimate) bool {
	return e.wait <= q.Objective && q.Deadline.After(now.Add(e.wait)) && !now.Before(c.shedUntil)
}
