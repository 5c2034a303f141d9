package demo

import (
	"testing"
	"time"

	"github.com/firlever/firlever/internal/invariant"
)

// Targets that announce a limit, a back-off or that they leave receive only requests that their
// notices allow, while instances are killed and the platform has an outage.
func TestNotice(t *testing.T) {
	docs, err := Load("moreton-bay")
	if err != nil {
		t.Fatal(err)
	}
	rep, err := Run(t.Context(), Config{
		Name: "moreton-bay", Documents: docs, Duration: 8 * time.Second, Rate: 0.2, Seed: 1,
		Faults: []FaultKind{FaultNotice, FaultKill, FaultPlatform},
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range rep.Invariants {
		if c.Name == invariant.WithinNotices && c.Checks == 0 {
			t.Error("got no request at a target that had announced a notice")
		}
		if c.Violations > 0 {
			t.Errorf("got %d violations of %s in %d checks", c.Violations, c.Name, c.Checks)
		}
	}
	for _, d := range rep.Details {
		t.Log(d)
	}
}
