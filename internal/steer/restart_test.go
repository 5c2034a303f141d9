package steer

import "testing"

// A target that starts again under its ID has no load, failures or slowness of before,
// and what comes late of the run before changes nothing.
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
		t.Errorf("got %+v, want nothing known of the run before", now)
	}
	now.startRequest(start)
	f.Done(start, old, Outcome{Ending: Failed, Load: &Load{Running: 4}})
	if now.inFlight() != 1 || now.failureShare != 0 || now.loadAge(start) != -1 {
		t.Errorf("got %+v, want nothing taken from the end of an attempt at the run before", now)
	}
	if got := f.Put(start, old); got != Outdated {
		t.Errorf("got %q for a late report, want %q", got, Outdated)
	}
}
