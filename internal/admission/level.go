// Package admission decides which requests of a service are admitted while its targets are short
// of room, by the priorities of the requests and the loads of the targets. Instances that know the
// same loads come to the same level without asking each other; see docs/design/admission.md.
//
// The package does no input or output and is not safe for concurrent use.
package admission

import (
	"math"
	"time"
)

// ShortLoad is the load, in requests per slot, from which targets are short of room: requests wait half
// of the time of their work in the mean.
const ShortLoad = 1.5

const (
	// shortBusy is the share of the slots in use from which a service can be short of room. Requests
	// that wait at some targets while others have free slots are a matter of where they are sent.
	shortBusy = 0.9
	// freeBusy is the share of the slots in use up to which the capacity follows each update alone:
	// so many free slots show that too much is refused.
	freeBusy = 0.8
	// shortHold is how long a service stays short of room after its slots were last in use, or
	// a request was last refused: until instances have told each other of the load twice.
	shortHold = 2 * period
	// updateInterval is the least time between two updates.
	updateInterval = 100 * time.Millisecond
	// period is the time after which the capacity is estimated anew. Loads are exchanged as often,
	// so that an estimate sees what was sent in the period before the last one.
	period = 500 * time.Millisecond
	// staleAfter is the time from which the load of an earlier update says nothing of what was
	// admitted since.
	staleAfter = 4 * period
	// lowestAim and highestAim are the loads up to which the least and the most urgent requests are
	// admitted: the less urgent ones are refused first at all instances, whatever each of them is
	// asked for. Some requests must wait at the targets so that no slot idles until the next
	// report.
	lowestAim  = 1.2
	highestAim = 1.8
	// gain is the weight of an update in the logarithm of the capacity. A capacity that follows
	// each update alone swings, as its effect is seen late.
	gain = 0.5
	// correction is by how much the admitted part is lowered for a load of one request per slot over
	// the aim, and raised below it.
	correction = 0.3
	// maxFactor bounds the change of the capacity in one update.
	maxFactor = 4.0
	// contraction is added to the capacity in each update. As the load then takes off the same part
	// at all instances, those that have admitted more than others approach them.
	contraction = 0.005
	// minShare is the share that is admitted of any priority.
	minShare = 0.01
	// minInflow bounds from below what the targets are estimated to have got.
	minInflow = 0.2
)

// Room is what the targets of a service have to do.
type Room struct {
	Requests int           // at targets, running and waiting
	Busy     int           // slots in use
	Slots    int           // of targets
	Work     time.Duration // that one request takes
}

// busy returns the share of the slots that are in use.
func (r Room) busy() float64 {
	if r.Slots <= 0 {
		return 0
	}
	return float64(r.Busy) / float64(r.Slots)
}

// short reports whether nearly all slots are in use, and requests wait.
func (r Room) short() bool { return r.busy() >= shortBusy && r.load() >= ShortLoad }

// load returns the requests per slot.
func (r Room) load() float64 {
	if r.Slots <= 0 {
		return 0
	}
	return float64(r.Requests) / float64(r.Slots)
}

// Level is the share of the requests of each priority that is admitted to one service. The zero
// value admits all.
type Level struct {
	demand demand

	load       float64   // when last updated
	updatedAt  time.Time // zero before the first update
	shortUntil time.Time // the service is short of room until then
	room       Room      // when the period began
	beganAt    time.Time // of the period; zero before the first

	capacity float64                  // requests per second of this instance that the targets can serve; 0 if not known
	earlier  interval                 // the period before
	current  interval                 // the period that has begun
	refused  [leastUrgent + 1]float64 // by priority, the share that is refused; 0 to 1-minShare
}

// Due reports whether the level should be updated with the room of the service.
func (l *Level) Due(now time.Time) bool { return now.Sub(l.updatedAt) >= updateInterval }

// Update updates the level with the room of the service.
func (l *Level) Update(now time.Time, r Room) {
	l.load, l.updatedAt = r.load(), now
	if r.short() {
		l.shortUntil = now.Add(shortHold)
	}
	if elapsed := now.Sub(l.beganAt); elapsed >= period {
		l.current.end(elapsed, l.earlier)
		l.learn(elapsed, r)
		l.room, l.beganAt = r, now
		l.earlier, l.current = l.current, interval{}
	}
	clear(l.refused[:])
	if l.Short(now) {
		l.fill(now)
	}
}

// learn estimates the capacity from what this instance sent in the period before the last: the
// loads that are known now come from it. All targets got as much as they worked on and what their
// load grew by; this instance's capacity is to its requests what the targets' is to that.
func (l *Level) learn(elapsed time.Duration, r Room) {
	inflow := r.busy()
	if elapsed <= staleAfter {
		inflow = (l.room.busy()+r.busy())/2 + (r.load()-l.room.load())*r.Work.Seconds()/elapsed.Seconds()
	}
	inflow = max(minInflow, inflow)
	capacity := l.earlier.sent / inflow
	if l.capacity == 0 {
		l.capacity = capacity
		return
	}
	factor := max(1/maxFactor, min(maxFactor, capacity/l.capacity))
	if r.busy() > freeBusy || factor < 1 {
		factor = math.Pow(factor, gain)
	}
	l.capacity = l.capacity*factor + contraction*l.current.asked
}

// fill divides the capacity among the priorities, the most urgent first. What is left to a priority
// depends on how far the load is from the aim of that priority.
func (l *Level) fill(now time.Time) {
	total, count := l.demand.total()
	rate := l.current.askedSoFar(now.Sub(l.beganAt), l.earlier)
	if total == 0 || rate == 0 || l.capacity == 0 {
		return
	}
	aim, step := highestAim, (highestAim-lowestAim)/float64(max(1, count-1))
	admitted := 0.0 // part of the demand
	for p, asked := range l.demand.shares {
		if asked < minDemand {
			continue
		}
		limit := l.capacity / rate * max(0.5, min(1.5, 1+(aim-l.load)*correction))
		share := max(minShare, min(1, (limit-admitted)*total/asked))
		l.refused[p] = 1 - share
		admitted += share * asked / total
		aim -= step
	}
	if admitted < 1 {
		l.shortUntil = now.Add(shortHold)
	}
}

// MayWait reports whether a request with an objective may wait for a slot. If not, it may take one
// that nobody waited for lately, as that takes nothing from others. key is the same for a request at all instances, and
// uniformly distributed.
func (l *Level) MayWait(now time.Time, priority int, latency time.Duration, key uint64) bool {
	p := Priority(priority)
	l.demand.record(now, p, latency)
	l.current.askedCount++
	return !l.Short(now) || uniform(key) >= l.refused[p]
}

// MostUrgent reports whether no more urgent priority is asked for.
func (l *Level) MostUrgent(priority int) bool { return l.demand.mostUrgent(Priority(priority)) }

// Sent records that a request was sent to a target.
func (l *Level) Sent() { l.current.sentCount++ }

// Short reports whether the service is short of room.
func (l *Level) Short(now time.Time) bool { return now.Before(l.shortUntil) }

// Load returns the requests per slot when the level was last updated.
func (l *Level) Load() float64 { return l.load }

// Share returns the share of the requests of a priority that is admitted.
func (l *Level) Share(priority int) float64 { return 1 - l.refused[Priority(priority)] }

// Shares returns the admitted share of each priority that was asked for lately.
func (l *Level) Shares() map[int]float64 {
	shares := make(map[int]float64)
	for p, asked := range l.demand.shares {
		if asked >= minDemand {
			shares[p] = 1 - l.refused[p]
		}
	}
	return shares
}

// RetryAfter returns when a refused request may come back: when the level may have changed and the
// targets have done what waits at them, at a different time for each key, and within a third of
// the time until its deadline.
func (l *Level) RetryAfter(now, deadline time.Time, key uint64) time.Duration {
	drained := time.Duration(max(0, l.load-1) * float64(l.room.Work))
	return min(deadline.Sub(now)/3, time.Duration((0.5+uniform(key))*float64(period+drained)))
}

// MaxWait returns how long a request with an objective may wait at a target while the service is
// short of room, if it came in some time before and its work takes the given time: so that it is in
// time, and so that more urgent ones that wait behind it are.
func (l *Level) MaxWait(now time.Time, priority int, latency, waited, work time.Duration) time.Duration {
	strictest := l.demand.strictest(now, Priority(priority), latency)
	return max(0, min(latency-max(0, waited), strictest)-work)
}

// uniform maps a key to 0 to 1.
func uniform(key uint64) float64 { return float64(key>>11) / (1 << 53) }
