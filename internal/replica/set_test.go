package replica

import (
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"github.com/firlever/firlever/internal/invariant"
	"github.com/firlever/firlever/pkg/settings"
)

func document(path string, version uint64) settings.Document {
	return settings.Document{Path: path, Version: version, Body: fmt.Appendf(nil, "%s@%d", path, version)}
}

func TestApply(t *testing.T) {
	other := settings.Document{Path: "/a", Version: 2, Body: []byte("other")}
	tests := map[string]struct {
		doc        settings.Document
		took       bool
		violations uint64
	}{
		"newer":               {document("/a", 3), true, 0},
		"same":                {document("/a", 2), false, 0},
		"older":               {document("/a", 1), false, 0},
		"never written":       {document("/b", 0), false, 0},
		"same version, other": {other, false, 1},
		"deletion":            {settings.Document{Path: "/a", Version: 3, Deleted: true}, true, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := invariant.New(nil)
			s := New(c)
			s.Apply(document("/a", 2))
			if got := s.Apply(tt.doc); got != tt.took {
				t.Errorf("got %v, want %v", got, tt.took)
			}
			want := document("/a", 2)
			if tt.took {
				want = tt.doc
			}
			if got, _ := s.Get("/a"); !reflect.DeepEqual(got, want) {
				t.Errorf("got %+v, want %+v", got, want)
			}
			if got := c.Violations(); got != tt.violations {
				t.Errorf("got %d violations, want %d", got, tt.violations)
			}
		})
	}
}

// reconcile lets a and b exchange their difference as two instances do. Each message is lost if
// lose returns true. It returns the number of versions and documents sent.
func reconcile(a, b *Set, lose func() bool) (sent int) {
	if a.Root() == b.Root() || lose() {
		return 0
	}
	for _, bucket := range a.Differ(b.Buckets()) {
		digest := b.Digest(bucket)
		newer := a.Newer(bucket, digest)
		missing := a.Missing(digest)
		sent += len(digest) + len(newer) + len(missing)
		for _, doc := range newer {
			if !lose() {
				b.Apply(doc)
			}
		}
		for _, v := range missing {
			doc, _ := b.Get(v.Path)
			if !lose() {
				a.Apply(doc)
			}
		}
	}
	return sent
}

func TestConvergence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := invariant.New(func(_ invariant.Name, detail string) { t.Fatal(detail) })
		sets := make([]*Set, rapid.IntRange(2, 5).Draw(t, "instances"))
		for i := range sets {
			sets[i] = New(c)
		}
		newest := map[string]uint64{}
		instance := rapid.IntRange(0, len(sets)-1)
		lossy := func() bool { return rapid.IntRange(0, 2).Draw(t, "loss") == 0 }
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			a, b := sets[instance.Draw(t, "a")], sets[instance.Draw(t, "b")]
			path := fmt.Sprintf("/%d", rapid.IntRange(0, 9).Draw(t, "path"))
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0: // a write, sent to one instance
				newest[path]++
				a.Apply(document(path, newest[path]))
			case 1: // a late or repeated message
				a.Apply(document(path, rapid.Uint64Range(0, newest[path]).Draw(t, "version")))
			default:
				reconcile(a, b, lossy)
			}
		}
		checkConvergence(t, sets, newest)
	})
}

// checkConvergence lets a chain of instances reconcile in both directions without loss, and checks
// that all hold the newest documents.
func checkConvergence(t *rapid.T, sets []*Set, newest map[string]uint64) {
	never := func() bool { return false }
	for i := 1; i < len(sets); i++ {
		reconcile(sets[i-1], sets[i], never)
	}
	for i := len(sets) - 1; i > 0; i-- {
		reconcile(sets[i-1], sets[i], never)
	}
	want := New(nil)
	for path, version := range newest {
		want.Apply(document(path, version))
	}
	for i, s := range sets {
		if s.Root() != want.Root() || !reflect.DeepEqual(s.Documents(), want.Documents()) {
			t.Errorf("instance %d: got %v, want %v", i, s.Documents(), want.Documents())
		}
		if got := reconcile(s, want, never); got != 0 {
			t.Errorf("instance %d: got %d sent between equals, want 0", i, got)
		}
	}
}

// TestDifferenceSize checks that the cost of one change doesn't grow with the number of documents.
func TestDifferenceSize(t *testing.T) {
	const count = 10 * BucketCount
	a, b := New(nil), New(nil)
	for i := range count {
		a.Apply(document(fmt.Sprintf("/d/%d", i), 1))
		b.Apply(document(fmt.Sprintf("/d/%d", i), 1))
	}
	a.Apply(document("/d/7", 2))
	if got := a.Differ(b.Buckets()); len(got) != 1 {
		t.Fatalf("got %d buckets, want 1", len(got))
	}
	never := func() bool { return false }
	if got, want := reconcile(a, b, never), 4*count/BucketCount; got > want {
		t.Errorf("got %d versions and documents sent, want at most %d", got, want)
	}
	if a.Root() != b.Root() {
		t.Error("got different roots after the exchange")
	}
}

func TestWatchers(t *testing.T) {
	members := make([]string, 95)
	for i := range members {
		members[i] = fmt.Sprintf("i%d", i)
	}
	chosen := func(members []string, n int) map[string]bool {
		c := map[string]bool{}
		for _, m := range members {
			if IsWatcher(members, m, n) {
				c[m] = true
			}
		}
		return c
	}
	tests := map[string]struct {
		members []string
		n       int
		want    int
	}{
		"two of many": {members, 2, 2},
		"two of one":  {members[:1], 2, 1},
		"twice named": {append([]string{"i0", "i1"}, members...), 2, 2},
		"none":        {members, 0, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if got := len(chosen(tt.members, tt.n)); got != tt.want {
				t.Errorf("got %d, want %d", got, tt.want)
			}
		})
	}
	before := chosen(members, 2)
	for i, m := range members {
		rest := append(append([]string{}, members[:i]...), members[i+1:]...)
		for w := range before {
			if w != m && !chosen(rest, 2)[w] {
				t.Fatalf("%s stopped watching when %s left", w, m)
			}
		}
	}
	if !IsWatcher(nil, "unlisted", 1) {
		t.Error("got an instance without other members not watching, want it to watch")
	}
}
