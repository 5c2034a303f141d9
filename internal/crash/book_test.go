package crash

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/firlever/firlever/platform"
)

const (
	bad Print = iota + 1
	popular
	other
	worse
)

// Which requests are told to end targets, by what was at each target that ended.
func TestGuilty(t *testing.T) {
	tests := map[string]struct {
		ended [][]Print // the requests at each target that ended
		want  []Print
	}{
		"nothing":                            {nil, nil},
		"two targets show nothing":           {[][]Print{{bad}, {bad}}, nil},
		"three do":                           {[][]Print{{bad}, {bad}, {bad}}, []Print{bad}},
		"others were there by chance":        {[][]Print{{bad, popular, 10}, {bad, popular, 11}, {bad, 12}}, []Print{bad}},
		"chance at three of four":            {[][]Print{{bad, popular}, {bad, popular}, {bad, popular}, {bad}}, []Print{bad}},
		"two that can't be told apart":       {[][]Print{{bad, popular}, {bad, popular}, {bad, popular}}, nil},
		"not for ever":                       {slices.Repeat([][]Print{{bad, popular}}, sure), []Print{bad, popular}},
		"two of as many, some the same":      {[][]Print{{bad, popular}, {bad, popular}, {bad}, {popular}}, nil},
		"two, each with its own":             {[][]Print{{bad}, {bad}, {bad}, {worse}, {worse}, {worse}}, []Print{bad, worse}},
		"a second one beside the first":      {[][]Print{{bad, other}, {bad, other}, {bad}, {bad}, {bad}, {other}, {other}}, []Print{bad}},
		"targets that ended by themselves":   {[][]Print{{1, 2}, {3, 4}, {5, 6}, {7, 8}, {1, 9}, {3, 9}}, nil},
		"a target that nobody's request ran": {[][]Print{{}, {}, {}}, nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := NewBook()
			for i, prints := range tt.ended {
				b.Put(fmt.Sprint(i), at(uint64(i+1)), Report{Target: fmt.Sprint("t", i), Prints: prints})
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
		b.Put(fmt.Sprint(i), at(uint64(i+1)), Report{Target: "t", Prints: []Print{bad}})
	}
	if got := b.Count(bad); got != 1 {
		t.Errorf("got %d targets, want 1", got)
	}
}

// at is a revision.
func at(count uint64) platform.Revision { return platform.NewRevision(1, count) }

// end puts ends of targets under a request into the book.
func end(b *Book, p Print, from, until uint64) {
	for r := from; r <= until; r++ {
		b.Put(fmt.Sprint(r), at(r), Report{Target: fmt.Sprint("t", r), Prints: []Print{p}})
	}
}

// An answer shows that what ended before ended of something else, and nothing of later ends.
func TestAnswered(t *testing.T) {
	tests := map[string]struct {
		play func(b *Book)
		want bool
	}{
		"answered after":         {func(b *Book) { end(b, bad, 1, 3); b.Answered(bad, at(4)) }, false},
		"answered between":       {func(b *Book) { end(b, bad, 1, 2); b.Answered(bad, at(3)); end(b, bad, 4, 5) }, false},
		"ends after the answer":  {func(b *Book) { end(b, bad, 1, 2); b.Answered(bad, at(3)); end(b, bad, 4, 6) }, true},
		"heard in another order": {func(b *Book) { b.Answered(bad, at(4)); end(b, bad, 1, 3) }, false},
		"answer not yet written": {func(b *Book) { end(b, bad, 1, 3); b.Answered(bad, Unwritten) }, false},
		"another's answer":       {func(b *Book) { end(b, bad, 1, 3); b.Answered(other, at(4)) }, true},
		"heard again with its revision": {func(b *Book) {
			b.Put("a", Unwritten, Report{Target: "t", Prints: []Print{bad}})
			end(b, bad, 1, 2)
			b.Answered(bad, Unwritten)
			b.Put("a", at(9), Report{Target: "t", Prints: []Print{bad}})
		}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := NewBook()
			tt.play(b)
			if _, got := b.Guilty()[bad]; got != tt.want {
				t.Errorf("got guilty: %t, want %t", got, tt.want)
			}
		})
	}
}

// What is forgotten holds no more, but one more end is enough then; an answer ends that too.
func TestForgotten(t *testing.T) {
	b := NewBook()
	end(b, bad, 1, 3)
	for r := range 3 {
		b.Remove(fmt.Sprint(r + 1))
	}
	if got := len(b.Guilty()); got != 0 {
		t.Errorf("got %d guilty after all was forgotten, want none", got)
	}
	end(b, bad, 4, 4)
	if _, got := b.Guilty()[bad]; !got {
		t.Error("got it not told again after one more end")
	}
	b.Answered(bad, at(5))
	end(b, bad, 6, 6)
	if _, got := b.Guilty()[bad]; got {
		t.Error("got it told after an answer and one end")
	}
}

// What is kept is bounded, and the oldest goes first.
func TestBounds(t *testing.T) {
	b := NewBook()
	end(b, bad, 1, 3)
	prints := make([]Print, 3*mostPrints)
	for i := range prints {
		prints[i] = Print(1000 + i)
	}
	for r := uint64(10); r < 10+2*MostReports; r++ {
		b.Put(fmt.Sprint(r), at(r), Report{Target: fmt.Sprint("t", r), Prints: prints[:2]})
		b.Answered(Print(r+5000), at(r))
	}
	b.Put("wide", at(5000), Report{Target: "wide", Prints: prints})
	if got := len(b.reports); got != MostReports {
		t.Errorf("got %d reports, want %d", got, MostReports)
	}
	if got := len(b.answered); got != mostAnswered {
		t.Errorf("got %d answers, want %d", got, mostAnswered)
	}
	if got := len(b.reports["wide"].prints); got != mostPrints {
		t.Errorf("got %d requests of a report, want %d", got, mostPrints)
	}
	if b.reports["1"] != nil {
		t.Error("got the oldest report kept")
	}
}
