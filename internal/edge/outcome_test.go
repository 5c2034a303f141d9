package edge

import (
	"fmt"
	"testing"
	"time"
)

// A target's behaviour determines the caller's answer and the number of runs. Two targets behave
// alike, so that a second attempt would show.
func TestOutcomes(t *testing.T) {
	tests := map[string]struct {
		behaviour string
		path      string
		status    int
		most      int // runs over all targets
		again     bool
	}{
		"good":                        {"good", "/do/x", 200, 1, false},
		"shed, not idempotent":        {"shed", "/do/x", 503, 0, true},
		"shed, idempotent":            {"shed", "/get/x", 503, 0, true},
		"replaced":                    {"replaced", "/do/x", 503, 0, true},
		"error, not idempotent":       {"error", "/do/x", 500, 1, false},
		"error, idempotent":           {"error", "/get/x", 500, 2, false},
		"reset, not idempotent":       {"reset", "/do/x", 502, 1, false},
		"reset, idempotent":           {"reset", "/get/x", 502, 2, false},
		"cut, not idempotent":         {"cut", "/do/x", 502, 1, false},
		"cut, idempotent":             {"cut", "/get/x", 502, 2, false},
		"unsigned, not idempotent":    {"unsigned", "/do/x", 502, 1, false},
		"another's, not idempotent":   {"another's", "/do/x", 504, 1, false},
		"no answer, not idempotent":   {"hang", "/do/x", 504, 1, false},
		"no answer, idempotent":       {"hang", "/get/x", 504, 2, false},
		"no route":                    {"good", "/none/x", 404, 0, false},
		"prefix without its slash":    {"good", "/do", 404, 0, false},
		"path that has to stay as is": {"good", "/do/a%2Fb//c?d=%20", 200, 1, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newRig(t)
			r.configure(1, "s")
			a, b := r.target(tt.behaviour), r.target(tt.behaviour)
			r.register("a", a.address, "n1", "ready")
			r.register("b", b.address, "s1", "ready")
			r.start()
			got := r.send("POST", tt.path)
			if got.status != tt.status || got.closed {
				t.Errorf("got %+v, want status %d", got, tt.status)
			}
			if runs := a.runs() + b.runs(); runs > tt.most || tt.status == 200 && runs != 1 {
				t.Errorf("got %d runs, want %d at most", runs, tt.most)
			}
			if (got.retryAfter != "") != tt.again {
				t.Errorf("got Retry-After %q, want one: %t", got.retryAfter, tt.again)
			}
			if got.took > 800*time.Millisecond {
				t.Errorf("got an answer after %s, want it by the route's timeout", got.took)
			}
			for _, seen := range append(a.seen, b.seen...) {
				id := seen[len(seen)-1:]
				if want := fmt.Sprintf("POST %s hi %s", tt.path, id); seen != want {
					t.Errorf("got %q at a target, want %q", seen, want)
				}
			}
		})
	}
}

// An idempotent request is answered by the second target when the first fails.
func TestSecondTarget(t *testing.T) {
	for _, behaviour := range []string{"shed", "replaced", "error", "reset", "cut", "unsigned"} {
		t.Run(behaviour, func(t *testing.T) {
			t.Parallel()
			r := newRig(t)
			r.configure(1, "s")
			// One target of each kind: one of them succeeds, whichever is asked first.
			a := r.target(behaviour)
			r.register("a", a.address, "n1", "ready")
			r.register("b", r.target("good").address, "s1", "ready")
			r.start()
			r.waitUsable(2)
			if got := r.send("GET", "/get/x"); got.status != 200 || got.body != "ok" {
				t.Errorf("got %+v, want ok", got)
			}
		})
	}
}

// If a target does not answer in the typical time, a request that may run twice is also sent to
// the other one. The first then stops.
func TestSlowTarget(t *testing.T) {
	tests := map[string]struct {
		path   string
		status int
		runs   int // of the second request
	}{
		"idempotent":     {"/get/x", 200, 2},
		"not idempotent": {"/do/x", 504, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newRig(t)
			r.configure(1, "s")
			a, b := r.target("good", "hang"), r.target("good", "hang")
			r.register("a", a.address, "n1", "ready")
			r.register("b", b.address, "s1", "ready")
			r.start()
			r.waitUsable(2)
			if got := r.send("POST", tt.path); got.status != 200 {
				t.Fatalf("got %+v of a healthy target, want 200", got)
			}
			got := r.send("POST", tt.path)
			if got.status != tt.status {
				t.Errorf("got %+v, want status %d", got, tt.status)
			}
			if runs := a.runs() + b.runs() - 1; runs != tt.runs {
				t.Errorf("got %d runs, want %d", runs, tt.runs)
			}
			select { // the slow target's request was cancelled
			case <-a.callerLeft:
			case <-b.callerLeft:
			}
		})
	}
}

func TestDeadTarget(t *testing.T) {
	r := newRig(t)
	r.configure(1, "s")
	for i := range 3 {
		r.register(fmt.Sprintf("dead%d", i), unreachableAddress, "n1", "ready")
	}
	r.register("b", r.target("good").address, "s1", "ready")
	r.start()
	r.waitUsable(4)
	if got := r.send("POST", "/do/x"); got.status != 200 {
		t.Errorf("got %+v, want 200: nothing was sent to the dead ones", got)
	}
}
