package crash

import "time"

const (
	// recentSpan is the minimum time for which a success keeps a request from being reported, and
	// half of the maximum. Requests that many callers send succeed within it.
	recentSpan = 30 * time.Second
	// maxRecent is the maximum number of requests per span.
	maxRecent = 4096
)

// Recent holds the requests that recently succeeded. If many targets crash at once for another
// reason, a request that many callers send is at several of them. Without its earlier successes
// it would count as poison and be held back, and could not succeed again. Recent is not safe for
// concurrent use.
type Recent struct {
	current, previous map[Fingerprint]bool // requests of the current and the previous span; maxRecent at most
	currentEnd        time.Time            // end of the current span
}

// Add records a success.
func (r *Recent) Add(now time.Time, p Fingerprint) {
	r.rotate(now)
	if len(r.current) >= maxRecent {
		r.previous, r.current = r.current, nil
	}
	if r.current == nil {
		r.current = make(map[Fingerprint]bool)
	}
	r.current[p] = true
}

// Has reports whether a request recently succeeded.
func (r *Recent) Has(now time.Time, p Fingerprint) bool {
	r.rotate(now)
	return r.current[p] || r.previous[p]
}

// rotate begins a new span if the current one is over.
func (r *Recent) rotate(now time.Time) {
	if now.Before(r.currentEnd) {
		return
	}
	if !now.Before(r.currentEnd.Add(recentSpan)) {
		r.current = nil // no calls for a whole span
	}
	r.previous, r.current = r.current, nil
	r.currentEnd = now.Add(recentSpan)
}
