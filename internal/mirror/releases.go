package mirror

import (
	"sync"
	"time"
)

const (
	// answersPerSecond is how many answers with changes a relay gives its followers in a second: what
	// each costs grows little with the changes in it, and their number grows with the followers.
	answersPerSecond = 500
	// maxRelease is the longest time that changes wait for it.
	maxRelease = time.Second
	// releaseWindow is how long after a release further peers are answered with it. The next changes
	// come batchDelay later at the earliest.
	releaseWindow = 100 * time.Millisecond
	// mostTTL is how long the number of peers counts that have waited at the same time: of those
	// that follow, some are being answered at any moment.
	mostTTL = 2 * time.Second
)

// releases sends changes to the peers that wait for them, all at once and so seldom that a relay can
// answer them. After a quiet time changes are released at once. It is safe for concurrent use.
type releases struct {
	mu       sync.Mutex
	waiting  int       // peers that wait for changes now; guarded by mu
	most     int       // most of them since mostAt; guarded by mu
	mostAt   time.Time // guarded by mu
	released time.Time // when changes were last released; guarded by mu
}

// enter and leave count a peer that waits for changes.
func (r *releases) enter() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiting++
}

func (r *releases) leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiting--
}

// release returns when changes that are there now may be sent; at the latest after maxRelease.
func (r *releases) release(now time.Time) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.waiting >= r.most || now.After(r.mostAt.Add(mostTTL)) {
		r.most, r.mostAt = r.waiting, now
	}
	interval := min(maxRelease, time.Duration(r.most)*time.Second/answersPerSecond)
	if interval <= batchDelay {
		return now // changes come no more often
	}
	next := r.released.Add(interval)
	switch {
	case !now.Before(next):
		r.released = now
		return now
	case now.Before(r.released.Add(releaseWindow)):
		return now
	}
	return next
}
