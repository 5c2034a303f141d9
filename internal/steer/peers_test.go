package steer

import (
	"fmt"
	"testing"
	"time"

	"github.com/firlever/firlever/internal/routes"
)

// The store ends the leases of 3 of 10 instances, which continue to serve and still have all 10
// as peers. A cold target has just been added, and every instance sends it as many requests as it
// may: the bound over all instances must hold.
func TestColdBoundWithLapsedPeers(t *testing.T) {
	const instances, expired = 10, 3
	var names []string
	for i := range instances {
		names = append(names, fmt.Sprintf("i%d", i))
	}
	cfg := config("", "n1")
	bound := 2.6*cfg.ColdFactor + cfg.ColdSlack
	for at, want := range map[time.Duration]bool{0: true, expiredPeerTTL - time.Second: true, expiredPeerTTL: false} {
		t.Run(at.String(), func(t *testing.T) {
			now, sent, dividedAmongFewer := start.Add(at), 0, false
			for i, name := range names {
				cfg.Instance = name
				f, err := New(cfg)
				if err != nil {
					t.Fatal(err)
				}
				f.SetServices(start, map[string]routes.Service{"s": {Name: "s", ColdRate: 2.6}})
				f.SetPeers(start, names)
				if i >= expired {
					f.SetPeers(start, names[expired:])
				}
				f.Put(now, Target{ID: "t", Service: "s", Domain: "n1", Slots: 9, WarmAt: now.Add(3 * time.Second)})
				q := query("x")
				q.Deadline = now.Add(time.Minute)
				for f.Pick(now, q).Reason == "" {
					sent++
				}
				dividedAmongFewer = dividedAmongFewer || len(f.peers) < instances
			}
			if want && float64(sent) > bound {
				t.Errorf("got %d requests in a second, want %.1f at most", sent, bound)
			}
			if dividedAmongFewer == want {
				t.Errorf("got the bound divided among fewer instances: %t, want %t", dividedAmongFewer, !want)
			}
		})
	}
}
