package settings

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
)

// Compile puts documents together, and refuses them all with *FaultsError
// when one has a fault or refers to what isn't there.
func Compile(docs []Document) (*Snapshot, error) {
	s, faults := CompileLenient(docs)
	if err := newFaultsError(faults); err != nil {
		return nil, err
	}
	return s, nil
}

// CompileLenient puts together what it can; the faults say what it left out.
func CompileLenient(docs []Document) (*Snapshot, []Fault) { return Advance(nil, docs) }

// Advance puts together documents after prev, which may be nil. docs is all
// that the instance knows, in any order.
//
// The version of a document never goes back: of prev and docs the newer is
// taken, and a path that docs lacks stays as in prev. A document that is not
// valid by itself leaves the version of prev in force. One that refers to what
// isn't there loses that part alone, a site or a block, until the other
// document arrives; so a service outlives a place that was deleted under it. A
// drain always stays in force. Each of these is reported as a fault.
//
// Documents unchanged since prev are not read again.
func Advance(prev *Snapshot, docs []Document) (*Snapshot, []Fault) {
	b := newBuilder(prev)
	for _, doc := range docs {
		b.addDocument(doc)
	}
	b.link()
	slices.SortStableFunc(b.faults, compareFaults)
	return b.s, b.faults
}

// Check says whether writing next, which may be a deletion, leaves documents
// that fit together. It reports, as *FaultsError, the faults that next has or
// brings to others, not those that were there before.
func Check(docs []Document, next Document) error {
	before, old := CompileLenient(docs)
	return before.check(old, next)
}

// Check is like the function Check with the documents that s was made of,
// which it does not read again.
func (s *Snapshot) Check(next Document) error {
	_, old := Advance(s, nil)
	return s.check(old, next)
}

func (s *Snapshot) check(old []Fault, next Document) error {
	// The version of next is the platform's to give: here it is only newer.
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

// redacted is the fault as the writer of path may see it: a fault that a team
// brings to another team's document doesn't tell which one that is.
func (f Fault) redacted(path string) Fault {
	writer, _ := ParsePath(path)
	other, _ := ParsePath(f.Path)
	if writer.Team == "" || other.Team == "" || writer.Team == other.Team {
		return f
	}
	return Fault{Path: path, Reason: f.Reason}
}

// builder puts a Snapshot together.
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

// addDocument reads doc if it is newer than what is there.
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

// link follows references, from kinds that are referred to towards those that refer.
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

// checkAddresses finds targets that two services name: their slots would be
// counted twice. The message names no other team's service.
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
