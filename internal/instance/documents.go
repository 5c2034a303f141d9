package instance

import (
	"sync"
	"sync/atomic"

	"github.com/charmbracelet/log"

	"github.com/firlever/firlever/internal/invariant"
	"github.com/firlever/firlever/internal/replica"
	"github.com/firlever/firlever/pkg/settings"
	"github.com/firlever/firlever/platform"
)

// documents is this instance's copy of the operators' documents, and the
// snapshot that it puts in force. It is safe for concurrent use.
type documents struct {
	force func(*settings.Snapshot) // puts a snapshot in force; called with mu held, so in order
	log   *log.Logger

	marked atomic.Pointer[mark] // of set; read for each packet, also while documents are read

	mu       sync.Mutex
	set      *replica.Set
	snapshot *settings.Snapshot // nil before the first documents
	faults   []settings.Fault   // of the newest documents
}

// mark says how far a copy of the documents has come.
type mark struct {
	root     uint64            // hash of all paths and versions held
	complete platform.Revision // of the store, up to which nothing is missing; zero until that is known; never goes back
}

func newDocuments(checks *invariant.Counter, logger *log.Logger, force func(*settings.Snapshot)) *documents {
	d := &documents{force: force, log: logger, set: replica.New(checks)}
	d.marked.Store(&mark{})
	return d
}

// Apply takes in documents of any age, and puts what is newer in force. It
// returns the paths that changed. Before the first Complete nothing comes into
// force: some of the documents would pass for all.
func (d *documents) Apply(docs []settings.Document) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var changed []string
	var newer []settings.Document
	for _, doc := range docs {
		if d.set.Apply(doc) {
			changed = append(changed, doc.Path)
			newer = append(newer, doc)
		}
	}
	if len(newer) == 0 {
		return nil
	}
	m := mark{root: d.set.Root(), complete: d.marked.Load().complete}
	d.marked.Store(&m)
	if !m.complete.IsZero() {
		d.advance(newer)
	}
	return changed
}

// advance puts newer documents in force. It needs mu.
func (d *documents) advance(newer []settings.Document) {
	d.snapshot, d.faults = settings.Advance(d.snapshot, newer)
	d.logChange(newer)
	d.force(d.snapshot)
}

// Complete notes that the documents held now lack nothing up to a revision of
// the platform. The first time, they come into force.
func (d *documents) Complete(revision platform.Revision) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.completed(revision)
}

// Matched notes the same of documents whose hash is root, if those are held and
// it can be done at once: packets don't wait while documents are read.
func (d *documents) Matched(root uint64, revision platform.Revision) {
	if !d.mu.TryLock() {
		return // a later packet tells again
	}
	defer d.mu.Unlock()
	if d.set.Root() == root {
		d.completed(revision)
	}
}

// completed needs mu.
func (d *documents) completed(revision platform.Revision) {
	m := *d.marked.Load()
	first := m.complete.IsZero() && !revision.IsZero()
	m.complete = platform.Later(m.complete, revision)
	d.marked.Store(&m)
	if first && d.set.Len() > 0 {
		d.advance(d.set.Documents())
	}
}

// Mark is the hash of all paths and versions held, and the platform's revision
// up to which they lack nothing; zero if that is not known.
func (d *documents) Mark() (root uint64, complete platform.Revision) {
	m := d.marked.Load()
	return m.root, m.complete
}

func (d *documents) logChange(docs []settings.Document) {
	if d.log == nil {
		return
	}
	for _, doc := range docs {
		d.log.Info("document", "path", doc.Path, "version", doc.Version, "deleted", doc.Deleted)
	}
	for _, f := range d.faults {
		d.log.Warn("document at fault", "path", f.Path, "field", f.Field, "reason", f.Reason)
	}
}

// Snapshot is what is in force; nil before the first documents.
func (d *documents) Snapshot() *settings.Snapshot {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.snapshot
}

// Documents are all documents held, sorted by path.
func (d *documents) Documents() []settings.Document {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.set.Documents()
}

// Get is the document held at a path.
func (d *documents) Get(path string) (settings.Document, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.set.Get(path)
}

// Root is the hash of all paths and versions held.
func (d *documents) Root() uint64 { return d.marked.Load().root }

// Read runs f with the set locked. f must not keep the set.
func (d *documents) Read(f func(s *replica.Set, complete platform.Revision)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f(d.set, d.marked.Load().complete)
}
