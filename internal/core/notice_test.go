package core

import (
	"testing"
	"time"

	"github.com/firlever/firlever/internal/notice"
	"github.com/firlever/firlever/internal/once"
)

// nodeWithNotice returns a node whose only target has sent a notice at a time.
func nodeWithNotice(t *testing.T, at time.Time, sent notice.Notice) *Node {
	t.Helper()
	n := testNode(t, nil)
	n.Step(begin, Applied{Snapshot: testSnapshot(t, "")})
	n.Step(at, NoticeReceived{Target: testTarget, Sent: at, Notice: sent, Complete: sent.BackOff == 0})
	return n
}

var (
	leavingNotice = notice.Notice{Leaving: true}
	backOffNotice = notice.Notice{BackOff: 3 * time.Second}
	limitNotice   = notice.Notice{HasLimit: true, Limit: 10}
)

// TestNoWayPastANotice checks that a request is refused at once, whichever way it comes,
// when no target here accepts any.
func TestNoWayPastANotice(t *testing.T) {
	at := begin.Add(2 * time.Second)
	notices := map[string]struct {
		sent  notice.Notice
		want  Reason
		after time.Duration // minimum retry delay; up to retrySpread is added
	}{
		"leaving": {leavingNotice, ReasonDrained, retryLeaving},
		"rest":    {backOffNotice, ReasonBackingOff, 3 * time.Second},
		"limit":   {limitNotice, ReasonLimited, 100 * time.Millisecond},
	}
	handed := request(3, "10.1.0.1")
	handed.Origin, handed.Request.From = FromPeer, "i2"
	ways := map[string]func(n *Node, ev NoticeReceived) []Decision{
		"arrives": func(n *Node, ev NoticeReceived) []Decision {
			n.Step(at, ev)
			return n.Step(at, request(3, "10.1.0.1"))
		},
		"is handed over": func(n *Node, ev NoticeReceived) []Decision {
			n.Step(at, ev)
			return n.Step(at, handed)
		},
		"waits": func(n *Node, ev NoticeReceived) []Decision {
			n.Step(at, request(1, "10.1.0.1"))
			n.Step(at, request(2, "10.1.0.1"))
			if got := decisionName(n.Step(at, request(3, "10.1.0.1"))); got != "hold" {
				t.Fatalf("got %s, want hold", got)
			}
			return n.Step(at, ev)
		},
		"was refused there": func(n *Node, ev NoticeReceived) []Decision {
			n.Step(at, request(3, "10.1.0.1"))
			n.Step(at, ev)
			retry, _ := n.unavailableUntil(at, testTarget)
			return n.Step(at, Finished{ID: 3, Result: NotRun, Proof: once.ProofRefusal, RetryAt: retry})
		},
	}
	for name, tt := range notices {
		for way, send := range ways {
			t.Run(name+"/"+way, func(t *testing.T) {
				n := testNode(t, nil)
				n.Step(begin, Applied{Snapshot: testSnapshot(t, "")})
				var got Refuse
				for _, d := range send(n, NoticeReceived{Target: testTarget, Sent: at, Notice: tt.sent, Complete: tt.sent.BackOff == 0}) {
					if r, ok := d.(Refuse); ok {
						got = r
					}
				}
				if got.ID != 3 || got.Unknown || got.Reason != tt.want && way != "was refused there" {
					t.Fatalf("got %+v, want request 3 refused as %s", got, tt.want)
				}
				if wait := got.RetryAt.Sub(at); wait < tt.after || wait > tt.after+retrySpread {
					t.Errorf("got a retry delay of %s, want %s or up to %s more", wait, tt.after, retrySpread)
				}
				for _, r := range n.FreeSlots(at) {
					if r.Free != 0 {
						t.Errorf("got %d free slots reported to peers, want none", r.Free)
					}
				}
			})
		}
	}
}

// TestNoticeEnds checks that a notice ends at the time that it states, or with an answer
// that no longer contains it.
func TestNoticeEnds(t *testing.T) {
	at := begin.Add(2 * time.Second)
	tests := map[string]struct {
		sent  notice.Notice
		later NoticeReceived
		after time.Duration
		want  string
	}{
		"rest":                      {backOffNotice, NoticeReceived{}, 3 * time.Second, "serve"},
		"rest, an answer meanwhile": {backOffNotice, NoticeReceived{Sent: at.Add(1), Complete: true}, time.Second, "refuse resting"},
		"leaving goes on":           {leavingNotice, NoticeReceived{}, time.Minute, "refuse drained"},
		"leaving, asked before":     {leavingNotice, NoticeReceived{Sent: at.Add(-1), Complete: true}, time.Second, "refuse drained"},
		"leaving, a failure":        {leavingNotice, NoticeReceived{Sent: at.Add(1)}, time.Second, "refuse drained"},
		"leaving, a probe":          {leavingNotice, NoticeReceived{Sent: at.Add(1), Complete: true}, time.Second, "serve"},
		"limit over":                {notice.Notice{HasLimit: true}, NoticeReceived{Sent: at.Add(1), Complete: true}, time.Second, "serve"},
		"no requests, a trial":      {notice.Notice{HasLimit: true}, NoticeReceived{}, zeroLimitBackOff, "serve"},
		"no requests":               {notice.Notice{HasLimit: true}, NoticeReceived{}, zeroLimitBackOff - 1, "refuse limited"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			n := nodeWithNotice(t, at, tt.sent)
			if !tt.later.Sent.IsZero() {
				tt.later.Target = testTarget
				n.Step(at.Add(time.Millisecond), tt.later)
			}
			if got := decisionName(n.Step(at.Add(tt.after), request(1, "10.1.0.1"))); got != tt.want {
				t.Errorf("got %s, want %s", got, tt.want)
			}
		})
	}
}

// TestUnreadableNotice checks that a notice that can't be parsed has no effect and is
// reported once.
func TestUnreadableNotice(t *testing.T) {
	at := begin.Add(2 * time.Second)
	n := nodeWithNotice(t, at, notice.Notice{})
	reports := 0
	for i := range 3 {
		for _, d := range n.Step(at, NoticeReceived{Target: testTarget, Sent: at, Unreadable: []string{"Firlever-Limit: many"}, Complete: true}) {
			if _, ok := d.(ReportNotice); ok {
				reports++
			}
		}
		if got := decisionName(n.Step(at, request(ID(i+1), "10.1.0.1"))); got == "refuse limited" {
			t.Errorf("got %s, want a target that may get requests", got)
		}
	}
	if reports != 1 {
		t.Errorf("got %d reports, want 1", reports)
	}
}

// TestMoreThanATargetsLimit checks that a target gets requests at the rate that it
// announced.
func TestMoreThanATargetsLimit(t *testing.T) {
	at := begin.Add(2 * time.Second)
	n := nodeWithNotice(t, at, limitNotice)
	got := 0
	for i := range 2000 {
		now := at.Add(time.Duration(i) * 2 * time.Millisecond)
		id := ID(i + 1)
		if decisionName(n.Step(now, request(id, "10.1.0.1"))) == "serve" {
			got++
			n.Step(now, NoticeReceived{Target: testTarget, Sent: now, Notice: limitNotice, Complete: true})
			n.Step(now, Finished{ID: id, Result: Answered, Status: 200, Took: time.Millisecond})
		}
	}
	if got < 35 || got > 40 {
		t.Errorf("got %d requests in 4 s, want 35 to 40", got)
	}
}
