package owner

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/firlever/firlever/internal/invariant"
	"github.com/firlever/firlever/pkg/settings"
)

var (
	testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	service   = settings.ServiceID{Team: "t", Name: "s"}
)

func at(seconds float64) time.Time {
	return testStart.Add(time.Duration(seconds * float64(time.Second)))
}

// keyOf returns a target for which the instances rank in the given order, lowest first.
func keyOf(t *testing.T, instances ...string) TargetKey {
	t.Helper()
	for i := range 10000 {
		key := TargetKey{Service: service, Name: fmt.Sprint(i)}
		if slices.IsSortedFunc(instances, func(a, b string) int {
			if score(a, key) < score(b, key) {
				return -1
			}
			return 1
		}) {
			return key
		}
	}
	t.Fatal("no target ranks the instances in this order")
	return TargetKey{}
}

func tableOf(t *testing.T, self string, key TargetKey) *Table {
	t.Helper()
	fail := func(n invariant.Name, s string) { t.Errorf("%s: %s", n, s) }
	b, err := New(Config{Self: self, Incarnation: 1, Place: "p", ListProves: true, Checks: invariant.New(fail)})
	if err != nil {
		t.Fatal(err)
	}
	b.SetSpecs(at(0), []Spec{{Key: key, Allowance: 10, Quota: 10, Timeout: 2 * time.Second}})
	return b
}

func join(t *testing.T, r Roster, instance string) Roster {
	t.Helper()
	next, err := r.Join(instance, 1)
	if err != nil {
		t.Fatal(err)
	}
	return next
}

// TestHandOver moves a target from a to b to c: c must reserve what a and b still
// have in flight.
func TestHandOver(t *testing.T) {
	key := keyOf(t, "a", "b", "c")
	one := join(t, Roster{}, "a")
	two := join(t, one, "b")
	three := join(t, two, "c")
	a, c := tableOf(t, "a", key), tableOf(t, "c", key)
	a.SetRoster(at(0), one)
	for range 4 {
		a.Take(at(0), key)
	}
	a.SetRoster(at(1), three)
	c.SetRoster(at(1), three)
	c.Confirm(at(1), three.Version)
	free := func(when string, want int) {
		t.Helper()
		if got := c.Free(at(1), key); got != want {
			t.Errorf("%s: got %d free, want %d", when, got, want)
		}
	}
	free("before any release", 0)
	c.RecordRelease(at(1), a.Release())
	free("after a's release alone", 0)
	c.RecordRelease(at(1), Release{From: "b", Incarnation: 1, Version: two.Version, Seq: 1})
	free("after a release of b that is too old", 0)
	c.RecordRelease(at(1), Release{From: "b", Incarnation: 1, Version: three.Version, Seq: 2, Held: []Held{{key, 1, 1}}})
	free("after both", 5)
	a.Done(key)
	c.RecordRelease(at(1), a.Release())
	free("after a finished one", 6)
	if a.Take(at(1), key) {
		t.Error("got a slot for a, want none")
	}
}

// TestRemoval removes an owner that has ended, or only appears to have, and checks
// how many slots the next owner may use.
func TestRemoval(t *testing.T) {
	key := keyOf(t, "b", "a")
	two := join(t, join(t, Roster{}, "a"), "b")
	cut, err := two.Remove("a", 1, false)
	if err != nil {
		t.Fatal(err)
	}
	wait := (3+2)*(1+DefaultSkew) + 0.01
	tests := map[string]struct {
		step func(b *Table)
		at   float64
		want int
	}{
		"too early":       {func(*Table) {}, wait - 0.1, 0},
		"after the wait":  {func(*Table) {}, wait, 5},
		"proved gone":     {func(b *Table) { b.MarkEnded(at(1), "a", 1) }, 1 + 2.2, 10},
		"gone just now":   {func(b *Table) { b.MarkEnded(at(1), "a", 1) }, 1 + 2, 0},
		"new incarnation": {func(b *Table) { b.MayAck(at(1), "a", 2, 0) }, 1 + 2.2, 10},
		"own release": {func(b *Table) {
			b.RecordRelease(at(1), Release{From: "a", Incarnation: 1, Version: cut.Version, Seq: 1, Held: []Held{{key, 3, 3}}})
		}, 1, 7},
		"unlisted": {func(b *Table) {
			b.RecordList(at(0), at(0), 1, nil)
			b.RecordList(at(32), at(32), 1, nil)
		}, 35, 10},
		"unlisted before": {func(b *Table) {
			b.MayAck(at(0), "a", 2, 0)
			b.RecordList(at(0), at(0), 1, nil)
			next, err := b.Roster().Join("a", 2)
			if err != nil {
				panic(err)
			}
			b.SetRoster(at(40), next)
			b.RecordList(at(40), at(40), 1, nil)
			next, err = next.Remove("a", 2, false)
			if err != nil {
				panic(err)
			}
			b.SetRoster(at(40), next)
			b.RecordList(at(40), at(40), 1, nil)
		}, 43, 0},
		"listed again": {func(b *Table) {
			b.RecordList(at(0), at(0), 1, nil)
			b.RecordList(at(20), at(20), 1, []Listing{{"a", 1}})
			b.RecordList(at(32), at(32), 1, nil)
		}, 35, 5},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := tableOf(t, "b", key)
			b.SetRoster(at(0), two)
			b.SetRoster(at(0), cut)
			tt.step(b)
			b.Confirm(at(tt.at), cut.Version)
			if got := b.Free(at(tt.at), key); got != tt.want {
				t.Errorf("got %d free, want %d", got, tt.want)
			}
		})
	}
}

func TestLeaseState(t *testing.T) {
	key := keyOf(t, "b", "a")
	two := join(t, join(t, Roster{}, "a"), "b")
	without, err := two.Remove("a", 1, false)
	if err != nil {
		t.Fatal(err)
	}
	tests := map[string]struct {
		step func(a *Table)
		want LeaseState
		free int
	}{
		"nothing":          {func(*Table) {}, LeaseExpired, 5},
		"platform":         {func(a *Table) { a.Confirm(at(8), 2) }, LeaseConfirmed, 10},
		"platform old":     {func(a *Table) { a.Confirm(at(7), 2) }, LeaseExpired, 5},
		"platform newer":   {func(a *Table) { a.Confirm(at(8), 3) }, LeaseExpired, 5},
		"all acks":         {func(a *Table) { a.RecordAck("b", 1, at(8), 2) }, LeaseConfirmed, 10},
		"other process":    {func(a *Table) { a.RecordAck("b", 2, at(8), 2) }, LeaseExpired, 5},
		"no line":          {func(a *Table) { a.SetRoster(at(8), without) }, LeaseNone, 0},
		"older roster":     {func(a *Table) { a.SetRoster(at(8), join(t, Roster{}, "b")) }, LeaseExpired, 5},
		"new settings low": {func(a *Table) { a.SetSpecs(at(9), []Spec{{Key: key, Allowance: 4, Quota: 4}}) }, LeaseExpired, 2},
		"drained":          {func(a *Table) { a.SetSpecs(at(9), []Spec{{Key: key, Allowance: 10, Quota: 10, Drained: true}}) }, LeaseExpired, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			a := tableOf(t, "a", key)
			a.SetRoster(at(0), two)
			tt.step(a)
			if got := a.LeaseState(at(10)); got != tt.want {
				t.Errorf("got %v, want %v", got, tt.want)
			}
			if got := a.FreeService(at(10), service); got != tt.free {
				t.Errorf("got %d free, want %d", got, tt.free)
			}
		})
	}
}

// TestRemovable checks when an instance may remove another from the roster, and
// whether the other still gets acks.
func TestRemovable(t *testing.T) {
	key := keyOf(t, "a", "b")
	two := join(t, join(t, Roster{}, "a"), "b")
	b := tableOf(t, "b", key)
	b.SetRoster(at(0), two)
	want := func(when string, got, want bool) {
		t.Helper()
		if got != want {
			t.Errorf("%s: got %v, want %v", when, got, want)
		}
	}
	want("never met", b.Removable(at(0), "a"), false)
	want("ack", b.MayAck(at(0), "a", 1, two.Version), true)
	want("just acked", b.Removable(at(3), "a"), false)
	want("silent", b.Removable(at(4), "a"), true)
	if _, err := b.Remove(at(4), "a"); err != nil {
		t.Fatal(err)
	}
	want("ack while the write is under way", b.MayAck(at(9), "a", 1, two.Version), false)
	b.SetRoster(at(9), join(t, two, "c"))
	want("ack after another's write won", b.MayAck(at(9), "a", 1, 3), true)
}

// TestCharges checks that a lowered quota is freed by the requests that used it,
// even while new ones keep arriving.
func TestCharges(t *testing.T) {
	x, y := TargetKey{Service: service, Name: "x"}, TargetKey{Service: service, Name: "y"}
	b := tableOf(t, "a", x)
	b.SetRoster(at(0), join(t, Roster{}, "a"))
	set := func(now time.Time, quotaX, quotaY int) {
		b.SetSpecs(now, []Spec{{Key: x, Allowance: 9, Quota: quotaX}, {Key: y, Allowance: 9, Quota: quotaY}})
	}
	set(at(0), 2, 1)
	for b.Take(at(60), x) {
	}
	set(at(60), 0, 3)
	for range 3 {
		b.Done(x)
		b.Take(at(120), x)
	}
	if got := b.targets[x].charged; got != 0 {
		t.Errorf("got %d still charged, want 0", got)
	}
	if got := b.InFlight(x); got != 3 {
		t.Errorf("got %d in flight, want 3", got)
	}
}

// TestPick checks that equal targets are used evenly, and full ones not at all.
func TestPick(t *testing.T) {
	b := tableOf(t, "a", TargetKey{Service: service, Name: "x"})
	var specs []Spec
	for i := range 4 {
		key := TargetKey{Service: service, Name: fmt.Sprint(i)}
		specs = append(specs, Spec{Key: key, Allowance: 3, Quota: 2, Timeout: time.Second})
	}
	b.SetSpecs(at(0), specs)
	b.SetRoster(at(0), join(t, Roster{}, "a"))
	weight := func(key TargetKey) int { return 3 - 2*int(key.Name[0]&1) }
	got := make(map[string]int)
	for range 12 {
		key, ok := b.Pick(at(60), service, weight)
		if !ok || !b.Take(at(60), key) {
			break
		}
		got[key.Name]++
	}
	want := map[string]int{"0": 3, "1": 1, "2": 3, "3": 1}
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("got %v, want %v", got, want)
	}
	if got := b.FreeQuota(at(60)); got != 0 {
		t.Errorf("got %d spare, want 0", got)
	}
}
