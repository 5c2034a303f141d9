package edge

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/firlever/firlever/internal/boottime"
	"github.com/firlever/firlever/internal/emulator/store"
	"github.com/firlever/firlever/internal/rollout"
	"github.com/firlever/firlever/internal/routes"
	"github.com/firlever/firlever/internal/steer"
	"github.com/firlever/firlever/platform"
)

const (
	orderKey  = platform.RolloutPrefix + "s"
	statusKey = platform.RolloutStatusPrefix + "s"
)

// registerVersion writes a target of service s with a version of its software.
func (r *rig) registerVersion(id, address, version, state string) {
	r.reports++
	r.store.Put(platform.TargetPrefix+id, fmt.Appendf(nil,
		`{"address":%q,"info":{"service":"s","version":%q,"zone":"n1","capacity":4},"status":{"state":%q,"sequence":%d,"warmup_left":"0ms"}}`,
		address, version, state, r.reports))
}

// order writes an order to roll out a version of service s.
func (r *rig) order(version, duration string) {
	r.store.Put(orderKey, fmt.Appendf(nil, `{"service":"s","target_version":%q,"duration":%q}`, version, duration))
}

// status is the status of a rollout in the store.
type status struct {
	Version string `json:"target_version"`
	State   string `json:"state"`
	Reason  string `json:"reason"`
}

func (r *rig) rolloutStatus() status {
	var s status
	if b := r.store.Get(statusKey); b != nil && json.Unmarshal(b, &s) != nil {
		r.t.Fatalf("status is no JSON: %s", b)
	}
	return s
}

// waitRollout sends requests for different objects until the rollout has a state, and returns its
// status.
func (r *rig) waitRollout(state string, limit time.Duration) status {
	r.t.Helper()
	i := 0
	for end := time.Now().Add(limit); time.Now().Before(end); i++ {
		r.sendWith(fmt.Sprintf("Cookie: Affinity-Key=%d\r\n", i), "GET", "/get/x")
		if s := r.rolloutStatus(); s.State == state {
			return s
		}
	}
	r.t.Fatalf("got status %+v after %d requests, want state %s", r.rolloutStatus(), i, state)
	return status{}
}

// newRolloutRig starts a node with targets of versions v1 and v2, whose behaviours are given.
func newRolloutRig(t *testing.T, behaviour string) (r *rig, old, next []*target) {
	r = newRig(t)
	r.configure(1, "s")
	r.start()
	for i := range 4 {
		old = append(old, r.target("good"))
		next = append(next, r.target(behaviour))
		r.registerVersion(fmt.Sprintf("old%d", i), old[i].address, "v1", "ready")
	}
	r.waitUsable(4)
	return r, old, next
}

// registerNext registers the targets of the new version.
func (r *rig) registerNext(next []*target) {
	for i, n := range next {
		r.registerVersion(fmt.Sprintf("new%d", i), n.address, "v2", "ready")
	}
	r.waitUsable(8)
}

func runsOf(targets []*target) int {
	n := 0
	for _, t := range targets {
		n += t.runs()
	}
	return n
}

// A bad version is rolled back for a reason that is told, and gets nothing after that.
func TestBadVersionIsRolledBack(t *testing.T) {
	r, _, next := newRolloutRig(t, "error")
	r.order("v2", "60s")
	r.waitRollout("running", changeTimeout)
	r.registerNext(next)
	got := r.waitRollout("rolled_back", 20*time.Second)
	if got.Version != "v2" || !strings.Contains(got.Reason, "answers bad") {
		t.Errorf("got status %+v, want v2 rolled back for its answers", got)
	}
	before := runsOf(next)
	for range 50 {
		r.send("GET", "/get/x")
	}
	if after := runsOf(next); after != before || before == 0 || before > 50 {
		t.Errorf("got %d requests at the bad version and %d more after the verdict, want 1 to 50 and none", before, after-before)
	}
}

// A good version is completed before the deadline, and then gets all requests.
func TestGoodVersionIsCompleted(t *testing.T) {
	r, old, next := newRolloutRig(t, "good")
	r.order("v2", "8s")
	r.registerNext(next)
	if got := r.waitRollout("completed", 8*time.Second); got.Version != "v2" || got.Reason != "" {
		t.Errorf("got status %+v, want v2 without a reason", got)
	}
	before := runsOf(old)
	for range 20 {
		r.send("GET", "/get/x")
	}
	if after := runsOf(old); after != before {
		t.Errorf("got %d requests at the old version after completion, want none", after-before)
	}
}

// Targets of a version that nobody has rolled out, and orders that can't be met or were taken back.
func TestRolloutEndsEarly(t *testing.T) {
	tests := map[string]struct {
		act    func(r *rig, next []*target)
		reason string
	}{
		"no target of the version": {func(r *rig, _ []*target) { r.order("v2", "3s") }, "too few targets"},
		"taken back": {func(r *rig, next []*target) {
			r.order("v2", "60s")
			r.waitRollout("running", changeTimeout)
			r.registerNext(next)
			r.store.Remove(orderKey)
		}, "order withdrawn"},
		"unreadable": {func(r *rig, _ []*target) { r.store.Put(orderKey, []byte(`{"service":`)) }, "unexpected EOF"},
		"unknown field": {func(r *rig, _ []*target) {
			r.store.Put(orderKey, []byte(`{"service":"s","target_version":"v2","duration":"3s","x":1}`))
		}, "unknown field"},
		"no duration": {func(r *rig, _ []*target) { r.order("v2", "0s") }, "duration must be greater than 0"},
		"version of no text": {func(r *rig, _ []*target) {
			r.store.Put(orderKey, []byte(`{"service":"s","target_version":2,"duration":"3s"}`))
		}, "target_version"},
		"another service": {func(r *rig, _ []*target) {
			r.store.Put(orderKey, []byte(`{"service":"t","target_version":"v2","duration":"3s"}`))
		}, "does not match the key"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r, _, next := newRolloutRig(t, "good")
			tt.act(r, next)
			if got := r.waitRollout("rolled_back", 8*time.Second); !strings.Contains(got.Reason, tt.reason) {
				t.Errorf("got reason %q, want %q", got.Reason, tt.reason)
			}
			if got := r.send("GET", "/get/x"); got.status != 200 {
				t.Errorf("got status %d, want 200", got.status)
			}
		})
	}
}

// An order that can't be read changes nothing about the rollout that is under way.
func TestUnreadableOrderBesideARollout(t *testing.T) {
	r, _, _ := newRolloutRig(t, "good")
	r.order("v2", "60s")
	r.waitRollout("running", changeTimeout)
	r.store.Put(orderKey, []byte(`{`))
	time.Sleep(2 * rolloutInterval)
	if got := r.rolloutStatus(); got.State != "running" || got.Version != "v2" {
		t.Errorf("got status %+v, want v2 running", got)
	}
}

// An order for another version ends the first: its targets get nothing.
func TestSecondOrderBarsTheFirstVersion(t *testing.T) {
	r, _, next := newRolloutRig(t, "good")
	r.order("v2", "60s")
	r.registerNext(next)
	for range 200 {
		r.send("GET", "/get/x")
	}
	r.order("v3", "60s")
	r.eventually("the second order runs", func() bool { s := r.rolloutStatus(); return s.Version == "v3" && s.State == "running" })
	before := runsOf(next)
	for range 50 {
		r.send("GET", "/get/x")
	}
	if after := runsOf(next); after != before {
		t.Errorf("got %d requests at the version of the first order, want none", after-before)
	}
}

// A verdict that the store has lost with a return to an older copy is written again.
func TestVerdictOutlivesARestore(t *testing.T) {
	r, _, _ := newRolloutRig(t, "good")
	r.order("v2", "4s")
	r.waitRollout("running", changeTimeout)
	snapshot := r.store.TakeSnapshot()
	r.waitRollout("rolled_back", 8*time.Second)
	r.store.RestoreSnapshot(snapshot)
	if got := r.rolloutStatus(); got.State != "running" {
		t.Fatalf("got status %+v from the copy, want it running", got)
	}
	if got := r.waitRollout("rolled_back", 8*time.Second); got.Version != "v2" {
		t.Errorf("got status %+v, want v2", got)
	}
}

// Canaries get nothing while the store is away, as nobody could stop them; when it is back, the
// order is still decided.
func TestNoCanaryWithoutTheStore(t *testing.T) {
	r, _, next := newRolloutRig(t, "good")
	r.order("v2", "60s")
	r.registerNext(next)
	r.eventually("canaries get requests", func() bool { r.send("GET", "/get/x"); return runsOf(next) > 0 })
	r.store.SetFaults(store.Faults{Refuse: true})
	time.Sleep(permitTTL + rolloutTimeout)
	before := runsOf(next)
	for range 100 {
		r.send("GET", "/get/x")
	}
	if after := runsOf(next); after != before {
		t.Errorf("got %d requests at canaries without the store, want none", after-before)
	}
	r.store.SetFaults(store.Faults{})
	deadline := time.Now().Add(10 * time.Second)
	for runsOf(next) == before && time.Now().Before(deadline) {
		r.send("GET", "/get/x")
	}
	if runsOf(next) == before {
		t.Error("canaries get no requests after the return of the store")
	}
}

// The instance that takes over from one that was killed decides from what the regions have counted.
func TestJudgeIsReplaced(t *testing.T) {
	r, _, next := newRolloutRig(t, "error")
	second := r.startInstance("e2", "n1")
	r.eventually("the second instance is ready", second.Ready)
	r.order("v2", "60s")
	r.waitRollout("running", changeTimeout)
	r.node.cancel()
	for _, server := range r.node.webServers {
		server.Close()
	}
	r.node = second
	r.registerNext(next)
	if got := r.waitRollout("rolled_back", 20*time.Second); got.Version != "v2" {
		t.Errorf("got status %+v, want v2", got)
	}
}

// A collector that gives no permit for a moment stays the collector, so that the counts of a region
// come together at one instance; one that fails, or gives none for long, is avoided.
func TestAvoidedCollectors(t *testing.T) {
	r, _, _ := newRolloutRig(t, "good")
	r.order("v2", "60s")
	r.waitRollout("running", changeTimeout)
	tracker := r.node.rollouts
	if tracker.avoids("a", "s", false, nil) {
		t.Error("got a collector avoided at its first refusal")
	}
	if !tracker.avoids("b", "s", false, errTest) {
		t.Error("got a collector that failed asked again")
	}
	time.Sleep(refusalTTL)
	if !tracker.avoids("a", "s", false, nil) {
		t.Errorf("got a collector asked again that gave no permit for %s", refusalTTL)
	}
	if tracker.avoids("a", "s", true, nil) || tracker.avoids("a", "s", false, nil) {
		t.Error("got a collector avoided that gave a permit a moment ago")
	}
}

// errTest is the error of a call in a test.
var errTest = &platform.MissingError{Call: "test"}

// Late answers of targets that are known only for a moment don't count, failures do.
func TestLateAnswersOfNewTargets(t *testing.T) {
	tests := map[string]struct {
		age    time.Duration
		took   time.Duration
		ending steer.Ending
		want   rollout.Tally
	}{
		"late":           {lateGrace, time.Second, steer.Answered, rollout.Tally{Answers: 1, Bad: 1}},
		"late, new":      {lateGrace - 1, time.Second, steer.Answered, rollout.Tally{}},
		"in time, new":   {0, time.Millisecond, steer.Answered, rollout.Tally{Answers: 1}},
		"failed, new":    {0, time.Millisecond, steer.Failed, rollout.Tally{Answers: 1, Bad: 1}},
		"left late, new": {0, time.Second, steer.CallerLeft, rollout.Tally{}},
		"left late":      {lateGrace, time.Second, steer.CallerLeft, rollout.Tally{Answers: 1, Bad: 1}},
		"left early":     {lateGrace, time.Millisecond, steer.CallerLeft, rollout.Tally{}},
		"shed":           {lateGrace, time.Millisecond, steer.Shed, rollout.Tally{}},
	}
	r, _, _ := newRolloutRig(t, "good")
	r.order("v2", "60s")
	r.waitRollout("running", changeTimeout)
	tracker := r.node.rollouts
	route := &routes.Entry{Route: routes.Route{Name: "r", Objective: 100 * time.Millisecond}}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			now := boottime.Now()
			p := &pendingRequest{service: "s", admission: admission{route: route}}
			choice := steer.Choice{Target: steer.Target{ID: name, Version: "v2"}, TargetAge: tt.age}
			tracker.record(now, p, attempt{choice: choice, start: now.Add(-tt.took)}, tt.ending)
			tracker.mu.Lock()
			defer tracker.mu.Unlock()
			if got := tracker.byService["s"].counts[rollout.Source{Route: "r", Target: xxhash.Sum64String(name)}]; got != tt.want {
				t.Errorf("got %+v, want %+v", got, tt.want)
			}
		})
	}
}
