package steer

import "testing"

// A target that restarts under its ID starts without the load, failures or latency of the run
// before, and late outcomes of that run change nothing.
func TestRestartResetsState(t *testing.T) {
	f := newFleet(t, 4, 4)
	old := f.targets["t00"].Target
	for range ejectAfter {
		f.Done(start, old, Outcome{Ending: Failed, Load: &Load{Running: 4, Waiting: 9}})
	}
	f.targets["t00"].startRequest(start)
	next := old
	next.Started, next.Sequence = start, 1
	if got := f.Put(start, next); got != Restarted {
		t.Fatalf("got %q, want %q", got, Restarted)
	}
	now := f.targets["t00"]
	if now.ejected(start) || now.inFlight() != 0 || now.otherLoad != 0 || now.loadAge(start) != -1 {
		t.Errorf("got %+v, want no state of the previous run", now)
	}
	now.startRequest(start)
	f.Done(start, old, Outcome{Ending: Failed, Load: &Load{Running: 4}})
	if now.inFlight() != 1 || now.failureShare != 0 || now.loadAge(start) != -1 {
		t.Errorf("got %+v, want no change by an attempt at the previous run", now)
	}
	if got := f.Put(start, old); got != Outdated {
		t.Errorf("got %q for a late report, want %q", got, Outdated)
	}
}
