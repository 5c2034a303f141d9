package settings

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
)

// Compile builds a snapshot from documents. It returns a *FaultsError and no
// snapshot if any document has a fault or a dangling reference.
func Compile(docs []Document) (*Snapshot, error) {
	s, faults := CompileLenient(docs)
	if err := newFaultsError(faults); err != nil {
		return nil, err
	}
	return s, nil
}

// CompileLenient builds a snapshot from the valid parts of docs, and returns the faults of the
// parts that it dropped.
func CompileLenient(docs []Document) (*Snapshot, []Fault) { return Advance(nil, docs) }

// Advance builds the snapshot that follows prev, which may be nil, from prev and
// docs, in any order.
//
// The version of a document never decreases: the newer one of prev and docs is
// used, and a document that docs lacks stays as in prev. If a document is not
// valid by itself, the version of prev stays in force. If a document refers to a
// missing one, only the site or block with that reference is dropped until the
// other document arrives, so a service remains when a place of it is deleted. A
// drain always stays in force. Each of these cases is reported as a fault.
//
// Documents unchanged since prev are not parsed again.
func Advance(prev *Snapshot, docs []Document) (*Snapshot, []Fault) {
	b := newBuilder(prev)
	for _, doc := range docs {
		b.addDocument(doc)
	}
	b.link()
	slices.SortStableFunc(b.faults, compareFaults)
	return b.s, b.faults
}

// Check checks the documents that result from writing next to docs; next may be
// a deletion. It returns, as *FaultsError, the faults that next has or causes in
// other documents, but not those that existed before.
func Check(docs []Document, next Document) error {
	before, old := CompileLenient(docs)
	return before.check(old, next)
}

// Check is like the function Check with the documents of s, which it doesn't
// parse again.
func (s *Snapshot) Check(next Document) error {
	_, old := Advance(s, nil)
	return s.check(old, next)
}

func (s *Snapshot) check(old []Fault, next Document) error {
	// The platform assigns the version of next; here it only has to be newer.
	next.Version = s.Version(next.Path) + 1
	_, faults := Advance(s, []Document{next})
	existing := make(map[Fault]bool, len(old))
	for _, f := range old {
		existing[f] = true
	}
	var found []Fault
	for _, f := range faults {
		if !existing[f] || f.Path == next.Path {
			found = append(found, f.redacted(next.Path))
		}
	}
	return newFaultsError(found)
}

// redacted returns the fault as shown to the writer of path: a fault that a
// team's document causes in one of another team doesn't reveal which one that is.
func (f Fault) redacted(path string) Fault {
	writer, _ := ParsePath(path)
	other, _ := ParsePath(f.Path)
	if writer.Team == "" || other.Team == "" || writer.Team == other.Team {
		return f
	}
	return Fault{Path: path, Reason: f.Reason}
}

// builder builds a Snapshot.
type builder struct {
	prev   *Snapshot // never nil
	s      *Snapshot
	faults []Fault
}

func newBuilder(prev *Snapshot) *builder {
	if prev == nil {
		prev = &Snapshot{}
	}
	s := &Snapshot{
		docs:     make(map[string]*Parsed, len(prev.docs)),
		places:   make(map[string]Place),
		teams:    make(map[string]Team),
		services: make(map[ServiceID]*CompiledService),
		drains:   newDrainSet(),
	}
	maps.Copy(s.docs, prev.docs)
	return &builder{prev: prev, s: s}
}

// addDocument parses doc if it is newer than the version in force, and puts it in force if it is
// valid.
func (b *builder) addDocument(doc Document) {
	if old, ok := b.s.docs[doc.Path]; ok && old.Version() >= doc.Version {
		return
	}
	p, err := Parse(doc)
	if err != nil {
		b.faults = append(b.faults, err.(*FaultsError).Faults...)
		return
	}
	b.s.docs[doc.Path] = p
}

// link resolves the references, in the order of kinds: referenced documents before those that
// refer to them.
func (b *builder) link() {
	byKind := make(map[Kind][]*Parsed)
	for _, path := range slices.Sorted(maps.Keys(b.s.docs)) {
		if p := b.s.docs[path]; !p.Deleted() {
			byKind[p.path.Kind] = append(byKind[p.path.Kind], p)
		}
	}
	for _, p := range byKind[KindPlace] {
		b.s.places[p.path.Name] = *p.place
	}
	for _, p := range byKind[KindTeam] {
		b.s.teams[p.path.Team] = *p.team
	}
	b.s.placeNames = slices.Sorted(maps.Keys(b.s.places))
	b.s.teamNames = slices.Sorted(maps.Keys(b.s.teams))
	b.linkServices(byKind[KindService])
	b.linkBlocks(byKind[KindBlocks])
	for _, p := range slices.Concat(byKind[KindDrain], byKind[KindTeamDrain]) {
		b.s.drains.add(p)
		b.checkDrain(p)
	}
}

func (b *builder) add(p *Parsed, field, format string, args ...any) {
	b.faults = append(b.faults, Fault{Path: p.document.Path, Field: field, Reason: fmt.Sprintf(format, args...)})
}

const unknownPlaceFault = "there is no place %q"

func (b *builder) linkServices(docs []*Parsed) {
	owners := make(map[netip.AddrPort]ServiceID)
	for _, p := range docs {
		id := p.service.id
		b.s.serviceIDs = append(b.s.serviceIDs, id)
		b.s.services[id] = p.service.filterPlaces(func(place string) bool {
			_, ok := b.s.places[place]
			return ok
		})
		for _, place := range p.service.places {
			if _, ok := b.s.places[place]; !ok {
				b.add(p, "places."+place, unknownPlaceFault, place)
			}
			b.checkAddresses(p, place, owners)
		}
	}
	slices.SortFunc(b.s.serviceIDs, ServiceID.Compare)
}

// checkAddresses adds a fault for each target address that another service has
// too, as its slots would be counted twice. The message doesn't name the other
// service, which may be of another team.
func (b *builder) checkAddresses(p *Parsed, place string, owners map[netip.AddrPort]ServiceID) {
	for i, t := range p.service.doc.Places[place].Targets {
		a, err := t.AddrPort()
		if err != nil {
			continue
		}
		if owner, ok := owners[a]; ok && owner != p.service.id {
			b.add(p, fmt.Sprintf("places.%s.targets[%d].address", place, i), "%q is a target of another service", t.Address)
			continue
		}
		owners[a] = p.service.id
	}
}

func (b *builder) checkDrain(p *Parsed) {
	d := p.drain
	if d.Place != "" {
		_, ok := b.s.places[d.Place]
		b.check(ok, p, "place", unknownPlaceFault, d.Place)
	}
	if d.Service == "" {
		return
	}
	id, _ := d.ServiceID(p.path.Team)
	doc, ok := b.s.docs[ServicePath(id)]
	if !ok || doc.Deleted() {
		b.add(p, "service", "there is no service %q", id)
		return
	}
	if d.Target != "" {
		b.check(doc.service.hasTarget(d.Target), p, "target", "%s has no target %q", id, d.Target)
	}
	if d.Place != "" {
		_, ok := doc.service.Site(d.Place)
		b.check(ok, p, "place", "%s has no site in %q", id, d.Place)
	}
}

func (b *builder) check(ok bool, p *Parsed, field, format string, args ...any) {
	if !ok {
		b.add(p, field, format, args...)
	}
}
