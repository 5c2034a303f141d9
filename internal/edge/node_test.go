package edge

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/firlever/firlever/platform"
)

// The target stops working when the caller has left, unless the work can't be repeated.
func TestCallerLeaves(t *testing.T) {
	for path, stops := range map[string]bool{"/get/x": true, "/do/x": false} {
		t.Run(path, func(t *testing.T) {
			r := newRig(t)
			r.configure(1, "s")
			target := r.target("hang")
			r.register("a", target.address, "n1", "ready")
			r.start()
			r.waitUsable(1)
			c, err := net.Dial("tcp", r.node.cfg.Settings.Callers)
			if err != nil {
				t.Fatal(err)
			}
			fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\nRequest-Id: q1\r\nContent-Length: 0\r\n\r\n", path)
			r.eventually("the target works", func() bool { return target.runs() == 1 })
			begin := time.Now()
			c.Close()
			<-target.callerLeft
			if took := time.Since(begin); stops != (took < 150*time.Millisecond) {
				t.Errorf("got the end of the work after %s, want it at once: %t", took, stops)
			}
		})
	}
}

func TestFollowsTheStore(t *testing.T) {
	r := newRig(t)
	r.configure(3, "s")
	r.start()
	r.register("a", r.target("good").address, "n1", "ready")
	r.waitUsable(1)
	r.register("a", unreachableAddress, "n1", "draining")
	r.waitUsable(0)
	r.register("b", r.target("good").address, "s1", "ready")
	r.waitUsable(1)
	r.store.Put("op/evacuate/s1", []byte("{}"))
	r.waitUsable(0)
	r.store.Remove("op/evacuate/s1")
	r.waitUsable(1)
	r.store.Remove("servers/b")
	r.waitUsable(0)
	if got := r.send("GET", "/get/x"); got.status != 503 || got.retryAfter == "" {
		t.Errorf("got %+v without a target, want 503 with Retry-After", got)
	}
	r.configure(2, "old")
	r.store.Put("op/config", []byte("{"))
	r.configure(5, "new")
	r.eventually("version 5 is in force", func() bool { return r.node.rules.Load().Config().Version == 5 })
}

// A configuration with a lower version is never put in force.
func TestVersionsDoNotGoBack(t *testing.T) {
	r := newRig(t)
	r.configure(5, "s")
	r.start()
	r.configure(4, "old")
	r.register("a", r.target("good").address, "n1", "ready")
	r.waitUsable(1) // what was written before has been applied too
	if got := r.node.rules.Load().Config().Version; got != 5 {
		t.Errorf("got version %d in force, want 5", got)
	}
}

func TestLookup(t *testing.T) {
	r := newRig(t)
	r.configure(1, "s")
	r.store.Put(instancePrefix+"e2", []byte(`{"callers":"10.0.0.2:1","domain":"n2","region":"north"}`))
	r.store.Put(instancePrefix+"e3", []byte(`{"callers":"10.0.0.3:1","domain":"s1","region":"south"}`))
	r.store.Put(instancePrefix+"e4", []byte(`{"callers":"10.0.0.4:1","domain":"s1","region":"south","leaving":true}`))
	r.store.Put(instancePrefix+"e5", []byte(`{"callers":"10.0.0.5:1","domain":"w1","region":"west"}`))
	r.store.Put(instancePrefix+"e6", []byte(`{"callers":"10.0.0.6:1","domain":"w1","region":"west"}`))
	r.store.Put(instancePrefix+"e7", []byte(`{"callers":"10.0.0.7:1","domain":"w2","region":"west"}`))
	r.start()
	r.eventually("the node is registered", func() bool { return r.store.Get(instancePrefix+"e1") != nil })
	own := r.node.cfg.Settings.Callers
	tests := map[string]struct {
		region, domain string
		want           []string
	}{
		"one in domain":     {"north", "n2", []string{"10.0.0.2:1", own}},
		"own domain":        {"west", "w1", []string{"10.0.0.5:1", "10.0.0.6:1"}},
		"none in domain":    {"north", "n9", []string{"10.0.0.2:1", own}},
		"leaves out leaver": {"south", "s1", []string{"10.0.0.3:1"}},
		"none in region":    {"east", "e1", []string{"10.0.0.2:1", "10.0.0.3:1", "10.0.0.5:1", "10.0.0.6:1", "10.0.0.7:1", own}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r.eventually(fmt.Sprint(tt.want), func() bool {
				return fmt.Sprint(lookup(t, r, tt.region, tt.domain)) == fmt.Sprint(tt.want)
			})
		})
	}
}

func lookup(t *testing.T, r *rig, region, domain string) []string {
	t.Helper()
	resp, err := http.Get(fmt.Sprintf("http://%s/resolve?name=h&region=%s&zone=%s", r.node.cfg.Settings.Lookups, region, domain))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var answer struct {
		Addresses []string `json:"addresses"`
		TTL       string   `json:"ttl"`
	}
	b, _ := io.ReadAll(resp.Body)
	if err := json.Unmarshal(b, &answer); err != nil {
		t.Fatalf("%s: %v", b, err)
	}
	if answer.TTL != "50ms" {
		t.Errorf("got ttl %q, want 50ms", answer.TTL)
	}
	return answer.Addresses
}

// A planned stop answers the requests in flight, and its record shows at once that it is leaving.
func TestStop(t *testing.T) {
	r := newRig(t)
	r.configure(1, "s")
	target := r.target("hang", "good")
	r.register("a", target.address, "n1", "ready")
	r.start()
	r.waitUsable(1)
	replies := make(chan reply)
	go func() { replies <- r.send("GET", "/get/x") }()
	r.eventually("the target works", func() bool { return target.runs() == 1 })
	r.node.cfg.LookupTTL = 300 * time.Millisecond // what follows happens before callers should have left
	stopped := make(chan struct{})
	go func() {
		r.node.Stop()
		close(stopped)
	}()
	r.eventually("it is not ready", func() bool { return !r.node.Ready() })
	r.eventually("its record is leaving", func() bool {
		rec, err := decodeRecord(r.store.Get(instancePrefix + "e1"))
		return err == nil && rec.Leaving
	})
	if got := r.send("GET", "/get/x"); got.status != 200 {
		t.Errorf("got %+v right after the signal, want 200", got)
	}
	if got := <-replies; got.status != 504 || got.closed {
		t.Errorf("got %+v in flight, want an answer", got)
	}
	<-stopped
	if got := r.store.Get(instancePrefix + "e1"); got != nil {
		t.Errorf("got record %s after the stop", got)
	}
}

// A stopping instance refuses requests that arrive after its callers should have left: they might
// not end before the platform kills the process.
func TestStopRefusesLateComers(t *testing.T) {
	r := newRig(t)
	r.configure(1, "s")
	target := r.target("good")
	r.register("a", target.address, "n1", "ready")
	r.start()
	r.waitUsable(1)
	acceptUntil := time.Now().Add(cacheOverrun * r.node.lookupTTL())
	stopped := make(chan struct{})
	go func() {
		r.node.Stop()
		close(stopped)
	}()
	time.Sleep(time.Until(acceptUntil.Add(leaveMargin / 4)))
	if got := r.send("POST", "/do/x"); got.status != 503 || got.retryAfter == "" || target.runs() != 0 {
		t.Errorf("got %+v and %d runs, want 503 with Retry-After, and none", got, target.runs())
	}
	<-stopped
}

// Without a configuration, requests are refused with Retry-After, and the instance is not ready.
func TestBeforeConfiguration(t *testing.T) {
	r := newRig(t)
	r.launch()
	got := r.send("GET", "/get/x")
	if got.status != 503 || got.retryAfter == "" || r.node.Ready() {
		t.Errorf("got %+v, ready %t, want 503 and not ready", got, r.node.Ready())
	}
	r.configure(1, "s")
	r.eventually("the node is ready", r.node.Ready)
}

// An instance whose lease and record the store has dropped registers again.
func TestRegistersAgain(t *testing.T) {
	r := newRig(t)
	r.launch()
	registered := func() bool { return r.store.Get(instancePrefix+"e1") != nil }
	r.eventually("the node is registered", registered)
	r.store.RevokeLeases()
	r.eventually("the node is registered again", registered)
}

// The failures of a target's earlier run, and its late reports, don't affect its next run.
func TestTargetStartsAgain(t *testing.T) {
	const first, second = 1_800_000_000_000, 1_800_000_009_000
	r := newRig(t)
	r.configure(1, "s")
	r.start()
	good := r.target("good").address
	r.report("a", unreachableAddress, "n1", "ready", first, 7)
	r.waitUsable(1)
	for range 3 { // it is ejected
		r.send("GET", "/get/x")
	}
	r.waitUsable(0)
	r.report("a", good, "n1", "ready", second, 1)
	r.waitUsable(1)
	if got := r.send("GET", "/get/x"); got.status != 200 {
		t.Errorf("got %+v of the next run, want 200", got)
	}
	r.report("a", unreachableAddress, "n1", "draining", first, 8) // late
	r.report("b", good, "n1", "ready", second, 2)
	r.waitUsable(2)
	r.report("b", good, "n1", "draining", second, 4)
	r.waitUsable(1)
	r.report("b", good, "n1", "ready", second, 3) // late
	r.report("c", good, "n1", "ready", second, 1)
	r.waitUsable(2) // a and c
}

// An unusable store entry adds no target, and removes no other one.
func TestUnusableEntries(t *testing.T) {
	tests := map[string]string{
		"bytes":         "\xff\xfe\x00",
		"empty":         "",
		"list":          "[1,2]",
		"other fields":  `{"kind":"lock","owner":"x"}`,
		"other types":   `{"address":17,"info":"s","status":[]}`,
		"unknown state": `{"address":"127.0.0.1:1","info":{"service":"s","version":"v1","zone":"n1","capacity":4},"status":{"state":"resting","sequence":9,"warmup_left":"0ms"}}`,
		"unknown zone":  `{"address":"127.0.0.1:1","info":{"service":"s","version":"v1","zone":"x9","capacity":4},"status":{"state":"ready","sequence":9,"warmup_left":"0ms"}}`,
	}
	for name, value := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.configure(1, "s")
			r.register("a", r.target("good").address, "n1", "ready")
			r.register("b", unreachableAddress, "n1", "ready")
			r.store.Put(platform.TargetPrefix+"w", []byte(value)) // listed
			r.start()
			r.waitUsable(2)
			r.store.Put(platform.TargetPrefix+"b", []byte(value)) // replaces a valid one
			r.waitUsable(1)
			if got := r.send("GET", "/get/x"); got.status != 200 {
				t.Errorf("got %+v, want 200 from the valid target", got)
			}
			r.register("b", r.target("good").address, "n1", "ready")
			r.waitUsable(2)
		})
	}
}
