package target

import (
	"fmt"
	"sync"
	"time"

	"github.com/firlever/firlever/internal/invariant"
)

// Scope identifies a place, a service in a place, or one target: Service and Target are empty
// in the wider scopes.
type Scope struct {
	Place   string
	Service string
	Target  string
}

// Work is one run of a request by a target.
type Work struct {
	ID      string // of the request
	Key     string // idempotency key; empty for none
	Service string
	Place   string
	Target  string
	Home    string // place of the caller; empty if the request doesn't carry it
}

func (w Work) scopes() [3]Scope {
	return [3]Scope{
		{Place: w.Place},
		{Place: w.Place, Service: w.Service},
		{Place: w.Place, Service: w.Service, Target: w.Target},
	}
}

// Usage counts the requests of a scope's targets.
type Usage struct {
	InFlight     int       // requests in flight
	Peak         int       // maximum of requests in flight
	Limit        int       // bound on requests in flight; 0 for none
	Runs         int       // requests started
	Late         int       // requests started after the deadline for leaving the scope
	LastFinished time.Time // end of the latest request
}

// Violation is one violation of an invariant.
type Violation struct {
	Name   invariant.Name
	At     time.Time
	Detail string
}

// Journal records the requests that all emulated targets of a process ran. It is the ground
// truth with which the program's own view is compared. It is safe for concurrent use.
type Journal struct {
	mu             sync.Mutex
	epoch          time.Time // start of the first window
	counter        *invariant.Counter
	records        map[string]*record
	usage          map[Scope]*Usage
	leaveDeadlines map[Scope]time.Time // time after which a scope must get no new work
	shifts         map[Scope][]int     // number of shifted requests by window
	violations     []Violation         // the first ones, at most maxViolations
}

// record holds the runs of one request ID or idempotency key.
type record struct {
	runs       int
	atMostOnce bool // not idempotent: at most one run
	refused    bool // the caller received that it was not run
}

const (
	windowLength  = time.Second
	maxViolations = 100
)

// NewJournal returns a journal whose one-second windows begin at epoch. Checks are counted in
// counter, which may be nil.
func NewJournal(counter *invariant.Counter, epoch time.Time) *Journal {
	return &Journal{
		epoch:          epoch,
		counter:        counter,
		records:        map[string]*record{},
		usage:          map[Scope]*Usage{},
		leaveDeadlines: map[Scope]time.Time{},
		shifts:         map[Scope][]int{},
	}
}

// SetLimit sets the maximum of requests in flight in a scope; 0 for no limit.
func (j *Journal) SetLimit(s Scope, limit int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.usageOf(s).Limit = limit
}

// SetLeaving requires that a scope gets no new work after deadline.
func (j *Journal) SetLeaving(s Scope, deadline time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.leaveDeadlines[s] = deadline
}

// ClearLeaving removes the deadline after which a scope gets no new work.
func (j *Journal) ClearLeaving(s Scope) {
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.leaveDeadlines, s)
}

// RequireAtMostOnce requires that a request ID or idempotency key runs at most once. It must be called
// before the request is sent.
func (j *Journal) RequireAtMostOnce(key string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r := j.record(key)
	r.atMostOnce = true
	j.checkOnce(key, r, time.Now())
}

// RecordRefusal records that the caller received, as the final outcome of a request ID or key, that
// it was not run. A run before or after is a violation.
func (j *Journal) RecordRefusal(key string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r := j.record(key)
	r.refused = true
	j.checkRefused(key, r, time.Now())
}

// Start records that a target starts a run. Finish must follow.
func (j *Journal) Start(w Work, now time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.recordRun(w.ID, now)
	if w.Key != w.ID {
		j.recordRun(w.Key, now)
	}
	for _, s := range w.scopes() {
		j.recordStart(s, now)
	}
	j.recordShift(w, now)
}

// Finish records that the run of Start ended, with any outcome.
func (j *Journal) Finish(w Work, now time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, s := range w.scopes() {
		u := j.usageOf(s)
		u.InFlight--
		u.LastFinished = now
	}
}

// recordRun counts one run of a request ID or key.
func (j *Journal) recordRun(key string, now time.Time) {
	if key == "" {
		return
	}
	r := j.record(key)
	r.runs++
	if r.atMostOnce {
		j.checkOnce(key, r, now)
	}
	if r.refused {
		j.checkRefused(key, r, now)
	}
}

func (j *Journal) checkOnce(key string, r *record, now time.Time) {
	j.check(invariant.AtMostOnce, r.runs <= 1, now, func() string {
		return fmt.Sprintf("%s ran %d times", key, r.runs)
	})
}

func (j *Journal) checkRefused(key string, r *record, now time.Time) {
	j.check(invariant.NotRunTrue, r.runs == 0, now, func() string {
		return fmt.Sprintf("%s was refused as not run and ran %d times", key, r.runs)
	})
}

// recordStart counts one more request in flight in s, and checks the scope's limit and leave
// deadline.
func (j *Journal) recordStart(s Scope, now time.Time) {
	u := j.usageOf(s)
	u.InFlight++
	u.Runs++
	u.Peak = max(u.Peak, u.InFlight)
	if u.Limit > 0 {
		j.check(invariant.RegionLimit, u.InFlight <= u.Limit, now, func() string {
			return fmt.Sprintf("%+v has %d requests in flight, limit %d", s, u.InFlight, u.Limit)
		})
	}
	deadline, ok := j.leaveDeadlines[s]
	if !ok {
		return
	}
	late := now.After(deadline)
	if late {
		u.Late++
	}
	j.check(invariant.Leaving, !late, now, func() string {
		return fmt.Sprintf("%+v started a request %s after its leave deadline", s, now.Sub(deadline))
	})
}

// recordShift counts a request of another place's caller in its window.
func (j *Journal) recordShift(w Work, now time.Time) {
	if w.Home == "" || w.Home == w.Place || now.Before(j.epoch) {
		return
	}
	s := Scope{Place: w.Place, Service: w.Service}
	i := int(now.Sub(j.epoch) / windowLength)
	counts := j.shifts[s]
	for len(counts) <= i {
		counts = append(counts, 0)
	}
	counts[i]++
	j.shifts[s] = counts
}

func (j *Journal) check(n invariant.Name, ok bool, now time.Time, detail func() string) {
	j.counter.Check(n, ok, detail)
	if !ok && len(j.violations) < maxViolations {
		j.violations = append(j.violations, Violation{Name: n, At: now, Detail: detail()})
	}
}

func (j *Journal) record(key string) *record {
	r := j.records[key]
	if r == nil {
		r = &record{}
		j.records[key] = r
	}
	return r
}

func (j *Journal) usageOf(s Scope) *Usage {
	u := j.usage[s]
	if u == nil {
		u = &Usage{}
		j.usage[s] = u
	}
	return u
}
