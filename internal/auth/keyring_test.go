package auth

import (
	"fmt"
	"testing"

	"github.com/firlever/firlever/internal/routes"
)

func TestOwner(t *testing.T) {
	k := NewKeyring(&routes.Config{Workspaces: []routes.Workspace{
		{Name: "a", Keys: []string{"k1", "k2"}}, {Name: "b", Keys: []string{"k3"}}, {Name: "none"},
	}})
	tests := map[string]struct{ key, want string }{
		"first":       {key: "k1", want: "a"},
		"second":      {key: "k2", want: "a"},
		"another's":   {key: "k3", want: "b"},
		"unknown":     {key: "k4"},
		"part":        {key: "k"},
		"longer":      {key: "k11"},
		"none":        {key: ""},
		"other case":  {key: "K1"},
		"with spaces": {key: " k1"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got := ""
			if w := k.Owner(tt.key); w != nil {
				got = w.Name
			}
			if got != tt.want {
				t.Errorf("got %q, want %q", got, tt.want)
			}
		})
	}
	if !k.KeyRequired() {
		t.Error("got no key needed with workspaces")
	}
	if NewKeyring(&routes.Config{}).KeyRequired() {
		t.Error("got a key needed without workspaces")
	}
}

// A lookup takes as long among 5 keys as among 50,000.
func BenchmarkOwner(b *testing.B) {
	for _, n := range []int{5, 50_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			w := routes.Workspace{Name: "a"}
			for i := range n {
				w.Keys = append(w.Keys, fmt.Sprintf("key-%016d", i))
			}
			k := NewKeyring(&routes.Config{Workspaces: []routes.Workspace{w}})
			for b.Loop() {
				k.Owner("key-0000000000000003")
			}
		})
	}
}
