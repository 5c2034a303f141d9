package settings

// Snapshot is a compiled set of documents with consistent references. It is
// immutable and safe for concurrent use.
type Snapshot struct {
	docs       map[string]*Parsed // versions in force by path, with deleted documents
	places     map[string]Place
	placeNames []string // sorted keys of places
	teams      map[string]Team
	teamNames  []string // sorted keys of teams
	services   map[ServiceID]*CompiledService
	serviceIDs []ServiceID     // sorted keys of services
	blocks     []BlockDocument // sorted by path
	drains     drainSet
}

// BlockDocument holds the blocks in force of one document.
type BlockDocument struct {
	Path    string
	Version uint64
	Blocks  []Block // must not be modified
}

// Same reports whether b and other share their blocks, by path, length and
// address. A table that contains the blocks of one then needs no update for the
// other. A false result doesn't mean that the blocks differ.
func (b BlockDocument) Same(other BlockDocument) bool {
	if b.Path != other.Path || len(b.Blocks) != len(other.Blocks) {
		return false
	}
	return len(b.Blocks) == 0 || &b.Blocks[0] == &other.Blocks[0]
}

// Service returns a service by its ID.
func (s *Snapshot) Service(id ServiceID) (*CompiledService, bool) {
	v, ok := s.services[id]
	return v, ok
}

// Services returns the IDs of all services, sorted. The result must not be modified.
func (s *Snapshot) Services() []ServiceID { return s.serviceIDs }

// Place returns the document of a place.
func (s *Snapshot) Place(name string) (Place, bool) {
	v, ok := s.places[name]
	return v, ok
}

// Places returns the names of all places, sorted. The result must not be modified.
func (s *Snapshot) Places() []string { return s.placeNames }

// Team returns the document of a team. Its tokens must not be modified.
func (s *Snapshot) Team(name string) (Team, bool) {
	v, ok := s.teams[name]
	return v, ok
}

// Teams returns the names of all teams with a document, sorted. The result must
// not be modified.
func (s *Snapshot) Teams() []string { return s.teamNames }

// Share returns the team's weight at an overloaded place, which is DefaultShare for a team
// without a document.
func (s *Snapshot) Share(team string) int {
	if t, ok := s.teams[team]; ok {
		return t.Share
	}
	return DefaultShare
}

// Version returns the version in force of the document under path, or 0 if there
// is none. A deleted document has the version of its deletion.
func (s *Snapshot) Version(path string) uint64 {
	if p, ok := s.docs[path]; ok {
		return p.Version()
	}
	return 0
}

// BlockDocuments returns the documents of blocks, sorted by path. Each prefix
// occurs only once in them. The result must not be modified.
func (s *Snapshot) BlockDocuments() []BlockDocument { return s.blocks }

// Blocks returns a copy of the blocks of all documents, in the order of
// BlockDocuments. Compare BlockDocuments to detect changes.
func (s *Snapshot) Blocks() []Block {
	n := 0
	for _, d := range s.blocks {
		n += len(d.Blocks)
	}
	all := make([]Block, 0, n)
	for _, d := range s.blocks {
		all = append(all, d.Blocks...)
	}
	return all
}
