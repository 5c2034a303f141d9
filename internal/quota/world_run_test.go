package quota

import (
	"testing"
	"time"
)

// seeds is the number of random simulations of a test.
const seeds = 6

// No window holds more requests than the bound, whichever instances are killed, restarted,
// partitioned or added, however late messages arrive and wherever the load moves.
func TestBoundHolds(t *testing.T) {
	limits := map[string]Limit{
		"small":      {Rate: 4, Burst: 4},
		"usual":      {Rate: 16, Burst: 16},
		"large":      {Rate: 200, Burst: 200},
		"no burst":   {Rate: 50},
		"much burst": {Rate: 5, Burst: 300},
	}
	for name, limit := range limits {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(seeds) {
				w := simulateFailures(seed, limit)
				if got, most := w.maxInWindow(simulationStart), w.bound(); float64(got) > most {
					t.Errorf("seed %d: got %d requests in a window, want %.1f at most", seed, got, most)
				}
				if w.refused == 0 || len(w.served) == 0 {
					t.Errorf("seed %d: got %d refused and %d served, want some", seed, w.refused, len(w.served))
				}
			}
		})
	}
}

// simulateFailures runs a simulation in which a workspace sends several times its limit while
// instances start, stop and are partitioned.
func simulateFailures(seed uint64, limit Limit) *simulation {
	w := newSimulation(seed, 12+int(seed%5)*12, limit)
	for i, n := range w.nodes {
		late := time.Duration(0)
		if i%9 == 8 {
			late = w.randomDuration(20 * time.Second) // a newcomer
		}
		w.after(late+w.randomDuration(300*time.Millisecond), n.start)
	}
	for range len(w.nodes) / 2 {
		w.disturb(w.nodes[w.rng.IntN(len(w.nodes))], w.randomDuration(30*time.Second), w.randomDuration(8*time.Second))
	}
	at := w.randomDuration(30 * time.Second)
	for _, n := range w.nodes {
		switch {
		case seed%3 == 0: // all at once
			w.after(at, n.kill)
			w.after(at+time.Second+w.randomDuration(400*time.Millisecond), n.start)
		case seed%3 == 1 && n.member.Domain == "d2": // a failure domain
			w.after(at, func() { n.partitioned = true })
			w.after(at+6*time.Second, func() { n.partitioned = false })
		}
	}
	w.load(0, 30*time.Second, limit.Rate*0.6, bySize)
	w.load(4*time.Second, 24*time.Second, limit.Rate*(1+3*w.rng.Float64())+limit.Burst/10, bySize)
	w.load(w.randomDuration(30*time.Second), 5*time.Second, limit.Rate*2, inRegion)
	w.run(30 * time.Second)
	return w
}

// disturb kills or partitions an instance at a time, for a while, or kills it repeatedly.
func (w *simulation) disturb(n *node, at, down time.Duration) {
	switch w.rng.IntN(3) {
	case 0:
		w.after(at, n.kill)
		w.after(at+down, n.start)
	case 1:
		w.after(at, func() { n.partitioned = true })
		w.after(at+down, func() { n.partitioned = false })
	case 2:
		for k := range time.Duration(4) {
			w.after(at+k*700*time.Millisecond, n.kill)
			w.after(at+k*700*time.Millisecond+300*time.Millisecond, n.start)
		}
	}
}

// A lower limit holds in all windows that begin after all instances have received it and the loans
// of the previous limit have ended.
func TestLowerLimit(t *testing.T) {
	for seed := range uint64(seeds) {
		w := newSimulation(seed, 36, Limit{Rate: 200, Burst: 200})
		for _, n := range w.nodes {
			w.after(0, n.start)
		}
		const change = 10 * time.Second
		w.after(change, func() { w.limit = Limit{Rate: 10, Burst: 10} })
		for _, n := range w.nodes {
			w.after(change+w.randomDuration(viewLag), func() { n.ledger.SetLimits(map[string]Limit{workspaceName: w.limit}) })
		}
		w.load(3*time.Second, 27*time.Second, 300, bySize)
		w.run(30 * time.Second)
		got, most := w.maxInWindow(simulationStart.Add(change+viewLag+rateLoanDuration)), w.bound()
		if float64(got) > most {
			t.Errorf("seed %d: got %d requests in a window, want %.1f at most", seed, got, most)
		}
	}
}

// The requests of a workspace below its limit are served, however its callers are distributed: at
// most 2% of them are refused, or 6% if all callers are in one of six failure domains. Without any
// exchange between instances, 45% to 92% are refused.
func TestServedBelowLimit(t *testing.T) {
	const from, length = 8 * time.Second, 16 * time.Second
	loads := map[string]struct {
		most float64 // fraction that may be refused
		play func(w *simulation)
	}{
		"usual":      {most: 0.02, play: func(w *simulation) { w.load(from, length, 0.6*w.limit.Rate, bySize) }},
		"one domain": {most: 0.06, play: func(w *simulation) { w.load(from, length, 0.6*w.limit.Rate, inDomain) }},
		"near":       {most: 0.02, play: func(w *simulation) { w.load(from, length, 0.9*w.limit.Rate, bySize) }},
		"moves": {most: 0.02, play: func(w *simulation) {
			w.load(from, length, 0.4*w.limit.Rate, bySize)
			w.load(from+length/2, length/4, 0.4*w.limit.Rate, inDomain)
		}},
		"rolling restart": {most: 0.02, play: func(w *simulation) {
			w.load(from, length, 0.6*w.limit.Rate, bySize)
			for i, n := range w.nodes {
				w.after(from+time.Duration(i)*time.Second, n.kill)
				w.after(from+time.Duration(i)*time.Second+500*time.Millisecond, n.start)
			}
		}},
		"all killed": {most: 0.02, play: func(w *simulation) {
			w.load(from, length, 0.6*w.limit.Rate, bySize)
			for _, n := range w.nodes {
				w.after(from+length/2, n.kill)
				w.after(from+length/2+time.Second, n.start)
			}
		}},
	}
	for name, tt := range loads {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, rate := range []float64{4, 16, 60, 300} {
				w := newSimulation(1, 48, Limit{Rate: rate, Burst: rate})
				for _, n := range w.nodes {
					w.after(0, n.start)
				}
				tt.play(w)
				w.run(25 * time.Second)
				few := 1.5 // tolerates a single refusal in a small run
				if most := tt.most*float64(w.requests) + few; float64(w.wronglyRefused) > most {
					t.Errorf("%.0f requests a second: got %d of %d refused, want %.1f at most", rate, w.wronglyRefused, w.requests, most)
				}
			}
		})
	}
}

// Requests over the limit are refused, and 90% of what the limit allows is served.
func TestUsesLimit(t *testing.T) {
	for name, spread := range map[string]func(n *node) float64{"by size": bySize, "one region": inRegion} {
		t.Run(name, func(t *testing.T) {
			w := newSimulation(1, 60, Limit{Rate: 100, Burst: 100})
			for _, n := range w.nodes {
				w.after(0, n.start)
			}
			w.load(5*time.Second, 20*time.Second, 400, spread)
			w.run(25 * time.Second)
			if got, want := len(w.served), 100*20*9/10; got < want {
				t.Errorf("got %d served, want %d or more", got, want)
			}
		})
	}
}

func inDomain(n *node) float64 {
	if n.member.Domain == "d1" {
		return n.member.Size
	}
	return 0
}

func inRegion(n *node) float64 {
	if n.member.Region == "r1" {
		return n.member.Size
	}
	return 0
}
