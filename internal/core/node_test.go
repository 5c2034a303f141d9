package core

import (
	"errors"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/firlever/firlever/internal/invariant"
	"github.com/firlever/firlever/internal/owner"
	"github.com/firlever/firlever/pkg/settings"
)

var begin = time.Unix(1_000_000, 0)

// testNode returns a node that owns one target with two slots in place east. The service
// has a second place, west.
func testNode(t *testing.T, change func(*Config)) *Node {
	t.Helper()
	cfg := Config{
		Instance: "i1", Incarnation: 1, Place: "east", Domain: "east", Region: "coast",
		Checks: invariant.New(func(n invariant.Name, d string) { t.Errorf("invariant %s: %s", n, d) }),
	}
	if change != nil {
		change(&cfg)
	}
	n, err := New(cfg, begin)
	if err != nil {
		t.Fatal(err)
	}
	n.Step(begin, Applied{Snapshot: testSnapshot(t, "")})
	n.Step(begin, RosterRead{Roster: testRoster(t, "i1"), Sent: begin})
	return n
}

func testRoster(t *testing.T, instances ...string) owner.Roster {
	t.Helper()
	var r owner.Roster
	for _, id := range instances {
		next, err := r.Join(id, 1)
		if err != nil {
			t.Fatal(err)
		}
		r = next
	}
	return r
}

func testSnapshot(t *testing.T, drain string) *settings.Snapshot {
	t.Helper()
	docs := []settings.Document{
		{Path: "/places/east", Version: 1, Body: []byte("region: coast\ndomain: east\nlimit: 2\n")},
		{Path: "/places/west", Version: 1, Body: []byte("region: coast\ndomain: west\nlimit: 2\n")},
		{Path: "/blocks/all", Version: 1, Body: []byte("blocks:\n  - {prefix: 10.1.0.0/16, place: east}\n  - {prefix: 10.2.0.0/16, place: west}\n")},
		{Path: "/teams/shop/services/orders", Version: 1, Body: []byte(testService)},
	}
	if drain != "" {
		docs = append(docs, settings.Document{Path: "/drains/test", Version: 1, Body: []byte(drain)})
	}
	s, err := settings.Compile(docs)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

const testService = `
class: interactive
timeout: 2s
shift: 1
places:
  east: {limit: 2, targets: [{name: e, address: "127.0.0.1:1", slots: 2, connections: 9}]}
  west: {limit: 2, targets: [{name: w, address: "127.0.0.1:2", slots: 2, connections: 9}]}
`

// testTarget is the target of place east.
var testTarget = owner.TargetKey{Service: ordersID, Name: "e"}

func request(id ID, caller string) Arrived {
	return Arrived{ID: id, Request: Request{
		Service: settings.ServiceID{Team: "shop", Name: "orders"}, Method: "GET", Path: "/",
		Caller: netip.MustParseAddr(caller), Name: fmt.Sprint(id), Replayable: true,
	}}
}

// decisionName names the first decision on a request, with the reason of a refusal.
func decisionName(decisions []Decision) string {
	for _, d := range decisions {
		switch d := d.(type) {
		case Serve:
			return "serve"
		case HandOff:
			return "hand"
		case Hold:
			return "hold"
		case Refuse:
			return "refuse " + string(d.Reason)
		}
	}
	return "nothing"
}

func TestPlacement(t *testing.T) {
	west := Peer{ID: "i2", Incarnation: 1, Place: "west", Domain: "west", Region: "coast"}
	tests := map[string]struct {
		drain  string
		peers  []Peer
		before int // requests in flight from callers at home here
		caller string
		want   string
	}{
		"own target":                  {caller: "10.1.0.1", want: "serve"},
		"full, a short wait":          {before: 2, caller: "10.1.0.1", want: "hold"},
		"home elsewhere":              {peers: []Peer{west}, caller: "10.2.0.1", want: "hand"},
		"home out of reach":           {caller: "10.2.0.1", want: "serve"},
		"drained here":                {drain: "place: east\n", peers: []Peer{west}, caller: "10.1.0.1", want: "hand"},
		"drained here, nobody beyond": {drain: "place: east\n", caller: "10.1.0.1", want: "refuse no-targets"},
		"no block: home is here":      {caller: "192.0.2.1", want: "serve"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			n := testNode(t, nil)
			n.Step(begin, Applied{Snapshot: testSnapshot(t, tt.drain)})
			n.Step(begin, PeersChanged{Peers: tt.peers})
			at := begin.Add(2 * time.Second) // the first window of the shift cap is over
			for i := range tt.before {
				n.Step(at, request(ID(i+1), "10.1.0.1"))
			}
			if got := decisionName(n.Step(at, request(99, tt.caller))); got != tt.want {
				t.Errorf("got %q, want %q", got, tt.want)
			}
		})
	}
}

func TestShiftCapHoldsBack(t *testing.T) {
	n := testNode(t, nil)
	at := begin.Add(2 * time.Second)
	if got := decisionName(n.Step(at, request(1, "10.2.0.1"))); got != "serve" {
		t.Fatalf("got %q, want the cap's first request served", got)
	}
	if got := decisionName(n.Step(at, request(2, "10.2.0.1"))); got != "hold" {
		t.Errorf("got %q, want the second to wait for the cap", got)
	}
	if got := decisionName(n.Step(at, request(3, "10.1.0.1"))); got != "serve" {
		t.Errorf("got %q, want a request from home served meanwhile", got)
	}
}

func TestSlotOfBrokenAttemptSettles(t *testing.T) {
	const settle, timeout = 250 * time.Millisecond, 2 * time.Second
	answered := func(asked time.Duration) Event {
		return Probed{Target: testTarget, Sent: begin.Add(asked), Healthy: true, Slots: 2}
	}
	ended := func(cut bool) Event { return ConnectionEnded{ID: 1, Target: testTarget, Reset: cut} }
	other := ConnectionEnded{ID: 2, Target: testTarget}
	type step struct {
		at time.Duration // after the abort
		ev Event
	}
	tests := map[string]struct {
		result Result
		steps  []step
		after  time.Duration
		want   string
	}{
		"answered":                              {Answered, nil, 0, "serve"},
		"broken":                                {Failed, nil, 1, "hold"},
		"broken, the target ended it":           {Failed, []step{{1, ended(false)}}, 1, "serve"},
		"broken, another one was ended":         {Failed, []step{{1, other}}, settle + 1, "hold"},
		"broken, heard on another connection":   {Failed, []step{{1, answered(1)}}, settle + 1, "hold"},
		"broken, heard for long, and not ended": {Failed, []step{{1, answered(1)}}, settle + timeout - 1, "hold"},
		"broken, longest after the break":       {Failed, nil, settle + timeout, "serve"},
		"cut":                                   {Failed, []step{{1, ended(true)}}, settle + 1, "hold"},
		"cut, heard, before":                    {Failed, []step{{1, ended(true)}, {1, answered(1)}}, settle, "hold"},
		"cut, heard before the cut was known":   {Failed, []step{{1, answered(1)}, {2, ended(true)}}, settle + 1, "serve"},
		"cut, heard":                            {Failed, []step{{1, ended(true)}, {1, answered(1)}}, settle + 1, "serve"},
		"cut, just heard":                       {Failed, []step{{1, ended(true)}, {time.Second, answered(1)}}, time.Second, "hold"},
		"cut, heard for long":                   {Failed, []step{{1, ended(true)}, {time.Second, answered(1)}}, time.Second + settle, "serve"},
		"cut, heard of before":                  {Failed, []step{{1, ended(true)}, {1, answered(0)}}, settle + 1, "hold"},
		"cut, not heard for the longest":        {Failed, []step{{1, ended(true)}}, settle + timeout, "serve"},
		"ended twice gives back one slot":       {Failed, []step{{1, ended(false)}, {2, ended(false)}}, 2, "serve"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			n := testNode(t, nil)
			n.Step(begin, request(1, "10.1.0.1"))
			n.Step(begin, request(2, "10.1.0.1"))
			n.Step(begin, Finished{ID: 1, Result: tt.result, Final: true})
			for _, s := range tt.steps {
				n.Step(begin.Add(s.at), s.ev)
			}
			n.Step(begin.Add(tt.after), Tick{})
			if got := decisionName(n.Step(begin.Add(tt.after), request(3, "10.1.0.1"))); got != tt.want {
				t.Errorf("got %q, want %q", got, tt.want)
			}
			if tt.want == "serve" {
				if got := decisionName(n.Step(begin.Add(tt.after), request(4, "10.1.0.1"))); got != "hold" {
					t.Errorf("got %q for one more request than slots, want hold", got)
				}
			}
		})
	}
}

// TestCutConnectionIsProbed checks that a target that has not answered anything since an
// attempt's connection was reset is probed after Config.Settle.
func TestCutConnectionIsProbed(t *testing.T) {
	n := testNode(t, nil)
	n.Step(begin, Tick{}) // the first probe
	n.Step(begin, request(1, "10.1.0.1"))
	n.Step(begin, Finished{ID: 1, Result: Failed, Final: true})
	n.Step(begin, ConnectionEnded{ID: 1, Target: testTarget, Reset: true})
	at := begin.Add(250 * time.Millisecond)
	var got []Probe
	for _, d := range n.Step(at, Tick{}) {
		if p, ok := d.(Probe); ok {
			got = append(got, p)
		}
	}
	if len(got) != 1 || got[0].Target != testTarget || !got[0].Sent.Equal(at) {
		t.Errorf("got probes %v, want one of %v at %v", got, testTarget, at)
	}
}

func TestGoneCallerEjectsNoTarget(t *testing.T) {
	tests := map[string]struct {
		gone bool
		want string
	}{
		"caller gone":   {true, "serve"},
		"target failed": {false, "hold"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			n := testNode(t, nil)
			now := begin
			for i := range ID(8) {
				n.Step(now, request(2*i, "10.1.0.1"))
				n.Step(now, Finished{ID: 2 * i, Result: Failed, CallerGone: tt.gone, Final: true})
				n.Step(now, ConnectionEnded{ID: 2 * i, Target: testTarget})
				now = now.Add(300 * time.Millisecond)
				n.Step(now, Tick{})
			}
			n.Step(now, request(100, "10.1.0.1")) // an ejected target that is the only one keeps half of its slots
			if got := decisionName(n.Step(now, request(101, "10.1.0.1"))); got != tt.want {
				t.Errorf("got %q, want %q", got, tt.want)
			}
		})
	}
}

// TestStopServesKeysGiven checks that callers may use the keys and instances of a look-up
// until it expires.
func TestStopServesKeysGiven(t *testing.T) {
	tests := map[string]struct {
		after time.Duration // since the stop
		want  string
	}{
		"at once":     {0, "serve"},
		"still good":  {4900 * time.Millisecond, "serve"},
		"has run out": {5 * time.Second, "refuse stopping"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			n := testNode(t, nil)
			id := settings.ServiceID{Team: "shop", Name: "orders"}
			l, err := n.Lookup(begin, id, netip.Addr{}, 1)
			if err != nil {
				t.Fatal(err)
			}
			n.Step(begin, PeersChanged{Peers: []Peer{{ID: "i2", Incarnation: 1, Place: "east", Domain: "east", Region: "coast"}}})
			n.Step(begin, Stopping{})
			now := begin.Add(tt.after)
			n.Step(now, Tick{})
			r := request(1, "10.1.0.1")
			r.Request.Method, r.Request.Key = "POST", l.Keys[0]
			if got := decisionName(n.Step(now, r)); got != tt.want {
				t.Errorf("got %q, want %q", got, tt.want)
			}
			var stopping *StoppingError
			if _, err := n.Lookup(now, id, netip.Addr{}, 1); !errors.As(err, &stopping) {
				t.Errorf("got %v from a look-up, want a StoppingError", err)
			}
		})
	}
}

func TestRefusalIsTrue(t *testing.T) {
	tests := map[string]struct {
		first   Result
		unknown bool
	}{
		"refused, nothing ran": {NotRun, false},
		"failed, may have run": {Failed, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			n := testNode(t, nil)
			n.Step(begin, request(1, "10.1.0.1"))
			decisions := n.Step(begin, Finished{ID: 1, Result: tt.first})
			if decisionName(decisions) == "hold" {
				decisions = n.Step(begin.Add(3*time.Second), Tick{})
			}
			r, ok := decisions[0].(Refuse)
			if !ok || r.Unknown != tt.unknown {
				t.Errorf("got %+v, want a refusal with unknown %v", decisions, tt.unknown)
			}
		})
	}
}

func TestBaselinesHaveNoLimit(t *testing.T) {
	tests := map[string]struct {
		policy Policy
		want   string
	}{
		"owner":  {PolicyOwner, "hold"},
		"random": {PolicyRandom, "serve"},
		"two":    {PolicyTwoChoices, "serve"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			n := testNode(t, func(cfg *Config) { cfg.Policy = tt.policy })
			for i := range 2 {
				n.Step(begin, request(ID(i+1), "10.1.0.1"))
			}
			if got := decisionName(n.Step(begin, request(3, "10.1.0.1"))); got != tt.want {
				t.Errorf("got %q, want %q", got, tt.want)
			}
			n.Step(begin, Finished{ID: 1, Result: Answered, Status: 200})
		})
	}
}
