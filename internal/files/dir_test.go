package files

import (
	"errors"
	"testing"
	"testing/fstest"

	"github.com/firlever/firlever/examples"
	"github.com/firlever/firlever/pkg/settings"
)

func TestExamplesCompile(t *testing.T) {
	type size struct{ targets, slots, connections int }
	tests := map[string]struct {
		team  string
		sizes map[string]size
	}{
		examples.MoretonBay: {"robotics", map[string]size{
			"fleetwatch": {16, 10, 330}, "runorder": {12, 7, 330}, "chartstore": {12, 3, 330},
		}},
		examples.Tidewright: {"payments", map[string]size{
			"ledger-view": {18, 3, 360}, "lodge-pay": {12, 3, 360}, "bundle-serve": {12, 3, 360},
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := compileExample(t, name)
			if got := len(s.Places()); got != 6 {
				t.Errorf("got %d places, want 6", got)
			}
			if got, want := len(s.Services()), len(tt.sizes); got != want {
				t.Errorf("got %d services, want %d", got, want)
			}
			for service, want := range tt.sizes {
				got := size{slots: want.slots, connections: want.connections}
				for _, target := range targetsOf(t, s, settings.ServiceID{Team: tt.team, Name: service}) {
					got.targets++
					if target.Slots != want.slots || target.Connections != want.connections {
						t.Errorf("got %+v, want %+v", target, want)
					}
				}
				if got != want {
					t.Errorf("%s: got %+v, want %+v", service, got, want)
				}
			}
			for _, team := range []string{settings.SystemTeam, tt.team} {
				if err := s.Authorize(team, name+"-"+team+"-write", settings.RoleWrite); err != nil {
					t.Errorf("token from the README: %v", err)
				}
				if err := s.Authorize(team, name+"-"+team+"-read", settings.RoleWrite); err == nil {
					t.Errorf("%s: a read token may write", team)
				}
			}
		})
	}
}

func compileExample(t *testing.T, name string) *settings.Snapshot {
	t.Helper()
	dir, err := examples.Dir(name)
	if err != nil {
		t.Fatal(err)
	}
	docs, err := LoadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	s, err := settings.Compile(docs)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func targetsOf(t *testing.T, s *settings.Snapshot, id settings.ServiceID) []settings.Target {
	t.Helper()
	service, ok := s.Service(id)
	if !ok {
		t.Fatalf("no service %s", id)
	}
	var all []settings.Target
	for _, place := range service.Places() {
		site, _ := service.Site(place)
		all = append(all, site.Targets...)
	}
	return all
}

func TestLoadDirRefuses(t *testing.T) {
	file := &fstest.MapFile{Data: []byte("region: a\nlimit: 1\n")}
	large := &fstest.MapFile{Data: make([]byte, settings.MaxBody+1)}
	tests := map[string]fstest.MapFS{
		"other ending": {"places/a.yaml": file, "places/b.yml": file},
		"no path":      {"places/a.yaml": file, "notes.yaml": file},
		"bad name":     {"places/A.yaml": file},
		"too large":    {"places/a.yaml": large},
	}
	for name, fsys := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := LoadDir(fsys)
			var want *NameError
			if !errors.As(err, &want) {
				t.Errorf("got %v, want *NameError", err)
			}
		})
	}
	var empty *EmptyError
	if _, err := LoadDir(fstest.MapFS{"README.md": file}); !errors.As(err, &empty) {
		t.Errorf("got %v, want *EmptyError", err)
	}
}
