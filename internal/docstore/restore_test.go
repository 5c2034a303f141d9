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

// restorable returns a client, the stand-in behind it, and a copy of that from before /a went
// from version 1 to 3.
func restorable(t *testing.T) (*docstore.Client, *store.Store, *store.Copy) {
	t.Helper()
	stand := store.New()
	t.Cleanup(stand.Close)
	s := docstore.NewClient(platform.NewStoreOver("stand-in", stand))
	put(t, s, 0, "one", "w1")
	c := stand.Copy()
	put(t, s, 1, "two", "w2")
	put(t, s, 2, "three", "w3")
	return s, stand, c
}

func put(t *testing.T, s docstore.Store, version uint64, body, write string) {
	t.Helper()
	if _, err := docstore.PutDocument(t.Context(), s, "/a", version, []byte(body), write); err != nil {
		t.Fatal(err)
	}
}

// restored is the entry of a document as it is written again.
func restored(t *testing.T, version uint64, body string) docstore.Entry {
	t.Helper()
	value, err := docstore.EncodeRestored(settings.Document{Path: "/a", Version: version, Body: []byte(body)})
	if err != nil {
		t.Fatal(err)
	}
	return docstore.Entry{Path: "/a", Version: version, Value: value}
}

// An entry that the store has lost is written at its version, over earlier ones alone.
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
			s, stand, c := restorable(t)
			stand.GoBack(c)
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

// What became of a write is not known when the store has lost it, or whoever wrote the document
// again doesn't know its writes.
func TestWriteLostByRestore(t *testing.T) {
	type play func(s *docstore.Client, stand *store.Store, c *store.Copy) (docstore.PutResult, error)
	tests := map[string]play{
		"lost": func(s *docstore.Client, stand *store.Store, c *store.Copy) (docstore.PutResult, error) {
			stand.GoBack(c)
			return docstore.ResolveWrite(context.Background(), s, "/a", 2, "w3")
		},
		"written again by another": func(s *docstore.Client, stand *store.Store, c *store.Copy) (docstore.PutResult, error) {
			stand.GoBack(c)
			if err := s.Restore(context.Background(), restored(t, 3, "three")); err != nil {
				return docstore.PutResult{}, err
			}
			return docstore.ResolveWrite(context.Background(), s, "/a", 2, "w3")
		},
		"lost while it is made": func(s *docstore.Client, stand *store.Store, c *store.Copy) (docstore.PutResult, error) {
			return docstore.PutDocument(context.Background(), &lossy{Client: s, lose: func() { stand.GoBack(c) }}, "/a", 3, []byte("four"), "w4")
		},
	}
	for name, play := range tests {
		t.Run(name, func(t *testing.T) {
			s, stand, c := restorable(t)
			got, err := play(s, stand, c)
			var unknown *docstore.UncertainError
			if got.Outcome != docstore.Unknown || !errors.As(err, &unknown) {
				t.Errorf("got %s, %v, want unknown", got.Outcome, err)
			}
		})
	}
}

// lossy loses the answer to the first write, after which the store goes back.
type lossy struct {
	*docstore.Client
	lose func()
}

func (l *lossy) Swap(ctx context.Context, path string, version uint64, value []byte) (docstore.Entry, error) {
	e, err := l.Client.Swap(ctx, path, version, value)
	if l.lose == nil || err != nil {
		return e, err
	}
	l.lose()
	l.lose = nil
	return docstore.Entry{}, &docstore.UncertainError{Path: path, Err: context.DeadlineExceeded}
}
