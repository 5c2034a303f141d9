package steer

import (
	"slices"
	"time"
)

// expiredPeerTTL is how long an instance whose record is gone counts on: the store may have
// ended its lease though it serves, and callers that were told of it ask it for three
// lives of a look-up, 5 s each. With 3 of 10 instances gone so, a cold target got 9
// requests in a second where 8.9 are allowed.
const expiredPeerTTL = 15 * time.Second

// Peers takes the names of all instances that run, as far as their records tell. Bounds
// that all of them have to keep together are divided among them, and among those whose
// records went not long ago.
func (f *Fleet) Peers(now time.Time, names []string) {
	for _, name := range f.peers {
		if _, ok := f.expiredPeers[name]; !ok {
			f.expiredPeers[name] = now.Add(expiredPeerTTL)
		}
	}
	for _, name := range names {
		delete(f.expiredPeers, name)
	}
	f.updatePeers(now, names)
}

// expirePeers leaves out the instances that have been gone for lapsedLife.
func (f *Fleet) expirePeers(now time.Time) {
	for _, until := range f.expiredPeers {
		if !now.Before(until) {
			f.updatePeers(now, f.activePeers())
			return
		}
	}
}

// activePeers lists the peers whose records are there.
func (f *Fleet) activePeers() []string {
	return slices.DeleteFunc(slices.Clone(f.peers), func(name string) bool {
		_, gone := f.expiredPeers[name]
		return gone
	})
}

// updatePeers sets among whom the bounds are divided: those that run, and those that lapsed
// not long ago.
func (f *Fleet) updatePeers(now time.Time, active []string) {
	peers := slices.Clone(active)
	for name, until := range f.expiredPeers {
		if now.Before(until) {
			peers = append(peers, name)
		} else {
			delete(f.expiredPeers, name)
		}
	}
	slices.Sort(peers)
	peers = slices.Compact(peers)
	if slices.Equal(peers, f.peers) {
		return
	}
	f.peers = peers
	f.peersVersion++
	f.peerHashes = f.peerHashes[:0]
	for _, p := range peers {
		f.peerHashes = append(f.peerHashes, hash(p))
	}
	for _, s := range f.services {
		s.budget.SetSlack(f.slack())
	}
}
