package demo

import (
	"testing"
	"time"
)

// The platform is restored from a snapshot while an instance is killed and a place is drained.
// Nothing that was confirmed may return to an older version, and no limit may be exceeded.
func TestRestore(t *testing.T) {
	docs, err := Load("moreton-bay")
	if err != nil {
		t.Fatal(err)
	}
	rep, err := Run(t.Context(), Config{
		Name: "moreton-bay", Documents: docs, Duration: 10 * time.Second, Rate: 0.2, Seed: 1,
		Faults: []FaultKind{FaultRestore, FaultKill, FaultDrain},
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range rep.Invariants {
		if c.Violations > 0 {
			t.Errorf("got %d violations of %s in %d checks", c.Violations, c.Name, c.Checks)
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
