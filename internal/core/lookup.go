package core

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/firlever/firlever/pkg/settings"
)

// maxInstances is the maximum number of instances in the answer to a look-up.
const maxInstances = 4

// maxKeys is the maximum number of idempotency keys in one look-up.
const maxKeys = 64

// NoServiceError reports that no document declares the service.
type NoServiceError struct{ Service settings.ServiceID }

func (e *NoServiceError) Error() string { return "core: no service " + e.Service.String() }

// NoSettingsError reports that this instance has no configuration yet. Callers should ask
// another instance.
type NoSettingsError struct{ Instance string }

func (e *NoSettingsError) Error() string { return "core: " + e.Instance + " has no configuration yet" }

// OldSettingsError reports that no document here declares the service, and that one that is in force
// elsewhere may be missing here. Callers should ask another instance.
type OldSettingsError struct {
	Service settings.ServiceID
	RetryAt time.Time
}

func (e *OldSettingsError) Error() string {
	return "core: no service " + e.Service.String() + " in settings that may be old"
}

// StoppingError reports that this instance is in a planned stop. Callers should ask
// another instance, as an answer would be valid for longer than this instance runs.
type StoppingError struct{ Instance string }

func (e *StoppingError) Error() string { return "core: " + e.Instance + " is in a planned stop" }

// Lookup returns the instances that a caller should ask for a service, and keys for
// non-idempotent requests. It returns a *NoServiceError for an unknown service, an
// *OldSettingsError if the service may be known elsewhere, a *NoSettingsError before the
// first configuration, and a *StoppingError during a planned stop while other instances serve.
func (n *Node) Lookup(now time.Time, id settings.ServiceID, caller netip.Addr, keys int) (Lookup, error) {
	if n.snapshot == nil {
		return Lookup{}, &NoSettingsError{Instance: n.cfg.Instance}
	}
	service, ok := n.snapshot.Service(id)
	if !ok && n.mayBeBehind(now) {
		return Lookup{}, &OldSettingsError{Service: id, RetryAt: now.Add(retryFull)}
	}
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

// recordLookup records until when callers may cache an answer that leads them to an
// instance, by its name or by a key.
func (n *Node) recordLookup(l Lookup) {
	for _, p := range l.Instances {
		n.lookupUntil[p.ID] = l.Until
	}
	if len(l.Keys) > 0 {
		n.lookupUntil[n.cfg.Instance] = l.Until
	}
}

// LookupValidUntil returns until when callers may cache a look-up, answered here, that leads them to
// the instance id. ok reports that the time is final, because id has announced that it is
// leaving, or is this instance and stopping.
func (n *Node) LookupValidUntil(id string) (until time.Time, ok bool) {
	p, known := n.peer(id)
	return n.lookupUntil[id], known && p.Leaving || id == n.cfg.Instance && n.stopping
}

// instancesFor orders instances by the distance of their place from the caller's home.
// Within a place the order is random, to spread callers.
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
	if len(list) == 0 && n.partitioned() {
		return []Peer{n.self()}
	}
	return list
}

// self returns this instance as callers see it.
func (n *Node) self() Peer {
	return Peer{ID: n.cfg.Instance, Incarnation: n.cfg.Incarnation, Place: n.cfg.Place}
}

// shuffled lists a place's instances that accept new work, in random order. In this
// place, where the owners are known, the probability of being first is an instance's
// share of the service's slots: a request sent to an owner needs no hand-off.
func (n *Node) shuffled(id settings.ServiceID, place string) []Peer {
	var list []Peer
	if place == n.cfg.Place && !n.stopping && !n.partitioned() && !n.snapshot.InstanceDrained(n.cfg.Instance) {
		list = append(list, n.self())
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

// shuffleByShare orders a place's instances at random, weighted by the slots of the
// service that each owns.
func (n *Node) shuffleByShare(id settings.ServiceID, list []Peer) {
	s, ok := n.services[id]
	if !ok {
		return
	}
	slots := make(map[string]int, len(list))
	for _, key := range s.keys {
		slots[n.owners.Owner(key)] += s.limits[key]
	}
	// Of exponential times with these rates, each one is the smallest with a probability
	// equal to its share; an instance without slots comes last.
	times := make(map[string]float64, len(list))
	for _, p := range list {
		times[p.ID] = n.cfg.Rand.ExpFloat64() / float64(slots[p.ID])
	}
	slices.SortStableFunc(list, func(a, b Peer) int { return cmp.Compare(times[a.ID], times[b.ID]) })
}
