package instance

import (
	"sync"
	"sync/atomic"

	"github.com/charmbracelet/log"

	"github.com/firlever/firlever/internal/invariant"
	"github.com/firlever/firlever/internal/replica"
	"github.com/firlever/firlever/pkg/settings"
)

// documents is this instance's copy of the operators' documents, and the
// snapshot that it puts in force. It is safe for concurrent use.
type documents struct {
	force func(*settings.Snapshot) // puts a snapshot in force; called with mu held, so in order
	log   *log.Logger

	root atomic.Uint64 // of set; read for each packet, also while documents are read

	mu       sync.Mutex
	set      *replica.Set
	snapshot *settings.Snapshot // nil before the first documents
	faults   []settings.Fault   // of the newest documents
}

func newDocuments(checks *invariant.Counter, logger *log.Logger, force func(*settings.Snapshot)) *documents {
	return &documents{force: force, log: logger, set: replica.New(checks)}
}

// Apply takes in documents of any age, and puts what is newer in force. It
// returns the paths that changed.
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
	d.root.Store(d.set.Root())
	d.snapshot, d.faults = settings.Advance(d.snapshot, newer)
	d.logChange(newer)
	d.force(d.snapshot)
	return changed
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

// Root is the hash of all paths and versions held.
func (d *documents) Root() uint64 { return d.root.Load() }

// Read runs f with the set locked. f must not keep the set.
func (d *documents) Read(f func(*replica.Set)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f(d.set)
}
