package crash

import "time"

const (
	// recentSpan is how long a success keeps a request from being blamed, at least, and
	// twice that at most: what many callers send succeeds within it.
	recentSpan = 30 * time.Second
	// maxRecent bounds the requests of a span of recentTime.
	maxRecent = 4096
)

// Recent holds the requests that were answered with success lately. When many targets end at
// once, by something else, what many callers send is at several of them: without what it
// succeeded at before, it would be held back and could show nothing any more. It is not safe
// for concurrent use.
type Recent struct {
	current, previous map[Print]bool // of this span of time and the one before it; mostRecent at most
	currentEnd        time.Time      // the end of this span
}

// Add notes a success.
func (r *Recent) Add(now time.Time, p Print) {
	r.rotate(now)
	if len(r.current) >= maxRecent {
		r.previous, r.current = r.current, nil
	}
	if r.current == nil {
		r.current = make(map[Print]bool)
	}
	r.current[p] = true
}

// Has says whether a request was answered with success lately.
func (r *Recent) Has(now time.Time, p Print) bool {
	r.rotate(now)
	return r.current[p] || r.previous[p]
}

// rotate begins a new span if this one is over.
func (r *Recent) rotate(now time.Time) {
	if now.Before(r.currentEnd) {
		return
	}
	if !now.Before(r.currentEnd.Add(recentSpan)) {
		r.current = nil // nothing came for a whole span
	}
	r.previous, r.current = r.current, nil
	r.currentEnd = now.Add(recentSpan)
}
