//go:build linux

package procs

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/firlever/firlever/internal/emulator/target"
)

// await that the targets named get new work.
func (f *fleet) awaitWork(place string, names []string) {
	f.t.Helper()
	for _, name := range names {
		scope := target.Scope{Place: place, Service: service, Target: name}
		before := f.runCount(scope)
		f.await("work for "+name, func() string {
			if f.runCount(scope) > before {
				return ""
			}
			return "no run"
		})
	}
}

// victim picks an instance of a place that owns targets while another owns some too. On a
// busy machine an instance may take its targets a second after the others have them.
func (f *fleet) victim(place string) (*node, []string) {
	f.t.Helper()
	var found *node
	var names []string
	f.await("each instance of "+place+" owns targets", func() string {
		for _, n := range f.nodesIn(place) {
			if !n.alive() {
				continue
			}
			owned := n.ownedTargets()
			if len(owned) == 0 {
				return n.id + " owns none"
			}
			found, names = n, owned
		}
		return ""
	})
	return found, names
}

// TestKill: an instance is killed under load; its callers notice only latency,
// and a replacement under its id serves again.
func TestKill(t *testing.T) {
	runScenario(t, options{places: []place{{"a", 2, 6}, {"b", 1, 2}}, mean: 40 * time.Millisecond}, func(f *fleet) {
		l := f.load("kill", traffic{home: "a", idempotent: 60, nonIdempotent: 20})
		time.Sleep(time.Second)
		killed, targets := f.victim("a")
		killed.proc.kill()
		f.await("the other instance owns all", func() string {
			for _, n := range f.nodesIn("a") {
				if n.alive() && len(n.ownedTargets()) == 6 {
					return ""
				}
			}
			return "some targets are owned by nobody"
		})
		f.awaitWork("a", targets)
		incarnation := killed.latestIncarnation()
		killed.start()
		f.awaitReady()
		f.awaitWork("a", targets)
		f.awaitWork("a", killed.ownedTargets())
		if st, err := killed.status(); err != nil || st.Incarnation <= incarnation {
			t.Errorf("got incarnation %d (%v), want a newer one than %d", st.Incarnation, err, incarnation)
		}
		idempotent, _ := l.stop(t)
		f.requireAllAnswered("idempotent", idempotent)
	})
}

// latestIncarnation is the newest that the monitor has seen of the node.
func (n *node) latestIncarnation() uint64 {
	n.f.monitor.mu.Lock()
	defer n.f.monitor.mu.Unlock()
	return n.f.monitor.incarnations[n.id]
}

// TestPause: an instance is stopped for longer than its rights last, under more
// load than the place takes, and wakes up to a crowd of waiting requests.
func TestPause(t *testing.T) {
	runScenario(t, options{places: []place{{"a", 2, 6}}, mean: 150 * time.Millisecond, slots: 2, timeout: 2 * time.Second}, func(f *fleet) {
		light := f.load("light", traffic{home: "a", idempotent: 10, nonIdempotent: 5})
		time.Sleep(time.Second)
		paused, targets := f.victim("a")
		paused.proc.signal(t, syscall.SIGSTOP)
		began := time.Now()
		var other []*node
		for _, n := range f.running() {
			if n != paused {
				other = append(other, n)
			}
		}
		// The paused one has free slots when it wakes; the other is kept full.
		l := f.load("pause", traffic{home: "a", idempotent: 110, nonIdempotent: 20, timeout: 2 * time.Second, reachable: other})
		f.awaitWork("a", targets)
		time.Sleep(time.Until(began.Add(4 * time.Second)))
		f.awaitWork("a", targets)
		time.Sleep(time.Second)
		burst := f.startBurst(paused, 60)
		time.Sleep(300 * time.Millisecond)
		t.Logf("paused for %s", time.Since(began).Round(time.Millisecond))
		paused.proc.signal(t, syscall.SIGCONT)
		burst.Wait()
		f.awaitReady()
		f.awaitWork("a", targets)
		l.stop(t)
		light.stop(t)
		if peak := f.journal.Place("a").Peak; peak < 8 {
			f.addRetryableFailure("got at most %d requests in flight, want the place to be full", peak)
		}
	})
}

// startBurst sends requests straight to one instance, to wait there.
func (f *fleet) startBurst(n *node, size int) *sync.WaitGroup {
	var all sync.WaitGroup
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for i := range size {
		all.Go(func() {
			r, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/call/%s/crowd", n.callerAddr, service), nil)
			if err != nil {
				return
			}
			r.Header.Set("Firlever-Request", fmt.Sprintf("crowd-%d-%d", f.number, i))
			r.Header.Set("Firlever-Timeout", "3000")
			if resp, err := client.Do(r); err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
			}
		})
	}
	return &all
}
