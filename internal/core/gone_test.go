package core

import (
	"testing"

	"github.com/firlever/firlever/internal/once"
)

// TestGoneCallerKeepsTargetHealth checks that attempts count against a target's health
// only if the target aborted them, and not the caller.
func TestGoneCallerKeepsTargetHealth(t *testing.T) {
	tests := map[string]struct {
		gone bool
		want string
	}{
		"target's fault": {false, "ejected"},
		"caller's fault": {true, "warm"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			n := testNode(t, func(cfg *Config) { cfg.Settle = 1 })
			at := begin
			for i := range ID(20) {
				at = at.Add(5)
				n.Step(at, Tick{})
				n.Step(at, request(i+1, "10.1.0.1"))
				n.Step(at, Finished{ID: i + 1, Result: Failed, CallerGone: tt.gone})
				n.Step(at, ConnectionEnded{ID: i + 1, Target: testTarget})
			}
			got := n.Status(at).Targets[0].Health
			if tt.want == "warm" && got != tt.want || tt.want != "warm" && got == "warm" {
				t.Errorf("got a target that is %s, want %s", got, tt.want)
			}
		})
	}
}

// A target was ejected because this instance had no descriptor left for a connection to it.
func TestTargetBlamedForLackOfDescriptors(t *testing.T) {
	tests := map[string]struct {
		lacked bool
		want   bool // the target stays warm
	}{
		"lacked here":           {true, true},
		"target doesn't listen": {false, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			n := testNode(t, func(cfg *Config) { cfg.Settle = 1 })
			at := begin
			for i := range ID(20) {
				at = at.Add(5)
				n.Step(at, Tick{})
				n.Step(at, request(i+1, "10.1.0.1"))
				n.Step(at, Finished{ID: i + 1, Result: NotRun, Proof: once.ProofNoConn, LackedHere: tt.lacked})
			}
			if got := n.Status(at).Targets[0].Health; (got == "warm") != tt.want {
				t.Errorf("got a target that is %s, want it warm: %t", got, tt.want)
			}
		})
	}
}

// TestGoneCallerIsNotRetried checks that a request is not retried after its caller has
// disconnected.
func TestGoneCallerIsNotRetried(t *testing.T) {
	tests := map[string]struct {
		ev   Finished
		want string
	}{
		"stays":      {Finished{Result: NotRun}, "refuse target-failed"},
		"went":       {Finished{Result: Failed, CallerGone: true}, "refuse caller-gone"},
		"went early": {Finished{Result: NotRun, CallerGone: true}, "refuse caller-gone"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			n := testNode(t, nil)
			n.Step(begin, request(1, "10.1.0.1"))
			tt.ev.ID = 1
			if got := decisionName(n.Step(begin, tt.ev)); got != tt.want {
				t.Errorf("got %q, want %q", got, tt.want)
			}
			if got := n.InFlight(); got != 0 {
				t.Errorf("got %d requests left inside, want 0", got)
			}
		})
	}
}
