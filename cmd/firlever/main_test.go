package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/spf13/cobra"

	"github.com/firlever/firlever/internal/docstore"
	"github.com/firlever/firlever/internal/emulator/inproc"
	"github.com/firlever/firlever/internal/emulator/store"
	"github.com/firlever/firlever/internal/operator"
	"github.com/firlever/firlever/pkg/settings"
)

const (
	placeDocument      = "region: hobart\nlimit: 10\n"
	systemTeamDocument = "tokens:\n  - {name: w, role: write, hash: HASH}\n"
	teamDocument       = "tokens:\n  - {name: w, role: write, hash: HASH}\n"
	serviceDocument    = `class: interactive
timeout: 2s
shift: 5
places:
  hob-a:
    limit: 2
    targets:
      - {name: t1, address: "10.1.0.1:9000", slots: 2, connections: 4}
`
)

// runCommand runs the root command with args, and returns what it printed and the exit code.
func runCommand(args ...string) (stdout, stderr string, code int) {
	root := newRoot()
	var out, errOut bytes.Buffer
	root.SetOut(&out)
	root.SetErr(&errOut)
	root.SetArgs(args)
	err := root.ExecuteContext(context.Background())
	if err != nil {
		errOut.WriteString(formatError(err))
	}
	return out.String(), errOut.String(), exitCode(err)
}

// startTestInstance serves the operators' API over an emulated store, sets the environment
// variables with its address and token, and returns the store.
func startTestInstance(t *testing.T) *inproc.Store {
	t.Helper()
	emulatedStore, err := inproc.New(store.Defaults())
	if err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	snapshot, _ := settings.CompileLenient(nil)
	var docs []settings.Document
	status := func() operator.Status {
		mu.Lock()
		defer mu.Unlock()
		s := operator.Status{Instance: "i1", Place: "hob-a", Ready: true, DocumentsHash: "abcd", Documents: operator.Versions(docs)}
		s.Services = []operator.Service{{Service: "payments/ledger-view", Place: "hob-a", Load: operator.Load{Limit: 2, Headroom: 1}}}
		s.Targets = []operator.Target{{Name: "t1", Owner: "i1", Service: "payments/ledger-view"}}
		for _, d := range snapshot.Drains() {
			s.Drains = append(s.Drains, operator.Drain{Path: d.Path, Place: d.Drain.Place, Remaining: 3, Reason: d.Drain.Reason})
		}
		return s
	}
	server, err := operator.New(operator.Config{
		Store:     emulatedStore,
		Snapshot:  func() *settings.Snapshot { mu.Lock(); defer mu.Unlock(); return snapshot },
		Documents: func() []settings.Document { mu.Lock(); defer mu.Unlock(); return docs },
		Apply: func(changed []settings.Document) {
			mu.Lock()
			defer mu.Unlock()
			snapshot, _ = settings.Advance(snapshot, changed)
			docs = append(docs, changed...)
		},
		Status: status,
		Fleet: func(context.Context) []operator.Report {
			s := status()
			return []operator.Report{{Instance: "i1", Status: &s}, {Instance: "i2", Error: "no answer"}}
		},
		Metrics: http.NotFoundHandler(), Ready: func() error { return nil }, SettingsComplete: func() error { return nil },
		Log: log.New(io.Discard), Bootstrap: settings.HashToken("first"),
	})
	if err != nil {
		t.Fatal(err)
	}
	httpServer := httptest.NewServer(server)
	t.Cleanup(httpServer.Close)
	t.Setenv("FIRLEVER_ADDRESS", httpServer.Listener.Addr().String())
	t.Setenv("FIRLEVER_TOKEN", "first")
	return emulatedStore
}

func writeFile(t *testing.T, body string) string {
	t.Helper()
	name := filepath.Join(t.TempDir(), "document.yaml")
	if err := os.WriteFile(name, []byte(strings.ReplaceAll(body, "HASH", settings.HashToken("secret"))), 0o600); err != nil {
		t.Fatal(err)
	}
	return name
}

// step is one command of an operator's session.
type step struct {
	args []string
	code int
	want string // substring of what is printed
}

func runSteps(t *testing.T, list []step) {
	t.Helper()
	for _, s := range list {
		stdout, stderr, code := runCommand(s.args...)
		if code != s.code || !strings.Contains(stdout+stderr, s.want) {
			t.Errorf("%v: got code %d %q %q, want %d with %q", s.args, code, stdout, stderr, s.code, s.want)
		}
	}
}

func TestSession(t *testing.T) {
	startTestInstance(t)
	runSteps(t, []step{
		{[]string{"config", "put", "/places/hob-a", writeFile(t, placeDocument)}, 0, "version 1"},
		{[]string{"config", "put", "/teams/payments/services/ledger-view", writeFile(t, serviceDocument)}, 0, "version 1"},
		{[]string{"config", "get", "/places/hob-a"}, 0, "limit: 10"},
		{[]string{"config", "get", "/places/hob-a", "--here"}, 0, "version 1"},
		{[]string{"config", "get", "/places/hob-b"}, 1, "not-found"},
		{[]string{"config", "put", "/places/hob-a", writeFile(t, placeDocument)}, 3, "# version 1\nregion"},
		{[]string{"config", "put", "/places/hob-a", writeFile(t, "limit: 0\nfoo: 1\n"), "--if-version", "1"}, 2, "foo"},
		{[]string{"config", "list", "/places/"}, 0, "/places/hob-a  1"},
		{[]string{"config", "status", "/places/hob-a"}, 0, "hob-a  abcd"},
		{[]string{"drain", "place", "hob-a", "--reason", "new: \"switches\""}, 0, "/drains/place-hob-a at version 1"},
		{[]string{"status", "--targets"}, 0, "place hob-a"},
		{[]string{"config", "get", "/drains/place-hob-a"}, 0, `new: \"switches\"`},
		{[]string{"undrain", "place", "hob-a"}, 0, "no longer drained"},
		{[]string{"undrain", "place", "hob-a"}, 0, "not drained"},
		{[]string{"drain", "place", "hob-a"}, 0, "version 3"},
		{[]string{"drain", "place", "hob-z"}, 2, "no place"},
		{[]string{"drain", "target", "payments/ledger-view", "t1"}, 0, "/teams/payments/drains/target-ledger-view-t1-"},
		{[]string{"drain", "target", "payments/ledger-view", "t9"}, 2, "no target"},
		{[]string{"drain", "place", "hob-a", "--service", "payments/ledger-view"}, 0, "/teams/payments/drains/place-hob-a-ledger-view-"},
		{[]string{"drain", "instance", "Hob.1:7"}, 0, "/drains/instance--ob-1-7-"},
		{[]string{"drain", "instance", "a/b"}, 2, "instance"},
		{[]string{"config", "delete", "/places/hob-a", "--if-version", "1"}, 2, "no place"},
		{[]string{"config", "put", "/teams/system/team", writeFile(t, systemTeamDocument)}, 0, "version 1"},
		{[]string{"config", "list"}, 2, "unauthorized"},
		{[]string{"config", "list", "--token", "secret", "--json"}, 0, `"path": "/places/hob-a"`},
		{[]string{"status", "--token", "secret", "--json"}, 0, `"instance": "i2"`},
	})
}

// platformSettings is the content of a settings file of the platform.
const platformSettings = `
node: a-1
role: edge
zone: hob-a
region: hobart
zones: {hob-a: hobart}
listen: {front: "127.0.0.1:1", ready: "127.0.0.1:2", directory: "127.0.0.1:3"}
bounds: {grace: 6s}
platform: {address: "127.0.0.1:4"}
`

func TestOffline(t *testing.T) {
	t.Setenv("FIRLEVER_ADDRESS", "127.0.0.1:1")
	runSteps(t, []step{
		{[]string{"config", "check", "../../examples/tidewright"}, 0, "no fault"},
		{[]string{"config", "check", "../../examples/moreton-bay"}, 0, "no fault"},
		{[]string{"config", "check", "../../examples/tidewright/places/hob-a.yaml"}, 0, "1 documents"},
		{[]string{"config", "check", writeFile(t, "limit: 0\n"), "--path", "/places/a"}, 2, "2 faults"},
		{[]string{"config", "check", writeFile(t, placeDocument)}, 2, "no document is kept"},
		{[]string{"config", "check", "none"}, 2, "none"},
		{[]string{"config", "check"}, 2, "wants 1 to 1 arguments, got 0"},
		{[]string{"config", "chek", "x"}, 2, "no command chek"},
		{[]string{"nothing"}, 2, "no command nothing"},
		{[]string{"status", "--nothing"}, 2, "unknown flag"},
		{[]string{"config", "get", "places"}, 2, "path"},
		{[]string{"status"}, 5, "no answer"},
		{[]string{"drain", "place", "hob-a"}, 5, "no answer"},
		{[]string{"config", "put", "/places/hob-a", writeFile(t, placeDocument)}, 5, "no answer"},
		{[]string{"lookup", "payments"}, 2, "team/name"},
		{[]string{"lookup", "payments/x", "--entries", "127.0.0.1:1"}, 5, "look up"},
		{[]string{"lookup", "payments/x", "--entries", "here"}, 2, "IP:port"},
		{[]string{"load", "payments/x", "--rate", "0"}, 2, "rate"},
		{[]string{"load", "payments/x", "--entries", "127.0.0.1:1", "--for", "100ms", "--json"}, 0, `"answered":0`},
		{[]string{"platform", "--writes", "0"}, 2, "writes"},
		{[]string{"edge", "--settings", writeFile(t, platformSettings), "--check"}, 0, "valid; not used: role"},
		{[]string{"edge", "--settings", writeFile(t, platformSettings), "--check", "--byte-cost", "-1"}, 2, "byte cost is negative"},
		{[]string{"edge", "--settings", writeFile(t, "node: a\n"), "--check"}, 2, "region is missing; zone is missing"},
		{[]string{"edge", "--settings", "none", "--check"}, 2, "no such file"},
		{[]string{"version"}, 0, "firlever "},
		{[]string{"--help"}, 0, "Exit codes"},
	})
}

func TestVariables(t *testing.T) {
	t.Setenv("FIRLEVER_TIMEOUT", "soon")
	t.Setenv("FIRLEVER_JSON", "perhaps")
	runSteps(t, []step{{[]string{"status"}, 2, `FIRLEVER_JSON="perhaps"`}, {[]string{"status"}, 2, `FIRLEVER_TIMEOUT="soon"`}})
	runSteps(t, []step{{[]string{"status", "--timeout", "1s", "--json=false", "--address", "127.0.0.1:1"}, 5, "no answer"}})
}

// TestAnswerLost checks the outcome and exit code of a write when the connection is closed after
// the write was made and before its answer arrives. The write is made only once.
func TestAnswerLost(t *testing.T) {
	emulatedStore := startTestInstance(t)
	tests := map[string]struct {
		lost      int  // number of lost answers
		busyRetry bool // the instance rejects the second attempt as busy
		code      int
		want      string
	}{
		"once":           {1, false, exitOK, "is at version 1"},
		"twice":          {2, false, exitUnknown, "not yet known whether write "},
		"once-then-busy": {1, true, exitUnknown, "not yet known whether write "},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			path := "/places/" + name
			target := os.Getenv("FIRLEVER_ADDRESS")
			var toLose atomic.Int64 // answers that remain to be lost
			toLose.Store(int64(tt.lost))
			proxy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if toLose.Load() == 0 && tt.busyRetry {
					w.WriteHeader(http.StatusServiceUnavailable)
					_, _ = io.WriteString(w, `{"code":"busy","reason":"too much"}`)
					return
				}
				r.URL.Scheme, r.URL.Host, r.RequestURI = "http", target, ""
				resp, err := http.DefaultTransport.RoundTrip(r)
				if err != nil || toLose.Load() > 0 {
					toLose.Add(-1)
					panic(http.ErrAbortHandler)
				}
				defer resp.Body.Close()
				w.WriteHeader(resp.StatusCode)
				_, _ = io.Copy(w, resp.Body)
			}))
			defer proxy.Close()
			runSteps(t, []step{{[]string{"config", "put", path, writeFile(t, placeDocument), "--address", proxy.Listener.Addr().String()}, tt.code, tt.want}})
			if e, err := emulatedStore.Get(t.Context(), path); err != nil || e.Version != 1 {
				t.Errorf("got version %d %v, want 1", e.Version, err)
			}
		})
	}
}

func TestExitCodes(t *testing.T) {
	problem := func(c operator.Code) error { return &operator.Problem{Code: c} }
	tests := map[string]struct {
		err  error
		want int
	}{
		"done":        {nil, 0},
		"other":       {io.EOF, 1},
		"conflict":    {problem(operator.CodeConflict), 3},
		"forbidden":   {problem(operator.CodeForbidden), 2},
		"faults":      {problem(operator.CodeFaults), 2},
		"unavailable": {fmt.Errorf("x: %w", problem(operator.CodeUnavailable)), 5},
		"platform":    {&docstore.UnavailableError{}, 1},
		"unknown":     {&unknownOutcomeError{}, 4},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if got := exitCode(tt.err); got != tt.want {
				t.Errorf("got %d, want %d", got, tt.want)
			}
		})
	}
}

func TestDrainNamesDiffer(t *testing.T) {
	long := strings.Repeat("x", settings.MaxName)
	tests := map[string][2][]string{
		"parts":  {{"a-b", "c"}, {"a", "b-c"}},
		"case":   {{"A"}, {"B"}},
		"long":   {{long + "1"}, {long + "2"}},
		"spaced": {{"a.b"}, {"a-b"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			a, b := drainName("target", tt[0]...), drainName("target", tt[1]...)
			if a == b || !settings.ValidName(a) || !settings.ValidName(b) {
				t.Errorf("got %s and %s, want two names", a, b)
			}
		})
	}
}

// TestHelp checks that each command has a summary, and each that can be run but version an example.
func TestHelp(t *testing.T) {
	var walk func(cmd *cobra.Command)
	walk = func(cmd *cobra.Command) {
		if cmd.Short == "" || cmd.Runnable() && !cmd.HasSubCommands() && cmd.Example == "" && cmd.Name() != "version" {
			t.Errorf("%s: got no example or summary", cmd.CommandPath())
		}
		for _, sub := range cmd.Commands() {
			walk(sub)
		}
	}
	walk(newRoot())
}
