package mirror

import (
	"testing"
	"time"
)

// However many peers follow a relay and however often changes come, it gives no more answers with
// changes than answersPerSecond, and none waits for longer than maxRelease. A first change after a
// quiet time is sent at once.
func TestReleases(t *testing.T) {
	const duration = 10 * time.Second
	tests := map[string]struct {
		peers   int
		longest time.Duration
	}{
		"a small region": {27, 0},
		"65 followers":   {65, 0},
		"330 followers":  {330, 660 * time.Millisecond},
		"2000 followers": {2000, maxRelease},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var r releases
			for range tt.peers {
				r.enter()
			}
			answers, longest := 0, time.Duration(0)
			for now := start; now.Before(start.Add(duration)); {
				at := r.release(now)
				if now.Equal(start) && at.After(now) {
					t.Errorf("got the first change sent after %s, want it at once", at.Sub(now))
				}
				longest = max(longest, at.Sub(now))
				if at.After(now) {
					now = at
					continue
				}
				answers += tt.peers
				now = now.Add(batchDelay)
			}
			if got, most := float64(answers)/duration.Seconds(), max(answersPerSecond, float64(tt.peers)/maxRelease.Seconds())*1.2; got > most {
				t.Errorf("got %.0f answers a second, want %.0f at most", got, most)
			}
			if longest > tt.longest {
				t.Errorf("got changes held for %s, want %s at most", longest, tt.longest)
			}
		})
	}
}

// Peers that ask a moment after a release are answered with it, and not at the next one.
func TestReleaseIsForAll(t *testing.T) {
	var r releases
	for range 330 {
		r.enter()
	}
	r.release(start)
	if at := r.release(start.Add(releaseWindow / 2)); at.After(start.Add(releaseWindow / 2)) {
		t.Errorf("got the second peer answered %s after the first", at.Sub(start))
	}
	if at := r.release(start.Add(batchDelay)); !at.After(start.Add(batchDelay)) {
		t.Error("got the next changes released at once")
	}
	for range 330 {
		r.leave()
	}
	if at := r.release(start.Add(batchDelay)); !at.After(start.Add(batchDelay)) {
		t.Error("got the next changes released at once while peers are being answered")
	}
	later := start.Add(2 * mostTTL)
	if at := r.release(later); at.After(later) {
		t.Errorf("got changes held for %s without followers", at.Sub(later))
	}
}
