package demo

import (
	"testing"
	"time"

	"github.com/firlever/firlever/internal/invariant"
)

// One request ends each target that runs it, and is sent again every 50 ms, from each place
// in turn. The instances of a place know soon what it does: on the code that judged each
// attempt by itself, each place lost targets as long as the request came, 36 of them in 2.4 s,
// and hundreds of other requests were refused for want of room.
func TestCrash(t *testing.T) {
	docs, err := Load("moreton-bay")
	if err != nil {
		t.Fatal(err)
	}
	rep, err := Run(t.Context(), Config{
		Name: "moreton-bay", Documents: docs, For: 6 * time.Second, Rate: 0.2, Seed: 1, Faults: []FaultKind{FaultCrash},
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range rep.Invariants {
		if c.Name == invariant.Contained && c.Checks < crashesToDetect {
			t.Errorf("got %d targets ended, want %d at least", c.Checks, crashesToDetect)
		}
		if c.Violations > 0 {
			t.Errorf("got %s broken %d times of %d", c.Name, c.Violations, c.Checks)
		}
	}
	for _, d := range rep.Details {
		t.Log(d)
	}
}
