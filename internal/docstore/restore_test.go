package docstore_test

import (
	"context"
	"errors"
	"testing"

	"github.com/firlever/firlever/internal/docstore"
	"github.com/firlever/firlever/internal/emulator/store"
	"github.com/firlever/firlever/pkg/settings"
	"github.com/firlever/firlever/platform"
)

// newRestorable returns a client, its emulated store, and a snapshot of the store that has /a at
// version 1; the store itself has /a at version 3.
func newRestorable(t *testing.T) (*docstore.Client, *store.Store, *store.Snapshot) {
	t.Helper()
	backend := store.New()
	t.Cleanup(backend.Close)
	s := docstore.NewClient(platform.NewStoreOver("stand-in", backend))
	put(t, s, 0, "one", "w1")
	snapshot := backend.TakeSnapshot()
	put(t, s, 1, "two", "w2")
	put(t, s, 2, "three", "w3")
	return s, backend, snapshot
}

func put(t *testing.T, s docstore.Store, version uint64, body, write string) {
	t.Helper()
	if _, err := docstore.PutDocument(t.Context(), s, "/a", version, []byte(body), write); err != nil {
		t.Fatal(err)
	}
}

// restored returns the entry that restores a document.
func restored(t *testing.T, version uint64, body string) docstore.Entry {
	t.Helper()
	value, err := docstore.EncodeRestored(settings.Document{Path: "/a", Version: version, Body: []byte(body)})
	if err != nil {
		t.Fatal(err)
	}
	return docstore.Entry{Path: "/a", Version: version, Value: value}
}

// Restore writes an entry that the store has lost at its own version, and only over earlier
// versions.
func TestRestore(t *testing.T) {
	tests := map[string]struct {
		version uint64
		want    uint64
		body    string
	}{
		"lost":              {3, 3, "again"},
		"an earlier one":    {1, 1, "one"},
		"a skipped version": {9, 9, "again"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s, backend, snapshot := newRestorable(t)
			backend.RestoreSnapshot(snapshot)
			if err := s.Restore(t.Context(), restored(t, tt.version, "again")); err != nil {
				t.Fatal(err)
			}
			e, err := s.Get(t.Context(), "/a")
			if err != nil {
				t.Fatal(err)
			}
			doc, err := docstore.DecodeDocument(e)
			if err != nil || doc.Version != tt.want || string(doc.Body) != tt.body {
				t.Errorf("got %+v, %v, want %q at %d", doc, err, tt.body, tt.want)
			}
			put(t, s, tt.want, "next", "w4")
		})
	}
}

// The outcome of a write is unknown if the store has lost it, or if another instance restored
// the document without the IDs of its writes.
func TestWriteLostByRestore(t *testing.T) {
	type scenario func(s *docstore.Client, backend *store.Store, snapshot *store.Snapshot) (docstore.PutResult, error)
	tests := map[string]scenario{
		"lost": func(s *docstore.Client, backend *store.Store, snapshot *store.Snapshot) (docstore.PutResult, error) {
			backend.RestoreSnapshot(snapshot)
			return docstore.ResolveWrite(context.Background(), s, "/a", 2, "w3")
		},
		"written again by another": func(s *docstore.Client, backend *store.Store, snapshot *store.Snapshot) (docstore.PutResult, error) {
			backend.RestoreSnapshot(snapshot)
			if err := s.Restore(context.Background(), restored(t, 3, "three")); err != nil {
				return docstore.PutResult{}, err
			}
			return docstore.ResolveWrite(context.Background(), s, "/a", 2, "w3")
		},
		"lost while it is made": func(s *docstore.Client, backend *store.Store, snapshot *store.Snapshot) (docstore.PutResult, error) {
			return docstore.PutDocument(context.Background(), &lostAnswerStore{Client: s, lose: func() { backend.RestoreSnapshot(snapshot) }}, "/a", 3, []byte("four"), "w4")
		},
	}
	for name, run := range tests {
		t.Run(name, func(t *testing.T) {
			s, backend, snapshot := newRestorable(t)
			got, err := run(s, backend, snapshot)
			var unknown *docstore.UncertainError
			if got.Outcome != docstore.Unknown || !errors.As(err, &unknown) {
				t.Errorf("got %s, %v, want unknown", got.Outcome, err)
			}
		})
	}
}

// lostAnswerStore is a client that loses the answer to the first successful write and then
// calls lose, which rolls the store back.
type lostAnswerStore struct {
	*docstore.Client
	lose func()
}

func (l *lostAnswerStore) Swap(ctx context.Context, path string, version uint64, value []byte) (docstore.Entry, error) {
	e, err := l.Client.Swap(ctx, path, version, value)
	if l.lose == nil || err != nil {
		return e, err
	}
	l.lose()
	l.lose = nil
	return docstore.Entry{}, &docstore.UncertainError{Path: path, Err: context.DeadlineExceeded}
}
