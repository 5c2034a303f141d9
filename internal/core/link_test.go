package core

import (
	"net/netip"
	"testing"
	"time"

	"github.com/firlever/firlever/pkg/settings"
)

// TestForwardCarriesHome checks the home place in the forward of a request whose key
// another instance issued: the forwarding instance alone has the caller's address.
func TestForwardCarriesHome(t *testing.T) {
	tests := map[string]string{"10.1.0.1": "east", "10.2.0.1": "west"}
	for caller, want := range tests {
		t.Run(caller, func(t *testing.T) {
			home := testNode(t, func(cfg *Config) { cfg.Instance = "i2" })
			l, err := home.Lookup(begin, settings.ServiceID{Team: "shop", Name: "orders"}, netip.MustParseAddr(caller), 1)
			if err != nil {
				t.Fatal(err)
			}
			n := testNode(t, nil)
			n.Step(begin, PeersChanged{Peers: []Peer{{ID: "i2", Incarnation: 1, Place: "east"}}})
			ev := request(1, caller)
			ev.Request.Method, ev.Request.Key = "POST", l.Keys[0]
			decisions := n.Step(begin, ev)
			if len(decisions) != 1 {
				t.Fatalf("got %+v, want one decision", decisions)
			}
			if got, ok := decisions[0].(Forward); !ok || got.Home != want {
				t.Errorf("got %+v, want a forward with home %s", decisions[0], want)
			}
		})
	}
}

// TestLinkShare checks the rate limit of answers at an instance that owns the place's
// only target, as the only instance or with another.
func TestLinkShare(t *testing.T) {
	west := Peer{ID: "i2", Incarnation: 1, Place: "west", Domain: "west", Region: "coast"}
	near := Peer{ID: "i3", Incarnation: 1, Place: "east", Domain: "east", Region: "coast"}
	tests := map[string]struct {
		class     string
		link      string
		instances []string
		caller    string
		from      string
		want      int64
	}{
		"interactive":          {"interactive", "1000", []string{"i1"}, "10.2.0.1", "", 0},
		"no limit":             {"bulk", "0", []string{"i1"}, "10.2.0.1", "", 0},
		"caller at home":       {"bulk", "1000", []string{"i1"}, "10.1.0.1", "", 0},
		"caller elsewhere":     {"bulk", "1000", []string{"i1"}, "10.2.0.1", "", 1000},
		"peer elsewhere":       {"bulk", "1000", []string{"i1"}, "10.1.0.1", "i2", 1000},
		"peer of the place":    {"bulk", "1000", []string{"i1"}, "10.2.0.1", "i3", 0},
		"peer that is unknown": {"bulk", "1000", []string{"i1"}, "10.1.0.1", "i9", 1000},
		"two instances":        {"bulk", "1000", []string{"i1", "i3"}, "10.1.0.1", "i2", 750},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			n := testNode(t, nil)
			s, err := settings.Compile([]settings.Document{
				{Path: "/places/east", Version: 2, Body: []byte("region: coast\ndomain: east\nlimit: 2\nlink: " + tt.link + "\n")},
				{Path: "/places/west", Version: 2, Body: []byte("region: coast\ndomain: west\nlimit: 2\n")},
				{Path: "/blocks/all", Version: 2, Body: []byte("blocks:\n  - {prefix: 10.1.0.0/16, place: east}\n  - {prefix: 10.2.0.0/16, place: west}\n")},
				{Path: "/teams/shop/services/orders", Version: 2, Body: []byte("class: " + tt.class + "\ntimeout: 2s\nshift: 9\n" +
					"places:\n  east: {limit: 2, targets: [{name: e, address: \"127.0.0.1:1\", slots: 2, connections: 9}]}\n")},
			})
			if err != nil {
				t.Fatal(err)
			}
			n.Step(begin, Applied{Snapshot: s})
			n.Step(begin, RosterRead{Roster: testRoster(t, tt.instances...), Sent: begin})
			n.Step(begin, PeersChanged{Peers: []Peer{west, near}})
			ev := request(1, tt.caller)
			if tt.from != "" {
				ev.Origin, ev.Request.From = FromPeer, tt.from
			}
			decisions := n.Step(begin.Add(2*time.Second), ev)
			if len(decisions) != 1 {
				t.Fatalf("got %+v, want one decision", decisions)
			}
			d, ok := decisions[0].(Serve)
			if !ok || d.AnswerRate != tt.want {
				t.Errorf("got %+v, want it served at %d bytes/s", decisions[0], tt.want)
			}
		})
	}
}
