package crash

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/firlever/firlever/platform"
)

const (
	poison Print = iota + 1
	frequent
	other
	otherPoison
)

// Which requests are told to end targets, by what was at each target that ended.
func TestPoisonRequests(t *testing.T) {
	tests := map[string]struct {
		crashed [][]Print // the requests at each target that ended
		want    []Print
	}{
		"nothing":                            {nil, nil},
		"two targets show nothing":           {[][]Print{{poison}, {poison}}, nil},
		"three do":                           {[][]Print{{poison}, {poison}, {poison}}, []Print{poison}},
		"others were there by chance":        {[][]Print{{poison, frequent, 10}, {poison, frequent, 11}, {poison, 12}}, []Print{poison}},
		"chance at three of four":            {[][]Print{{poison, frequent}, {poison, frequent}, {poison, frequent}, {poison}}, []Print{poison}},
		"two that can't be told apart":       {[][]Print{{poison, frequent}, {poison, frequent}, {poison, frequent}}, nil},
		"not for ever":                       {slices.Repeat([][]Print{{poison, frequent}}, minTiedCrashes), []Print{poison, frequent}},
		"two of as many, some the same":      {[][]Print{{poison, frequent}, {poison, frequent}, {poison}, {frequent}}, nil},
		"two, each with its own":             {[][]Print{{poison}, {poison}, {poison}, {otherPoison}, {otherPoison}, {otherPoison}}, []Print{poison, otherPoison}},
		"a second one beside the first":      {[][]Print{{poison, other}, {poison, other}, {poison}, {poison}, {poison}, {other}, {other}}, []Print{poison}},
		"targets that ended by themselves":   {[][]Print{{1, 2}, {3, 4}, {5, 6}, {7, 8}, {1, 9}, {3, 9}}, nil},
		"a target that nobody's request ran": {[][]Print{{}, {}, {}}, nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := NewBook()
			for i, prints := range tt.crashed {
				b.Put(fmt.Sprint(i), revisionAt(uint64(i+1)), Report{Target: fmt.Sprint("t", i), Prints: prints})
			}
			if got := slices.Sorted(maps.Keys(b.Guilty())); !slices.Equal(got, tt.want) {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}

// Reports of several instances on one target are one end of it.
func TestReportsOfOneTarget(t *testing.T) {
	b := NewBook()
	for i := range 5 {
		b.Put(fmt.Sprint(i), revisionAt(uint64(i+1)), Report{Target: "t", Prints: []Print{poison}})
	}
	if got := b.Count(poison); got != 1 {
		t.Errorf("got %d targets, want 1", got)
	}
}

// revisionAt is a revision.
func revisionAt(count uint64) platform.Revision { return platform.NewRevision(1, count) }

// crashTargets puts ends of targets under a request into the book.
func crashTargets(b *Book, p Print, from, until uint64) {
	for r := from; r <= until; r++ {
		b.Put(fmt.Sprint(r), revisionAt(r), Report{Target: fmt.Sprint("t", r), Prints: []Print{p}})
	}
}

// An answer shows that what ended before ended of something else, and nothing of later ends.
func TestAnswered(t *testing.T) {
	tests := map[string]struct {
		play func(b *Book)
		want bool
	}{
		"answered after": {func(b *Book) { crashTargets(b, poison, 1, 3); b.Answered(poison, revisionAt(4)) }, false},
		"answered between": {func(b *Book) {
			crashTargets(b, poison, 1, 2)
			b.Answered(poison, revisionAt(3))
			crashTargets(b, poison, 4, 5)
		}, false},
		"ends after the answer": {func(b *Book) {
			crashTargets(b, poison, 1, 2)
			b.Answered(poison, revisionAt(3))
			crashTargets(b, poison, 4, 6)
		}, true},
		"heard in another order": {func(b *Book) { b.Answered(poison, revisionAt(4)); crashTargets(b, poison, 1, 3) }, false},
		"answer not yet written": {func(b *Book) { crashTargets(b, poison, 1, 3); b.Answered(poison, Unwritten) }, false},
		"another's answer":       {func(b *Book) { crashTargets(b, poison, 1, 3); b.Answered(other, revisionAt(4)) }, true},
		"heard again with its revision": {func(b *Book) {
			b.Put("a", Unwritten, Report{Target: "t", Prints: []Print{poison}})
			crashTargets(b, poison, 1, 2)
			b.Answered(poison, Unwritten)
			b.Put("a", revisionAt(9), Report{Target: "t", Prints: []Print{poison}})
		}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := NewBook()
			tt.play(b)
			if _, got := b.Guilty()[poison]; got != tt.want {
				t.Errorf("got guilty: %t, want %t", got, tt.want)
			}
		})
	}
}

// What is forgotten holds no more, but one more end is enough then; an answer ends that too.
func TestRemovedReports(t *testing.T) {
	b := NewBook()
	crashTargets(b, poison, 1, 3)
	for r := range 3 {
		b.Remove(fmt.Sprint(r + 1))
	}
	if got := len(b.Guilty()); got != 0 {
		t.Errorf("got %d guilty after all was forgotten, want none", got)
	}
	crashTargets(b, poison, 4, 4)
	if _, got := b.Guilty()[poison]; !got {
		t.Error("got it not told again after one more end")
	}
	b.Answered(poison, revisionAt(5))
	crashTargets(b, poison, 6, 6)
	if _, got := b.Guilty()[poison]; got {
		t.Error("got it told after an answer and one end")
	}
}

// What is kept is bounded, and the oldest goes first.
func TestBounds(t *testing.T) {
	b := NewBook()
	crashTargets(b, poison, 1, 3)
	prints := make([]Print, 3*maxFingerprints)
	for i := range prints {
		prints[i] = Print(1000 + i)
	}
	for r := uint64(10); r < 10+2*MostReports; r++ {
		b.Put(fmt.Sprint(r), revisionAt(r), Report{Target: fmt.Sprint("t", r), Prints: prints[:2]})
		b.Answered(Print(r+5000), revisionAt(r))
	}
	b.Put("wide", revisionAt(5000), Report{Target: "wide", Prints: prints})
	if got := len(b.reports); got != MostReports {
		t.Errorf("got %d reports, want %d", got, MostReports)
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
