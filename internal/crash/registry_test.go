package crash

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/firlever/firlever/platform"
)

const (
	poison Fingerprint = iota + 1
	frequent
	other
	otherPoison
)

// Finds poison requests from the requests that were at each crashed target.
func TestPoisonRequests(t *testing.T) {
	tests := map[string]struct {
		crashed [][]Fingerprint // requests at each crashed target
		want    []Fingerprint
	}{
		"nothing":                                   {nil, nil},
		"two crashes are not enough":                {[][]Fingerprint{{poison}, {poison}}, nil},
		"three are":                                 {[][]Fingerprint{{poison}, {poison}, {poison}}, []Fingerprint{poison}},
		"others were there by chance":               {[][]Fingerprint{{poison, frequent, 10}, {poison, frequent, 11}, {poison, 12}}, []Fingerprint{poison}},
		"chance at three of four":                   {[][]Fingerprint{{poison, frequent}, {poison, frequent}, {poison, frequent}, {poison}}, []Fingerprint{poison}},
		"two with the same targets":                 {[][]Fingerprint{{poison, frequent}, {poison, frequent}, {poison, frequent}}, nil},
		"tied, but more crashes":                    {slices.Repeat([][]Fingerprint{{poison, frequent}}, minTiedCrashes), []Fingerprint{poison, frequent}},
		"equal counts, some targets shared":         {[][]Fingerprint{{poison, frequent}, {poison, frequent}, {poison}, {frequent}}, nil},
		"two with different targets":                {[][]Fingerprint{{poison}, {poison}, {poison}, {otherPoison}, {otherPoison}, {otherPoison}}, []Fingerprint{poison, otherPoison}},
		"second one partly at targets of the first": {[][]Fingerprint{{poison, other}, {poison, other}, {poison}, {poison}, {poison}, {other}, {other}}, []Fingerprint{poison}},
		"targets that crashed by themselves":        {[][]Fingerprint{{1, 2}, {3, 4}, {5, 6}, {7, 8}, {1, 9}, {3, 9}}, nil},
		"targets without requests":                  {[][]Fingerprint{{}, {}, {}}, nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := NewRegistry()
			for i, fingerprints := range tt.crashed {
				b.Put(fmt.Sprint(i), revisionAt(uint64(i+1)), Report{Target: fmt.Sprint("t", i), Fingerprints: fingerprints})
			}
			if got := slices.Sorted(maps.Keys(b.PoisonRequests())); !slices.Equal(got, tt.want) {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}

// Reports of several instances on the same target count as one crash.
func TestReportsOfOneTarget(t *testing.T) {
	b := NewRegistry()
	for i := range 5 {
		b.Put(fmt.Sprint(i), revisionAt(uint64(i+1)), Report{Target: "t", Fingerprints: []Fingerprint{poison}})
	}
	if got := b.CrashCount(poison); got != 1 {
		t.Errorf("got %d targets, want 1", got)
	}
}

// revisionAt returns the revision with the given count.
func revisionAt(count uint64) platform.Revision { return platform.NewRevision(1, count) }

// crashTargets adds reports of a request at crashed targets, one for each revision.
func crashTargets(b *Registry, p Fingerprint, from, until uint64) {
	for r := from; r <= until; r++ {
		b.Put(fmt.Sprint(r), revisionAt(r), Report{Target: fmt.Sprint("t", r), Fingerprints: []Fingerprint{p}})
	}
}

// A successful answer shows that earlier crashes had another cause, and says nothing about later
// ones.
func TestAnswered(t *testing.T) {
	tests := map[string]struct {
		play func(b *Registry)
		want bool
	}{
		"answered after": {func(b *Registry) { crashTargets(b, poison, 1, 3); b.RecordSuccess(poison, revisionAt(4)) }, false},
		"answered between": {func(b *Registry) {
			crashTargets(b, poison, 1, 2)
			b.RecordSuccess(poison, revisionAt(3))
			crashTargets(b, poison, 4, 5)
		}, false},
		"crashes after the answer": {func(b *Registry) {
			crashTargets(b, poison, 1, 2)
			b.RecordSuccess(poison, revisionAt(3))
			crashTargets(b, poison, 4, 6)
		}, true},
		"received in another order": {func(b *Registry) { b.RecordSuccess(poison, revisionAt(4)); crashTargets(b, poison, 1, 3) }, false},
		"answer not yet written":    {func(b *Registry) { crashTargets(b, poison, 1, 3); b.RecordSuccess(poison, Unwritten) }, false},
		"answer to another request": {func(b *Registry) { crashTargets(b, poison, 1, 3); b.RecordSuccess(other, revisionAt(4)) }, true},
		"received again with its revision": {func(b *Registry) {
			b.Put("a", Unwritten, Report{Target: "t", Fingerprints: []Fingerprint{poison}})
			crashTargets(b, poison, 1, 2)
			b.RecordSuccess(poison, Unwritten)
			b.Put("a", revisionAt(9), Report{Target: "t", Fingerprints: []Fingerprint{poison}})
		}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := NewRegistry()
			tt.play(b)
			if _, got := b.PoisonRequests()[poison]; got != tt.want {
				t.Errorf("got poison: %t, want %t", got, tt.want)
			}
		})
	}
}

// A request whose reports were removed is not poison any more, but one further crash makes it so
// again, unless it was answered successfully in between.
func TestRemovedReports(t *testing.T) {
	b := NewRegistry()
	crashTargets(b, poison, 1, 3)
	for r := range 3 {
		b.Remove(fmt.Sprint(r + 1))
	}
	if got := len(b.PoisonRequests()); got != 0 {
		t.Errorf("got %d poison requests after all reports were removed, want none", got)
	}
	crashTargets(b, poison, 4, 4)
	if _, got := b.PoisonRequests()[poison]; !got {
		t.Error("got no poison request after one more crash")
	}
	b.RecordSuccess(poison, revisionAt(5))
	crashTargets(b, poison, 6, 6)
	if _, got := b.PoisonRequests()[poison]; got {
		t.Error("got a poison request after an answer and one crash")
	}
}

// The table is bounded, and evicts the oldest entries first.
func TestBounds(t *testing.T) {
	b := NewRegistry()
	crashTargets(b, poison, 1, 3)
	fingerprints := make([]Fingerprint, 3*maxFingerprints)
	for i := range fingerprints {
		fingerprints[i] = Fingerprint(1000 + i)
	}
	for r := uint64(10); r < 10+2*MaxReports; r++ {
		b.Put(fmt.Sprint(r), revisionAt(r), Report{Target: fmt.Sprint("t", r), Fingerprints: fingerprints[:2]})
		b.RecordSuccess(Fingerprint(r+5000), revisionAt(r))
	}
	b.Put("wide", revisionAt(5000), Report{Target: "wide", Fingerprints: fingerprints})
	if got := len(b.reports); got != MaxReports {
		t.Errorf("got %d reports, want %d", got, MaxReports)
	}
	if got := len(b.answered); got != maxAnswered {
		t.Errorf("got %d answers, want %d", got, maxAnswered)
	}
	if got := len(b.reports["wide"].fingerprints); got != maxFingerprints {
		t.Errorf("got %d requests of a report, want %d", got, maxFingerprints)
	}
	if b.reports["1"] != nil {
		t.Error("got the oldest report kept")
	}
}
