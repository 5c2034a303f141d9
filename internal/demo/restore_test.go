package demo

import (
	"testing"
	"time"
)

// The platform comes back from a copy while an instance is killed and a place is drained. Nothing
// that was confirmed comes back older, and no limit is broken.
func TestRestore(t *testing.T) {
	docs, err := Load("moreton-bay")
	if err != nil {
		t.Fatal(err)
	}
	rep, err := Run(t.Context(), Config{
		Name: "moreton-bay", Documents: docs, For: 10 * time.Second, Rate: 0.2, Seed: 1,
		Faults: []FaultKind{FaultRestore, FaultKill, FaultDrain},
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range rep.Invariants {
		if c.Violations > 0 {
			t.Errorf("got %s broken %d times of %d", c.Name, c.Violations, c.Checks)
		}
	}
	for _, e := range rep.Faults {
		if e.Note != "" {
			t.Errorf("got %s: %s", e.Kind, e.Note)
		}
	}
	for _, d := range rep.Details {
		t.Log(d)
	}
}
