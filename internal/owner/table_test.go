package owner

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// soakVar is the environment variable that sets the number of random runs;
// without it a short set with a fixed seed runs.
const soakVar = "FIRLEVER_SOAK"

func seedRuns(t *testing.T) {
	t.Helper()
	values := map[string]string{"rapid.seed": "1", "rapid.checks": "40", "rapid.steps": "40", "rapid.nofailfile": "true"}
	if n := os.Getenv(soakVar); n != "" {
		values["rapid.checks"] = n
		values["rapid.seed"] = time.Now().Format("150405000")
	}
	flag.Visit(func(f *flag.Flag) { delete(values, f.Name) })
	for name, value := range values {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	t.Logf("seed %s; repeat with -rapid.seed", flag.Lookup("rapid.seed").Value)
}

// TestTruth takes several instances through kills, pauses, message loss, outages,
// partitions and settings changes, and checks at the targets that no allowance
// and no place limit is ever exceeded.
func TestTruth(t *testing.T) {
	seedRuns(t)
	runs, taken := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		m := newModel(rapid.Uint64().Draw(rt, "seed"), rt.Fatalf)
		id := rapid.IntRange(0, modelNodes-1)
		end := rapid.IntRange(0, modelNodes)
		rt.Repeat(map[string]func(*rapid.T){
			"advance": func(rt *rapid.T) {
				m.advance(time.Duration(rapid.IntRange(1, 60).Draw(rt, "steps")) * modelStep)
			},
			"":      func(*rapid.T) { m.advance(time.Duration(1+m.rng.IntN(12)) * modelStep) },
			"term":  func(*rapid.T) { m.advance(4 * time.Second) },
			"start": func(rt *rapid.T) { m.start(id.Draw(rt, "id")) },
			"kill":  func(rt *rapid.T) { m.kill(id.Draw(rt, "id")) },
			"pause": func(rt *rapid.T) {
				if n := m.live[id.Draw(rt, "id")]; n != nil {
					n.paused = true
				}
			},
			"wake": func(rt *rapid.T) { m.wake(id.Draw(rt, "id")) },
			"leave": func(rt *rapid.T) {
				if n := m.live[id.Draw(rt, "id")]; n != nil {
					n.shouldBeMember = !n.shouldBeMember
				}
			},
			"cut": func(rt *rapid.T) {
				m.blocked[end.Draw(rt, "from")][end.Draw(rt, "to")] = true
			},
			"isolate": func(rt *rapid.T) {
				a, platform := id.Draw(rt, "id"), rapid.Bool().Draw(rt, "platform")
				for b := range modelNodes + 1 {
					if b < modelNodes || platform {
						m.blocked[a][b], m.blocked[b][a] = true, true
					}
				}
			},
			"mend": func(*rapid.T) {
				m.blocked, m.down, m.lossRate = [modelNodes + 1][modelNodes + 1]bool{}, false, 0
				for id := range modelNodes {
					m.wake(id)
					m.start(id)
				}
			},
			"loss":     func(rt *rapid.T) { m.lossRate = rapid.Float64Range(0, 0.6).Draw(rt, "loss") },
			"outage":   func(rt *rapid.T) { m.down = rapid.Bool().Draw(rt, "down") },
			"settings": func(rt *rapid.T) { m.setSpecs(rapid.IntRange(0, len(modelSpecs)-1).Draw(rt, "specs")) },
		})
		runs++
		taken += m.taken
	})
	t.Logf("%d runs, %d requests", runs, taken)
	if taken < runs {
		t.Errorf("got %d requests in %d runs, want more: the limits were not exercised", taken, runs)
	}
}

// TestLostAnswer removes an instance while neither it nor the writer of the
// removal receives the outcome: the writer's acks must not extend the removed
// instance's lease.
func TestLostAnswer(t *testing.T) {
	removed := 0
	for seed := range uint64(30) {
		m := newModel(seed, t.Fatalf)
		m.gossip = false
		m.kill(2)
		m.advance(4 * time.Second)
		m.blocked[1][modelNodes], m.blocked[modelNodes][1] = true, true
		m.start(3)
		m.advance(4 * time.Second)
		m.blocked[1][0], m.blocked[modelNodes][0] = true, true
		m.advance(5 * time.Second)
		m.blocked[1][0] = false
		m.advance(12 * time.Second)
		if _, ok := m.roster.Member("instance-1"); !ok {
			removed++
		}
	}
	if removed == 0 {
		t.Error("got no removal, want some: the acks were not exercised")
	}
}
