package quota

import (
	"math"
	"slices"
	"time"
)

const (
	// maxPriorities bounds the priorities that are told apart for one workspace.
	maxPriorities = 8
	// reserveTime is how long the tokens that are kept for a more urgent priority last at its demand:
	// requests arrive unevenly within that time.
	reserveTime = 200 * time.Millisecond
	// reserveShare bounds the part of the capacity of a bucket that is kept for more urgent requests.
	reserveShare = 0.5
	// minPriorityDemand is the demand below which a priority reserves nothing, in requests per second:
	// nobody has asked for it for some seconds.
	minPriorityDemand = 0.1
	// openEach is how many requests of a priority come to one that leaves no tokens for others, so that
	// no priority is shut out.
	openEach = 10
)

// urgency divides the tokens of a workspace that asks for more than it may among its priorities: a
// request leaves tokens in the bucket for the more urgent ones.
type urgency struct {
	classes []priorityDemand // in ascending order of priority; maxPriorities at most
}

// priorityDemand is the demand of the requests of one priority.
type priorityDemand struct {
	priority int       // 0 is the most urgent
	demand   float64   // requests per second, smoothed over demandWindow
	at       time.Time // the time of demand
	requests int       // so far
}

// rate returns the demand at a time.
func (d *priorityDemand) rate(now time.Time) float64 {
	return d.demand * math.Exp(-max(0, now.Sub(d.at).Seconds())/demandWindow.Seconds())
}

// count adds a request to the demand of its priority. Priorities beyond maxPriorities count as the
// least urgent known one.
func (u *urgency) count(now time.Time, priority int) {
	i, found := slices.BinarySearchFunc(u.classes, priority, func(d priorityDemand, p int) int { return d.priority - p })
	switch {
	case found:
	case len(u.classes) < maxPriorities:
		u.classes = slices.Insert(u.classes, i, priorityDemand{priority: priority, at: now})
	default:
		i = len(u.classes) - 1
	}
	d := &u.classes[i]
	d.demand, d.at = d.rate(now)+1/demandWindow.Seconds(), now
	d.requests++
}

// total returns the demand of all priorities.
func (u *urgency) total(now time.Time) float64 { return u.demandFrom(now, math.MaxInt) }

// demandFrom returns the demand of the requests that are at least as urgent as a priority.
func (u *urgency) demandFrom(now time.Time, priority int) float64 {
	sum := 0.0
	for i := range u.classes {
		if d := &u.classes[i]; d.priority <= priority {
			sum += d.rate(now)
		}
	}
	return sum
}

// reserve returns how many tokens a request of a priority leaves in a bucket for more urgent ones.
func (u *urgency) reserve(now time.Time, priority int, maxStock float64) float64 {
	sum := 0.0
	for i := range u.classes {
		d := &u.classes[i]
		if d.priority >= priority {
			if d.priority == priority && d.requests%openEach == 0 {
				return 0
			}
			break
		}
		if rate := d.rate(now); rate >= minPriorityDemand {
			sum += max(1, rate*reserveTime.Seconds())
		}
	}
	return min(sum, reserveShare*maxStock)
}
