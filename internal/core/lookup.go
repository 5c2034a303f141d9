package core

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/firlever/firlever/pkg/settings"
)

// maxInstances is how many instances an answer of a look-up names.
const maxInstances = 4

// maxKeys is how many idempotency keys one look-up may ask for.
const maxKeys = 64

// NoServiceError says that no document declares the service.
type NoServiceError struct{ Service settings.ServiceID }

func (e *NoServiceError) Error() string { return "core: no service " + e.Service.String() }

// NoSettingsError says that this instance has no configuration yet, and others
// are to be asked.
type NoSettingsError struct{ Instance string }

func (e *NoSettingsError) Error() string { return "core: " + e.Instance + " has no configuration yet" }

// StoppingError says that this instance is in a planned stop and others are to
// be asked: what it answered would outlive it.
type StoppingError struct{ Instance string }

func (e *StoppingError) Error() string { return "core: " + e.Instance + " is in a planned stop" }

// Lookup tells a caller which instances to ask for a service, and gives keys
// for non-idempotent requests. It returns a *NoServiceError for an unknown service,
// a *NoSettingsError before the first configuration, and a *StoppingError in a
// planned stop while others serve.
func (n *Node) Lookup(now time.Time, id settings.ServiceID, caller netip.Addr, keys int) (Lookup, error) {
	if n.snapshot == nil {
		return Lookup{}, &NoSettingsError{Instance: n.cfg.Instance}
	}
	service, ok := n.snapshot.Service(id)
	if !ok {
		return Lookup{}, &NoServiceError{Service: id}
	}
	home, _ := n.blockPlace(caller)
	l := Lookup{Service: id, Place: home, Until: now.Add(n.cfg.Cache)}
	l.Instances = n.instancesFor(id, service, home)
	if n.stopping && len(l.Instances) > 0 {
		return Lookup{}, &StoppingError{Instance: n.cfg.Instance}
	}
	until := l.Until.Add(service.Timeout())
	for range min(keys, maxKeys) {
		l.Keys = append(l.Keys, n.once.Issue(now, until).String())
	}
	n.recordLookup(l)
	return l, nil
}

// recordLookup keeps until when callers may keep an answer that sends them to an
// instance, by its name or by a key.
func (n *Node) recordLookup(l Lookup) {
	for _, p := range l.Instances {
		n.lookupUntil[p.ID] = l.Until
	}
	if len(l.Keys) > 0 {
		n.lookupUntil[n.cfg.Instance] = l.Until
	}
}

// Named is until when callers may keep a look-up of this instance that sends
// them to another, or to itself. The answer holds for good once the other is
// known here to leave, which ok tells.
func (n *Node) Named(id string) (until time.Time, ok bool) {
	p, known := n.peer(id)
	return n.lookupUntil[id], known && p.Leaving || id == n.cfg.Instance && n.stopping
}

// instancesFor orders instances by how near their place is to the caller's home.
// Within a place a random one comes first, so that callers spread.
func (n *Node) instancesFor(id settings.ServiceID, service *settings.CompiledService, home string) []Peer {
	f := &inFlight{service: service, home: home}
	f.req.Service = id
	var list []Peer
	for _, place := range n.placesFor(f) {
		if n.snapshot.PlaceDrained(id, place) {
			continue
		}
		list = append(list, n.shuffled(id, place)...)
		if len(list) >= maxInstances {
			return list[:maxInstances]
		}
	}
	return list
}

// shuffled lists a place's instances that take new work, in random order. In
// this place, where the owners are known, an instance comes first as often as
// its share of the service's slots: who asks an owner saves a hand-off.
func (n *Node) shuffled(id settings.ServiceID, place string) []Peer {
	var list []Peer
	if place == n.cfg.Place && !n.stopping && !n.snapshot.InstanceDrained(n.cfg.Instance) {
		list = append(list, Peer{ID: n.cfg.Instance, Incarnation: n.cfg.Incarnation, Place: place})
	}
	for _, p := range n.peers.byPlace[place] {
		if !p.Leaving && !n.snapshot.InstanceDrained(p.ID) {
			list = append(list, p)
		}
	}
	n.cfg.Rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	if place == n.cfg.Place {
		n.shuffleByShare(id, list)
	}
	return list
}

// shuffleByShare orders a place's instances at random, weighted by the slots that each
// owns of the service.
func (n *Node) shuffleByShare(id settings.ServiceID, list []Peer) {
	s, ok := n.services[id]
	if !ok {
		return
	}
	slots := make(map[string]int, len(list))
	for _, key := range s.keys {
		slots[n.owners.Owner(key)] += s.limits[key]
	}
	// The least of exponential times with these rates is each one as often as
	// its share; an instance without slots comes last.
	times := make(map[string]float64, len(list))
	for _, p := range list {
		times[p.ID] = n.cfg.Rand.ExpFloat64() / float64(slots[p.ID])
	}
	slices.SortStableFunc(list, func(a, b Peer) int { return cmp.Compare(times[a.ID], times[b.ID]) })
}
