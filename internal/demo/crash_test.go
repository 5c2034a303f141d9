package demo

import (
	"testing"
	"time"

	"github.com/firlever/firlever/internal/invariant"
)

// A poison request crashes each target that runs it, and is sent every 50 ms, from each place in
// turn. The instances of a place must soon recognise and suppress it. When each attempt was judged
// by itself, every place lost targets for as long as the request was sent, 36 of them in 2.4 s, and
// hundreds of other requests were refused for lack of free slots.
func TestCrash(t *testing.T) {
	docs, err := Load("moreton-bay")
	if err != nil {
		t.Fatal(err)
	}
	rep, err := Run(t.Context(), Config{
		Name: "moreton-bay", Documents: docs, Duration: 6 * time.Second, Rate: 0.2, Seed: 1, Faults: []FaultKind{FaultCrash},
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range rep.Invariants {
		if c.Name == invariant.PoisonSuppressed && c.Checks < crashesToDetect {
			t.Errorf("got %d crashed targets, want at least %d", c.Checks, crashesToDetect)
		}
		if c.Violations > 0 {
			t.Errorf("got %d violations of %s in %d checks", c.Violations, c.Name, c.Checks)
		}
	}
	for _, d := range rep.Details {
		t.Log(d)
	}
}
