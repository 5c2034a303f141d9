package settings

// NamedDrain is a drain in force and where it stands.
type NamedDrain struct {
	Path    string
	Service ServiceID // zero for a drain of a whole place or an instance
	Drain   Drain
}

type drainKey struct {
	id   ServiceID // zero for every service
	name string
}

// drainSet answers what is drained.
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

// Drains are all drains in force, sorted by path. The caller must not change them.
func (s *Snapshot) Drains() []NamedDrain { return s.drains.drains }

// PlaceDrained says whether the service gets no new work in the place.
func (s *Snapshot) PlaceDrained(id ServiceID, place string) bool {
	return s.drains.places[drainKey{id, place}] || s.drains.places[drainKey{name: place}]
}

// TargetDrained says whether the target itself is drained; its place is asked
// for by PlaceDrained.
func (s *Snapshot) TargetDrained(id ServiceID, target string) bool {
	return s.drains.targets[drainKey{id, target}]
}

// InstanceDrained says whether the instance gets no new work.
func (s *Snapshot) InstanceDrained(id string) bool { return s.drains.instances[id] }
