package callers

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/firlever/firlever/internal/core"
	"github.com/firlever/firlever/internal/dispatch"
	"github.com/firlever/firlever/internal/owner"
	"github.com/firlever/firlever/internal/targets"
	"github.com/firlever/firlever/pkg/settings"
)

var orders = settings.ServiceID{Team: "shop", Name: "orders"}

// testInstance is one instance's servers, without membership.
type testInstance struct {
	dispatcher *dispatch.Dispatcher
	server     *Server
	peers      *httptest.Server
	asks       chan core.AskGrant
	bytes      atomic.Int64 // read and written on its connections to others
}

// newTestInstance starts an instance of a place. Its service has a target at address.
func newTestInstance(t *testing.T, place, address string) *testInstance {
	t.Helper()
	s := &testInstance{asks: make(chan core.AskGrant, 64)}
	clock := time.Now() // fixed, so that no grant expires however slow the test is
	n, err := core.New(core.Config{Instance: place, Incarnation: 1, Place: place, Domain: place, Region: place}, clock)
	if err != nil {
		t.Fatal(err)
	}
	s.dispatcher = dispatch.New(n, func() time.Time { return clock }, func(d core.Decision) {
		if a, ok := d.(core.AskGrant); ok {
			s.asks <- a
		}
	})
	client := targets.New(s.dial)
	t.Cleanup(client.Close)
	s.server = New(Config{Instance: place}, s.dispatcher, client)
	r := chi.NewRouter()
	s.server.Peers(r)
	s.peers = httptest.NewServer(r)
	t.Cleanup(s.peers.Close)
	snapshot, err := settings.Compile([]settings.Document{
		{Path: "/places/east", Version: 1, Body: []byte("region: east\ndomain: east\nlimit: 8\n")},
		{Path: "/places/west", Version: 1, Body: []byte("region: west\ndomain: west\nlimit: 8\n")},
		{Path: "/blocks/all", Version: 1, Body: []byte("blocks:\n  - {prefix: 0.0.0.0/0, place: west}\n")},
		{Path: "/teams/shop/services/orders", Version: 1, Body: []byte(fmt.Sprintf(
			"class: interactive\ntimeout: 1m\nshift: 9\nplaces:\n  west: {limit: 8, targets: [{name: w, address: %q, slots: 8, connections: 9}]}\n",
			address))},
	})
	if err != nil {
		t.Fatal(err)
	}
	s.dispatcher.Step(core.Applied{Snapshot: snapshot})
	var roster owner.Roster
	roster, _ = roster.Join(place, 1)
	s.dispatcher.Step(core.RosterRead{Roster: roster, Sent: clock})
	return s
}

func (s *testInstance) dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, network, address)
	return &countingConn{Conn: c, bytes: &s.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (s *testInstance) addPeer(other *testInstance, place string) core.Peer {
	p := core.Peer{ID: place, Incarnation: 1, Place: place, Domain: place, Region: place, Address: other.peers.Listener.Addr().String()}
	s.dispatcher.Step(core.PeersChanged{Peers: []core.Peer{p}})
	return p
}

func (s *testInstance) call() *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodGet, PrefixCall+"shop/orders/x", nil)
	r.RemoteAddr = "192.0.2.1:99"
	r.Header.Set(HeaderWant, "99") // must be ignored: callers may not ask for grants
	w := httptest.NewRecorder()
	s.server.Callers().ServeHTTP(w, r)
	return w
}

func TestGrantHeaders(t *testing.T) {
	var lastHeader atomic.Pointer[http.Header]
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		lastHeader.Store(&r.Header)
		fmt.Fprint(w, "whole")
	}))
	defer target.Close()
	east, west := newTestInstance(t, "east", target.Listener.Addr().String()), newTestInstance(t, "west", target.Listener.Addr().String())
	peer := east.addPeer(west, "west")
	west.addPeer(east, "east")

	w := east.call()
	if w.Code != http.StatusOK || w.Body.String() != "whole" {
		t.Fatalf("got %d %q, want the target's answer", w.Code, w.Body)
	}
	for _, name := range []string{HeaderFree, HeaderGrant, HeaderUntil} {
		if got := w.Header().Get(name); got != "" {
			t.Errorf("got %s %q at the caller, want none", name, got)
		}
	}
	if got := lastHeader.Load().Get(HeaderWant); got != "" {
		t.Errorf("got %s %q at the target, want none", HeaderWant, got)
	}

	granted := func() (n int) {
		west.dispatcher.WithNode(func(now time.Time, node *core.Node) { n = node.Granted(now, orders) })
		return n
	}
	if got := granted(); got != 1 {
		t.Fatalf("got %d granted with the first hand-off, want 1", got)
	}

	before := east.bytes.Load()
	east.server.AskGrant(t.Context(), core.AskGrant{
		Peer: peer, Service: orders, Home: "west", Want: 3,
	})
	if got := east.bytes.Load() - before; got == 0 || got > 400 {
		t.Errorf("got %d bytes for one ask on an open connection, want at most 400", got)
	} else {
		t.Logf("one ask takes %d bytes both ways", got)
	}
	if got := granted(); got != 4 {
		t.Fatalf("got %d granted after the ask, want 4", got)
	}
	if w := east.call(); w.Code != http.StatusOK {
		t.Fatalf("got %d, want the target's answer", w.Code)
	}
	if got := granted(); got != 3 {
		t.Errorf("got %d granted after a hand-off, want 3", got)
	}
	east.server.AskGrant(t.Context(), core.AskGrant{Peer: peer, Service: orders, Home: "west", Release: 3})
	if got := granted(); got != 0 {
		t.Errorf("got %d granted after the release, want 0", got)
	}
}

// TestGrantExpiryCountsFromRequest checks that the validity of a grant counts from when the peer
// was asked. Otherwise a late answer would let the sender use the grant longer than its granter
// counts it.
func TestGrantExpiryCountsFromRequest(t *testing.T) {
	began := time.Unix(1_000_000, 0)
	tests := map[string]struct {
		until string
		want  time.Time
	}{
		"given":   {"500", began.Add(500 * time.Millisecond)},
		"missing": {"", began},
		"garbage": {"-5", began},
		"huge":    {"99999999999999999999", began},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			h := http.Header{HeaderUntil: {tt.until}, HeaderGrant: {"2"}}
			if got := grantReceived(h, began, core.Peer{}).Until; !got.Equal(tt.want) {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}
