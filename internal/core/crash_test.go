package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/firlever/firlever/internal/crash"
)

const (
	poison   crash.Fingerprint = 7
	harmless crash.Fingerprint = 8
)

// sendFingerprint lets a request with a fingerprint arrive, and returns the decision's
// name.
func (n *Node) sendFingerprint(now time.Time, id ID, p crash.Fingerprint) string {
	ev := request(id, "10.1.0.1")
	ev.Request.CrashFingerprint = p
	return decisionName(n.Step(now, ev))
}

// crashTarget lets the target crash under a request that is in flight there, and then
// answer a probe again.
func (n *Node) crashTarget(t *testing.T, now time.Time, id ID) []Decision {
	t.Helper()
	asked := false
	for _, d := range n.Step(now, Finished{ID: id, Result: Failed, Aborted: true}) {
		p, ok := d.(Probe)
		asked = asked || ok && p.NewConnection && p.Target == testTarget
	}
	if !asked {
		t.Error("got no probe of a target that aborted an attempt")
	}
	n.Step(now, ConnectionEnded{ID: id, Target: testTarget})
	decisions := n.Step(now, Probed{Target: testTarget, Sent: now, Err: true, Refused: true})
	n.Step(now, Probed{Target: testTarget, Sent: now, Healthy: true, Slots: 2})
	return decisions
}

// crashThree lets the target crash three times under the poison request.
func crashThree(t *testing.T, n *Node) (now time.Time) {
	t.Helper()
	now = begin
	for id := ID(1); id <= 3; id++ {
		now = now.Add(5 * time.Second) // ejections are over
		n.Step(now, Tick{})
		if got := n.sendFingerprint(now, id, poison); got != "serve" {
			t.Fatalf("request %d: got %s, want serve", id, got)
		}
		n.crashTarget(t, now, id)
	}
	return now.Add(5 * time.Second)
}

// TestPoisonRequestIsRefused checks that a request that has crashed three targets is
// refused, that others are not, and that this ends after crashRetention.
func TestPoisonRequestIsRefused(t *testing.T) {
	n := testNode(t, nil)
	now := crashThree(t, n)
	n.Step(now, Tick{})
	if got := n.sendFingerprint(now, 10, poison); got != "refuse ends-targets" {
		t.Errorf("got %s for the poison request, want it refused", got)
	}
	if got := n.sendFingerprint(now, 11, harmless); got != "serve" {
		t.Errorf("got %s for another request, want serve", got)
	}
	n.Step(now, Finished{ID: 11, Result: Answered, Status: 200})
	now = now.Add(crashRetention)
	n.Step(now, Tick{})
	if got := n.sendFingerprint(now, 12, poison); got != "serve" {
		t.Errorf("got %s for the poison request after crashRetention, want serve", got)
	}
	n.crashTarget(t, now, 12)
	now = now.Add(5 * time.Second)
	n.Step(now, Tick{})
	if got := n.sendFingerprint(now, 13, poison); got != "refuse ends-targets" {
		t.Errorf("got %s after one more crash, want it refused", got)
	}
}

// TestNoCrashEvidence checks what must not count as a crash of a target.
func TestNoCrashEvidence(t *testing.T) {
	tests := map[string]func(n *Node, now time.Time, id ID){
		"the target lives": func(n *Node, now time.Time, id ID) {
			n.Step(now, Finished{ID: id, Result: Failed, Aborted: true})
			n.Step(now, Probed{Target: testTarget, Sent: now, Healthy: true, Slots: 2})
		},
		"it is not known": func(n *Node, now time.Time, id ID) {
			n.Step(now, Finished{ID: id, Result: Failed, Aborted: true})
			n.Step(now, Probed{Target: testTarget, Sent: now, Err: true})
		},
		"an end that was seen before": func(n *Node, now time.Time, id ID) {
			n.Step(now, Finished{ID: id, Result: Failed, Aborted: true})
			n.Step(now, Probed{Target: testTarget, Sent: now.Add(-time.Millisecond), Err: true, Refused: true})
		},
		"the caller left": func(n *Node, now time.Time, id ID) {
			n.Step(now, Finished{ID: id, Result: Failed, Aborted: true, CallerGone: true})
			n.Step(now, Probed{Target: testTarget, Sent: now, Err: true, Refused: true})
		},
		"its time was over": func(n *Node, now time.Time, id ID) {
			n.Step(now, Finished{ID: id, Result: Failed})
			n.Step(now, Probed{Target: testTarget, Sent: now, Err: true, Refused: true})
		},
		"it was answered shortly before": func(n *Node, now time.Time, id ID) {
			n.Step(now, Finished{ID: id, Result: Failed})
			n.Step(now, ConnectionEnded{ID: id, Target: testTarget})
			n.Step(now, Probed{Target: testTarget, Sent: now, Healthy: true, Slots: 2})
			n.sendFingerprint(now, 100+id, poison)
			n.Step(now, Finished{ID: 100 + id, Result: Answered, Status: 200})
			n.sendFingerprint(now, 200+id, poison)
			n.Step(now, Finished{ID: 200 + id, Result: Failed, Aborted: true})
			n.Step(now, ConnectionEnded{ID: 200 + id, Target: testTarget})
			n.Step(now, Probed{Target: testTarget, Sent: now, Err: true, Refused: true})
			n.Step(now, Probed{Target: testTarget, Sent: now, Healthy: true, Slots: 2})
		},
		"it is answered between": func(n *Node, now time.Time, id ID) {
			n.Step(now, Finished{ID: id, Result: Failed, Aborted: true})
			n.Step(now, Probed{Target: testTarget, Sent: now, Err: true, Refused: true})
			n.Step(now, Probed{Target: testTarget, Sent: now, Healthy: true, Slots: 2})
			n.sendFingerprint(now, 100+id, poison)
			n.Step(now, Finished{ID: 100 + id, Result: Answered, Status: 200})
		},
	}
	for name, play := range tests {
		t.Run(name, func(t *testing.T) {
			n := testNode(t, nil)
			now := begin
			for id := ID(1); id <= 8; id++ {
				now = now.Add(20 * time.Second)
				n.Step(now, Tick{})
				if got := n.sendFingerprint(now, id, poison); got == "refuse ends-targets" {
					t.Fatalf("got request %d refused as a poison request", id)
				}
				play(n, now, id)
				n.Step(now, ConnectionEnded{ID: id, Target: testTarget})
			}
		})
	}
}

// TestPoisonCheckedAfterQueue checks that a queued request is checked again when it gets
// a slot.
func TestPoisonCheckedAfterQueue(t *testing.T) {
	n := testNode(t, nil)
	now := begin.Add(time.Second)
	for id := ID(1); id <= 2; id++ {
		n.sendFingerprint(now, id, harmless)
	}
	if got := n.sendFingerprint(now, 3, poison); got != "hold" {
		t.Fatalf("got %s, want hold", got)
	}
	n.Step(now, CrashesReceived{Update: threeCrashes("")})
	if got := decisionName(n.Step(now, Finished{ID: 1, Result: Answered, Status: 200})); got != "refuse ends-targets" {
		t.Errorf("got %s when a slot became free, want it refused", got)
	}
}

// threeCrashes returns one instance's update about three targets that crashed under the
// poison request.
func threeCrashes(place string) CrashUpdate {
	update := CrashUpdate{Place: place}
	for i := range 3 {
		update.Reports = append(update.Reports, CrashReport{
			Key: fmt.Sprint("k", i), Report: crash.Report{Target: fmt.Sprint("t", i), Fingerprints: []crash.Fingerprint{poison, harmless + crash.Fingerprint(i)}},
		})
	}
	return update
}

// notified lists the recipients and the contents of crash updates among decisions.
func notified(decisions []Decision) string {
	text := ""
	for _, d := range decisions {
		send, ok := d.(SendCrashes)
		if !ok {
			continue
		}
		for _, p := range send.Peers {
			text += p.ID + " "
		}
		text += fmt.Sprint(len(send.Update.Reports), " ends ", len(send.Update.Answered), " answered;")
	}
	return text
}

// TestCrashesAreReported checks that crashes are reported within the place and to two
// instances of each other place, which relay them once. An instance that starts gets all
// reports from one of the others.
func TestCrashesAreReported(t *testing.T) {
	peer := func(id, place string, incarnation uint64) Peer {
		return Peer{ID: id, Incarnation: incarnation, Place: place, Domain: place, Region: "coast"}
	}
	peers := PeersChanged{Peers: []Peer{peer("i2", "east", 1), peer("i3", "east", 1), peer("w1", "west", 1), peer("w2", "west", 1), peer("w3", "west", 1)}}
	restarted := PeersChanged{Peers: append([]Peer{peer("i2", "east", 2)}, peers.Peers[1:]...)}
	tests := map[string]struct {
		play func(t *testing.T, n *Node) []Decision
		want string
	}{
		"by who saw it": {func(t *testing.T, n *Node) []Decision {
			n.sendFingerprint(begin, 1, poison)
			return n.crashTarget(t, begin, 1)
		}, "i2 i3 w1 w2 1 ends 0 answered;"},
		"by a peer of this place": {func(_ *testing.T, n *Node) []Decision {
			return n.Step(begin, CrashesReceived{Update: threeCrashes("east")})
		}, ""},
		"at the start of this one": {func(_ *testing.T, n *Node) []Decision {
			return n.Step(begin, CrashesReceived{Update: threeCrashes("")})
		}, ""},
		"by a peer of another place": {func(_ *testing.T, n *Node) []Decision {
			return n.Step(begin, CrashesReceived{Update: threeCrashes("west")})
		}, "i2 i3 3 ends 0 answered;"},
		"twice": {func(_ *testing.T, n *Node) []Decision {
			n.Step(begin, CrashesReceived{Update: threeCrashes("west")})
			return n.Step(begin, CrashesReceived{Update: threeCrashes("west")})
		}, ""},
		"an answer near to being held back": {func(_ *testing.T, n *Node) []Decision {
			update := threeCrashes("east")
			update.Reports = update.Reports[:2]
			n.Step(begin, CrashesReceived{Update: update})
			n.sendFingerprint(begin, 1, poison)
			return n.Step(begin, Finished{ID: 1, Result: Answered, Status: 200})
		}, "i2 i3 w1 w2 0 ends 1 answered;"},
		"a newcomer": {func(_ *testing.T, n *Node) []Decision {
			n.Step(begin, CrashesReceived{Update: threeCrashes("east")})
			return n.Step(begin, restarted)
		}, "i2 3 ends 0 answered;"},
		"a newcomer after an answer": {func(_ *testing.T, n *Node) []Decision {
			n.Step(begin, CrashesReceived{Update: threeCrashes("east")})
			n.Step(begin, CrashesReceived{Update: CrashUpdate{Answered: []crash.Fingerprint{poison, harmless}}})
			return n.Step(begin, restarted)
		}, "i2 2 ends 0 answered;"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			n := testNode(t, nil)
			n.Step(begin, peers)
			if got := notified(tt.play(t, n)); got != tt.want {
				t.Errorf("got %q, want %q", got, tt.want)
			}
		})
	}
}

// TestCrashesReceived checks that a notified peer refuses the request too, and accepts it
// again after an answer elsewhere.
func TestCrashesReceived(t *testing.T) {
	n := testNode(t, nil)
	n.Step(begin, CrashesReceived{Update: threeCrashes("east")})
	if got := n.sendFingerprint(begin, 1, poison); got != "refuse ends-targets" {
		t.Errorf("got %s, want it refused", got)
	}
	n.Step(begin, CrashesReceived{Update: CrashUpdate{Answered: []crash.Fingerprint{poison}}})
	if got := n.sendFingerprint(begin, 2, poison); got != "serve" {
		t.Errorf("got %s after an answer elsewhere, want serve", got)
	}
}
