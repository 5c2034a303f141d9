package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/firlever/firlever/internal/crash"
)

const (
	fatal    crash.Print = 7
	harmless crash.Print = 8
)

// sends makes a request with a fingerprint arrive and returns the decision's word.
func (n *Node) sends(now time.Time, id ID, p crash.Print) string {
	ev := request(id, "10.1.0.1")
	ev.Request.Sent = p
	return word(n.Step(now, ev))
}

// dies lets the target end under a request that is there, and be back when it is probed.
func (n *Node) dies(t *testing.T, now time.Time, id ID) []Decision {
	t.Helper()
	asked := false
	for _, d := range n.Step(now, Finished{ID: id, Result: Failed, Broken: true}) {
		p, ok := d.(Probe)
		asked = asked || ok && p.Look && p.Target == testTarget
	}
	if !asked {
		t.Error("got no look at a target that broke an attempt off")
	}
	n.Step(now, Ended{ID: id, Target: testTarget})
	told := n.Step(now, Probed{Target: testTarget, Asked: now, Err: true, Refused: true})
	n.Step(now, Probed{Target: testTarget, Asked: now, Healthy: true, Slots: 2})
	return told
}

// endThree lets the target end three times under the fatal request.
func endThree(t *testing.T, n *Node) (now time.Time) {
	t.Helper()
	now = begin
	for id := ID(1); id <= 3; id++ {
		now = now.Add(5 * time.Second) // ejections are over
		n.Step(now, Tick{})
		if got := n.sends(now, id, fatal); got != "serve" {
			t.Fatalf("request %d: got %s, want serve", id, got)
		}
		n.dies(t, now, id)
	}
	return now.Add(5 * time.Second)
}

// A request that has ended three targets is refused, others are not, and it is forgotten.
func TestEndsTargets(t *testing.T) {
	n := testNode(t, nil)
	now := endThree(t, n)
	n.Step(now, Tick{})
	if got := n.sends(now, 10, fatal); got != "refuse ends-targets" {
		t.Errorf("got %s for the fatal request, want it refused", got)
	}
	if got := n.sends(now, 11, harmless); got != "serve" {
		t.Errorf("got %s for another request, want serve", got)
	}
	n.Step(now, Finished{ID: 11, Result: Answered, Status: 200})
	now = now.Add(evidenceTime)
	n.Step(now, Tick{})
	if got := n.sends(now, 12, fatal); got != "serve" {
		t.Errorf("got %s for the fatal request once it was forgotten, want serve", got)
	}
	n.dies(t, now, 12)
	now = now.Add(5 * time.Second)
	n.Step(now, Tick{})
	if got := n.sends(now, 13, fatal); got != "refuse ends-targets" {
		t.Errorf("got %s after it has ended one more, want it refused", got)
	}
}

// What else happens at targets is no end of them.
func TestEndsNoTargets(t *testing.T) {
	tests := map[string]func(n *Node, now time.Time, id ID){
		"the target lives": func(n *Node, now time.Time, id ID) {
			n.Step(now, Finished{ID: id, Result: Failed, Broken: true})
			n.Step(now, Probed{Target: testTarget, Asked: now, Healthy: true, Slots: 2})
		},
		"it is not known": func(n *Node, now time.Time, id ID) {
			n.Step(now, Finished{ID: id, Result: Failed, Broken: true})
			n.Step(now, Probed{Target: testTarget, Asked: now, Err: true})
		},
		"an end that was seen before": func(n *Node, now time.Time, id ID) {
			n.Step(now, Finished{ID: id, Result: Failed, Broken: true})
			n.Step(now, Probed{Target: testTarget, Asked: now.Add(-time.Millisecond), Err: true, Refused: true})
		},
		"the caller left": func(n *Node, now time.Time, id ID) {
			n.Step(now, Finished{ID: id, Result: Failed, Broken: true, Gone: true})
			n.Step(now, Probed{Target: testTarget, Asked: now, Err: true, Refused: true})
		},
		"its time was over": func(n *Node, now time.Time, id ID) {
			n.Step(now, Finished{ID: id, Result: Failed})
			n.Step(now, Probed{Target: testTarget, Asked: now, Err: true, Refused: true})
		},
		"it was answered shortly before": func(n *Node, now time.Time, id ID) {
			n.Step(now, Finished{ID: id, Result: Failed})
			n.Step(now, Ended{ID: id, Target: testTarget})
			n.Step(now, Probed{Target: testTarget, Asked: now, Healthy: true, Slots: 2})
			n.sends(now, 100+id, fatal)
			n.Step(now, Finished{ID: 100 + id, Result: Answered, Status: 200})
			n.sends(now, 200+id, fatal)
			n.Step(now, Finished{ID: 200 + id, Result: Failed, Broken: true})
			n.Step(now, Ended{ID: 200 + id, Target: testTarget})
			n.Step(now, Probed{Target: testTarget, Asked: now, Err: true, Refused: true})
			n.Step(now, Probed{Target: testTarget, Asked: now, Healthy: true, Slots: 2})
		},
		"it is answered between": func(n *Node, now time.Time, id ID) {
			n.Step(now, Finished{ID: id, Result: Failed, Broken: true})
			n.Step(now, Probed{Target: testTarget, Asked: now, Err: true, Refused: true})
			n.Step(now, Probed{Target: testTarget, Asked: now, Healthy: true, Slots: 2})
			n.sends(now, 100+id, fatal)
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
				if got := n.sends(now, id, fatal); got == "refuse ends-targets" {
					t.Fatalf("got request %d refused as one that ends targets", id)
				}
				play(n, now, id)
				n.Step(now, Ended{ID: id, Target: testTarget})
			}
		})
	}
}

// A request that waits for a slot is judged again when it gets one.
func TestEndsTargetsWhileItWaits(t *testing.T) {
	n := testNode(t, nil)
	now := begin.Add(time.Second)
	for id := ID(1); id <= 2; id++ {
		n.sends(now, id, harmless)
	}
	if got := n.sends(now, 3, fatal); got != "hold" {
		t.Fatalf("got %s, want hold", got)
	}
	n.Step(now, CrashesHeard{News: threeEnds("")})
	if got := word(n.Step(now, Finished{ID: 1, Result: Answered, Status: 200})); got != "refuse ends-targets" {
		t.Errorf("got %s when a slot was free, want it refused", got)
	}
}

// threeEnds is what an instance tells of three targets that ended under the fatal request.
func threeEnds(place string) CrashNews {
	news := CrashNews{Place: place}
	for i := range 3 {
		news.Reports = append(news.Reports, CrashReport{
			Key: fmt.Sprint("k", i), Report: crash.Report{Target: fmt.Sprint("t", i), Prints: []crash.Print{fatal, harmless + crash.Print(i)}},
		})
	}
	return news
}

// told lists who is told what by decisions.
func told(decisions []Decision) string {
	text := ""
	for _, d := range decisions {
		tell, ok := d.(TellCrashes)
		if !ok {
			continue
		}
		for _, p := range tell.Peers {
			text += p.ID + " "
		}
		text += fmt.Sprint(len(tell.News.Reports), " ends ", len(tell.News.Answered), " answered;")
	}
	return text
}

// Ends of targets are told in the place and to two instances of each other place, and passed
// on once by those; instances that start are told all by one of the others.
func TestCrashesAreTold(t *testing.T) {
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
			n.sends(begin, 1, fatal)
			return n.dies(t, begin, 1)
		}, "i2 i3 w1 w2 1 ends 0 answered;"},
		"by a peer of this place": {func(_ *testing.T, n *Node) []Decision {
			return n.Step(begin, CrashesHeard{News: threeEnds("east")})
		}, ""},
		"at the start of this one": {func(_ *testing.T, n *Node) []Decision {
			return n.Step(begin, CrashesHeard{News: threeEnds("")})
		}, ""},
		"by a peer of another place": {func(_ *testing.T, n *Node) []Decision {
			return n.Step(begin, CrashesHeard{News: threeEnds("west")})
		}, "i2 i3 3 ends 0 answered;"},
		"twice": {func(_ *testing.T, n *Node) []Decision {
			n.Step(begin, CrashesHeard{News: threeEnds("west")})
			return n.Step(begin, CrashesHeard{News: threeEnds("west")})
		}, ""},
		"an answer near to being held back": {func(_ *testing.T, n *Node) []Decision {
			news := threeEnds("east")
			news.Reports = news.Reports[:2]
			n.Step(begin, CrashesHeard{News: news})
			n.sends(begin, 1, fatal)
			return n.Step(begin, Finished{ID: 1, Result: Answered, Status: 200})
		}, "i2 i3 w1 w2 0 ends 1 answered;"},
		"a newcomer": {func(_ *testing.T, n *Node) []Decision {
			n.Step(begin, CrashesHeard{News: threeEnds("east")})
			return n.Step(begin, restarted)
		}, "i2 3 ends 0 answered;"},
		"a newcomer after an answer": {func(_ *testing.T, n *Node) []Decision {
			n.Step(begin, CrashesHeard{News: threeEnds("east")})
			n.Step(begin, CrashesHeard{News: CrashNews{Answered: []crash.Print{fatal, harmless}}})
			return n.Step(begin, restarted)
		}, "i2 2 ends 0 answered;"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			n := testNode(t, nil)
			n.Step(begin, peers)
			if got := told(tt.play(t, n)); got != tt.want {
				t.Errorf("got %q, want %q", got, tt.want)
			}
		})
	}
}

// A peer that is told holds the request back too, and lets it go after an answer.
func TestCrashesHeard(t *testing.T) {
	n := testNode(t, nil)
	n.Step(begin, CrashesHeard{News: threeEnds("east")})
	if got := n.sends(begin, 1, fatal); got != "refuse ends-targets" {
		t.Errorf("got %s, want it refused", got)
	}
	n.Step(begin, CrashesHeard{News: CrashNews{Answered: []crash.Print{fatal}}})
	if got := n.sends(begin, 2, fatal); got != "serve" {
		t.Errorf("got %s after an answer elsewhere, want serve", got)
	}
}
