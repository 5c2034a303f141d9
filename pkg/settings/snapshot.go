package settings

// Snapshot is a whole set of documents that fit together. It never changes,
// and is safe for concurrent use.
type Snapshot struct {
	docs       map[string]*Parsed // in force, by path; deleted ones too
	places     map[string]Place
	placeNames []string // sorted keys of places
	teams      map[string]Team
	teamNames  []string // sorted keys of teams
	services   map[ServiceID]*CompiledService
	serviceIDs []ServiceID     // sorted keys of services
	blocks     []BlockDocument // sorted by path
	drains     drainSet
}

// BlockDocument is what one document adds to the table of callers' blocks.
type BlockDocument struct {
	Path    string
	Version uint64
	Blocks  []Block // must not be changed
}

// Same says that b and other hold the same blocks for certain: a table that
// took in one need not look at the other.
func (b BlockDocument) Same(other BlockDocument) bool {
	if b.Path != other.Path || len(b.Blocks) != len(other.Blocks) {
		return false
	}
	return len(b.Blocks) == 0 || &b.Blocks[0] == &other.Blocks[0]
}

// Service finds a service.
func (s *Snapshot) Service(id ServiceID) (*CompiledService, bool) {
	v, ok := s.services[id]
	return v, ok
}

// Services are all services, sorted. The caller must not change them.
func (s *Snapshot) Services() []ServiceID { return s.serviceIDs }

// Place finds a place's document.
func (s *Snapshot) Place(name string) (Place, bool) {
	v, ok := s.places[name]
	return v, ok
}

// Places are the names of all places, sorted. The caller must not change them.
func (s *Snapshot) Places() []string { return s.placeNames }

// Team finds a team's document. The caller must not change its tokens.
func (s *Snapshot) Team(name string) (Team, bool) {
	v, ok := s.teams[name]
	return v, ok
}

// Teams are the names of all teams with a document, sorted. The caller must
// not change them.
func (s *Snapshot) Teams() []string { return s.teamNames }

// Share is the team's weight at a contested place: DefaultShare without a document.
func (s *Snapshot) Share(team string) int {
	if t, ok := s.teams[team]; ok {
		return t.Share
	}
	return DefaultShare
}

// Version is the version in force of the document under path, 0 if there is
// none. A deleted document has the version of its deletion.
func (s *Snapshot) Version(path string) uint64 {
	if p, ok := s.docs[path]; ok {
		return p.Version()
	}
	return 0
}

// BlockDocuments are the documents of blocks, sorted by path. No prefix stands
// twice among them. The caller must not change them.
func (s *Snapshot) BlockDocuments() []BlockDocument { return s.blocks }

// Blocks are the blocks of all documents, in the order of BlockDocuments. It
// copies them: to follow changes, compare BlockDocuments.
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
