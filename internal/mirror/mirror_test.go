package mirror

import (
	"cmp"
	"context"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/firlever/firlever/internal/emulator/store"
	"github.com/firlever/firlever/platform"
)

// sink records the mirror's results.
type sink struct {
	mu            sync.Mutex
	keys          map[string]string // guarded by mu
	outages       int               // guarded by mu
	recoveries    int               // guarded by mu
	relayFailures int               // guarded by mu
	lists         int               // guarded by mu
}

func (s *sink) Changed(changes []Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range changes {
		if c.Removed {
			delete(s.keys, c.Key)
			continue
		}
		s.keys[c.Key] = string(c.Value)
	}
}

func (s *sink) Unreachable(error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outages++
}

func (s *sink) Listed() {}

func (s *sink) ListRead(ListResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists++
}

func (s *sink) HistoryGone(platform.Revision) {}

func (s *sink) Restored(platform.Revision, uint64) {}

func (s *sink) FollowingPeer(string) {}

func (s *sink) AnswerFailed(error) {}

func (s *sink) Received(Delivery) {}

func (s *sink) DroppedRedundant(int) {}

func (s *sink) PeersGivenUp(GivenUp) {}

func (s *sink) Answered(AnswerKind) {}

func (s *sink) RelayFailed(error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.relayFailures++
}

func (s *sink) Reachable() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recoveries++
}

func (s *sink) get(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keys[key]
}

func (s *sink) outageCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outages
}

func (s *sink) recoveryCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.recoveries
}

func newStore(t *testing.T) (*store.Store, string) {
	t.Helper()
	fake := store.New()
	server := httptest.NewServer(fake)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
		fake.Close()
	})
	return fake, strings.TrimPrefix(server.URL, "http://")
}

// startMirror runs a mirror of the store at an address until the test ends.
func startMirror(t *testing.T, address string, peers Peers) (*Mirror, *sink) {
	t.Helper()
	out := &sink{keys: make(map[string]string)}
	m := New(platform.NewStore(address), out, peers, byNumber)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		m.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return m, out
}

// noPeers has no peers to follow.
var noPeers = Peers{Relays: func() []string { return nil }, Fallbacks: func() []string { return nil }}

// withRelay has a single peer, as relay and as fallback.
func withRelay(relay string) Peers {
	return Peers{Relays: func() []string { return []string{relay} }, Fallbacks: func() []string { return []string{relay} }}
}

func startSingle(t *testing.T) (*store.Store, *sink) {
	t.Helper()
	fake, address := newStore(t)
	_, out := startMirror(t, address, noPeers)
	return fake, out
}

// byNumber orders states by their values if both are numbers.
func byNumber(a, b platform.Item) int {
	x, err := strconv.Atoi(string(a.Value))
	y, fault := strconv.Atoi(string(b.Value))
	if err != nil || fault != nil {
		return 0
	}
	return cmp.Compare(x, y)
}

// within fails the test unless ok holds within a time.
func within(t *testing.T, limit time.Duration, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Errorf("not within %s: %s", limit, what)
}

// changeBound is the shortest time in which a change has to be in force.
const changeBound = 2 * time.Second

func TestFollows(t *testing.T) {
	fake, out := startSingle(t)
	fake.Put("a", []byte("1"))
	within(t, changeBound, "a is 1", func() bool { return out.get("a") == "1" })
	fake.Put("a", []byte("2"))
	within(t, changeBound, "a is 2", func() bool { return out.get("a") == "2" })
	fake.Remove("a")
	within(t, changeBound, "a is removed", func() bool { return out.get("a") == "" })
}

// Changes that a watch does not deliver are found on time.
func TestDeafWatch(t *testing.T) {
	fake, out := startSingle(t)
	fake.Put("a", []byte("1"))
	within(t, changeBound, "a is 1", func() bool { return out.get("a") == "1" })
	fake.SetFaults(store.Faults{SuppressEvents: true})
	fake.Put("a", []byte("2"))
	within(t, changeBound, "a is 2 though the watch receives nothing", func() bool { return out.get("a") == "2" })
}

func TestForgottenHistory(t *testing.T) {
	fake, out := startSingle(t)
	fake.Put("a", []byte("1"))
	within(t, changeBound, "a is 1", func() bool { return out.get("a") == "1" })
	fake.SetFaults(store.Faults{SuppressEvents: true})
	fake.Put("a", []byte("2"))
	fake.DropHistory()
	within(t, changeBound, "a is 2 by a list", func() bool { return out.get("a") == "2" })
}

// A store that gives no answer is checked every second, like one that refuses.
func TestChecksOfASilentStore(t *testing.T) {
	const outage = 4 * time.Second
	for name, faults := range map[string]store.Faults{"refuses": {Refuse: true}, "silent": {Silent: true}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fake, address := newStore(t)
			fake.Put("a", []byte("1"))
			_, out := startMirror(t, address, noPeers)
			within(t, changeBound, "a is visible", func() bool { return out.get("a") == "1" })
			calls := fake.Calls("/kv-range")
			fake.SetFaults(faults)
			time.Sleep(outage)
			got, most := fake.Calls("/kv-range")-calls, int(outage/checkInterval)
			if got < most-1 || got > most+1 {
				t.Errorf("got %d checks in %s, want %d", got, outage, most)
			}
		})
	}
}

func TestOutageOfTheStore(t *testing.T) {
	tests := map[string]store.Faults{"refuses": {Refuse: true}, "silent": {Silent: true}}
	for name, faults := range tests {
		t.Run(name, func(t *testing.T) {
			fake, out := startSingle(t)
			fake.Put("a", []byte("1"))
			within(t, changeBound, "a is 1", func() bool { return out.get("a") == "1" })
			fake.SetFaults(faults)
			fake.Put("b", []byte("1")) // wakes the watch
			time.Sleep(50 * time.Millisecond)
			fake.SetFaults(store.Faults{})
			fake.Put("a", []byte("2"))
			within(t, 2*changeBound, "a is 2", func() bool { return out.get("a") == "2" })
		})
	}
}
