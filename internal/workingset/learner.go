package workingset

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/juju/errors"
)

const (
	// settleTime is how long runs are collected before they are put in order: reports are sent once a
	// second, those of some services a second later, and take some round trips.
	settleTime = 2500 * time.Millisecond
	// settleInterval is how often they are put in order, however many instances report.
	settleInterval = 250 * time.Millisecond
	// maxRunTime bounds what a run can have taken; longer is no measurement.
	maxRunTime = 10 * time.Minute
	// maxPending bounds the runs that are collected: 1,600 a second.
	maxPending = 4096
	// completeTTL is after which time without a cut report more targets are sampled again.
	completeTTL = 30 * time.Second
	// maxKinds is how many kinds of work are told apart; the others share one mean.
	maxKinds = 64
	// kindRuns is how many runs of a kind set what it usually takes. It stays the same afterwards, so
	// that durations from before and after targets turned warm compare.
	kindRuns = 200
	// estimateEvery is the number of new repeats after which the estimate is updated.
	estimateEvery = 32
)

// Learner learns how many objects each target of one service keeps. All instances sample the same
// targets, and one of a region collects the runs there, so that it sees nearly all of them in
// order; an instance by itself sees too few to tell how many came in between.
type Learner struct {
	cfg        Config
	collecting bool
	rank       map[uint64]int     // of each sampled target, 0 to cfg.SampledTargets-1
	stacks     map[uint64]*stack  // of sampled targets; empty unless collecting
	complete   int                // sampled targets of which all runs are reported; 1 to cfg.SampledTargets
	grownFrom  int                // complete before it grew last; who reports as many has not heard of more yet
	growAt     time.Time          // more targets are sampled then
	pending    []Run              // of sampled targets, not yet in order or reported; at most maxPending
	settleAt   time.Time          // pending runs are put in order then
	kinds      map[uint32]samples // logarithms of the seconds of a kind's first kindRuns runs; at most maxKinds+1
	repeats    *repeats
	slowFrom   float64                // mean of repeats from which they count as cold; infinite if not known
	fresh      int                    // repeats since the last update; 0 to estimateEvery-1
	own        Estimate               // from runs collected here
	received   Estimate               // from the peer that collects
	pairs      *recent[uint64, int64] // when a pair of a target and an object last ran, in Unix nanoseconds
}

// New returns a learner that knows nothing, or a *ConfigError if cfg is invalid.
func New(cfg Config) (*Learner, error) {
	cfg.Defaults()
	if err := cfg.Validate(); err != nil {
		return nil, errors.Annotate(err, "workingset.New")
	}
	return &Learner{
		cfg: cfg, rank: make(map[uint64]int), stacks: make(map[uint64]*stack), complete: cfg.SampledTargets, grownFrom: cfg.SampledTargets,
		kinds: make(map[uint32]samples), repeats: newRepeats(2 * cfg.MaxKeeps), slowFrom: math.Inf(1), pairs: newRecent[uint64, int64](cfg.MaxPairs),
	}, nil
}

// SetTargets sets the targets among which the sampled ones are chosen: those with the lowest
// hashes, the same at all instances.
func (l *Learner) SetTargets(targets []uint64) {
	var lowest []uint64
	for _, t := range targets {
		i, found := slices.BinarySearch(lowest, t)
		if found || i >= l.cfg.SampledTargets {
			continue
		}
		lowest = slices.Insert(lowest, i, t)
		lowest = lowest[:min(len(lowest), l.cfg.SampledTargets)]
	}
	clear(l.rank)
	for i, t := range lowest {
		l.rank[t] = i
	}
	for t := range l.stacks {
		if _, ok := l.rank[t]; !ok {
			delete(l.stacks, t)
		}
	}
}

// Collect sets whether this instance collects the runs of its region. What it received before
// holds until it knows better.
func (l *Learner) Collect(on bool) {
	if l.collecting == on {
		return
	}
	if !on {
		l.received = l.estimate()
	}
	l.collecting, l.own, l.fresh = on, Estimate{}, 0
	l.pending, l.repeats, l.slowFrom = nil, newRepeats(2*l.cfg.MaxKeeps), math.Inf(1)
	clear(l.stacks)
	clear(l.kinds)
}

// Observe records a run that this instance has seen the end of.
func (l *Learner) Observe(now time.Time, r Run) {
	r.At = now
	l.pairs.put(pair(r.Target, r.Object), now.UnixNano())
	l.add(now, r)
}

// add keeps a run until it is reported or put in order.
func (l *Learner) add(now time.Time, r Run) {
	if rank, ok := l.rank[r.Target]; !ok || rank >= l.complete || r.At.After(now) {
		return
	}
	if r.Took < 0 || r.Took > maxRunTime {
		r.Took = 0
	}
	if len(l.pending) >= maxPending {
		l.cut(now, l.complete/2)
	}
	if len(l.pending) < maxPending {
		l.pending = append(l.pending, r)
	}
}

// cut reduces the number of targets that are sampled to n.
func (l *Learner) cut(now time.Time, n int) {
	l.growAt = now.Add(completeTTL)
	if n = max(n, 1); n >= l.complete {
		return
	}
	l.complete, l.grownFrom = n, n
	l.pending = slices.DeleteFunc(l.pending, func(r Run) bool { return l.rank[r.Target] >= n })
	for t := range l.stacks {
		if l.rank[t] >= n {
			delete(l.stacks, t)
		}
	}
}

// NextReport returns a report for the peer that collects or, if this instance collects, for the others. If
// there are more than so many runs to tell, they are left for the next report.
func (l *Learner) NextReport(now time.Time, most int) Report {
	if l.collecting {
		l.grow(now)
		l.settle(now)
		return Report{Complete: l.complete, Estimate: l.estimate()}
	}
	for len(l.pending) > maxRuns && l.complete > 1 {
		l.cut(now, l.complete/2)
	}
	l.pending = l.pending[:min(len(l.pending), maxRuns)]
	r := Report{Complete: l.complete, Estimate: l.estimate()}
	if len(l.pending) <= most {
		r.Runs, l.pending = l.pending, nil
	}
	return r
}

// grow increases the number of targets that are sampled some time after the last cut. The instance that
// collects decides it, as the lowest number counts: if each did, one that is a moment late would undo it.
func (l *Learner) grow(now time.Time) {
	if l.complete < l.cfg.SampledTargets && !now.Before(l.growAt) {
		l.grownFrom = l.complete
		l.complete, l.growAt = min(l.cfg.SampledTargets, l.complete+1+l.complete/8), now.Add(completeTTL)
	}
}

// Merge adds the report of a peer.
func (l *Learner) Merge(now time.Time, r Report) {
	switch {
	case r.Complete < 1:
	case !l.collecting && r.Complete > l.complete:
		l.complete = min(r.Complete, l.cfg.SampledTargets)
	case r.Complete < l.complete && (!l.collecting || r.Complete < l.grownFrom):
		l.cut(now, r.Complete)
	}
	if r.Estimate.valid(&l.cfg) && r.Estimate.At.After(l.received.At) && !r.Estimate.At.After(now) {
		l.received = r.Estimate
	}
	if !l.collecting {
		return
	}
	for _, run := range r.Runs[:min(len(r.Runs), maxRuns)] {
		if now.Sub(run.At) <= settleTime {
			l.add(now, run)
		}
	}
	l.settle(now)
}

// settle puts the runs in order of which no earlier one is to come.
func (l *Learner) settle(now time.Time) {
	if now.Before(l.settleAt) {
		return
	}
	l.settleAt = now.Add(settleInterval)
	slices.SortStableFunc(l.pending, func(a, b Run) int { return a.At.Compare(b.At) })
	n := 0
	for ; n < len(l.pending) && now.Sub(l.pending[n].At) >= settleTime; n++ {
		l.learn(now, l.pending[n])
	}
	l.pending = slices.Delete(l.pending, 0, n)
}

// learn adds the next run of a sampled target.
func (l *Learner) learn(now time.Time, r Run) {
	if _, ok := l.rank[r.Target]; !ok {
		return // the targets have changed since
	}
	s, ok := l.stacks[r.Target]
	if !ok {
		s = &stack{most: 2 * l.cfg.MaxKeeps}
		l.stacks[r.Target] = s
	}
	distance, repeated := s.touch(r.Object, r.At)
	if r.Took <= 0 {
		return
	}
	x := l.normalize(r)
	if !repeated {
		return
	}
	l.repeats.add(distance, x)
	if l.fresh++; l.fresh == estimateEvery {
		l.fresh = 0
		l.update(now)
	}
}

// normalize returns the logarithm of a run's duration, less what its kind usually takes.
func (l *Learner) normalize(r Run) float64 {
	kind := r.Kind
	if _, ok := l.kinds[kind]; !ok && len(l.kinds) >= maxKinds {
		kind = 0
	}
	x := math.Log(r.Took.Seconds())
	usual := l.kinds[kind]
	if usual.n < kindRuns {
		usual.add(x)
		l.kinds[kind] = usual
	}
	return x - usual.mean()
}

// Keeps returns how many objects a target keeps.
func (l *Learner) Keeps() Estimate { return l.estimate() }

func (l *Learner) estimate() Estimate {
	if l.collecting && l.own.Known() {
		return l.own
	}
	return l.received
}

// Warm reports whether an object is likely to be warm at a target, from this instance's own runs.
func (l *Learner) Warm(now time.Time, target, object uint64) bool {
	at, ok := l.pairs.get(pair(target, object))
	e := l.estimate()
	return ok && e.Known() && (e.Lifetime == 0 || now.UnixNano()-at < int64(e.Lifetime))
}

// pair combines two hashes.
func pair(a, b uint64) uint64 { return a ^ (b*0x9e3779b97f4a7c15 + 0x7f4a7c15) }

// lifetime returns the median time that sampled targets keep an object that does not run again; 0
// if half of them keep all objects that they run.
func (l *Learner) lifetime(now time.Time, keeps int) time.Duration {
	var ages []time.Duration
	for _, s := range l.stacks {
		if age, ok := s.age(now, keeps); ok {
			ages = append(ages, age)
		}
	}
	if 2*len(ages) < len(l.stacks) || len(ages) == 0 {
		return 0
	}
	slices.SortFunc(ages, cmp.Compare)
	return max(1, ages[(len(ages)-1)/2])
}
