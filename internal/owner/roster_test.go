package owner

import (
	"errors"
	"reflect"
	"testing"
)

func TestRoster(t *testing.T) {
	one, err := Roster{}.Join("a", 2)
	if err != nil {
		t.Fatal(err)
	}
	var present *PresentError
	var stale *StaleError
	var absent *AbsentError
	tests := map[string]struct {
		next func() (Roster, error)
		want Roster
		err  any
	}{
		"again":   {func() (Roster, error) { return one.Join("a", 2) }, one, &present},
		"stale":   {func() (Roster, error) { return one.Join("a", 1) }, one, &stale},
		"absent":  {func() (Roster, error) { return one.Remove("a", 1, true) }, one, &absent},
		"unknown": {func() (Roster, error) { return one.MarkLeaving("b", 1) }, one, &absent},
		"clean":   {func() (Roster, error) { return one.Remove("a", 2, true) }, Roster{Version: 2, Members: []Member{}}, nil},
		"forget": {
			func() (Roster, error) {
				r, err := one.Remove("a", 2, false)
				return r.WithoutPrevious(r.Previous), err
			},
			Roster{Version: 3, Members: []Member{}, Previous: []PreviousMember{}},
			nil,
		},
		"return": {func() (Roster, error) { return one.Join("a", 3) }, Roster{
			Version:  2,
			Members:  []Member{{Instance: "a", Incarnation: 3, Since: 2}},
			Previous: []PreviousMember{{Member: Member{Instance: "a", Incarnation: 2, Since: 1}, Until: 2}},
		}, nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got, err := tt.next()
			if (err != nil) != (tt.err != nil) || (err != nil && !errors.As(err, tt.err)) {
				t.Errorf("got %v, want %T", err, tt.err)
			}
			if !reflect.DeepEqual(got, tt.want) {
				t.Errorf("got %+v, want %+v", got, tt.want)
			}
		})
	}
}

func TestDecode(t *testing.T) {
	tests := map[string]struct {
		body string
		ok   bool
	}{
		"good":     {`{"version":3,"members":[{"instance":"a","incarnation":1,"since":1,"left":2}]}`, true},
		"unknown":  {`{"version":3,"members":[],"x":1}`, false},
		"trailing": {`{"version":3,"members":[]} {}`, false},
		"version":  {`{"version":2,"members":[]}`, false},
		"twice":    {`{"version":3,"members":[{"instance":"a","incarnation":1,"since":1},{"instance":"a","incarnation":2,"since":1}]}`, false},
		"since":    {`{"version":3,"members":[{"instance":"a","incarnation":1,"since":4}]}`, false},
		"left":     {`{"version":3,"members":[{"instance":"a","incarnation":1,"since":2,"left":2}]}`, false},
		"until":    {`{"version":3,"members":[],"former":[{"instance":"a","incarnation":1,"since":2,"until":2}]}`, false},
		"number":   {`{"version":3,"members":[{"instance":"a","incarnation":-1,"since":1}]}`, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := Decode([]byte(tt.body), 3)
			var want *RosterError
			if (err == nil) != tt.ok || (err != nil && !errors.As(err, &want)) {
				t.Errorf("got %v, want ok %v", err, tt.ok)
			}
		})
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"version":3,"members":[{"instance":"a","incarnation":1,"since":1}],"former":[]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := Decode(b, 3)
		if err != nil {
			return
		}
		again, err := r.Encode()
		if err != nil {
			t.Fatal(err)
		}
		got, err := Decode(again, 3)
		if err != nil || got.Version != r.Version || len(got.Members) != len(r.Members) {
			t.Errorf("got %+v, %v, want %+v", got, err, r)
		}
		newHistory(r).owners(TargetKey{Name: "x"})
	})
}
