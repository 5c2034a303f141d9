package settings

import (
	"errors"
	"slices"
	"strings"
	"testing"
	"time"
)

var serviceA = ServiceID{Team: "a", Name: "s"}

func testDocuments() []Document {
	return []Document{
		doc("/places/bne-north", 1, validPlace),
		doc("/places/bne-south", 1, validPlace),
		doc("/teams/a/team", 1, "share: 3\ntokens: [{name: w, role: write, hash: "+HashToken("wa")+"}, {name: r, role: read, hash: "+HashToken("ra")+"}]\n"),
		doc("/teams/b/team", 1, "tokens: [{name: w, role: write, hash: "+HashToken("wb")+"}]\n"),
		doc("/teams/system/team", 1, "tokens: [{name: w, role: write, hash: "+HashToken("ws")+"}]\n"),
		doc("/teams/a/services/s", 4, validService),
		doc("/blocks/one", 1, "blocks: [{prefix: 10.0.0.0/8, place: bne-north}, {prefix: 11.0.0.0/8, place: bne-south}]\n"),
		doc("/drains/d", 1, "instance: i-1\n"),
		doc("/teams/a/drains/t", 1, "service: s\ntarget: b\nreason: works\n"),
		doc("/teams/a/drains/p", 1, "service: s\nplace: bne-north\n"),
	}
}

func TestSnapshotQueries(t *testing.T) {
	s, err := Compile(testDocuments())
	if err != nil {
		t.Fatal(err)
	}
	v, ok := s.Service(serviceA)
	if !ok || v.Bulk() || v.Timeout() != 2*time.Second || v.Shift() != 40 {
		t.Errorf("got service %+v, want the document's", v)
	}
	if got, want := v.Places(), []string{"bne-north"}; !slices.Equal(got, want) {
		t.Errorf("got places %v, want %v", got, want)
	}
	if got, want := s.Places(), []string{"bne-north", "bne-south"}; !slices.Equal(got, want) {
		t.Errorf("got places %v, want %v", got, want)
	}
	if p, _ := s.Place("bne-south"); p.Domain != "bne-south" {
		t.Errorf("got domain %q, want the place's name", p.Domain)
	}
	if got := s.Version("/teams/a/services/s"); got != 4 {
		t.Errorf("got version %d, want 4", got)
	}
	if got := len(s.Blocks()); got != 2 {
		t.Errorf("got %d blocks, want 2", got)
	}
	drained := map[string]bool{
		"instance":       s.InstanceDrained("i-1"),
		"target":         s.TargetDrained(serviceA, "b"),
		"place":          s.PlaceDrained(serviceA, "bne-north"),
		"other instance": !s.InstanceDrained("i-2"),
		"other target":   !s.TargetDrained(serviceA, "a"),
		"other place":    !s.PlaceDrained(serviceA, "bne-south"),
		"other service":  !s.PlaceDrained(ServiceID{Team: "b", Name: "s"}, "bne-north"),
	}
	for name, ok := range drained {
		if !ok {
			t.Errorf("%s: got the wrong drain state", name)
		}
	}
}

func TestIdempotent(t *testing.T) {
	s, err := Compile(testDocuments())
	if err != nil {
		t.Fatal(err)
	}
	v, _ := s.Service(serviceA)
	tests := map[string]struct {
		method, path string
		want         bool
	}{
		"get":                     {"GET", "/x", true},
		"post":                    {"POST", "/x", false},
		"rule":                    {"POST", "/lookup", true},
		"rule below":              {"POST", "/lookup/7", true},
		"longer word":             {"POST", "/lookups", false},
		"other method":            {"PUT", "/lookup", false},
		"get of unlock":           {"GET", "/unlock/7", false},
		"longer word of unlock":   {"GET", "/unlocks", false},
		"dots":                    {"GET", "/a/../unlock", false},
		"dots with parameters":    {"GET", "/a/..;/unlock", false},
		"empty part":              {"GET", "//unlock", false},
		"escape":                  {"GET", "/%75nlock", false},
		"method in small letters": {"get", "/x", false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if got := v.Idempotent(tt.method, tt.path); got != tt.want {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}

func TestCheck(t *testing.T) {
	other := strings.NewReplacer("127.1.0.1", "127.1.0.9").Replace(validService)
	tests := map[string]struct {
		next Document
		want string // substring of the error; empty for no error
	}{
		"same again":             {doc("/teams/a/services/s", 4, validService), ""},
		"unknown place":          {doc("/teams/a/services/s", 4, strings.ReplaceAll(validService, "north", "west")), "no place"},
		"place deleted":          {Document{Path: "/places/bne-north", Deleted: true}, "/teams/a/services/s places.bne-north"},
		"target gone":            {doc("/teams/a/services/s", 4, strings.ReplaceAll(validService, "name: b", "name: c")), "no target"},
		"service deleted":        {Document{Path: "/teams/a/services/s", Deleted: true}, "no service"},
		"drain deleted":          {Document{Path: "/teams/a/drains/t", Deleted: true}, ""},
		"drain without site":     {doc("/teams/a/drains/n", 0, "service: s\nplace: bne-south\n"), "no site"},
		"block of no place":      {doc("/blocks/two", 0, "blocks: [{prefix: 12.0.0.0/8, place: x}]\n"), "no place"},
		"block of another":       {doc("/blocks/two", 0, "blocks: [{prefix: 10.0.0.0/8, place: bne-north}]\n"), "twice"},
		"another's target":       {doc("/teams/b/services/s", 0, other), "another service"},
		"another's target first": {doc("/teams/0/services/s", 0, other), "/teams/0/services/s: \"127.1.0.2:9000\" is a target"},
		"not valid":              {doc("/places/new", 0, "limit: 1\n"), "region"},
	}
	docs := testDocuments()
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			err := Check(docs, tt.next)
			if tt.want == "" && err != nil || tt.want != "" && (err == nil || !strings.Contains(err.Error(), tt.want)) {
				t.Errorf("got %v, want %q", err, tt.want)
			}
		})
	}
}

func TestCheckIgnoresExistingFaults(t *testing.T) {
	docs := append(testDocuments(), doc("/drains/lost", 1, "place: gone\n"), doc("/teams/b/services/s", 1, "class: x\n"))
	if err := Check(docs, doc("/places/new", 0, validPlace)); err != nil {
		t.Errorf("got %v, want no fault of another document", err)
	}
}

func TestAdvanceKeepsDocumentsInForce(t *testing.T) {
	first, err := Compile(testDocuments())
	if err != nil {
		t.Fatal(err)
	}
	two := validService + "  bne-west:\n    limit: 1\n    targets: [{name: w, address: \"127.1.1.1:9000\", slots: 1, connections: 1}]\n"
	tests := map[string]struct {
		next    []Document
		faults  int
		version uint64
		places  []string
	}{
		"older":      {[]Document{doc("/teams/a/services/s", 3, two)}, 0, 4, []string{"bne-north"}},
		"not valid":  {[]Document{doc("/teams/a/services/s", 5, "class: x\n")}, 4, 4, []string{"bne-north"}},
		"early":      {[]Document{doc("/teams/a/services/s", 5, two)}, 1, 5, []string{"bne-north"}},
		"place lost": {[]Document{{Path: "/places/bne-north", Version: 2, Deleted: true}}, 3, 4, nil},
		"both":       {[]Document{doc("/teams/a/services/s", 5, two), doc("/places/bne-west", 1, validPlace)}, 0, 5, []string{"bne-north", "bne-west"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s, faults := Advance(first, append(testDocuments(), tt.next...))
			v, ok := s.Service(serviceA)
			if !ok {
				t.Fatal("got no service, want it kept")
			}
			if len(faults) != tt.faults || s.Version("/teams/a/services/s") != tt.version || !slices.Equal(v.Places(), tt.places) {
				t.Errorf("got %v, version %d, places %v; want %+v", faults, s.Version("/teams/a/services/s"), v.Places(), tt)
			}
		})
	}
}

func TestAdvanceReportsChangedBlocks(t *testing.T) {
	first, _ := CompileLenient(append(testDocuments(), doc("/blocks/two", 1, "blocks: [{prefix: 10.0.0.0/8, place: bne-south}, {prefix: 12.0.0.0/8, place: new}]\n")))
	if got := len(first.Blocks()); got != 2 {
		t.Fatalf("got %d blocks, want 2: the prefix of the first document and no unknown place", got)
	}
	second, _ := Advance(first, []Document{doc("/places/new", 1, validPlace)})
	old, next := first.BlockDocuments(), second.BlockDocuments()
	if !next[0].Same(old[0]) || next[1].Same(old[1]) || len(next[1].Blocks) != 1 {
		t.Errorf("got %+v, want the second document alone changed", next)
	}
}

func TestAuthorize(t *testing.T) {
	s, err := Compile(testDocuments())
	if err != nil {
		t.Fatal(err)
	}
	unknown := func(err error) bool { var e *UnknownTokenError; return errors.As(err, &e) }
	role := func(err error) bool { var e *RoleError; return errors.As(err, &e) }
	granted := func(err error) bool { return err == nil }
	tests := map[string]struct {
		path, bearer, role string
		want               func(error) bool
	}{
		"write":                {"/teams/a/services/s", "wa", RoleWrite, granted},
		"write implies read":   {"/teams/a/services/s", "wa", RoleRead, granted},
		"read":                 {"/teams/a/services/s", "ra", RoleRead, granted},
		"read for write":       {"/teams/a/services/s", "ra", RoleWrite, role},
		"unknown role":         {"/teams/a/services/s", "wa", "all", role},
		"other team":           {"/teams/a/services/s", "wb", RoleRead, unknown},
		"no token":             {"/teams/a/services/s", "", RoleRead, unknown},
		"no team":              {"/teams/c/services/s", "wa", RoleRead, unknown},
		"system's place":       {"/places/bne-north", "ws", RoleWrite, granted},
		"team on a place":      {"/places/bne-north", "wa", RoleRead, unknown},
		"team reads itself":    {"/teams/a/team", "ra", RoleRead, granted},
		"team writes itself":   {"/teams/a/team", "wa", RoleWrite, role},
		"system writes a team": {"/teams/a/team", "ws", RoleWrite, granted},
		"other team's own":     {"/teams/a/team", "wb", RoleWrite, unknown},
		"system and a service": {"/teams/a/services/s", "ws", RoleRead, unknown},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			p, err := ParsePath(tt.path)
			if err != nil {
				t.Fatal(err)
			}
			if err := s.AuthorizePath(p, tt.bearer, tt.role); !tt.want(err) {
				t.Errorf("got %v", err)
			}
		})
	}
}
