package routes

import (
	"errors"
	"slices"
	"testing"
)

func TestRegions(t *testing.T) {
	tests := map[string]struct {
		a, b        Regions
		allow, deny string // "": not checked
	}{
		"everywhere":   {allow: "north"},
		"first binds":  {a: Regions{"north"}, allow: "north", deny: "south"},
		"other binds":  {b: Regions{"north"}, allow: "north", deny: "south"},
		"both":         {a: Regions{"north", "south"}, b: Regions{"south", "east"}, allow: "south", deny: "north"},
		"no common":    {a: Regions{"north"}, b: Regions{"south"}, deny: "south"},
		"read as none": {a: RegionsOf([]string{}), allow: "north"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got := tt.a.Intersect(tt.b)
			if tt.allow != "" && !got.Allows(tt.allow) {
				t.Errorf("got %v, want %s allowed", got, tt.allow)
			}
			if tt.deny != "" && got.Allows(tt.deny) {
				t.Errorf("got %v, want %s not allowed", got, tt.deny)
			}
		})
	}
}

// The error lists every fault of the workspaces, and contains no key.
func TestValidate(t *testing.T) {
	cfg := Config{
		Routes: []Route{{Name: "r", Regions: Regions{"west"}}},
		Workspaces: []Workspace{
			{Name: "a", Keys: []string{"secret", "secret"}, Rate: -1},
			{Name: "b", Keys: []string{"secret"}, Regions: Regions{"north", "east"}},
			{Name: "b"},
		},
	}
	err := cfg.Validate(Regions{"north"})
	var got *WorkspaceError
	if !errors.As(err, &got) {
		t.Fatalf("got %v, want a *WorkspaceError", err)
	}
	want := []string{
		"workspace a: rate -1 or burst 0 is negative", "workspaces a and b hold the same key", "workspace b: region east is not known",
		"workspace b is defined twice", "route r: region west is not known",
	}
	if !slices.Equal(got.Faults, want) {
		t.Errorf("got %q, want %q", got.Faults, want)
	}
	cfg = Config{Workspaces: []Workspace{{Name: "a", Keys: []string{"k", "k"}}}}
	if err := cfg.Validate(Regions{"north"}); err != nil {
		t.Errorf("got %v for a key that one workspace holds twice", err)
	}
}
