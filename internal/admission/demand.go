package admission

import "time"

// leastUrgent is the priority that is refused first, and the default for those out of range: a
// faulty priority takes no room from others.
const leastUrgent = 15

const (
	// demandWeight is the weight of one request in the shares of the demand.
	demandWeight = 0.02
	// minDemand is the share of the demand below which a priority decides nothing for others, and
	// is admitted.
	minDemand = 0.02
	// objectivePeriod is how long the objective of a request counts for others.
	objectivePeriod = 10 * time.Second
)

// Priority returns the priority by which a request is admitted, within 0 and leastUrgent.
func Priority(priority int) int {
	if priority < 0 || priority > leastUrgent {
		return leastUrgent
	}
	return priority
}

// demand is what is asked of a service by priority, in this instance's latest requests.
type demand struct {
	shares     [leastUrgent + 1]float64 // 0 to 1, together 0 or nearly 1
	objectives [leastUrgent + 1]objective
}

// objective is the shortest objective of the latest requests of one priority.
type objective struct {
	latency time.Duration
	until   time.Time // it counts until then
}

func (d *demand) record(now time.Time, priority int, latency time.Duration) {
	for p := range d.shares {
		d.shares[p] *= 1 - demandWeight
	}
	d.shares[priority] += demandWeight
	if o := &d.objectives[priority]; latency <= o.latency || !now.Before(o.until) {
		*o = objective{latency: latency, until: now.Add(objectivePeriod)}
	}
}

// total returns the sum of the shares and the number of priorities that count.
func (d *demand) total() (sum float64, count int) {
	for _, share := range d.shares {
		if share >= minDemand {
			sum, count = sum+share, count+1
		}
	}
	return sum, count
}

// mostUrgent reports whether no more urgent priority counts.
func (d *demand) mostUrgent(priority int) bool {
	for _, share := range d.shares[:priority] {
		if share >= minDemand {
			return false
		}
	}
	return true
}

// strictest returns the shortest objective of requests that are at least as urgent.
func (d *demand) strictest(now time.Time, priority int, latency time.Duration) time.Duration {
	for p, o := range d.objectives[:priority] {
		if d.shares[p] >= minDemand && now.Before(o.until) {
			latency = min(latency, o.latency)
		}
	}
	return latency
}
