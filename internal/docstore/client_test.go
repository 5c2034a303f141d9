package docstore_test

import (
	"errors"
	"net/http/httptest"
	"reflect"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/firlever/firlever/internal/docstore"
	"github.com/firlever/firlever/internal/emulator/inproc"
	"github.com/firlever/firlever/internal/emulator/store"
	"github.com/firlever/firlever/platform"
)

func newLocal(t testing.TB) *inproc.Store {
	t.Helper()
	s, err := inproc.New(store.Defaults())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

// serve returns an in-process store and a client that reads the same store over HTTP.
func serve(t *testing.T) (*inproc.Store, *docstore.Client) {
	t.Helper()
	local := newLocal(t)
	server := httptest.NewServer(local.Server().Handler)
	client := docstore.NewClient(platform.NewStore(strings.TrimPrefix(server.URL, "http://")))
	t.Cleanup(func() {
		client.Close()
		server.CloseClientConnections()
		server.Close()
	})
	return local, client
}

// TestClientIsLikeLocal checks that a client over HTTP and an in-process store give the
// same results and errors for the same calls.
func TestClientIsLikeLocal(t *testing.T) {
	ctx := t.Context()
	type answer struct {
		v   any
		err error
	}
	pair := func(v any, err error) answer { return answer{v, err} }
	tests := map[string]func(s docstore.Store) answer{
		"get":           func(s docstore.Store) answer { return pair(s.Get(ctx, "/a")) },
		"get missing":   func(s docstore.Store) answer { return pair(s.Get(ctx, "/none")) },
		"get bad path":  func(s docstore.Store) answer { return pair(s.Get(ctx, "none")) },
		"get long path": func(s docstore.Store) answer { return pair(s.Get(ctx, "/"+strings.Repeat("a", docstore.MaxPath))) },
		"swap":          func(s docstore.Store) answer { return pair(s.Swap(ctx, "/a", 1, []byte("new"))) },
		"swap loses":    func(s docstore.Store) answer { return pair(s.Swap(ctx, "/a", 0, nil)) },
		"swap largest":  func(s docstore.Store) answer { return pair(s.Swap(ctx, "/b", 0, make([]byte, docstore.MaxValue))) },
		"swap too much": func(s docstore.Store) answer { return pair(s.Swap(ctx, "/b", 0, make([]byte, docstore.MaxValue+1))) },
		"delete":        func(s docstore.Store) answer { return pair(s.Delete(ctx, "/a", 1)) },
		"delete loses":  func(s docstore.Store) answer { return pair(s.Delete(ctx, "/a", 9)) },
		"delete none":   func(s docstore.Store) answer { return pair(s.Delete(ctx, "/none", 0)) },
		"list": func(s docstore.Store) answer {
			e, n, err := s.List(ctx, "/")
			return answer{[]any{e, n}, err}
		},
		"watch": func(s docstore.Store) answer {
			e, n, err := s.Watch(ctx, "/", platform.Revision{}, time.Second)
			return answer{[]any{e, n}, err}
		},
		"register nothing": func(s docstore.Store) answer { return answer{nil, s.Register(ctx, docstore.Instance{})} },
		"instances": func(s docstore.Store) answer {
			list, at, err := s.Instances(ctx)
			return answer{[]any{list, at}, err}
		},
	}
	for name, call := range tests {
		t.Run(name, func(t *testing.T) {
			_, client := serve(t)
			var answers []answer
			for _, s := range []docstore.Store{newLocal(t), client} {
				_, _ = s.Swap(ctx, "/a", 0, []byte("old"))
				_ = s.Register(ctx, docstore.Instance{ID: "x", Place: "p", Leaving: true})
				answers = append(answers, call(s))
			}
			if got, want := answers[1], answers[0]; !reflect.DeepEqual(got, want) {
				t.Errorf("got %+v, want %+v", got, want)
			}
		})
	}
}

func TestVersionsNeverGoBack(t *testing.T) {
	tests := map[string]struct {
		version uint64
		delete  bool
		want    uint64 // version after; 0 for a conflict
	}{
		"expected version":   {version: 3, want: 4},
		"older version":      {version: 2},
		"create over it":     {version: 0},
		"newer version":      {version: 4},
		"delete":             {version: 3, delete: true, want: 4},
		"delete older":       {version: 2, delete: true},
		"create after write": {version: 0, delete: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s, ctx := newLocal(t), t.Context()
			for v := range uint64(3) {
				if _, err := s.Swap(ctx, "/a", v, []byte{byte(v)}); err != nil {
					t.Fatal(err)
				}
			}
			write := func() (docstore.Entry, error) { return s.Swap(ctx, "/a", tt.version, []byte("new")) }
			if tt.delete {
				write = func() (docstore.Entry, error) { return s.Delete(ctx, "/a", tt.version) }
			}
			e, err := write()
			var conflict *docstore.ConflictError
			if got, want := errors.As(err, &conflict), tt.want == 0; got != want {
				t.Fatalf("got conflict %v, %v, want %v", got, err, want)
			}
			if e.Version != tt.want || e.Deleted != (tt.delete && tt.want > 0) {
				t.Errorf("got %+v, want version %d", e, tt.want)
			}
			if conflict != nil && conflict.Current.Version != 3 {
				t.Errorf("got a conflict with %d, want 3", conflict.Current.Version)
			}
		})
	}
}

func TestDeletedPathKeepsItsVersion(t *testing.T) {
	s, ctx := newLocal(t), t.Context()
	_, _ = s.Swap(ctx, "/a", 0, []byte("x"))
	_, _ = s.Delete(ctx, "/a", 1)
	if _, err := s.Swap(ctx, "/a", 0, nil); err == nil {
		t.Error("a deleted path was recreated at version 1")
	}
	if e, err := s.Swap(ctx, "/a", 2, nil); err != nil || e.Version != 3 {
		t.Errorf("got %+v %v, want version 3", e, err)
	}
}

// A watch returns the latest state of each path once, including deleted paths, even if the
// store no longer has the history of the changes.
func TestWatch(t *testing.T) {
	for name, forget := range map[string]bool{"history": false, "history gone": true} {
		t.Run(name, func(t *testing.T) {
			backend := store.New()
			defer backend.Close()
			s, ctx := docstore.NewClient(platform.NewStoreOver("stand-in", backend)), t.Context()
			first, _ := s.Swap(ctx, "/t/busy", 0, nil)
			_, _ = s.Swap(ctx, "/t/a", 0, nil)
			_, _ = s.Swap(ctx, "/other", 0, nil)
			_, _ = s.Delete(ctx, "/t/busy", 1)
			last, _ := s.Swap(ctx, "/t/a", 1, []byte("new"))
			if forget {
				backend.DropHistory()
			}
			got, next, err := s.Watch(ctx, "/t/", first.Revision, time.Minute)
			if err != nil || next != last.Revision {
				t.Fatalf("got revision %s, %v, want %s", next, err, last.Revision)
			}
			seen := make(map[string]docstore.Entry)
			for _, e := range got {
				seen[e.Path] = e
			}
			if len(got) != 2 || !seen["/t/busy"].Deleted || seen["/t/a"].Version != 2 || string(seen["/t/a"].Value) != "new" {
				t.Errorf("got %+v, want the deletion, and /t/a at 2", got)
			}
		})
	}
}

// After the store is restored from a snapshot, a watch returns all of its entries, whether
// its revisions are lower or higher than the last one that was read before.
func TestWatchAfterRestore(t *testing.T) {
	for name, writes := range map[string]uint64{"behind": 1, "past": 9} {
		t.Run(name, func(t *testing.T) {
			backend := store.New()
			defer backend.Close()
			s, ctx := docstore.NewClient(platform.NewStoreOver("stand-in", backend)), t.Context()
			_, _ = s.Swap(ctx, "/a", 0, nil)
			snapshot := backend.TakeSnapshot()
			var last docstore.Entry
			for version := range uint64(5) {
				last, _ = s.Swap(ctx, "/b", version, nil)
			}
			backend.RestoreSnapshot(snapshot)
			for version := range writes {
				if _, err := s.Swap(ctx, "/c", version, []byte("new")); err != nil {
					t.Fatal(err)
				}
			}
			got, next, err := s.Watch(ctx, "/", last.Revision, time.Minute)
			if err != nil || next != platform.NewRevision(2, 1+writes) {
				t.Fatalf("got revision %s, %v, want %d of epoch 2", next, err, 1+writes)
			}
			if len(got) != 2 || got[0].Path != "/a" || got[1].Path != "/c" || got[1].Version != writes {
				t.Errorf("got %+v, want /a, and /c at %d", got, writes)
			}
		})
	}
}

// A registration appears in the list after the list's lag, and disappears once it is no
// longer renewed.
func TestInstances(t *testing.T) {
	lag := store.Defaults().Lag
	tests := map[string]struct {
		at   time.Duration // after the first registration; renewed at 20 s, changed at 40 s
		want []uint64      // incarnations
	}{
		"not yet shown":     {lag - 1, nil},
		"shown":             {lag, []uint64{1}},
		"renewed":           {35 * time.Second, []uint64{1}},
		"change not shown":  {40*time.Second + lag - 1, []uint64{1}},
		"change shown":      {40*time.Second + lag, []uint64{2}},
		"gone, still shown": {71*time.Second + lag - 1, []uint64{2}},
		"gone":              {71*time.Second + lag, nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, ctx := newLocal(t), t.Context()
				for at, incarnation := range []uint64{1, 1, 2} {
					at := time.Duration(at) * 20 * time.Second
					time.AfterFunc(at, func() { s.Register(ctx, docstore.Instance{ID: "a", Incarnation: incarnation}) })
				}
				time.Sleep(tt.at)
				synctest.Wait()
				list, _, err := s.Instances(ctx)
				var got []uint64
				for _, in := range list {
					got = append(got, in.Incarnation)
				}
				if err != nil || !reflect.DeepEqual(got, tt.want) {
					t.Errorf("got %v, %v, want %v", got, err, tt.want)
				}
				time.Sleep(2 * time.Minute) // lets the remaining timers fire
			})
		})
	}
}

func TestSwapRace(t *testing.T) {
	const writers, rounds = 8, 10
	_, client := serve(t)
	var successes atomic.Uint64
	var group sync.WaitGroup
	for range writers {
		group.Go(func() {
			for range rounds {
				e, _ := client.Get(t.Context(), "/a")
				_, err := client.Swap(t.Context(), "/a", e.Version, nil)
				var conflict *docstore.ConflictError
				if err == nil {
					successes.Add(1)
				} else if !errors.As(err, &conflict) {
					t.Error(err)
				}
			}
		})
	}
	group.Wait()
	if e, err := client.Get(t.Context(), "/a"); err != nil || e.Version != successes.Load() {
		t.Errorf("got version %d %v, want %d, one per successful write", e.Version, err, successes.Load())
	}
}

func FuzzEntry(f *testing.F) {
	f.Add([]byte("{\"version\":3}\nvalue"), uint64(7))
	f.Add([]byte("{\"version\":3,\"deleted\":true}\n"), uint64(7))
	f.Add([]byte("{"), uint64(0))
	f.Fuzz(func(t *testing.T, value []byte, version uint64) {
		backend := store.New()
		defer backend.Close()
		s := docstore.NewClient(platform.NewStoreOver("stand-in", backend))
		backend.Put("firlever/documents/a", value)
		e, err := s.Get(t.Context(), "/a")
		var format *docstore.FormatError
		var missing *docstore.NotFoundError
		if err != nil && !errors.As(err, &format) && !errors.As(err, &missing) {
			t.Errorf("got %T, want a *FormatError or *NotFoundError", err)
		}
		if _, err := s.Swap(t.Context(), "/a", version, []byte("x")); err == nil && e.Version != version {
			t.Errorf("overwrote version %d with expected version %d", e.Version, version)
		}
	})
}
