package target

import (
	"slices"
	"testing"
	"time"

	"github.com/firlever/firlever/internal/invariant"
)

func TestJournalViolations(t *testing.T) {
	now := time.Unix(1000, 0)
	work := Work{ID: "r", Key: "k", Service: "team/svc", Place: "p", Target: "t"}
	tests := map[string]struct {
		run  func(j *Journal)
		want []invariant.Name
	}{
		"idempotent twice": {func(j *Journal) {
			j.Start(work, now)
			j.Start(work, now)
		}, nil},
		"once twice": {func(j *Journal) {
			j.RequireAtMostOnce("k")
			j.Start(work, now)
			j.Start(Work{ID: "s", Key: "k"}, now)
		}, []invariant.Name{invariant.AtMostOnce}},
		"refused and ran": {func(j *Journal) {
			j.Start(work, now)
			j.RecordRefusal("r")
		}, []invariant.Name{invariant.NotRunTrue}},
		"ran after refusal": {func(j *Journal) {
			j.RecordRefusal("k")
			j.Start(work, now)
		}, []invariant.Name{invariant.NotRunTrue}},
		"over the place's limit": {func(j *Journal) {
			j.SetLimit(Scope{Place: "p"}, 1)
			j.Start(work, now)
			j.Finish(work, now)
			j.Start(work, now)
			j.Start(work, now)
		}, []invariant.Name{invariant.RegionLimit}},
		"after leaving": {func(j *Journal) {
			j.SetLeaving(Scope{Place: "p", Service: "team/svc", Target: "t"}, now)
			j.Start(work, now)
			j.Start(work, now.Add(1))
		}, []invariant.Name{invariant.Leaving}},
		"returned": {func(j *Journal) {
			j.SetLeaving(Scope{Place: "p"}, now)
			j.ClearLeaving(Scope{Place: "p"})
			j.Start(work, now.Add(1))
		}, nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := invariant.New(nil)
			j := NewJournal(c, now)
			tt.run(j)
			var got []invariant.Name
			for _, v := range j.Violations() {
				got = append(got, v.Name)
			}
			if !slices.Equal(got, tt.want) || c.Violations() != uint64(len(tt.want)) {
				t.Errorf("got %v and %d counted, want %v", got, c.Violations(), tt.want)
			}
		})
	}
}

func TestJournalCounts(t *testing.T) {
	now := time.Unix(1000, 0)
	j := NewJournal(nil, now)
	at := map[time.Duration]int{0: 2, 1500 * time.Millisecond: 5, 3 * time.Second: 1}
	w := Work{ID: "r", Service: "s", Place: "p", Target: "t", Home: "q"}
	for d, n := range at {
		for range n {
			j.Start(w, now.Add(d))
		}
	}
	w.Home = "p"
	j.Start(w, now)
	j.Finish(w, now.Add(time.Minute))
	if got, want := j.Shifts("s", "p"), []int{2, 5, 0, 1}; !slices.Equal(got, want) {
		t.Errorf("got shifts %v, want %v", got, want)
	}
	if got, want := j.ShiftGrowth("s", "p"), 3; got != want {
		t.Errorf("got growth %d, want %d", got, want)
	}
	want := Usage{InFlight: 8, Peak: 9, Runs: 9, LastFinished: now.Add(time.Minute)}
	if got := j.PlaceUsage("p"); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
	if got, want := j.Runs("r"), 9; got != want {
		t.Errorf("got %d runs, want %d", got, want)
	}
}
