package steer

import (
	"maps"
	"slices"
	"time"

	"github.com/firlever/firlever/internal/notice"
)

// News is what a notice changes of what was known.
type News string

// The news.
const (
	Leaves    News = "leaves"
	Limits    News = "limits"     // it names a limit, or another one than before
	LimitOver News = "limit-over" // it names none any more
	Rests     News = "rests"
)

// noticeLife is how long what a target said is remembered when its entry is gone: that may
// come back, of the same run and with an older state, when the store does.
const noticeLife = 10 * time.Minute

// run tells the runs of a target apart.
type run struct {
	id      string
	started time.Time
}

func runOf(t *Target) run { return run{id: t.ID, started: t.Started.UTC()} }

// constraints is what a run of a target has said of the requests that it wants.
type constraints struct {
	run      run
	leaving  bool      // for good: the next run is another one
	restEnds time.Time // it gets nothing before
	resumes  bool      // it has asked for rest, and has not answered since other than by a refusal
	limit    limit
	until    time.Time // remembered so long when the run is not known any more

	told time.Time // when an answer to this instance last brought what others should know
	as   time.Time // when it was so
}

// Notice takes in what a target said in an answer to a request that was sent at a time. A success
// that names no limit says that there is none.
func (f *Fleet) Notice(now time.Time, of Target, sent time.Time, n notice.Notice, success bool) []News {
	if !n.Any() && f.constraints[runOf(&of)] == nil {
		return nil
	}
	return f.constrain(now, &of).take(now, sent, n, success)
}

// constrain returns the constraints of a run of a target, made when they are first needed.
func (f *Fleet) constrain(now time.Time, of *Target) *constraints {
	key := runOf(of)
	c := f.constraints[key]
	if c == nil {
		maps.DeleteFunc(f.constraints, func(r run, old *constraints) bool { return !now.Before(old.until) && f.known(r) == nil })
		c = &constraints{run: key}
		f.constraints[key] = c
		if t := f.known(key); t != nil {
			t.constraints = c
		}
	}
	c.until = later(c.until, now.Add(noticeLife))
	return c
}

// known returns the target whose run it is; nil if there is another one or none.
func (f *Fleet) known(r run) *target {
	if t, ok := f.targets[r.id]; ok && runOf(&t.Target) == r {
		return t
	}
	return nil
}

// take takes in a notice, and returns what it changes.
func (c *constraints) take(now, sent time.Time, n notice.Notice, success bool) []News {
	var news []News
	if n.Leaving && !c.leaving {
		c.leaving = true
		news = append(news, Leaves)
	}
	if n.Rest > 0 {
		if !now.Before(c.restEnds) {
			news = append(news, Rests)
		}
		c.restEnds, c.resumes = later(c.restEnds, now.Add(n.Rest)), true
		c.until = later(c.until, c.restEnds)
	} else if sent.After(c.restEnds) {
		c.resumes = false
	}
	switch {
	case n.Limited:
		if !c.limit.named || c.limit.rate != n.Limit {
			news = append(news, Limits)
		}
		c.limit.name(now, n.Limit)
		c.told, c.as = now, now
	case success && c.limit.named && sent.After(c.limit.heard):
		c.limit = limit{heard: sent}
		c.told, c.as = now, sent
		news = append(news, LimitOver)
	case success && n.Leaving:
		c.told, c.as = now, sent
	}
	return news
}

// Wanted says whether a target still wants the request that it was chosen for, which may have
// waited for a connection since.
func (f *Fleet) Wanted(now time.Time, of Target) bool {
	c := f.constraints[runOf(&of)]
	return c == nil || !c.leaving && !now.Before(c.restEnds)
}

// rests says whether the target gets no request of this instance for now, as it has asked for
// rest. After that it gets one at a time, until an answer shows that it takes more.
func (t *target) rests(now time.Time) bool {
	c := t.constraints
	if c == nil || !c.resumes {
		return false
	}
	return now.Before(c.restEnds) || len(t.starts) > 0 && !t.starts[len(t.starts)-1].Before(c.restEnds)
}

// rested refuses a request as all targets that it could go to have asked for rest; false if
// that is not so.
func (f *Fleet) rested(now time.Time, s *service, q Query) (Choice, bool) {
	var first *target
	slots := 0
	for _, t := range s.targets {
		if !f.open(t) || !q.Regions.Allow(t.region) || !t.rests(now) {
			continue
		}
		slots += t.Slots
		if first == nil || t.constraints.restEnds.Before(first.constraints.restEnds) {
			first = t
		}
	}
	if first == nil {
		return Choice{}, false
	}
	// All instances send to these slots.
	each := s.latency(q.Objective) * time.Duration(max(1, len(f.peers))) / time.Duration(max(1, slots))
	c := Choice{Reason: Resting, Again: s.place(now, first.constraints.restEnds, each), First: first.ID}
	return c.basedOn(now, candidate{target: first}), true
}

// Rest returns how long all targets of a service want nothing from this instance; 0 if any may
// get a request now.
func (f *Fleet) Rest(now time.Time, q Query) time.Duration {
	s, ok := f.services[q.Service]
	if !ok || slices.ContainsFunc(s.targets, func(t *target) bool { return f.may(now, t, Query{Regions: q.Regions}) }) {
		return 0
	}
	c, _ := f.rested(now, s, q)
	return c.Again
}

// leaves says whether the target leaves, by the store or by its answers. These may come first,
// and what the store says is older while it is away.
func (t *target) leaves() bool {
	return t.Leaving || t.constraints != nil && t.constraints.leaving
}

// Constraint is what a target said to some instance of the requests that it wants from all.
// Instances of a region tell each other: who may send it nothing hears so that a limit is over.
type Constraint struct {
	Target  uint64    // hash of its ID
	Started time.Time // of the run; zero if not known
	Leaving bool
	Limit   float64 // requests a second; 0 or more
	Limited bool    // Limit is set
	At      time.Time
}

// About is the hash of the target's ID.
func (c Constraint) About() uint64 { return c.Target }

// Made is when it was so.
func (c Constraint) Made() time.Time { return c.At }

// Constraints lists what answers have told this instance itself since a time.
func (f *Fleet) Constraints(since time.Time) []Constraint {
	var list []Constraint
	for _, c := range f.constraints {
		if c.told.After(since) {
			list = append(list, Constraint{
				Target: hash(c.run.id), Started: c.run.started, Leaving: c.leaving, Limit: c.limit.rate, Limited: c.limit.named, At: c.as,
			})
		}
	}
	return list
}

// Heard is what a peer's word changes.
type Heard struct {
	Target Target
	News   News
	Limit  float64 // requests a second; counts if News is Limits
}

// HearConstraints takes in what targets have told other instances, and returns what it changes.
func (f *Fleet) HearConstraints(now time.Time, list []Constraint) []Heard {
	var heard []Heard
	for _, r := range list {
		t := f.bySeed[r.Target]
		if t == nil || !t.Started.Equal(r.Started) || r.At.After(now) {
			continue
		}
		if t.constraints == nil && !r.Leaving && !r.Limited {
			continue
		}
		for _, news := range f.constrain(now, &t.Target).hear(now, r) {
			heard = append(heard, Heard{Target: t.Target, News: news, Limit: r.Limit})
		}
	}
	return heard
}

// hear takes in what the target has told another instance. What was so before a limit was last
// heard of changes nothing of it.
func (c *constraints) hear(now time.Time, r Constraint) []News {
	var news []News
	if r.Leaving && !c.leaving {
		c.leaving = true
		news = append(news, Leaves)
	}
	switch {
	case !r.At.After(c.limit.heard):
	case r.Limited:
		if !c.limit.named || c.limit.rate != r.Limit {
			news = append(news, Limits)
		}
		c.limit.name(now, r.Limit)
		c.limit.heard = r.At
	case c.limit.named:
		c.limit = limit{heard: r.At}
		news = append(news, LimitOver)
	}
	return news
}
