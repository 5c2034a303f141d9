package settings

// NamedDrain is a drain in force with the path of its document.
type NamedDrain struct {
	Path    string
	Service ServiceID // zero for a drain of a whole place or an instance
	Drain   Drain
}

type drainKey struct {
	id   ServiceID // zero for every service
	name string
}

// drainSet indexes the drains in force.
type drainSet struct {
	drains    []NamedDrain // sorted by path
	places    map[drainKey]bool
	targets   map[drainKey]bool
	instances map[string]bool
}

func newDrainSet() drainSet {
	return drainSet{
		places:    make(map[drainKey]bool),
		targets:   make(map[drainKey]bool),
		instances: make(map[string]bool),
	}
}

func (d *drainSet) add(p *Parsed) {
	id, _ := p.drain.ServiceID(p.path.Team)
	d.drains = append(d.drains, NamedDrain{Path: p.document.Path, Service: id, Drain: *p.drain})
	switch {
	case p.drain.Instance != "":
		d.instances[p.drain.Instance] = true
	case p.drain.Target != "":
		d.targets[drainKey{id, p.drain.Target}] = true
	default:
		d.places[drainKey{id, p.drain.Place}] = true
	}
}

// Drains returns all drains in force, sorted by path. The result must not be modified.
func (s *Snapshot) Drains() []NamedDrain { return s.drains.drains }

// PlaceDrained reports whether the place is drained for the service, which then gets no new
// requests there.
func (s *Snapshot) PlaceDrained(id ServiceID, place string) bool {
	return s.drains.places[drainKey{id, place}] || s.drains.places[drainKey{name: place}]
}

// TargetDrained reports whether the target itself is drained. It doesn't cover
// a drain of the target's place, see PlaceDrained.
func (s *Snapshot) TargetDrained(id ServiceID, target string) bool {
	return s.drains.targets[drainKey{id, target}]
}

// InstanceDrained reports whether the instance is drained and so gets no new requests.
func (s *Snapshot) InstanceDrained(id string) bool { return s.drains.instances[id] }
