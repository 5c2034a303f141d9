package workingset

import (
	"math"
	"time"
)

// Run is a finished run of an object at a target.
type Run struct {
	Target uint64        // hash of the target's run, so that a restarted target is another one
	Object uint64        // hash of the object
	Kind   uint32        // hash of the kind of work; runs of one kind take about the same time
	Took   time.Duration // without the wait for a slot; 0 if not known
	At     time.Time     // when it ended
}

// Estimate is how many objects each target of a service keeps warm.
type Estimate struct {
	Keeps      int           // objects; 0 if not known
	ColdFactor float64       // how many times as long a cold run takes
	Lifetime   time.Duration // how long a target keeps an object that does not run again; 0 if for as long as was seen
	Confidence float64       // 0 to 1
	Repeats    float64       // number of repeated runs that it is based on
	At         time.Time     // when it was last based on new runs
}

// Known reports whether the number of objects is known.
func (e *Estimate) Known() bool { return e.Keeps > 0 }

// valid reports whether an estimate received from a peer can be used.
func (e *Estimate) valid(cfg *Config) bool {
	finite := !math.IsNaN(e.ColdFactor) && !math.IsInf(e.ColdFactor, 0) && !math.IsNaN(e.Repeats) && !math.IsInf(e.Repeats, 0)
	return finite && e.Keeps >= 0 && e.Keeps <= cfg.MaxKeeps && (e.ColdFactor >= 1 || e.Keeps == 0) && e.Lifetime >= 0 &&
		e.Confidence >= 0 && e.Confidence <= 1 && e.Repeats >= 0
}

// maxRuns is how many runs a report holds at most: 1.5 KB.
const maxRuns = 64

// Report is what instances tell each other about a service: its latest runs at sampled targets to
// the instance that collects, and the estimate back.
type Report struct {
	Runs     []Run
	Complete int // number of sampled targets, in their order, of which no run is left out
	Estimate Estimate
}
