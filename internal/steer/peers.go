package steer

import (
	"slices"
	"time"
)

// lapsedLife is how long an instance whose record is gone counts on: the store may have
// ended its lease though it serves, and callers that were told of it ask it for three
// lives of a look-up, 5 s each. With 3 of 10 instances gone so, a cold target got 9
// requests in a second where 8.9 are allowed.
const lapsedLife = 15 * time.Second

// Peers takes the names of all instances that run, as far as their records tell. Bounds
// that all of them have to keep together are divided among them, and among those whose
// records went not long ago.
func (f *Fleet) Peers(now time.Time, names []string) {
	for _, name := range f.peers {
		if _, ok := f.lapsed[name]; !ok {
			f.lapsed[name] = now.Add(lapsedLife)
		}
	}
	for _, name := range names {
		delete(f.lapsed, name)
	}
	f.divide(now, names)
}

// forget leaves out the instances that have been gone for lapsedLife.
func (f *Fleet) forget(now time.Time) {
	for _, until := range f.lapsed {
		if !now.Before(until) {
			f.divide(now, f.running())
			return
		}
	}
}

// running lists the peers whose records are there.
func (f *Fleet) running() []string {
	return slices.DeleteFunc(slices.Clone(f.peers), func(name string) bool {
		_, gone := f.lapsed[name]
		return gone
	})
}

// divide sets among whom the bounds are divided: those that run, and those that lapsed
// not long ago.
func (f *Fleet) divide(now time.Time, running []string) {
	peers := slices.Clone(running)
	for name, until := range f.lapsed {
		if now.Before(until) {
			peers = append(peers, name)
		} else {
			delete(f.lapsed, name)
		}
	}
	slices.Sort(peers)
	peers = slices.Compact(peers)
	if slices.Equal(peers, f.peers) {
		return
	}
	f.peers = peers
	f.division++
	f.peerSeeds = f.peerSeeds[:0]
	for _, p := range peers {
		f.peerSeeds = append(f.peerSeeds, hash(p))
	}
	for _, s := range f.services {
		s.budget.SetSlack(f.slack())
	}
}
