package workingset

import (
	"math"
	"time"
)

const (
	// estimateTolerance is by which factor an estimate may be off before it is changed, so that
	// homes don't move with each sample.
	estimateTolerance = 1.15
	// certainDeviation is the deviation of a step that leaves no doubt.
	certainDeviation = 10
	// growth is by which factor the estimate grows while nothing contradicts it and objects are
	// near the edge of what is kept.
	growth = 1.1
)

// update derives a new estimate from the repeats.
func (l *Learner) update(now time.Time) {
	e := l.estimate()
	e.Repeats, e.At = l.repeats.all.n, now
	if s, ok := l.repeats.step(l.cfg.MinColdFactor); ok {
		if ratio := float64(s.distance) / max(1, float64(e.Keeps)); ratio > estimateTolerance || ratio < 1/estimateTolerance {
			e.Keeps = s.distance
		}
		e.ColdFactor, e.Confidence = s.coldFactor, min(1, s.deviation/certainDeviation)
		l.slowFrom = s.warm + math.Log(l.cfg.MinColdFactor)
	} else if e.Known() {
		e = l.probe(e)
	} else {
		return
	}
	if !e.Known() {
		l.own, l.received = Estimate{}, Estimate{At: now}
		clear(l.kinds)
		l.repeats, l.slowFrom = newRepeats(2*l.cfg.MaxKeeps), math.Inf(1)
		return
	}
	e.Keeps = min(max(1, e.Keeps), l.cfg.MaxKeeps)
	e.Lifetime = l.lifetime(now, e.Keeps)
	l.own = e
}

// probe adapts an estimate while no step shows. If repeats are fast and reach what is kept, targets
// may keep more. If they are slow, targets keep less, or nothing: then the estimate is given up
// after a while.
func (l *Learner) probe(e Estimate) Estimate {
	if l.repeats.all.n < repeatWindow/4 {
		return e
	}
	reach := l.repeats.reach()
	switch {
	case l.repeats.all.mean() > l.slowFrom:
		e.Keeps = min(e.Keeps, max(1, reach))
		if e.Confidence -= float64(estimateEvery) / repeatWindow; e.Confidence <= 0 {
			return Estimate{}
		}
	case reach > e.Keeps:
		e.Keeps = reach
	case float64(reach)*estimateTolerance > float64(e.Keeps):
		e.Keeps = int(math.Ceil(float64(e.Keeps) * growth))
	}
	return e
}
