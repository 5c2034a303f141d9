package steer

import (
	"slices"
	"time"
)

// expiredPeerTTL is how long an instance counts after its record was removed. The store may have
// ended the lease of an instance that still serves, and callers keep using its address for three
// lifetimes of a lookup, 5 s each. Without this, with the records of 3 of 10 instances removed, a
// cold target got 9 requests in a second where 8.9 are allowed.
const expiredPeerTTL = 15 * time.Second

// SetPeers sets the names of all instances whose records exist. Bounds over all instances are
// divided among them and the instances whose records were removed less than expiredPeerTTL ago.
func (f *Fleet) SetPeers(now time.Time, names []string) {
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

// expirePeers drops the instances whose records were removed expiredPeerTTL ago.
func (f *Fleet) expirePeers(now time.Time) {
	for _, until := range f.expiredPeers {
		if !now.Before(until) {
			f.updatePeers(now, f.activePeers())
			return
		}
	}
}

// activePeers returns the peers whose records exist.
func (f *Fleet) activePeers() []string {
	return slices.DeleteFunc(slices.Clone(f.peers), func(name string) bool {
		_, expired := f.expiredPeers[name]
		return expired
	})
}

// updatePeers sets the instances that bounds are divided among: the given ones, and those whose
// records were removed less than expiredPeerTTL ago.
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
	f.updateSlack()
}
