package core

import (
	"testing"
	"time"

	"github.com/firlever/firlever/internal/once"
)

// TestForwardedEndsAtHome checks that only a key's home may run its request, and that
// only the home can confirm that the key has not run.
func TestForwardedEndsAtHome(t *testing.T) {
	tests := map[string]struct {
		ev   Finished
		want Refuse
	}{
		"refused by the home": {
			Finished{Result: NotRun, Proof: once.ProofRefusal, Reason: ReasonFull},
			Refuse{Reason: ReasonFull},
		},
		"no connection": {
			Finished{Result: NotRun, Proof: once.ProofNoConn},
			Refuse{Unknown: true, Reason: ReasonHomeUnreachable},
		},
		"no answer":        {Finished{Result: Failed}, Refuse{Unknown: true, Reason: ReasonHomeUnreachable}},
		"unknown, by home": {Finished{Result: Failed, Reason: ReasonKeyUnknown}, Refuse{Unknown: true, Reason: ReasonKeyUnknown}},
		"not sent":         {Finished{Result: NotRun, Proof: once.ProofNoByte}, Refuse{Unknown: true, Reason: ReasonHomeUnreachable}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			n := testNode(t, nil)
			ev := keyedAtHome(t, n)
			if got := n.Step(begin, ev); len(got) != 1 || got[0].(Forward).Peer.ID != "i2" {
				t.Fatalf("got %+v, want it forwarded to i2", got)
			}
			tt.ev.ID = ev.ID
			got := n.Step(begin, tt.ev)
			r, ok := got[0].(Refuse)
			if !ok || r.Unknown != tt.want.Unknown || r.Reason != tt.want.Reason {
				t.Errorf("got %+v, want %+v", got, tt.want)
			}
		})
	}
}

// keyedAtHome returns a request whose key's home is the peer i2.
func keyedAtHome(t *testing.T, n *Node) Arrived {
	t.Helper()
	issuer, err := once.NewIssuer("i2", 1, once.Secret{1}, newKeyRand([32]byte{1}))
	if err != nil {
		t.Fatal(err)
	}
	n.Step(begin, PeersChanged{Peers: []Peer{{ID: "i2", Incarnation: 1, Place: "west", Domain: "west", Region: "coast"}}})
	ev := request(1, "10.1.0.1")
	ev.Request.Method = "POST"
	ev.Request.Key = issuer.Issue(begin.Add(time.Minute)).String()
	return ev
}

// TestRefusalWithoutService checks that an instance without a configuration of the
// service does not claim that a key has not run.
func TestRefusalWithoutService(t *testing.T) {
	for name, want := range map[string]bool{"a key": true, "": false} {
		n := testNode(t, nil)
		ev := keyedAtHome(t, n)
		ev.Request.Service.Name = "another"
		if name == "" {
			ev.Request.Key = ""
		}
		if r, ok := n.Step(begin, ev)[0].(Refuse); !ok || r.Unknown != want {
			t.Errorf("%q: got %+v, want unknown %v", name, r, want)
		}
	}
}

// TestCancelledWhenExpired checks that a request that has waited too long is refused only
// once.
func TestCancelledWhenExpired(t *testing.T) {
	n := testNode(t, nil)
	for id := range ID(3) {
		n.Step(begin, request(id+1, "10.1.0.1"))
	}
	late := begin.Add(3 * time.Second)
	n.Step(late, Finished{ID: 1, Result: Answered}) // the queue drops the third
	refused := 0
	for _, d := range append(n.Step(late, Cancelled{ID: 3}), n.Step(late, Tick{})...) {
		if _, ok := d.(Refuse); ok {
			refused++
		}
	}
	if refused != 1 {
		t.Errorf("got %d refusals, want one", refused)
	}
}

// TestIdleWithPreviousIncarnation checks that the roster entry of an earlier incarnation
// does not keep a planned stop from ending.
func TestIdleWithPreviousIncarnation(t *testing.T) {
	n := testNode(t, func(c *Config) { c.Incarnation = 2 })
	n.Step(begin, Stopping{})
	if !n.Idle() {
		t.Error("got not idle, want idle despite the entry of incarnation 1")
	}
}

// TestSettlesRemoval checks that a removal with a lost answer is superseded by another
// write once the peer is known to be alive.
func TestSettlesRemoval(t *testing.T) {
	n := testNode(t, nil)
	n.Step(begin, RosterRead{Roster: testRoster(t, "i1", "i2"), Sent: begin})
	at := begin.Add(20 * time.Second)
	if d := swapOf(n.Step(at, Tick{})); d.Removed != "i2" {
		t.Fatalf("got %+v, want the removal of i2", d)
	}
	n.Step(at, PeersChanged{Peers: []Peer{{ID: "i2", Incarnation: 1, Place: "east"}}})
	if n.MayAck(at, "i2", 1, 2) {
		t.Error("got an ack while the removal may still be applied, want none")
	}
	d := swapOf(n.Step(at.Add(2*time.Second), Tick{}))
	if _, ok := d.Next.Member("i2"); !ok || d.Next.Version != 3 {
		t.Fatalf("got %+v, want version 3 with i2", d)
	}
	n.Step(at.Add(2*time.Second), RosterRead{Roster: d.Next, Sent: at})
	if !n.MayAck(at.Add(2*time.Second), "i2", 1, 3) {
		t.Error("got no ack after the removal was superseded, want one")
	}
}

func swapOf(decisions []Decision) SwapRoster {
	for _, d := range decisions {
		if s, ok := d.(SwapRoster); ok {
			return s
		}
	}
	return SwapRoster{}
}

// TestRefusedInTime checks that a peer's request leaves the queue early enough for the
// refusal to reach the peer while it still waits.
func TestRefusedInTime(t *testing.T) {
	for origin, want := range map[Origin]time.Duration{
		FromCaller: 2 * time.Second, FromPeer: 1900 * time.Millisecond, FromForward: 1900 * time.Millisecond,
	} {
		n := testNode(t, nil)
		for id := range ID(2) {
			n.Step(begin, request(id+1, "10.1.0.1"))
		}
		ev := request(3, "10.1.0.1")
		ev.Origin = origin
		if h, ok := n.Step(begin, ev)[0].(Hold); !ok || h.Until.Sub(begin) != want {
			t.Errorf("origin %d: got %+v, want it held for %v", origin, h, want)
		}
	}
}
