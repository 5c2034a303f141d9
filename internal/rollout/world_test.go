package rollout

import (
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"
)

// fleetSize is the size of a simulated deployment.
type fleetSize struct {
	instances, targets int
	rate               float64 // requests a second for the service
}

var fleetSizes = map[string]fleetSize{
	"8 instances":    {8, 16, 120},
	"80 instances":   {80, 84, 960},
	"1000 instances": {1000, 5800, 2000},
}

// version is how the targets of a simulated version behave.
type version struct {
	badShare  float64       // of their answers that are bad
	from      time.Duration // since the order: before it answers are good
	underLoad bool          // bad only if a target gets 0.9 of the requests of an old one
	oneRoute  bool          // bad only on the first of the routes
}

var badVersions = map[string]version{
	"bad at once":    {badShare: 0.45},
	"a tenth bad":    {badShare: 0.1},
	"bad late":       {badShare: 0.45, from: 5 * time.Second},
	"bad under load": {badShare: 0.45, underLoad: true},
	"bad on a route": {badShare: 0.45, oneRoute: true},
}

var goodVersions = map[string]trouble{
	"calm":                            {},
	"a tenth of all targets fail":     {greyShare: 0.1},
	"a fifth of all targets are slow": {greyShare: 0.2},
	"all answers are a third bad":     {badShare: 0.33},
	"empty caches":                    {coldBad: 0.04},
}

// trouble is what a rollout has beside the new version.
type trouble struct {
	greyShare float64 // of the targets of both versions: 40% of their answers are bad
	badShare  float64 // of the answers of both versions
	coldBad   float64 // of the new version's answers in the first seconds
}

// result is how a simulated rollout ended.
type result struct {
	phase   Phase
	bad     int           // bad answers of the new version
	exposed float64       // share of the requests that the new version got
	verdict time.Duration // since the order
}

const (
	worldTick     = 500 * time.Millisecond // between exchanges of counts
	worldDelay    = 2                      // ticks until counts lead to a decision that is in force everywhere
	worldDuration = 16 * time.Second
	worldRegister = 2 * time.Second // until the canaries are registered and warm
	worldRoutes   = 3
	worldBadShare = 0.01 // of the answers of a good version
	greyBadShare  = 0.4
)

// play simulates a rollout.
func play(seed uint64, size fleetSize, v version, tr trouble) result {
	rng := rand.New(rand.NewPCG(seed, 1))
	canaries := max(1, min(MaxCanaries, int(0.08*float64(size.targets))))
	share := min(0.08, 1.1*float64(canaries)/float64(size.targets))
	load := share * float64(size.targets) / float64(canaries)
	grey := make([]bool, max(canaries, turns))
	for i := range grey {
		grey[i] = rng.Float64() < tr.greyShare
	}
	bad := func(isNew bool, target, route int, now time.Duration) bool {
		p := max(worldBadShare, tr.badShare)
		if isNew && grey[target] || !isNew && rng.Float64() < tr.greyShare {
			p = greyBadShare
		}
		if isNew && now < worldRegister+3*time.Second {
			p = max(p, tr.coldBad)
		}
		if isNew && now >= v.from && (!v.underLoad || load >= 0.9) && (!v.oneRoute || route == 0) {
			p = max(p, v.badShare)
		}
		return rng.Float64() < p
	}
	schedule := Schedule{Began: start, Deadline: start.Add(worldDuration)}
	counts := make(Counts)
	var history []Counts
	r := result{phase: Canary}
	total, exposed := 0, 0
	answer := func(isNew bool, now time.Duration) {
		s, target := Source{Route: fmt.Sprint(rng.IntN(worldRoutes))}, rng.IntN(canaries)
		if canaries == 1 {
			target = schedule.Turn(start.Add(now))
		}
		if isNew {
			s.Target = uint64(target + 1)
			exposed++
		}
		route := int(s.Route[0] - '0')
		t := counts[s]
		t.Answers++
		if bad(isNew, target, route, now) {
			t.Bad++
			if isNew {
				r.bad++
			}
		}
		counts[s] = t
		total++
	}
	for now := time.Duration(0); now < worldDuration && !r.phase.Final(); now += worldTick {
		isCanary := now >= worldRegister && r.phase == Canary
		for range int(size.rate * worldTick.Seconds()) {
			answer(isCanary && rng.Float64() < share || r.phase == Promoting, now)
		}
		seen := make(Counts)
		for s, t := range counts {
			seen[s] = t
		}
		history = append(history, seen)
		if len(history) <= worldDelay {
			continue
		}
		next, _ := Decide(r.phase, Input{
			Schedule: schedule, Now: start.Add(now), Counts: history[len(history)-1-worldDelay],
			HadOld: true, OldSlots: size.targets, NewSlots: size.targets, Latency: 300 * time.Millisecond,
		})
		if next != r.phase && r.verdict == 0 {
			r.verdict = now
		}
		r.phase = next
	}
	r.exposed = float64(exposed) / float64(total)
	return r
}

// worldRuns is how many rollouts of each kind are simulated. FIRLEVER_ROLLOUTS prints the table of
// docs/design/rollouts.md, from more of them.
const (
	worldRuns  = 40
	tableRuns  = 200
	maxBadRuns = 2 // good versions in worldRuns that are rolled back wrongly, or bad ones that are completed
)

func TestWorld(t *testing.T) {
	runs := worldRuns
	if os.Getenv("FIRLEVER_ROLLOUTS") != "" {
		runs = tableRuns
	}
	for name, size := range fleetSizes {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for kind, v := range badVersions {
				checkWorld(t, kind, runs, size.expectedBad(v) >= provenBad, RolledBack, func(seed uint64) result { return play(seed, size, v, trouble{}) })
			}
			for kind, tr := range goodVersions {
				checkWorld(t, kind, runs, true, Completed, func(seed uint64) result { return play(seed, size, version{}, tr) })
			}
		})
	}
}

// provenBad is the number of bad answers after which the platform expects a version to be rolled
// back. A version that gives fewer in the canary phase may pass.
const provenBad = 50

// expectedBad returns how many bad answers a version gives in the canary phase.
func (s fleetSize) expectedBad(v version) float64 {
	canaries := max(1, min(MaxCanaries, int(0.08*float64(s.targets))))
	share := min(0.08, 1.1*float64(canaries)/float64(s.targets))
	expected := s.rate * share * v.badShare * (worldDuration*3/4 - max(worldRegister, v.from)).Seconds()
	if v.oneRoute {
		return expected / worldRoutes
	}
	return expected
}

// checkWorld plays rollouts of a kind and checks how they end.
func checkWorld(t *testing.T, kind string, runs int, binding bool, want Phase, play func(seed uint64) result) {
	t.Helper()
	right, bad, exposed, verdict := 0, 0, 0.0, time.Duration(0)
	for seed := range uint64(runs) {
		r := play(seed)
		if r.phase == want {
			right++
		}
		bad, exposed, verdict = bad+r.bad, exposed+r.exposed, verdict+r.verdict
	}
	t.Logf("%-32s %d of %d %s, bad answers %d, exposed %.3f, verdict after %.1f s", kind, right, runs, want,
		bad/runs, exposed/float64(runs), verdict.Seconds()/float64(runs))
	if binding && runs == worldRuns && runs-right > maxBadRuns {
		t.Errorf("%s: got %d of %d %s, want %d at least", kind, right, runs, want, runs-maxBadRuns)
	}
}
