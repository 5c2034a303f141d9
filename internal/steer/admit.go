package steer

import (
	"time"

	"github.com/firlever/firlever/internal/admission"
)

// Admission is what was decided of a request because of its service's load.
type Admission struct {
	Decided  bool          // the load of the service was considered
	Short    bool          // the service is short of room
	Load     float64       // requests per slot of the service's targets, running and waiting
	Priority int           // of the request, within the range that is told apart
	Share    float64       // of the requests of this priority that is admitted
	Answer   time.Duration // expected time from its arrival to its answer, if a target was found
}

// lowQuantile is the quantile of latencies that is taken as the time of work whose object is warm.
const lowQuantile = 0.25

// contention is how long a target counts as contended after it was as full as makes a service short
// of room: other instances know of slots that became free since, and send to it too.
const contention = 2 * time.Second

// recordContention records a report of the target's load.
func (t *target) recordContention(at time.Time, load int) {
	if float64(load) >= admission.ShortLoad*float64(t.Slots) {
		t.contendedUntil = later(t.contendedUntil, at.Add(contention))
	}
}

// accepts reports whether the request may be sent to the candidate: it gets a slot there soon enough
// and before its deadline, and the target did not just refuse others. While the service is short of
// room, the limits of admit hold at contended targets.
func (c *candidate) accepts(now time.Time, q *Query, e estimate) bool {
	maxWait := q.Objective
	if q.short && now.Before(c.contendedUntil) {
		if q.yields {
			return false
		}
		maxWait = q.maxWait
	}
	return e.wait <= maxWait && q.Deadline.After(now.Add(e.wait)) && !now.Before(c.shedUntil)
}

// admit decides by the load of its service where a request may wait for a slot, if that is
// configured. Requests without an
// objective, those that were sent before, and those for services whose targets don't report their
// load are not concerned.
func (f *Fleet) admit(now time.Time, s *service, q *Query, objective time.Duration) {
	q.admitted = f.cfg.Admission && objective > 0 && !q.Retry && s.reportedAt.After(now.Add(-loadReportTTL))
	if !q.admitted {
		return
	}
	l := &s.level
	if l.Due(now) {
		l.Update(now, f.room(now, s))
	}
	mayWait, mostUrgent := l.MayWait(now, q.Priority, objective, hash(q.SpreadKey)), l.MostUrgent(q.Priority)
	if s.latency(objective) > objective && mostUrgent {
		// The work alone makes answers late, as at cold targets: nobody is in time because others
		// don't wait.
		return
	}
	q.short = l.Short(now)
	if mayWait {
		q.maxWait = l.MaxWait(now, q.Priority, objective, q.waited(now), s.lowLatency)
	} else {
		q.yields = !mostUrgent
	}
}

// recordAdmitted records whether a target could take a request that was admitted, and adds the
// admission to the choice.
func (s *service) recordAdmitted(now time.Time, q *Query, c Choice) Choice {
	if !q.admitted {
		return c
	}
	c.Admission = s.admission(now, q)
	switch c.Reason {
	case "":
		s.level.Sent()
		c.Admission.Answer = q.waited(now) + c.Wait + s.latency(q.Objective)
	case NoCapacity:
		if q.short {
			c.Reason = Overloaded
			if !c.Promised {
				c.RetryAfter = s.level.RetryAfter(now, q.Deadline, hash(q.SpreadKey))
			}
		}
	}
	return c
}

func (s *service) admission(now time.Time, q *Query) Admission {
	return Admission{
		Decided: true, Short: s.level.Short(now), Load: s.level.Load(), Priority: admission.Priority(q.Priority), Share: s.level.Share(q.Priority),
	}
}

// waited returns how long the request has been here.
func (q *Query) waited(now time.Time) time.Duration {
	if q.ReceivedAt.IsZero() {
		return 0
	}
	return max(0, now.Sub(q.ReceivedAt))
}

// room returns the room of a service: of the first windowSize of its targets, the same at all
// instances, so that the cost does not grow with the service.
func (f *Fleet) room(now time.Time, s *service) admission.Room {
	r := admission.Room{Work: s.latency(DefaultObjective)}
	for _, t := range s.targets[:min(len(s.targets), windowSize)] {
		if f.available(t) && !t.ejected(now) {
			load := t.currentLoad(now)
			r.Requests += load
			r.Busy += min(load, t.Slots)
			r.Slots += t.Slots
		}
	}
	return r
}

// recordLowLatency moves the low quantile of the latencies of a service with one of them.
func (s *service) recordLowLatency(took time.Duration) {
	switch {
	case s.lowLatency == 0:
		s.lowLatency = took
	case took > s.lowLatency:
		s.lowLatency += time.Duration(smoothingWeight * lowQuantile * float64(s.lowLatency))
	default:
		s.lowLatency -= time.Duration(smoothingWeight * (1 - lowQuantile) * float64(s.lowLatency))
	}
}

// AdmittedShares returns the share of the requests for a service that is admitted, by priority;
// priorities that were not asked for lately are left out.
func (f *Fleet) AdmittedShares(name string) map[int]float64 {
	if s, ok := f.services[name]; ok {
		return s.level.Shares()
	}
	return nil
}
