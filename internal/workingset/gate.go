package workingset

import (
	"math"
	"time"
)

const (
	// maxFirstShare is the share of first runs in all work up to which they queue as others do: what
	// targets do besides a load that they bear warm.
	maxFirstShare = 0.25
	// shareWindow is the time over which the share is measured: some cold runs of most services.
	shareWindow = 2 * time.Second
)

// Gate decides which first runs may start at busy targets. A first run takes the time of several
// warm ones, so that a service that has gone cold can do less than it is asked until its objects
// have run once, and requests that queue behind first runs are late although their own are short.
// So while first runs are a large share of the work, they start at a free slot only. And while the
// first run of an object is in flight, others for it wait for its end and then run warm, which on
// average is sooner than a cold run of their own.
type Gate struct {
	flights map[flight]time.Time // expected end of the first runs in flight; deleted by Done
	first   float64              // seconds of first runs that were started, weighted by their age
	warm    float64              // the same of other runs
	at      time.Time            // as of which the two are weighted
}

// flight is a first run of an object at a target.
type flight struct{ target, object uint64 }

// FirstRun is a run of an object at a target that is not known to keep it.
type FirstRun struct {
	Target, Object uint64
	Load           int           // requests at the target, running and waiting
	Slots          int           // of the target
	Takes          time.Duration // expected time of a cold run
}

// NewGate returns a gate without runs in flight.
func NewGate() *Gate { return &Gate{flights: make(map[flight]time.Time)} }

// Start reports whether a first run may start, in which case Done must be called at its end. If
// not, it returns when to ask again.
func (g *Gate) Start(now time.Time, r FirstRun) (time.Time, bool) {
	f := flight{r.Target, r.Object}
	if end, ok := g.flights[f]; ok && now.Before(end) {
		return end, false
	}
	g.decay(now)
	if queue := r.Load - r.Slots; queue >= 0 && g.first > maxFirstShare*(g.first+g.warm) {
		halfDone := r.Takes / 2 // of the runs in progress, on average
		return now.Add(halfDone * time.Duration(queue+1) / time.Duration(max(1, r.Slots))), false
	}
	g.first += r.Takes.Seconds()
	g.flights[f] = now.Add(r.Takes)
	return time.Time{}, true
}

// Done records that a first run has ended, or was not sent.
func (g *Gate) Done(target, object uint64) { delete(g.flights, flight{target, object}) }

// StartWarm records that a run of an object has started at a target that keeps it.
func (g *Gate) StartWarm(now time.Time, takes time.Duration) {
	g.decay(now)
	g.warm += takes.Seconds()
}

func (g *Gate) decay(now time.Time) {
	if age := now.Sub(g.at); age > 0 {
		factor := math.Exp(-age.Seconds() / shareWindow.Seconds())
		g.first, g.warm, g.at = g.first*factor, g.warm*factor, now
	}
}
