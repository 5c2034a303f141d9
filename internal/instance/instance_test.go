package instance

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/firlever/firlever/internal/core"
	"github.com/firlever/firlever/internal/docstore"
	"github.com/firlever/firlever/internal/emulator/inproc"
	"github.com/firlever/firlever/internal/emulator/store"
	"github.com/firlever/firlever/internal/emulator/target"
	"github.com/firlever/firlever/internal/invariant"
	"github.com/firlever/firlever/pkg/caller"
)

const waitTimeout = 20 * time.Second // longest wait of a test for a state

// fleet is a platform store, a target of one place, and instances, over loopback.
type fleet struct {
	t       *testing.T
	store   docstore.Store
	journal *target.Journal
	checks  *invariant.Counter
	list    []*Instance
}

func newFleet(t *testing.T, n int) *fleet {
	t.Helper()
	checks := invariant.New(func(name invariant.Name, detail string) { t.Errorf("invariant %s: %s", name, detail) })
	local, err := inproc.New(store.Defaults())
	if err != nil {
		t.Fatal(err)
	}
	f := &fleet{t: t, store: local, checks: checks}
	f.journal = target.NewJournal(checks, time.Now())
	f.configure(f.target("one"))
	for i := range n {
		f.start(fmt.Sprintf("i%d", i))
	}
	return f
}

// target starts an emulated target and returns its address.
func (f *fleet) target(name string) string {
	f.t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	cfg := target.Config{Service: "shop/orders", Place: "east", Name: name, Slots: 4}
	tg, err := target.Start(ln, cfg, f.journal)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { tg.Close() })
	return tg.Addr()
}

func (f *fleet) configure(address string) {
	f.put("/places/east", "region: coast\ndomain: east\nlimit: 4\n")
	f.put("/blocks/all", "blocks:\n  - {prefix: 127.0.0.0/8, place: east}\n")
	f.put("/teams/shop/services/orders", "class: interactive\ntimeout: 2s\nshift: 10\nplaces:\n  east:\n    limit: 4\n"+
		"    targets:\n      - {name: one, address: \""+address+"\", slots: 4, connections: 100}\n")
}

func (f *fleet) put(path, body string) {
	f.t.Helper()
	if _, err := docstore.PutDocument(context.Background(), f.store, path, 0, []byte(body), "setup"); err != nil {
		f.t.Fatal(err)
	}
}

func (f *fleet) start(id string) *Instance {
	f.t.Helper()
	cfg := Config{
		ID: id, Callers: "127.0.0.1:0", Peers: "127.0.0.1:0", Operators: "127.0.0.1:0",
		Place: "east", Domain: "east", Region: "coast", Store: f.store, Checks: f.checks, Linger: time.Millisecond,
	}
	for _, other := range f.list {
		cfg.Join = append(cfg.Join, other.Peers())
	}
	in, err := New(cfg)
	if err != nil {
		f.t.Fatal(err)
	}
	in.Start()
	f.list = append(f.list, in)
	return in
}

func (f *fleet) client() *caller.Client {
	f.t.Helper()
	var entries []string
	for _, in := range f.list {
		entries = append(entries, in.Callers())
	}
	c, err := caller.New(caller.Config{Entries: entries})
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { c.Close() })
	return c
}

// doUntilAnswered repeats a request until it is answered: at first no configuration may be in force.
func (f *fleet) doUntilAnswered(c *caller.Client, r *caller.Request) string {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	for {
		resp, err := c.Do(ctx, "shop/orders", r)
		if err == nil {
			defer resp.Body.Close()
			b, err := io.ReadAll(resp.Body)
			if err != nil {
				f.t.Fatal(err)
			}
			return string(b)
		}
		if ctx.Err() != nil {
			f.t.Fatalf("no answer: %v", err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func TestRequestsAreServed(t *testing.T) {
	tests := map[string]caller.Request{
		"idempotent":     {Method: http.MethodGet, Path: "/status", Idempotent: true},
		"non-idempotent": {Method: http.MethodPost, Path: "/dispatch"},
	}
	for name, r := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 2)
			defer func() {
				for _, in := range f.list {
					in.Kill()
				}
			}()
			if got := f.doUntilAnswered(f.client(), &r); got == "" {
				t.Errorf("got an empty answer, want the target's")
			}
			if got := f.journal.Usage(target.Scope{Place: "east"}).Runs; got != 1 {
				t.Errorf("got %d runs, want 1", got)
			}
		})
	}
}

func TestAdvertisedAddresses(t *testing.T) {
	tests := map[string]struct {
		change func(*Config)
		faults int
		want   string // peers' address in lists of instances; empty for the listener's
	}{
		"none":            {func(*Config) {}, 0, ""},
		"peers":           {func(c *Config) { c.AdvertisePeers = "127.0.0.9:7200" }, 0, "127.0.0.9:7200"},
		"no port":         {func(c *Config) { c.AdvertisePeers = "127.0.0.9:0" }, 1, ""},
		"no IP of anyone": {func(c *Config) { c.AdvertiseCallers = "0.0.0.0:7100" }, 1, ""},
		"all at fault":    {func(c *Config) { c.AdvertisePeers, c.AdvertiseCallers, c.Source = "a", "b", "c" }, 3, ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			cfg := Config{
				ID: "i", Place: "p", Region: "r", Callers: "127.0.0.1:0", Peers: "127.0.0.1:0", Operators: "127.0.0.1:0",
				Store: newFleet(t, 0).store,
			}
			tt.change(&cfg)
			in, err := New(cfg)
			var fault *ConfigError
			if errors.As(err, &fault) || tt.faults > 0 {
				if fault == nil || len(fault.Faults) != tt.faults {
					t.Errorf("got %v, want %d faults", err, tt.faults)
				}
				return
			}
			in.Start()
			defer in.Kill()
			if got, want := in.self().PeerAddress, firstNonEmpty(tt.want, in.Peers()); got != want {
				t.Errorf("got %s, want %s", got, want)
			}
		})
	}
}

func firstNonEmpty(a, b string) string {
	if a != "" {
		return a
	}
	return b
}

func TestStopCompletesRequests(t *testing.T) {
	f := newFleet(t, 2)
	defer f.list[0].Kill()
	c := f.client()
	f.doUntilAnswered(c, &caller.Request{Method: http.MethodGet, Path: "/", Idempotent: true})
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	if err := f.list[1].Stop(ctx); err != nil {
		t.Fatalf("got %v, want a clean stop", err)
	}
	f.doUntilAnswered(c, &caller.Request{Method: http.MethodGet, Path: "/", Idempotent: true})
}

// TestConfirmedInstancesFollowRoster checks that an instance follows the roster though it
// has no need to read it, because acks of the others confirm its leases.
func TestConfirmedInstancesFollowRoster(t *testing.T) {
	f := newFleet(t, 5)
	defer func() {
		for _, in := range f.list {
			in.Kill()
		}
	}()
	began := time.Now()
	for _, in := range f.list {
		for members := 0; members < len(f.list); {
			if time.Since(began) > waitTimeout {
				t.Fatalf("got %d members in the roster of %s, want %d", members, in.cfg.ID, len(f.list))
			}
			time.Sleep(20 * time.Millisecond)
			in.dispatcher.WithNode(func(_ time.Time, n *core.Node) { members = len(n.Roster().Members) })
		}
	}
}
