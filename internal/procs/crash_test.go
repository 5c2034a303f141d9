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

// awaitWork waits until each of the named targets has started a new request.
func (f *fleet) awaitWork(place string, names []string) {
	f.t.Helper()
	for _, name := range names {
		scope := target.Scope{Place: place, Service: service, Target: name}
		before := f.runCount(scope)
		f.await("new request at "+name, func() string {
			if f.runCount(scope) > before {
				return ""
			}
			return "none started"
		})
	}
}

// victim waits until each running instance of a place owns targets, and returns the last
// of them with its targets. On a busy machine an instance may take its targets a second
// after the others have theirs.
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

// TestKill kills an instance under load. Callers see only higher latency, and a
// replacement with the same ID serves again.
func TestKill(t *testing.T) {
	runScenario(t, options{places: []place{{"a", 2, 6}, {"b", 1, 2}}, mean: 40 * time.Millisecond}, func(f *fleet) {
		l := f.load("kill", traffic{home: "a", idempotent: 60, nonIdempotent: 20})
		time.Sleep(time.Second)
		killed, targets := f.victim("a")
		killed.proc.kill()
		f.await("the other instance owns all targets", func() string {
			for _, n := range f.nodesIn("a") {
				if n.alive() && len(n.ownedTargets()) == 6 {
					return ""
				}
			}
			return "some targets have no owner"
		})
		f.awaitWork("a", targets)
		incarnation := killed.latestIncarnation()
		killed.start()
		f.awaitReady()
		f.awaitWork("a", targets)
		f.awaitWork("a", killed.ownedTargets())
		if st, err := killed.status(); err != nil || st.Incarnation <= incarnation {
			t.Errorf("got incarnation %d (%v), want more than %d", st.Incarnation, err, incarnation)
		}
		idempotent, _ := l.stop(t)
		f.requireAllAnswered("idempotent", idempotent)
	})
}

// latestIncarnation returns the newest incarnation of the node that the monitor observed.
func (n *node) latestIncarnation() uint64 {
	n.f.monitor.mu.Lock()
	defer n.f.monitor.mu.Unlock()
	return n.f.monitor.incarnations[n.id]
}

// TestPause stops an instance for longer than its ownership leases last, while the place
// is overloaded, and resumes it with a burst of requests waiting. Another instance has
// taken over its targets meanwhile, and no limit may be exceeded.
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
		// The paused instance has free slots when it resumes; the other one is kept full.
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
		if peak := f.journal.PlaceUsage("a").Peak; peak < 8 {
			f.addRetryableFailure("got at most %d requests in flight, want the place to be full", peak)
		}
	})
}

// startBurst sends requests directly to one instance, where they wait while it is paused.
// The returned group is done when all have ended.
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
