package docstore

import (
	"context"
	"errors"
	"time"

	"github.com/firlever/firlever/pkg/settings"
)

// Outcome is the outcome of a write to a document.
type Outcome int

// Outcomes of a write. The zero value is Unknown.
const (
	Unknown  Outcome = iota // the write may have been applied; reading it back was inconclusive
	Accepted                // the write was applied
	Refused                 // the write was not applied, and never will be
)

var outcomeNames = [...]string{Unknown: "unknown", Accepted: "accepted", Refused: "refused"}

func (o Outcome) String() string { return outcomeNames[o] }

// PutResult is the outcome of a write to a document.
type PutResult struct {
	Outcome Outcome
	Version uint64 // created by the write, if Accepted
	Newer   Entry  // the newer entry, if Refused because of one; else zero
}

// Retries of a write that got no answer.
const (
	maxRetries    = 10                    // after the first attempt
	retryDelay    = 50 * time.Millisecond // before the first retry; doubles each time
	maxRetryDelay = time.Second
)

// PutDocument writes the document at path if it still has the given version; version
// 0 creates it. writeID is the unique ID of this write, of at most 64 letters, digits,
// - and _; only a retry of the same write may reuse it.
//
// If the answer is lost, the outcome is resolved by reading the IDs of the latest
// writes. The error is nil if Accepted, *UncertainError if Unknown, and the reason if
// Refused: *ConflictError for a newer version.
func PutDocument(ctx context.Context, store Store, path string, version uint64, body []byte, writeID string) (PutResult, error) {
	doc := settings.Document{Path: path, Version: version, Body: body}
	return put(ctx, store, doc, writeID)
}

// DeleteDocument marks the document at path as deleted with a write like that of
// PutDocument. The path's versions therefore keep counting, and the deletion reaches
// other instances like any change.
func DeleteDocument(ctx context.Context, store Store, path string, version uint64, writeID string) (PutResult, error) {
	doc := settings.Document{Path: path, Version: version, Deleted: true}
	return put(ctx, store, doc, writeID)
}

// ResolveWrite determines the outcome of an earlier write over version, whose outcome
// was Unknown, by reading only. The outcome stays Unknown while the path is still at
// that version, since the write may still be in flight; the same write can then be
// retried.
func ResolveWrite(ctx context.Context, store Store, path string, version uint64, writeID string) (PutResult, error) {
	current, err := store.Get(ctx, path)
	if err != nil {
		return PutResult{}, &UncertainError{Path: path, Err: err}
	}
	doc := settings.Document{Path: path, Version: version}
	p := documentWrite{store: store, doc: doc, writeID: writeID, uncertain: true}
	if current.Version <= version {
		return PutResult{}, &UncertainError{Path: path, Err: p.conflictError(current)}
	}
	return p.resolve(current)
}

func put(ctx context.Context, store Store, doc settings.Document, writeID string) (PutResult, error) {
	current, err := store.Get(ctx, doc.Path)
	var missing *NotFoundError
	if errors.As(err, &missing) {
		// Never written, or deleted at a version that Swap compares.
		current, err = Entry{Path: doc.Path, Version: doc.Version, Deleted: true}, nil
	}
	if err != nil {
		return PutResult{Outcome: Refused}, err
	}
	p := documentWrite{store: store, doc: doc, writeID: writeID}
	if current.Version != doc.Version {
		return p.resolve(current)
	}
	p.value, err = EncodeDocument(doc, append([]string{writeID}, WriteIDs(current)...))
	if err != nil {
		return PutResult{Outcome: Refused}, err
	}
	return p.run(ctx)
}

// documentWrite retries one write until its outcome is certain. A retry is safe: the
// value and the expected version are the same, so at most one attempt can be applied.
type documentWrite struct {
	store   Store
	doc     settings.Document
	writeID string
	value   []byte
	// uncertain is set once an answer was lost. It is never reset: that attempt
	// can still be applied while the path is at the expected version.
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
			return p.resolve(conflict.Current)
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

// resolve determines the outcome of a write whose path is no longer at the expected
// version. The write can't be applied any more, but it may have been applied before.
func (p *documentWrite) resolve(current Entry) (PutResult, error) {
	created := p.doc.Version + 1
	if p.uncertain && current.Version < p.doc.Version {
		// The store has lost writes; an instance that has read this one may restore it.
		return PutResult{}, &UncertainError{Path: p.doc.Path, Err: p.conflictError(current)}
	}
	if current.Version < created {
		return PutResult{Outcome: Refused, Newer: current}, p.conflictError(current)
	}
	writes := WriteIDs(current)
	age := current.Version - created // number of later writes to the path
	recorded := age < uint64(len(writes))
	if recorded && writes[age] == p.writeID {
		return PutResult{Outcome: Accepted, Version: created}, nil
	}
	if p.uncertain && !recorded {
		return PutResult{}, &UncertainError{Path: p.doc.Path, Err: p.conflictError(current)}
	}
	return PutResult{Outcome: Refused, Newer: current}, p.conflictError(current)
}

func (p *documentWrite) conflictError(current Entry) error {
	return &ConflictError{Path: p.doc.Path, Expected: p.doc.Version, Current: current}
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
