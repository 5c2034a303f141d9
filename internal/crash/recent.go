package crash

import "time"

const (
	// recentTime is how long a success keeps a request from being blamed, at least, and
	// twice that at most: what many callers send succeeds within it.
	recentTime = 30 * time.Second
	// mostRecent bounds the requests of a span of recentTime.
	mostRecent = 4096
)

// Recent holds the requests that were answered with success lately. When many targets end at
// once, by something else, what many callers send is at several of them: without what it
// succeeded at before, it would be held back and could show nothing any more. It is not safe
// for concurrent use.
type Recent struct {
	now, before map[Print]bool // of this span of time and the one before it; mostRecent at most
	until       time.Time      // the end of this span
}

// Add notes a success.
func (r *Recent) Add(now time.Time, p Print) {
	r.turn(now)
	if len(r.now) >= mostRecent {
		r.before, r.now = r.now, nil
	}
	if r.now == nil {
		r.now = make(map[Print]bool)
	}
	r.now[p] = true
}

// Has says whether a request was answered with success lately.
func (r *Recent) Has(now time.Time, p Print) bool {
	r.turn(now)
	return r.now[p] || r.before[p]
}

// turn begins a new span if this one is over.
func (r *Recent) turn(now time.Time) {
	if now.Before(r.until) {
		return
	}
	if !now.Before(r.until.Add(recentTime)) {
		r.now = nil // nothing came for a whole span
	}
	r.before, r.now = r.now, nil
	r.until = now.Add(recentTime)
}
