package platform_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/firlever/firlever/internal/emulator/kv"
	"github.com/firlever/firlever/internal/platform"
	"github.com/firlever/firlever/pkg/settings"
)

// script is a store that does something else before or after some swaps.
type script struct {
	platform.Store
	swaps  int
	before func(swap int) error // an error is returned in the swap's place
	after  func(swap int)
}

func (s *script) Swap(ctx context.Context, path string, version uint64, value []byte) (platform.Entry, error) {
	s.swaps++
	if s.before != nil {
		if err := s.before(s.swaps); err != nil {
			return platform.Entry{}, err
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
	// others writes n documents over ours; raw writes one that is no document.
	others := func(l *kv.Local, n int) {
		for i := range n {
			e, _ := l.Get(ctx, "/d")
			_, _ = platform.PutDocument(ctx, l, "/d", e.Version, nil, fmt.Sprintf("other-%d", i))
		}
	}
	raw := func(l *kv.Local) {
		e, _ := l.Get(ctx, "/d")
		_, _ = l.Swap(ctx, "/d", e.Version, []byte("raw"))
	}
	lost := &platform.UncertainError{Path: "/d"}
	first := func(f func()) func(int) error {
		return func(swap int) error {
			if swap > 1 {
				return nil
			}
			f()
			return lost
		}
	}
	tests := map[string]struct {
		lose   int                             // answers to landed writes
		before func(*kv.Local) func(int) error // see script
		after  func(*kv.Local)                 // once ours has landed unanswered
		stale  bool                            // we have read an old version
		want   platform.Outcome
	}{
		"plain":       {want: platform.Accepted},
		"lost answer": {lose: 1, want: platform.Accepted},
		"lost twice":  {lose: 2, want: platform.Accepted},
		"never sent, then repeated": {
			before: func(*kv.Local) func(int) error { return first(func() {}) },
			want:   platform.Accepted,
		},
		"lost, then overwritten": {lose: 1, after: func(l *kv.Local) { others(l, 15) }, want: platform.Accepted},
		"lost, then overwritten too often": {
			lose: 1, after: func(l *kv.Local) { others(l, 16) }, want: platform.Unknown,
		},
		"lost, then raw": {lose: 1, after: raw, want: platform.Unknown},
		"lost, then raw and another": {
			lose: 1, after: func(l *kv.Local) { raw(l); others(l, 1) }, want: platform.Unknown,
		},
		"not landed, overtaken": {
			before: func(l *kv.Local) func(int) error { return first(func() { others(l, 3) }) },
			want:   platform.Refused,
		},
		"stale version": {stale: true, want: platform.Refused},
		"outage after loss": {
			lose: 1, want: platform.Unknown,
			after: func(l *kv.Local) { l.SetFaults(kv.Faults{Outage: time.Now().Add(time.Hour)}) },
		},
		"never answered": {
			before: func(*kv.Local) func(int) error { return func(int) error { return lost } },
			want:   platform.Unknown,
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
				s := &script{Store: local}
				if tt.before != nil {
					s.before = tt.before(local)
				}
				s.after = func(swap int) {
					if swap == 1 && tt.after != nil {
						local.SetFaults(kv.Faults{})
						tt.after(local)
					}
				}
				local.SetFaults(kv.Faults{LoseNext: tt.lose})
				got, err := platform.PutDocument(ctx, s, "/d", version, []byte("ours"), "ours-1")
				if got.Outcome != tt.want {
					t.Fatalf("got %v %v, want %v", got.Outcome, err, tt.want)
				}
				checkResult(t, got, err, version+1)
				local.SetFaults(kv.Faults{})
				again, _ := platform.ResolveWrite(ctx, local, "/d", version, "ours-1")
				truth := landed(local, "ours-1")
				if again.Outcome == platform.Refused && truth || again.Outcome == platform.Accepted && !truth {
					t.Errorf("got %v read back, want landed %v", again.Outcome, truth)
				}
			})
		})
	}
}

// landed reports whether the entry shows that a write landed. It is false for a
// landed write that the entry no longer tells of.
func landed(l *kv.Local, write string) bool {
	e, _ := l.Get(context.Background(), "/d")
	return bytes.Contains(e.Value, []byte(write))
}

func checkResult(t *testing.T, got platform.PutResult, err error, made uint64) {
	t.Helper()
	var conflict *platform.ConflictError
	var lost *platform.UncertainError
	switch got.Outcome {
	case platform.Accepted:
		if err != nil || got.Version != made {
			t.Errorf("got version %d %v, want %d", got.Version, err, made)
		}
	case platform.Refused:
		if !errors.As(err, &conflict) || got.Newer.Version < made {
			t.Errorf("got %+v %v, want a conflict with the newer entry", got, err)
		}
	default:
		if !errors.As(err, &lost) {
			t.Errorf("got %v, want an uncertain write", err)
		}
	}
}

func TestDeleteDocument(t *testing.T) {
	l := newLocal(t)
	_, _ = platform.PutDocument(t.Context(), l, "/d", 0, []byte("x"), "w1")
	if got, err := platform.DeleteDocument(t.Context(), l, "/d", 1, "w2"); got.Version != 2 {
		t.Fatalf("got %+v %v, want version 2", got, err)
	}
	e, _ := l.Get(t.Context(), "/d")
	doc, err := platform.DecodeDocument(e)
	if err != nil || !doc.Deleted || doc.Version != 2 {
		t.Errorf("got %+v %v, want a deleted document at version 2", doc, err)
	}
}

func FuzzDecodeDocument(f *testing.F) {
	value, _ := platform.EncodeDocument(settings.Document{Path: "/d", Body: []byte("a: 1\n")}, []string{"w"})
	f.Add(value)
	f.Add([]byte("{\"writes\":[\"a\",\"b\"],\"deleted\":true}\n"))
	f.Add([]byte("{}"))
	f.Fuzz(func(t *testing.T, value []byte) {
		e := platform.Entry{Path: "/d", Version: 7, Value: value}
		doc, err := platform.DecodeDocument(e)
		var format *platform.FormatError
		if err != nil {
			if !errors.As(err, &format) {
				t.Errorf("got %T, want *FormatError", err)
			}
			return
		}
		e.Value, err = platform.EncodeDocument(doc, platform.Writes(e))
		var large *platform.TooLargeError
		if errors.As(err, &large) {
			return
		}
		again, err := platform.DecodeDocument(e)
		if err != nil || again.Deleted != doc.Deleted || !bytes.Equal(again.Body, doc.Body) {
			t.Errorf("got %+v %v, want %+v", again, err, doc)
		}
	})
}
