package demo

import (
	"testing"
	"time"

	"github.com/firlever/firlever/internal/invariant"
)

// Targets that leave, want rest or name a limit get no more than they want, while instances are
// killed and the platform is away.
func TestNotice(t *testing.T) {
	docs, err := Load("moreton-bay")
	if err != nil {
		t.Fatal(err)
	}
	rep, err := Run(t.Context(), Config{
		Name: "moreton-bay", Documents: docs, For: 8 * time.Second, Rate: 0.2, Seed: 1,
		Faults: []FaultKind{FaultNotice, FaultKill, FaultPlatform},
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range rep.Invariants {
		if c.Name == invariant.Wanted && c.Checks == 0 {
			t.Error("got no request at a target that had said what it wants")
		}
		if c.Violations > 0 {
			t.Errorf("got %s broken %d times of %d", c.Name, c.Violations, c.Checks)
		}
	}
	for _, d := range rep.Details {
		t.Log(d)
	}
}
