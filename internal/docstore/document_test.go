package docstore_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/firlever/firlever/internal/docstore"
	"github.com/firlever/firlever/internal/emulator/inproc"
	"github.com/firlever/firlever/internal/emulator/store"
	"github.com/firlever/firlever/pkg/settings"
)

// hookedStore is a store that runs hooks before and after each Swap.
type hookedStore struct {
	docstore.Store
	swaps  int
	before func(swap int) error // a non-nil error is returned instead of calling Swap
	after  func(swap int)
}

func (s *hookedStore) Swap(ctx context.Context, path string, version uint64, value []byte) (docstore.Entry, error) {
	s.swaps++
	if s.before != nil {
		if err := s.before(s.swaps); err != nil {
			return docstore.Entry{}, err
		}
	}
	e, err := s.Store.Swap(ctx, path, version, value)
	if s.after != nil {
		s.after(s.swaps)
	}
	return e, err
}

func TestPutDocument(t *testing.T) {
	ctx := context.Background()
	// others overwrites the document n times; raw writes a value that is not a document.
	others := func(l *inproc.Store, n int) {
		for i := range n {
			e, _ := l.Get(ctx, "/d")
			_, _ = docstore.PutDocument(ctx, l, "/d", e.Version, nil, fmt.Sprintf("other-%d", i))
		}
	}
	raw := func(l *inproc.Store) {
		e, _ := l.Get(ctx, "/d")
		_, _ = l.Swap(ctx, "/d", e.Version, []byte("raw"))
	}
	lost := &docstore.UncertainError{Path: "/d"}
	failFirst := func(f func()) func(int) error {
		return func(swap int) error {
			if swap > 1 {
				return nil
			}
			f()
			return lost
		}
	}
	tests := map[string]struct {
		lose   int                                 // number of applied writes whose answer is lost
		before func(*inproc.Store) func(int) error // see script
		after  func(*inproc.Store)                 // called after the first Swap of the tested write
		stale  bool                                // the expected version is outdated
		want   docstore.Outcome
	}{
		"plain":       {want: docstore.Accepted},
		"lost answer": {lose: 1, want: docstore.Accepted},
		"lost twice":  {lose: 2, want: docstore.Accepted},
		"never sent, then repeated": {
			before: func(*inproc.Store) func(int) error { return failFirst(func() {}) },
			want:   docstore.Accepted,
		},
		"lost, then overwritten": {lose: 1, after: func(l *inproc.Store) { others(l, 15) }, want: docstore.Accepted},
		"lost, then overwritten too often": {
			lose: 1, after: func(l *inproc.Store) { others(l, 16) }, want: docstore.Unknown,
		},
		"lost, then raw": {lose: 1, after: raw, want: docstore.Unknown},
		"lost, then raw and another": {
			lose: 1, after: func(l *inproc.Store) { raw(l); others(l, 1) }, want: docstore.Unknown,
		},
		"not landed, overtaken": {
			before: func(l *inproc.Store) func(int) error { return failFirst(func() { others(l, 3) }) },
			want:   docstore.Refused,
		},
		"stale version": {stale: true, want: docstore.Refused},
		"outage after loss": {
			lose: 1, want: docstore.Unknown,
			after: func(l *inproc.Store) { l.SetFaults(store.Faults{Refuse: true, Until: time.Now().Add(time.Hour)}) },
		},
		"never answered": {
			before: func(*inproc.Store) func(int) error { return func(int) error { return lost } },
			want:   docstore.Unknown,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				local := newLocal(t)
				others(local, 2)
				version := uint64(2)
				if tt.stale {
					others(local, 1)
				}
				s := &hookedStore{Store: local}
				if tt.before != nil {
					s.before = tt.before(local)
				}
				s.after = func(swap int) {
					if swap == 1 && tt.after != nil {
						local.SetFaults(store.Faults{})
						tt.after(local)
					}
				}
				local.SetFaults(store.Faults{LoseNext: tt.lose})
				got, err := docstore.PutDocument(ctx, s, "/d", version, []byte("ours"), "ours-1")
				if got.Outcome != tt.want {
					t.Fatalf("got %v %v, want %v", got.Outcome, err, tt.want)
				}
				checkResult(t, got, err, version+1)
				local.SetFaults(store.Faults{})
				again, _ := docstore.ResolveWrite(ctx, local, "/d", version, "ours-1")
				applied := hasWriteID(local, "ours-1")
				if again.Outcome == docstore.Refused && applied || again.Outcome == docstore.Accepted && !applied {
					t.Errorf("got outcome %v read back, want applied %v", again.Outcome, applied)
				}
			})
		})
	}
}

// hasWriteID reports whether the entry holds the ID of a write. It is false for a write that
// was applied if the entry no longer holds its ID.
func hasWriteID(l *inproc.Store, writeID string) bool {
	e, _ := l.Get(context.Background(), "/d")
	return bytes.Contains(e.Value, []byte(writeID))
}

func checkResult(t *testing.T, got docstore.PutResult, err error, made uint64) {
	t.Helper()
	var conflict *docstore.ConflictError
	var uncertain *docstore.UncertainError
	switch got.Outcome {
	case docstore.Accepted:
		if err != nil || got.Version != made {
			t.Errorf("got version %d %v, want %d", got.Version, err, made)
		}
	case docstore.Refused:
		if !errors.As(err, &conflict) || got.Newer.Version < made {
			t.Errorf("got %+v %v, want a conflict with the newer entry", got, err)
		}
	default:
		if !errors.As(err, &uncertain) {
			t.Errorf("got %v, want an uncertain write", err)
		}
	}
}

func TestDeleteDocument(t *testing.T) {
	l := newLocal(t)
	_, _ = docstore.PutDocument(t.Context(), l, "/d", 0, []byte("x"), "w1")
	if got, err := docstore.DeleteDocument(t.Context(), l, "/d", 1, "w2"); got.Version != 2 {
		t.Fatalf("got %+v %v, want version 2", got, err)
	}
	e, _ := l.Get(t.Context(), "/d")
	doc, err := docstore.DecodeDocument(e)
	if err != nil || !doc.Deleted || doc.Version != 2 {
		t.Errorf("got %+v %v, want a deleted document at version 2", doc, err)
	}
}

func FuzzDecodeDocument(f *testing.F) {
	value, _ := docstore.EncodeDocument(settings.Document{Path: "/d", Body: []byte("a: 1\n")}, []string{"w"})
	f.Add(value)
	f.Add([]byte("{\"writes\":[\"a\",\"b\"],\"deleted\":true}\n"))
	f.Add([]byte("{}"))
	f.Fuzz(func(t *testing.T, value []byte) {
		e := docstore.Entry{Path: "/d", Version: 7, Value: value}
		doc, err := docstore.DecodeDocument(e)
		var format *docstore.FormatError
		if err != nil {
			if !errors.As(err, &format) {
				t.Errorf("got %T, want *FormatError", err)
			}
			return
		}
		e.Value, err = docstore.EncodeDocument(doc, docstore.WriteIDs(e))
		var large *docstore.TooLargeError
		if errors.As(err, &large) {
			return
		}
		again, err := docstore.DecodeDocument(e)
		if err != nil || again.Deleted != doc.Deleted || !bytes.Equal(again.Body, doc.Body) {
			t.Errorf("got %+v %v, want %+v", again, err, doc)
		}
	})
}
