package mirror

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/firlever/firlever/internal/emulator/store"
)

// relays runs a mirror that follows the store, and one that follows the first. cut stops the first
// one's service for peers.
func relays(t *testing.T) (fake *store.Store, first, second *sink, cut func()) {
	t.Helper()
	fake, address := newStore(t)
	fake.Put("a", []byte("1"))
	m, first := startMirror(t, address, noPeers)
	server := httptest.NewServer(m)
	cut = func() {
		server.CloseClientConnections()
		server.Close()
	}
	t.Cleanup(cut)
	relay := strings.TrimPrefix(server.URL, "http://")
	_, second = startMirror(t, address, withRelay(relay))
	within(t, changeBound, "both have a", func() bool { return first.get("a") == "1" && second.get("a") == "1" })
	return fake, first, second, cut
}

// An instance that follows a relay receives changes on time and does not call the store.
func TestRelay(t *testing.T) {
	fake, _, second, _ := relays(t)
	time.Sleep(2 * batchDelay) // the second follows the relay by then
	calls := fake.Calls("/kv-range")
	watches := fake.Calls("/kv-watch")
	for i := range 5 {
		value := fmt.Sprint(i)
		fake.Put("a", []byte(value))
		within(t, changeBound, "a is "+value, func() bool { return second.get("a") == value })
	}
	fake.Remove("a")
	within(t, changeBound, "a is removed", func() bool { return second.get("a") == "" })
	// Only the first calls the store: a watch for each change, and a check per second.
	if got := fake.Calls("/kv-watch") - watches; got > 8 {
		t.Errorf("got %d watches for 6 changes", got)
	}
	if got := fake.Calls("/kv-range") - calls; got > 5 {
		t.Errorf("got %d reads", got)
	}
}

// Changes arrive on time, however the relay fails.
func TestRelayFails(t *testing.T) {
	tests := map[string]func(fake *store.Store, cut func()){
		"gone":            func(_ *store.Store, cut func()) { cut() },
		"deaf":            func(fake *store.Store, _ func()) { fake.SetFaults(store.Faults{SuppressEvents: true}) },
		"forgets history": func(fake *store.Store, _ func()) { fake.DropHistory() },
	}
	for name, fail := range tests {
		t.Run(name, func(t *testing.T) {
			fake, _, second, cut := relays(t)
			time.Sleep(2 * batchDelay)
			fail(fake, cut)
			fake.Put("a", []byte("2"))
			within(t, changeBound, "a is 2", func() bool { return second.get("a") == "2" })
		})
	}
}

// Two instances that are each other's relay both detect that their data ages, and read the store.
func TestRelaysInACircle(t *testing.T) {
	fake, address := newStore(t)
	fake.Put("a", []byte("1"))
	var servers [2]*httptest.Server
	var outs [2]*sink
	for i := range servers {
		servers[i] = httptest.NewUnstartedServer(nil)
		t.Cleanup(servers[i].Close)
	}
	for i := range servers {
		other := servers[1-i].Listener.Addr().String()
		var m *Mirror
		m, outs[i] = startMirror(t, address, withRelay(other))
		servers[i].Config.Handler = m
	}
	for i := range servers {
		servers[i].Start()
	}
	time.Sleep(3 * batchDelay)
	fake.Put("a", []byte("2"))
	for i, out := range outs {
		within(t, changeBound, fmt.Sprintf("a is 2 at %d", i), func() bool { return out.get("a") == "2" })
	}
}

// gate is a store that refuses one instance while it is closed.
type gate struct {
	store  *store.Store
	silent bool // gives no answer instead of refusing
	open   atomic.Bool
	calls  atomic.Int64
}

func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.calls.Add(1)
	switch {
	case g.open.Load():
		g.store.ServeHTTP(w, r)
	case g.silent:
		<-r.Context().Done()
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// An instance that the store refuses reads everything from a peer, and follows the store again when
// it is accepted.
func TestThroughAPeer(t *testing.T) {
	for name, silent := range map[string]bool{"refuses": false, "silent": true} {
		t.Run(name, func(t *testing.T) {
			fake, address := newStore(t)
			for i := range 60 {
				fake.Put(fmt.Sprintf("a%02d", i), []byte("1"))
			}
			m, first := startMirror(t, address, noPeers)
			within(t, changeBound, "the first has all keys", func() bool { return first.get("a59") == "1" })
			closed := &gate{store: fake, silent: silent}
			relay, front := listen(t, m), listen(t, closed)
			_, second := startMirror(t, front, Peers{Relays: noPeers.Relays, Fallbacks: withRelay(relay).Fallbacks})
			within(t, 2*changeBound, "the second has all keys", func() bool { return second.get("a00") == "1" && second.get("a59") == "1" })
			fake.Put("a00", []byte("2"))
			within(t, changeBound, "the second has the change", func() bool { return second.get("a00") == "2" })
			closed.open.Store(true)
			within(t, 2*changeBound, "the second follows the store again", func() bool {
				second.mu.Lock()
				defer second.mu.Unlock()
				return second.recoveries == 1
			})
			fake.Put("a00", []byte("3"))
			within(t, changeBound, "the second has another change", func() bool { return second.get("a00") == "3" })
		})
	}
}

// An instance whose watch is pending at a store that has become silent detects the outage, and
// continues through a peer.
func TestStoreTurnsSilent(t *testing.T) {
	fake, address := newStore(t)
	fake.Put("a", []byte("1"))
	m, _ := startMirror(t, address, noPeers)
	g := &gate{store: fake, silent: true}
	g.open.Store(true)
	_, second := startMirror(t, listen(t, g), Peers{Relays: noPeers.Relays, Fallbacks: withRelay(listen(t, m)).Fallbacks})
	within(t, changeBound, "the second has a", func() bool { return second.get("a") == "1" })
	time.Sleep(2 * batchDelay) // its watch is pending
	g.open.Store(false)
	// The pending watch passed the gate before it closed; it receives nothing any more.
	fake.SetFaults(store.Faults{SuppressEvents: true})
	within(t, 2*changeBound, "the outage is detected", func() bool {
		second.mu.Lock()
		defer second.mu.Unlock()
		return second.outages == 1
	})
	fake.Put("a", []byte("2"))
	within(t, 2*changeBound, "the second has the change through its peer", func() bool { return second.get("a") == "2" })
}

// listen serves until the test ends, and returns the address.
func listen(t *testing.T, handler http.Handler) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return strings.TrimPrefix(server.URL, "http://")
}
