package instance

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/firlever/firlever/internal/invariant"
	"github.com/firlever/firlever/internal/replica"
	"github.com/firlever/firlever/pkg/settings"
	"github.com/firlever/firlever/platform"
)

// documents holds this instance's copy of the operators' documents and the snapshot
// compiled from them that is in force. It is safe for concurrent use.
type documents struct {
	apply   func(*settings.Snapshot) // puts a snapshot in force; called with mu held, so in order
	confirm func(at time.Time)       // reports that no document that was accepted before at is missing in the snapshot; called like apply
	log     *log.Logger

	current atomic.Pointer[progress] // progress of set; read without mu for each packet, also while set is being read

	mu       sync.Mutex
	set      *replica.Set
	snapshot *settings.Snapshot // nil before the first documents
	faults   []settings.Fault   // faults in the newest documents
}

// progress describes how complete a copy of the documents is.
type progress struct {
	root     uint64            // hash of all paths and versions held
	complete platform.Revision // store revision up to which no document is missing; zero until known; never decreases

	confirmedAt time.Time // no document that was accepted before then is missing; zero until known; never decreases
}

func newDocuments(checks *invariant.Counter, logger *log.Logger, apply func(*settings.Snapshot), confirm func(at time.Time)) *documents {
	d := &documents{apply: apply, confirm: confirm, log: logger, set: replica.New(checks)}
	d.current.Store(&progress{})
	return d
}

// Apply adds documents of any age and puts the newer ones in force. It returns the paths
// that changed. Before the first Complete nothing is put in force, as a partial set would
// be taken for the whole configuration.
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
	m := *d.current.Load()
	m.root = d.set.Root()
	d.current.Store(&m)
	if !m.complete.IsZero() {
		d.applyNewer(newer)
	}
	return changed
}

// applyNewer puts newer documents in force. mu must be held.
func (d *documents) applyNewer(newer []settings.Document) {
	d.snapshot, d.faults = settings.Advance(d.snapshot, newer)
	d.logChange(newer)
	d.apply(d.snapshot)
}

// Complete records that the documents held now are complete up to a revision of the
// platform's store. The first call puts them in force.
func (d *documents) Complete(revision platform.Revision) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.setComplete(revision)
}

// CompleteIfEqual does the same as Complete if the hash of the documents held equals root.
// It does nothing if mu is held by another goroutine: the handling of packets must not wait
// while documents are read.
func (d *documents) CompleteIfEqual(root uint64, revision platform.Revision) {
	if !d.mu.TryLock() {
		return // a later packet repeats it
	}
	defer d.mu.Unlock()
	if d.set.Root() == root {
		d.setComplete(revision)
	}
}

// setComplete implements Complete. mu must be held.
func (d *documents) setComplete(revision platform.Revision) {
	m := *d.current.Load()
	first := m.complete.IsZero() && !revision.IsZero()
	m.complete = platform.Later(m.complete, revision)
	d.current.Store(&m)
	if first && d.set.Len() > 0 {
		d.applyNewer(d.set.Documents())
	}
}

// confirmStep is the least advance of a confirmation that is passed on: each ack brings one.
const confirmStep = 100 * time.Millisecond

// Confirm records that the documents held now lack none that was accepted before a point in
// time.
func (d *documents) Confirm(at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.setConfirmed(at)
}

// ConfirmIfEqual does the same as Confirm if the hash of the documents held equals root. Like
// CompleteIfEqual, it does not wait.
func (d *documents) ConfirmIfEqual(root uint64, at time.Time) {
	if at.Before(d.current.Load().confirmedAt.Add(confirmStep)) || !d.mu.TryLock() {
		return
	}
	defer d.mu.Unlock()
	if d.set.Root() == root {
		d.setConfirmed(at)
	}
}

// setConfirmed implements Confirm. mu must be held.
func (d *documents) setConfirmed(at time.Time) {
	m := *d.current.Load()
	if at.Before(m.confirmedAt.Add(confirmStep)) {
		return
	}
	m.confirmedAt = at
	d.current.Store(&m)
	d.confirm(at)
}

// ConfirmedAt returns since when an accepted document may be missing, zero if that is not known.
func (d *documents) ConfirmedAt() time.Time { return d.current.Load().confirmedAt }

// Progress returns the hash of all paths and versions held, and the store revision up to
// which they are complete, zero if that is not known.
func (d *documents) Progress() (root uint64, complete platform.Revision) {
	m := d.current.Load()
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
		d.log.Warn("document invalid", "path", f.Path, "field", f.Field, "reason", f.Reason)
	}
}

// Snapshot returns the snapshot in force, nil before the first documents.
func (d *documents) Snapshot() *settings.Snapshot {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.snapshot
}

// Documents returns all documents held, sorted by path.
func (d *documents) Documents() []settings.Document {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.set.Documents()
}

// Get returns the document held at a path.
func (d *documents) Get(path string) (settings.Document, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.set.Get(path)
}

// Root returns the hash of all paths and versions held.
func (d *documents) Root() uint64 { return d.current.Load().root }

// Read calls f with the set locked. f must not retain the set.
func (d *documents) Read(f func(s *replica.Set, complete platform.Revision)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f(d.set, d.current.Load().complete)
}
