package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http/httptest"
	"reflect"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/firlever/firlever/internal/docstore"
	"github.com/firlever/firlever/internal/emulator/inproc"
	"github.com/firlever/firlever/internal/emulator/store"
	"github.com/firlever/firlever/pkg/settings"
)

func (b *fixture) client(t *testing.T, token string) *Client {
	server := httptest.NewServer(b.server)
	t.Cleanup(server.Close)
	c := NewClient(server.Listener.Addr().String(), token)
	t.Cleanup(c.Close)
	return c
}

func TestRaceOfOperators(t *testing.T) {
	const operators, rounds = 4, 5
	b := newFilledFixture(t)
	var accepted, conflicts int
	var mu sync.Mutex
	var group sync.WaitGroup
	for i := range operators {
		c := b.client(t, "payments-write")
		group.Go(func() {
			for n := range rounds {
				doc, err := c.Get(t.Context(), servicePath, false)
				if err != nil {
					t.Error(err)
					return
				}
				_, err = c.Put(t.Context(), doc, fmt.Sprintf("w-%d-%d", i, n), true)
				var p *Problem
				mu.Lock()
				switch {
				case err == nil:
					accepted++
				case errors.As(err, &p) && p.Code == CodeConflict && p.Version > doc.Version && p.Body == serviceBody:
					conflicts++
				default:
					t.Errorf("got %v, want a conflict with the newer version and body", err)
				}
				mu.Unlock()
			}
		})
	}
	group.Wait()
	doc, err := b.client(t, "payments-read").Get(t.Context(), servicePath, false)
	if err != nil || doc.Version != uint64(1+accepted) || accepted+conflicts != operators*rounds {
		t.Errorf("got version %d %v, %d accepted, %d conflicts", doc.Version, err, accepted, conflicts)
	}
	if got := b.inForce().Version(servicePath); got != doc.Version {
		t.Errorf("got version %d in force, want %d", got, doc.Version)
	}
}

func TestLostAnswers(t *testing.T) {
	outage := func() store.Faults { return store.Faults{Refuse: true, Until: time.Now().Add(time.Hour)} }
	tests := map[string]struct {
		faults  func() store.Faults
		write   string // write ID sent by the operator
		first   bool
		want    string // outcome
		version uint64
		code    Code
	}{
		"lost once":              {func() store.Faults { return store.Faults{LoseNext: 1} }, "w", true, "accepted", 2, ""},
		"lost each time":         {func() store.Faults { return store.Faults{LoseShare: 1} }, "w", true, "accepted", 2, ""},
		"slow":                   {func() store.Faults { return store.Faults{Delay: time.Minute} }, "w", true, "refused", 0, CodeUnavailable},
		"outage":                 {outage, "w", true, "refused", 0, CodeUnavailable},
		"outage, not named":      {outage, "", false, "refused", 0, CodeUnavailable},
		"outage, maybe a repeat": {outage, "w", false, "unknown", 0, ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newFilledFixture(t)
				b.store.SetFaults(tt.faults())
				header := []string{"If-Match", `"1"`}
				if tt.write != "" {
					header = append(header, HeaderWrite, tt.write)
				}
				if tt.first {
					header = append(header, HeaderTry, TryFirst)
				}
				w := b.do("PUT", "/v1/documents"+servicePath, "payments-write", serviceBody, header...)
				var got struct {
					Outcome string
					Write   string
					Version uint64
					Code    Code
				}
				if err := json.Unmarshal(w.Body.Bytes(), &got); err != nil {
					t.Fatal(err)
				}
				if got.Outcome != tt.want || got.Version != tt.version || got.Code != tt.code || got.Write == "" {
					t.Errorf("got %+v, want %+v", got, tt)
				}
				if got := b.inForce().Version(servicePath); tt.want == "accepted" && got != tt.version {
					t.Errorf("got version %d in force, want %d", got, tt.version)
				}
			})
		})
	}
}

// TestAskLater makes a change whose outcome is unknown, and queries the outcome and sends
// the change again once the platform is reachable.
func TestAskLater(t *testing.T) {
	tests := map[string]struct {
		lose  int    // lost answers before the outage
		other bool   // another operator's write precedes the query
		want  string // outcome of the query, which only reads
		again string // outcome of the change when it is sent again
	}{
		"landed":                 {lose: 1, want: "accepted", again: "accepted"},
		"landed, then overtaken": {lose: 1, other: true, want: "accepted", again: "accepted"},
		"not landed":             {want: "unknown", again: "accepted"},
		"not landed, overtaken":  {other: true, want: "refused", again: "refused"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newFilledFixture(t)
				store := &unreachableStore{Store: b.store, lose: tt.lose}
				b.server.cfg.Store = store
				putChange := func() Change {
					w := b.do("PUT", "/v1/documents"+servicePath, "payments-write", serviceBody, "If-Match", `"1"`, HeaderWrite, "w")
					return outcome(t, w)
				}
				if got := putChange(); got.Outcome != "unknown" {
					t.Fatalf("got %+v, want unknown", got)
				}
				store.up = true
				if tt.other {
					e, _ := b.store.Get(t.Context(), servicePath)
					_, _ = docstore.PutDocument(t.Context(), b.store, servicePath, e.Version, []byte(serviceBody), "other")
				}
				w := b.do("GET", "/v1/writes/w?version=1&path="+servicePath, "payments-read", "")
				if got := outcome(t, w); got.Outcome != tt.want {
					t.Errorf("got %+v, want %s", got, tt.want)
				}
				if got := putChange(); got.Outcome != tt.again {
					t.Errorf("got %+v when sent again, want %s", got, tt.again)
				}
			})
		})
	}
}

func outcome(t *testing.T, w *httptest.ResponseRecorder) Change {
	t.Helper()
	var c Change
	if err := json.Unmarshal(w.Body.Bytes(), &c); err != nil {
		t.Fatal(err)
	}
	return c
}

// unreachableStore is a store that gives no answer to writes until up is set. The first lose
// writes are applied nevertheless; reads fail after these.
type unreachableStore struct {
	*inproc.Store
	lose int
	up   bool
}

func (f *unreachableStore) Get(ctx context.Context, path string) (docstore.Entry, error) {
	if !f.up && f.lose == 0 {
		return docstore.Entry{}, &docstore.UnavailableError{Call: "Get", Err: context.DeadlineExceeded}
	}
	return f.Store.Get(ctx, path)
}

func (f *unreachableStore) Swap(ctx context.Context, path string, version uint64, value []byte) (docstore.Entry, error) {
	if f.up {
		return f.Store.Swap(ctx, path, version, value)
	}
	if f.lose > 0 {
		f.lose--
		_, _ = f.Store.Swap(ctx, path, version, value)
	}
	return docstore.Entry{}, &errUnreachable
}

var errUnreachable = docstore.UncertainError{Path: servicePath, Err: net.ErrClosed}

func TestFaultsListed(t *testing.T) {
	b := newFilledFixture(t)
	invalidBody := "class: slow\ntimeout: 0s\nshift: 0\nplaces: {hob-z: {limit: 3, targets: []}}\n"
	_, err := b.client(t, "payments-write").Put(t.Context(), settings.Document{Path: servicePath, Version: 1, Body: []byte(invalidBody)}, "w", true)
	var p *Problem
	if !errors.As(err, &p) || p.Code != CodeFaults || p.Outcome != "refused" {
		t.Fatalf("got %v, want faults", err)
	}
	for _, field := range []string{"class", "timeout", "shift", "places.hob-z.targets"} {
		if !strings.Contains(err.Error(), field+":") {
			t.Errorf("got %v, want a fault of %s", err, field)
		}
	}
}

func TestListAndStatusByTeam(t *testing.T) {
	b := newFilledFixture(t)
	tests := map[string]struct {
		token    string
		list     []string
		services int
		versions int
	}{
		"team":   {"payments-read", []string{servicePath, "/teams/payments/team"}, 1, 1},
		"other":  {"robotics-read", []string{"/teams/robotics/team"}, 1, 0},
		"system": {"system-read", []string{placePath, "/teams/payments/team", "/teams/robotics/team", systemPath}, 2, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := b.client(t, tt.token)
			for _, inForce := range []bool{false, true} {
				list, err := c.List(t.Context(), "/", inForce)
				var got []string
				for _, v := range list {
					got = append(got, v.Path)
				}
				if err != nil || !reflect.DeepEqual(got, tt.list) {
					t.Errorf("got %v %v, want %v", got, err, tt.list)
				}
			}
			status, err := c.Status(t.Context())
			if err != nil || len(status.Services) != tt.services || len(status.Targets) != tt.services {
				t.Errorf("got %+v %v, want %d services", status, err, tt.services)
			}
			reports, err := c.Fleet(t.Context(), []string{servicePath})
			if err != nil || len(reports) != 2 || len(reports[0].Status.Documents) != tt.versions || reports[1].Error == "" {
				t.Errorf("got %+v %v, want %d versions", reports, err, tt.versions)
			}
		})
	}
}

func TestDelete(t *testing.T) {
	b := newFilledFixture(t)
	c := b.client(t, "payments-write")
	change, err := c.Put(t.Context(), settings.Document{Path: servicePath, Version: 1, Deleted: true}, "w", true)
	if err != nil || change.Version != 2 {
		t.Fatalf("got %+v %v, want version 2", change, err)
	}
	_, err = c.Get(t.Context(), servicePath, false)
	var p *Problem
	if !errors.As(err, &p) || p.Code != CodeNotFound || p.Version != 2 || !p.Deleted {
		t.Errorf("got %v, want deleted at version 2", err)
	}
	if _, ok := b.inForce().Service(settings.ServiceID{Team: "payments", Name: "ledger-view"}); ok {
		t.Error("got the service still in force")
	}
}

func TestGather(t *testing.T) {
	b := newFilledFixture(t)
	server := httptest.NewServer(b.server)
	defer server.Close()
	stopped := httptest.NewServer(b.server)
	stopped.Close()
	gather := Gather(func(context.Context) []docstore.Instance {
		return []docstore.Instance{
			{ID: "b", OperatorsAddress: stopped.Listener.Addr().String()},
			{ID: "a", OperatorsAddress: server.Listener.Addr().String()},
		}
	})
	got := gather(withBearer(t.Context(), "payments-read"))
	if len(got) != 2 || got[0].Status == nil || len(got[0].Status.Services) != 1 || got[1].Error == "" {
		t.Errorf("got %+v, want the status of a as visible to its team, and the error of b", got)
	}
}

func FuzzRequest(f *testing.F) {
	f.Add("teams/payments/team", `"7"`, "prefix=/teams&source=instance&path=/places/a", "w-1", "Bearer x")
	f.Add("//", `""`, "%zz", "", "bearer  ")
	f.Fuzz(func(t *testing.T, path, match, query, write, bearer string) {
		if p, err := parseDocumentPath(path); err == nil && p.String() != "/"+path {
			t.Errorf("got %s from %q", p, path)
		}
		if v, err := ParseVersion([]string{match}); err == nil && FormatVersion(v) != match {
			t.Errorf("got %d from %q", v, match)
		}
		if _, err := parseBearer([]string{bearer}); err != nil {
			wantProblem(t, err)
		}
		if err := checkWriteID(write); err != nil {
			wantProblem(t, err)
		}
		r := httptest.NewRequest("GET", "/v1/documents", nil)
		r.URL.RawQuery = query
		values := r.URL.Query()
		if _, err := parsePrefix(values); err != nil {
			wantProblem(t, err)
		}
		if _, err := parsePaths(values); err != nil {
			wantProblem(t, err)
		}
		if _, err := parseSource(values); err != nil {
			wantProblem(t, err)
		}
	})
}

func wantProblem(t *testing.T, err error) {
	t.Helper()
	var p *Problem
	if !errors.As(err, &p) || statuses[p.Code] == 0 {
		t.Errorf("got %T, want a *Problem with a status", err)
	}
}
