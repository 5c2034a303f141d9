package edge

import (
	"net/http"
	"testing"
	"time"

	"github.com/firlever/firlever/internal/emulator/store"
)

// No attempt of any kind is sent to a target whose notice forbids it.
func TestNoWayPastANotice(t *testing.T) {
	notices := map[string]string{
		"limit":   "good, Server-Limit: 0",
		"leaving": "good, Server-Leaving: 1",
		"rest":    "shed, Retry-After: 3",
	}
	ways := map[string]struct {
		other  string // behaviour of another target; "" for none
		outage bool   // the store is unreachable
	}{
		"first attempt":               {},
		"retry":                       {other: "shed"},
		"second attempt":              {other: "hang"},
		"first attempt in an outage":  {outage: true},
		"retry in an outage":          {other: "shed", outage: true},
		"second attempt in an outage": {other: "hang", outage: true},
	}
	for notice, behaviour := range notices {
		for way, tt := range ways {
			t.Run(notice+"/"+way, func(t *testing.T) {
				t.Parallel()
				r := newRig(t)
				r.configure(1, "s")
				a := r.target(behaviour)
				r.register("a", a.address, "n1", "ready")
				r.start()
				r.waitUsable(1)
				if tt.outage {
					r.store.SetFaults(store.Faults{Refuse: true})
				}
				r.send("GET", "/get/x")
				if got := a.requests(); got != 1 {
					t.Fatalf("got %d requests at the target, want 1", got)
				}
				if tt.other != "" {
					r.addTarget(r.target(tt.other).address)
				}
				before := a.requests()
				// A report of the same run in the store is older than the notice.
				r.report("a", a.address, "n1", "ready", 0, 1000)
				for range 4 {
					begun := time.Now()
					got := r.send("GET", "/get/x")
					if tt.other == "" && (got.status != http.StatusServiceUnavailable || got.retryAfter == "" || time.Since(begun) >= routeTimeout) {
						t.Errorf("got %+v, want 503 with Retry-After before the deadline", got)
					}
				}
				if got := a.requests() - before; got != 0 {
					t.Errorf("got %d further requests at the target, want none", got)
				}
			})
		}
	}
}

// An unreadable header is ignored: it doesn't end a limit either.
func TestUnreadableNotice(t *testing.T) {
	tests := map[string]struct {
		second string
		want   bool // the target is limited after its second answer
	}{
		"unreadable": {"good, Server-Limit: many", true},
		"none":       {"good", false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newRig(t)
			r.configure(1, "s")
			a := r.target("good, Server-Limit: 1000", tt.second)
			r.register("a", a.address, "n1", "ready")
			r.start()
			r.waitUsable(1)
			r.send("GET", "/get/x")
			time.Sleep(10 * time.Millisecond) // a token is added
			if got := r.send("GET", "/get/x"); got.status != http.StatusOK {
				t.Fatalf("got %+v, want 200", got)
			}
			r.node.mu.Lock()
			defer r.node.mu.Unlock()
			list := r.node.fleet.Constraints(time.Time{})
			if len(list) != 1 || list[0].HasLimit != tt.want {
				t.Errorf("got %+v, want one with limited %t", list, tt.want)
			}
		})
	}
}
