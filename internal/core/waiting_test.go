package core

import (
	"testing"
	"time"

	"github.com/firlever/firlever/pkg/settings"
)

var (
	orders = settings.ServiceID{Team: "shop", Name: "orders"}
	near   = Peer{ID: "i2", Incarnation: 1, Place: "east", Domain: "east", Region: "coast"}
)

// fullNode returns a node whose two slots are taken, next to a peer without free slots.
func fullNode(t *testing.T) *Node {
	t.Helper()
	n := testNode(t, nil)
	n.Step(begin, PeersChanged{Peers: []Peer{near}})
	n.Step(begin, FreeSlotsReceived{Peer: "i2", Services: []FreeSlots{{Service: orders}}})
	n.Step(begin, request(1, "10.1.0.1"))
	n.Step(begin, request(2, "10.1.0.1"))
	return n
}

// TestQueueFollowsLocalPeer checks that a queued request goes to a local peer that
// reports a free slot, unless a peer handed it off: that one must not be handed off
// again.
func TestQueueFollowsLocalPeer(t *testing.T) {
	tests := map[string]struct {
		origin Origin
		want   string
	}{
		"from a caller": {FromCaller, "hand"},
		"from a peer":   {FromPeer, "nothing"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			n := fullNode(t)
			waiting := request(3, "10.1.0.1")
			waiting.Origin = tt.origin
			if got := decisionName(n.Step(begin, waiting)); got != "hold" {
				t.Fatalf("got %q, want it to wait", got)
			}
			report := FreeSlotsReceived{Peer: "i2", Services: []FreeSlots{{Service: orders, Free: 1}}}
			if got := decisionName(n.Step(begin, report)); got != tt.want {
				t.Errorf("got %q, want %q", got, tt.want)
			}
		})
	}
}

// TestOldRoomIsForgotten checks that a peer's report of its free slots becomes void when
// the peer restarts or the roster changes the ownership. The peer is then tried again.
func TestOldRoomIsForgotten(t *testing.T) {
	restarted := near
	restarted.Incarnation = 2
	left, err := testRoster(t, "i1", "i2").MarkLeaving("i1", 1)
	if err != nil {
		t.Fatal(err)
	}
	tests := map[string]struct {
		event Event
		want  string
	}{
		"nothing new":     {PeersChanged{Peers: []Peer{near}}, "nothing"},
		"new incarnation": {PeersChanged{Peers: []Peer{restarted}}, "hand"},
		"new roster":      {RosterRead{Roster: left, Sent: begin}, "hand"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			n := fullNode(t)
			if got := decisionName(n.Step(begin, request(3, "10.1.0.1"))); got != "hold" {
				t.Fatalf("got %q, want it to wait", got)
			}
			if got := decisionName(n.Step(begin, tt.event)); got != tt.want {
				t.Errorf("got %q, want %q", got, tt.want)
			}
		})
	}
}

// TestPeersRequestNeedsOwnTarget checks that an instance that owns none of the service's
// targets refuses a request that a peer handed off: it would wait in vain.
func TestPeersRequestNeedsOwnTarget(t *testing.T) {
	n := testNode(t, nil)
	without, err := testRoster(t, "i1", "i2").Remove("i1", 1, true)
	if err != nil {
		t.Fatal(err)
	}
	n.Step(begin, RosterRead{Roster: without, Sent: begin})
	handed := request(1, "10.1.0.1")
	handed.Origin = FromPeer
	if got, want := decisionName(n.Step(begin, handed)), "refuse no-targets"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

// TestPeersRequestMeetsStop checks that a stopping instance refuses a request that a peer
// handed off: it serves none of these, so the request would wait in vain.
func TestPeersRequestMeetsStop(t *testing.T) {
	n := testNode(t, nil)
	n.Step(begin, Stopping{})
	handed := request(1, "10.1.0.1")
	handed.Origin = FromPeer
	if got, want := decisionName(n.Step(begin, handed)), "refuse stopping"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

// TestWaitEndsAtStart checks that a request is not started after its start deadline: a
// caller abandons an attempt whose answer has not begun in time.
func TestWaitEndsAtStart(t *testing.T) {
	tests := map[string]struct {
		start time.Duration
		want  time.Duration
	}{
		"no start":           {0, 2 * time.Second},
		"start":              {time.Second, time.Second},
		"start past the end": {time.Minute, 2 * time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			n := testNode(t, nil)
			n.Step(begin, request(1, "10.1.0.1"))
			n.Step(begin, request(2, "10.1.0.1"))
			waiting := request(3, "10.1.0.1")
			if tt.start > 0 {
				waiting.Request.StartDeadline = begin.Add(tt.start)
			}
			n.Step(begin, waiting)
			if got := decisionName(n.Step(begin.Add(tt.want-1), Tick{})); got == "refuse deadline" {
				t.Errorf("got a refusal before %s", tt.want)
			}
			if got := decisionName(n.Step(begin.Add(tt.want), Tick{})); got != "refuse deadline" {
				t.Errorf("got %q at %s, want a refusal", got, tt.want)
			}
		})
	}
}

// TestStrayFinished checks that the end of an attempt that was never decided changes
// nothing.
func TestStrayFinished(t *testing.T) {
	n := testNode(t, nil)
	for id := range ID(3) {
		n.Step(begin, request(id+1, "10.1.0.1"))
	}
	n.Step(begin, Finished{ID: 3, Result: Failed, Final: true})
	n.Step(begin, Finished{ID: 1, Result: Answered})
	if got := n.InFlight(); got != 2 {
		t.Errorf("got %d requests inside, want the two that were not answered", got)
	}
}
