package owner

import (
	"testing"
	"time"
)

// listBook returns the state of instance a, whose roster also has b.
func listBook(t *testing.T) *Table {
	t.Helper()
	b, err := New(Config{Self: "a", Incarnation: 1, Place: "p", ListProves: true})
	if err != nil {
		t.Fatal(err)
	}
	r, _ := Roster{}.Join("a", 1)
	r, _ = r.Join("b", 1)
	b.SetRoster(modelStart, r)
	return b
}

// TestListIsNoProof checks that any sign of life refutes an ending concluded from
// the list: a process missing from it may only be unable to reach the platform.
func TestListIsNoProof(t *testing.T) {
	later := modelStart.Add(2 * DefaultLag)
	tests := map[string]struct {
		sent  time.Time
		then  func(*Table)
		ended bool
	}{
		"for long":         {later, func(*Table) {}, true},
		"an old list":      {modelStart, func(*Table) {}, false},
		"then a heartbeat": {later, func(b *Table) { b.MayAck(later, "b", 1, 2) }, false},
		"then an ack":      {later, func(b *Table) { b.RecordAck("b", 1, later, 2) }, false},
		"then a release":   {later, func(b *Table) { b.RecordRelease(later, Release{From: "b", Incarnation: 1, Version: 2}) }, false},
		"then listed":      {later, func(b *Table) { b.RecordList(later, later, 1, []Listing{{"b", 1}}) }, false},
		"a restart":        {later, func(b *Table) { b.MayAck(later, "b", 2, 2) }, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := listBook(t)
			b.RecordList(modelStart, modelStart, 1, nil)
			b.RecordList(later, tt.sent, 1, nil)
			tt.then(b)
			m, _ := b.roster.Member("b")
			if got := b.finished(later.Add(time.Hour), m); got != tt.ended {
				t.Errorf("got ended %v, want %v", got, tt.ended)
			}
		})
	}
}

// TestListAfterRestore checks that the list of a store restored from a snapshot proves no ending
// until the entries lost by the restore have had time to return.
func TestListAfterRestore(t *testing.T) {
	tests := map[string]struct {
		number uint64        // epoch of later lists
		after  time.Duration // time of the last list
		ended  bool
	}{
		"the same epoch":                {1, 2 * DefaultLag, true},
		"a later epoch":                 {2, 2 * DefaultLag, false},
		"a later epoch, and a lag more": {2, 3 * DefaultLag, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := listBook(t)
			b.RecordList(modelStart, modelStart, 1, []Listing{{"b", 1}})
			b.RecordList(modelStart.Add(time.Second), modelStart.Add(time.Second), tt.number, nil)
			last := modelStart.Add(time.Second + tt.after)
			b.RecordList(last, last, tt.number, nil)
			m, _ := b.roster.Member("b")
			if got := b.finished(last.Add(time.Hour), m); got != tt.ended {
				t.Errorf("got ended %v, want %v", got, tt.ended)
			}
		})
	}
}

// TestAckOutlastsList checks that an ack stays binding even if the list omits the
// peer.
func TestAckOutlastsList(t *testing.T) {
	b := listBook(t)
	later := modelStart.Add(2 * DefaultLag)
	b.MayAck(later.Add(-time.Second), "b", 1, 2)
	b.RecordList(modelStart, modelStart, 1, nil)
	b.RecordList(later, later, 1, nil)
	if b.Removable(later, "b") {
		t.Error("got removable while the ack is valid, want not removable")
	}
	if !b.Removable(later.Add(2*DefaultTerm), "b") {
		t.Error("got not removable after the ack expired, want removable")
	}
}

// TestMissingEntryProvesNothing checks that, unless the list proves endings, a
// process missing from it counts as partitioned, and still using half of its
// targets, for however long.
func TestMissingEntryProvesNothing(t *testing.T) {
	tests := map[string]struct {
		proves bool
		want   int
	}{
		"a list of processes":     {true, 10},
		"a list of registrations": {false, 5},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			key := TargetKey{Name: "t"}
			b, err := New(Config{Self: "b", Incarnation: 1, Place: "p", ListProves: tt.proves})
			if err != nil {
				t.Fatal(err)
			}
			b.SetSpecs(modelStart, []Spec{{Key: key, Allowance: 10, Quota: 10, Timeout: time.Second}})
			both, _ := Roster{}.Join("a", 1)
			both, _ = both.Join("b", 1)
			cut, _ := both.Remove("a", 1, false)
			b.SetRoster(modelStart, both)
			b.SetRoster(modelStart, cut)
			late := modelStart.Add(time.Hour)
			b.RecordList(modelStart, modelStart, 1, nil)
			b.RecordList(late, late, 1, nil)
			late = late.Add(time.Minute)
			b.Confirm(late, cut.Version)
			if got := b.Free(late, key); got != tt.want {
				t.Errorf("got %d free, want %d", got, tt.want)
			}
		})
	}
}
