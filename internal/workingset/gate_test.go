package workingset

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	testServers = 24
	testSlots   = 4
	testKeeps   = 12
)

func newTestService(t *testing.T, fits, skew float64, restricted bool) *service {
	w := newWorld(t, 1, testServers, testKeeps, int(fits*testServers*testKeeps), skew)
	if !restricted {
		return newService(testServers, testSlots, testKeeps, w, nil)
	}
	s := newService(testServers, testSlots, testKeeps, w, NewGate())
	s.estimate = Estimate{Keeps: testKeeps, ColdFactor: 3, Confidence: 1}
	return s
}

// The load of a service goes up to three times what it can do warm, and down again. At each load
// that is bearable warm, as much is answered in time on the way down as on the way up, and more
// than without a plan where not all objects fit twice.
func TestLoadUpAndDown(t *testing.T) {
	loads := []float64{0.4, 0.6, 0.8, 1, 2, 3}
	for _, fits := range []float64{0.4, 0.8, 1.5, 4} {
		for _, skew := range []float64{0, 0.9} {
			t.Run(fmt.Sprintf("%g times what fits/skew %g", fits, skew), func(t *testing.T) {
				ways := map[bool][2][]float64{}
				for _, restricted := range []bool{false, true} {
					s := newTestService(t, fits, skew, restricted)
					up, down := make([]float64, len(loads)), make([]float64, len(loads))
					settle := 2 * time.Second
					if fits > 1 {
						settle = overflowSteps * time.Second // a plan a second
					}
					measure := func(i int) float64 {
						s.play(loads[i], settle)
						return loads[i] * s.play(loads[i], 8*time.Second)
					}
					for i := range loads {
						up[i] = measure(i)
					}
					for i := len(loads) - 1; i >= 0; i-- {
						down[i] = measure(i)
					}
					t.Logf("restricted %t: up %.2f down %.2f", restricted, up, down)
					ways[restricted] = [2][]float64{up, down}
				}
				for i, load := range loads[:3] {
					up, down := ways[true][0][i], ways[true][1][i]
					if down < 0.9*up {
						t.Errorf("load %g: got %.2f in time going down, %.2f going up", load, down, up)
					}
					if before := ways[false][1][i]; down < 0.95*before {
						t.Errorf("load %g: got %.2f in time, %.2f without a plan", load, down, before)
					}
				}
			})
		}
	}
}

// All targets have lost what they kept, and get a load that is bearable warm. After twice the time
// that the first runs of all objects need, requests for objects that were asked for before are
// answered in time as when all is warm.
func TestWarmAgain(t *testing.T) {
	for _, load := range []float64{0.3, 0.5, 0.7, 0.8} {
		for _, skew := range []float64{0, 0.9} {
			t.Run(fmt.Sprintf("load %g/skew %g", load, skew), func(t *testing.T) {
				got, want := 0.0, 0.0
				for seed := range uint64(5) {
					s := newTestService(t, 0.8, skew, true)
					s.rng = rand.New(rand.NewPCG(seed, 2))
					s.play(load, 2*s.coldTime())
					s.play(load, 2*time.Second)
					got += float64(s.knownInTime) / float64(s.known) / 5
					s.play(load, 20*time.Second)
					s.play(load, 20*time.Second)
					want += float64(s.knownInTime) / float64(s.known) / 5
				}
				t.Logf("%.2f, %.2f warm", got, want)
				if got < 0.9*want {
					t.Errorf("got %.2f in time, want 0.9 of %.2f", got, want)
				}
			})
		}
	}
}

func TestGate(t *testing.T) {
	run := FirstRun{Target: 1, Object: 2, Load: 3, Slots: 4, Takes: time.Second}
	busy := run
	busy.Load = 4
	other := busy
	other.Object = 3
	g := NewGate()
	if _, ok := g.Start(start, run); !ok {
		t.Error("got held back at a free slot")
	}
	if at, ok := g.Start(start.Add(time.Second/2), run); ok || !at.Equal(start.Add(time.Second)) {
		t.Errorf("got started %t, or asked to return at %s, want at the end of the run in flight", ok, at)
	}
	g.Done(1, 2)
	if _, ok := g.Start(start.Add(time.Second/2), run); !ok {
		t.Error("got held back after the run in flight had ended")
	}
	if at, ok := g.Start(start, other); ok || !at.After(start) {
		t.Errorf("got started %t, or asked to return at %s, want later at a busy target", ok, at)
	}
	for range 27 {
		g.StartWarm(start.Add(time.Second/2), time.Second/3)
	}
	if _, ok := g.Start(start.Add(time.Second/2), other); !ok {
		t.Error("got held back though most of the work is warm")
	}
}
