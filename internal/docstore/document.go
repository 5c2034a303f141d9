package docstore

import (
	"context"
	"errors"
	"time"

	"github.com/firlever/firlever/pkg/settings"
)

// Outcome says what became of a write to a document.
type Outcome int

// Outcomes of a write. The zero value claims nothing.
const (
	Unknown  Outcome = iota // the write may have landed, and that could not be read back
	Accepted                // the write landed
	Refused                 // the write did not land, and never will
)

var outcomeNames = [...]string{Unknown: "unknown", Accepted: "accepted", Refused: "refused"}

func (o Outcome) String() string { return outcomeNames[o] }

// PutResult is the proved outcome of a write to a document.
type PutResult struct {
	Outcome Outcome
	Version uint64 // made by the write, if Accepted
	Newer   Entry  // what the write lost to, if Refused by a newer version; else zero
}

// How a write without an answer is settled.
const (
	maxRetries = 10                    // reads and repeats at most
	retryDelay = 50 * time.Millisecond // before the first of them; doubles each time
	maxRetryDelay  = time.Second
)

// PutDocument writes the document at path if it still has the given version; 0
// creates. write names this write and no other, in at most 64 letters, digits,
// - and _; only a repeat of the same write may carry it again.
//
// A write whose answer was lost is settled by reading its identity back. The
// error is nil if Accepted, *UncertainError if Unknown, and the reason if
// Refused: *ConflictError for a newer version.
func PutDocument(ctx context.Context, store Store, path string, version uint64, body []byte, write string) (PutResult, error) {
	doc := settings.Document{Path: path, Version: version, Body: body}
	return put(ctx, store, doc, write)
}

// DeleteDocument marks the document at path as deleted, by a write like that of
// PutDocument, so that its versions go on and the deletion is passed on.
func DeleteDocument(ctx context.Context, store Store, path string, version uint64, write string) (PutResult, error) {
	doc := settings.Document{Path: path, Version: version, Deleted: true}
	return put(ctx, store, doc, write)
}

// ResolveWrite settles an earlier write from version, whose outcome was Unknown,
// by reading alone. It stays Unknown as long as the path is still at that
// version, when the write may be under way: then it can be repeated as it was.
func ResolveWrite(ctx context.Context, store Store, path string, version uint64, write string) (PutResult, error) {
	current, err := store.Get(ctx, path)
	if err != nil {
		return PutResult{}, &UncertainError{Path: path, Err: err}
	}
	doc := settings.Document{Path: path, Version: version}
	p := documentWrite{store: store, doc: doc, writeID: write, uncertain: true}
	if current.Version <= version {
		return PutResult{}, &UncertainError{Path: path, Err: p.conflictError(current)}
	}
	return p.resolve(current)
}

func put(ctx context.Context, store Store, doc settings.Document, write string) (PutResult, error) {
	current, err := store.Get(ctx, doc.Path)
	var missing *NotFoundError
	if errors.As(err, &missing) {
		// Never written, or deleted at a version that Swap will compare.
		current, err = Entry{Path: doc.Path, Version: doc.Version, Deleted: true}, nil
	}
	if err != nil {
		return PutResult{Outcome: Refused}, err
	}
	p := documentWrite{store: store, doc: doc, writeID: write}
	if current.Version != doc.Version {
		return p.resolve(current)
	}
	p.value, err = EncodeDocument(doc, append([]string{write}, Writes(current)...))
	if err != nil {
		return PutResult{Outcome: Refused}, err
	}
	return p.run(ctx)
}

// documentWrite makes one write until its outcome is proved. A repeat is safe: the
// value and the expected version are the same, so at most one can land.
type documentWrite struct {
	store Store
	doc   settings.Document
	writeID string
	value []byte
	// uncertain is set once an answer was lost. It is never unset: that try
	// may land as long as the path is at the expected version.
	uncertain bool
}

func (p *documentWrite) run(ctx context.Context) (PutResult, error) {
	pause := retryDelay
	for try := 0; ; try++ {
		e, err := p.store.Swap(ctx, p.doc.Path, p.doc.Version, p.value)
		if err == nil {
			return PutResult{Outcome: Accepted, Version: e.Version}, nil
		}
		var conflict *ConflictError
		if errors.As(err, &conflict) {
			return p.resolve(conflict.Now)
		}
		var uncertain *UncertainError
		p.uncertain = p.uncertain || errors.As(err, &uncertain)
		if !p.uncertain {
			return PutResult{Outcome: Refused}, err
		}
		if try == maxRetries || !sleep(ctx, pause) {
			return PutResult{}, &UncertainError{Path: p.doc.Path, Err: err}
		}
		pause = min(2*pause, maxRetryDelay)
	}
}

// resolve decides a write whose path has moved on from the expected version.
// From here on it can't land any more; it may have landed before.
func (p *documentWrite) resolve(current Entry) (PutResult, error) {
	made := p.doc.Version + 1
	if p.uncertain && current.Version < p.doc.Version {
		// The platform has lost writes; whoever has seen this one writes it again.
		return PutResult{}, &UncertainError{Path: p.doc.Path, Err: p.conflictError(current)}
	}
	if current.Version < made {
		return PutResult{Outcome: Refused, Newer: current}, p.conflictError(current)
	}
	writes := Writes(current)
	age := current.Version - made // writes to the path since
	recorded := age < uint64(len(writes))
	if recorded && writes[age] == p.writeID {
		return PutResult{Outcome: Accepted, Version: made}, nil
	}
	if p.uncertain && !recorded {
		return PutResult{}, &UncertainError{Path: p.doc.Path, Err: p.conflictError(current)}
	}
	return PutResult{Outcome: Refused, Newer: current}, p.conflictError(current)
}

func (p *documentWrite) conflictError(current Entry) error {
	return &ConflictError{Path: p.doc.Path, Want: p.doc.Version, Now: current}
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
