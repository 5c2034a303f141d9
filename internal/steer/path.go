package steer

import "time"

// pathWindow is the time within which the least round-trip time counts, while connections are opened: long
// enough for some to each failure domain, and short enough that a path that has become longer shows.
const pathWindow = 30 * time.Second

// path is the way from this instance to the targets of a failure domain.
type path struct {
	least    time.Duration // least time to connect within the window; 0 if none was measured
	previous time.Duration // the same for the window before
	until    time.Time     // end of the window
}

// record records how long it took to connect to a target.
func (p *path) record(now time.Time, took time.Duration) {
	if !now.Before(p.until) {
		p.previous, p.least, p.until = p.least, 0, now.Add(pathWindow)
	}
	if p.least == 0 || took < p.least {
		p.least = took
	}
}

// roundTrip returns the round-trip time; 0 if it is not known.
func (p *path) roundTrip() time.Duration {
	if p.least == 0 || p.previous == 0 {
		return max(p.least, p.previous)
	}
	return min(p.least, p.previous)
}

// pathTo returns the path to a failure domain.
func (f *Fleet) pathTo(domain string) *path {
	p, ok := f.paths[domain]
	if !ok {
		p = &path{}
		f.paths[domain] = p
	}
	return p
}

// detour returns by how much the way to the target and back is longer than to the targets that the
// service's latency was measured at; 0 if that is not known, and negative if it is shorter.
func (t *target) detour() time.Duration {
	roundTrip := t.path.roundTrip()
	if roundTrip == 0 || t.service.meanRoundTrip == 0 {
		return 0
	}
	return roundTrip - t.service.meanRoundTrip
}
