package loads

import (
	"slices"
	"testing"

	"github.com/firlever/firlever/internal/steer"
)

// A slowdown is told in the form of a load, so that instances of earlier versions read it, and pass it on beside
// the target's load if they collect.
func TestSlowdownInMessage(t *testing.T) {
	want := []steer.LoadReport{{Target: 7, Load: 3, At: start}, {Target: ^uint64(7), Load: 250, At: start}}
	b, err := message{reports: steer.TargetReports{Loads: want}}.encode(start)
	if err != nil {
		t.Fatal(err)
	}
	m, err := decode(start, b)
	if err != nil {
		t.Fatal(err)
	}
	table := newReportTable[steer.LoadReport]()
	table.merge(1, m.reports.Loads)
	got, _ := table.since(start, 0, 2, maxLoads)
	slices.SortFunc(got, func(a, b steer.LoadReport) int { return a.Load - b.Load })
	if len(got) != 2 || got[0].Target != 7 || got[0].Load != 3 || got[1].Target != ^uint64(7) || got[1].Load != 250 {
		t.Errorf("got %v passed on, want %v", got, want)
	}
}
