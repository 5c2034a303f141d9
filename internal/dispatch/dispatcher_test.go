package dispatch

import (
	"net/netip"
	"testing"
	"time"

	"github.com/firlever/firlever/internal/core"
	"github.com/firlever/firlever/internal/owner"
	"github.com/firlever/firlever/pkg/settings"
)

var testService = settings.ServiceID{Team: "shop", Name: "orders"}

const serviceDocument = `
class: interactive
timeout: 2s
shift: 1
places:
  east: {limit: 1, targets: [{name: e, address: "127.0.0.1:1", slots: 1, connections: 9}]}
`

// newDispatcher returns a dispatcher whose node has one slot.
func newDispatcher(t *testing.T) *Dispatcher {
	t.Helper()
	now := time.Unix(1_000_000, 0)
	cfg := core.Config{Instance: "i1", Incarnation: 1, Place: "east", Domain: "east", Region: "coast", Settle: 1}
	node, err := core.New(cfg, now)
	if err != nil {
		t.Fatal(err)
	}
	s, err := settings.Compile([]settings.Document{
		{Path: "/places/east", Version: 1, Body: []byte("region: coast\ndomain: east\nlimit: 1\n")},
		{Path: "/teams/shop/services/orders", Version: 1, Body: []byte(serviceDocument)},
	})
	if err != nil {
		t.Fatal(err)
	}
	roster, err := owner.Roster{}.Join("i1", 1)
	if err != nil {
		t.Fatal(err)
	}
	d := New(node, func() time.Time { now = now.Add(time.Microsecond); return now }, func(core.Decision) {})
	d.Step(core.Applied{Snapshot: s})
	d.Step(core.RosterRead{Roster: roster, Sent: now})
	return d
}

func (d *Dispatcher) addRequest(deadline time.Time) (core.ID, *Mailbox) {
	id, box := d.Open()
	d.Step(core.Arrived{ID: id, Request: core.Request{
		Service: testService, Method: "GET", Path: "/", Caller: netip.Addr{}, Deadline: deadline, Replayable: true,
	}})
	return id, box
}

// TestCloseReleasesRequest closes requests whose handlers were aborted at different
// stages. A request that was sent keeps its slot until its target has ended it too,
// even if a health check of the target succeeds before.
func TestCloseReleasesRequest(t *testing.T) {
	tests := map[string]struct {
		others int // earlier requests, which hold the slot
		end    bool
		kept   int // slots in use until the target has ended the attempt
	}{
		"at its target": {0, false, 1},
		"in the queue":  {1, false, 1},
		"answered":      {0, true, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			d := newDispatcher(t)
			for range tt.others {
				d.addRequest(time.Time{})
			}
			id, mailbox := d.addRequest(time.Time{})
			if len(mailbox.Take()) != 1 {
				t.Fatal("got no decision, want one")
			}
			if tt.end {
				d.Step(core.Finished{ID: id, Result: core.Answered})
			}
			d.Close(id)
			target := owner.TargetKey{Service: testService, Name: "e"}
			d.Step(core.Probed{Target: target, Sent: d.Now(), Healthy: true, Slots: 1})
			d.Step(core.Tick{})
			d.checkCounts(t, "before the target ends it", tt.others, tt.kept)
			d.Step(core.ConnectionEnded{ID: id, Target: target})
			d.checkCounts(t, "after the target ended it", tt.others, tt.others)
		})
	}
}

// checkCounts checks the number of open requests and of those that hold a slot, and
// that none is queued.
func (d *Dispatcher) checkCounts(t *testing.T, when string, open, inFlight int) {
	t.Helper()
	d.WithNode(func(now time.Time, n *core.Node) {
		st := n.Status(now)
		if st.InFlight != open || st.Queued != 0 || st.Services[0].InFlight != inFlight {
			t.Errorf("%s: got %d open, %d queued, %d in flight, want %d, 0, %d",
				when, st.InFlight, st.Queued, st.Services[0].InFlight, open, inFlight)
		}
	})
}

// TestMailboxNeverBlocks delivers many decisions before any is taken.
func TestMailboxNeverBlocks(t *testing.T) {
	const count = 1000
	d := newDispatcher(t)
	id, box := d.Open()
	for range count {
		d.deliver(core.Hold{ID: id})
	}
	<-box.Ready()
	if got := len(box.Take()); got != count {
		t.Errorf("got %d decisions, want %d", got, count)
	}
	d.Close(id)
	d.deliver(core.Hold{ID: id})
	if got := len(box.Take()); got != 0 {
		t.Errorf("got %d decisions after Close, want 0", got)
	}
}
