package owner

import (
	"math/rand/v2"
	"slices"
	"testing"
)

// The policies that BenchmarkPolicies compares.
const (
	policyOwned = "owned"
	policySplit = "split"
	policyP2C   = "p2c"
)

const (
	benchTargets = 18
	benchSlots   = 3
	benchWork    = 20  // mean ms that a request takes
	benchStale   = 100 // ms between reports of load
	benchRun     = 60_000
	benchDemand  = 90 // % of all slots
)

// bench simulates one place under one policy, in steps of 1 ms. Instance 0 gets
// twice the requests of any other. Under owned and split, a request that finds no
// slot is forwarded once, to the instance that last reported the most free slots,
// and waits in its queue. Targets are assigned to owners round robin.
type bench struct {
	policy      string
	instances   int
	rng         *rand.Rand
	real        [benchTargets]int   // in flight at each target
	reported    [benchTargets]int   // real, as last reported
	perInstance [][benchTargets]int // in flight, by instance and target
	over        int                 // dispatches beyond a target's slots
	peak        int                 // peak in flight at one target
	freeSlots   []int               // of each instance, as last reported
	queues      [][]int             // of each instance: when each request arrived
	done        int
	waited      int // ms
}

// pick returns the target that an instance would use, or -1.
func (b *bench) pick(instance int) int {
	switch b.policy {
	case policyP2C:
		return b.twoChoices()
	case policySplit:
		return b.mostFree(func(t int) int {
			share := benchSlots / b.instances
			if (t+instance)%b.instances < benchSlots%b.instances {
				share++
			}
			return share - b.perInstance[instance][t]
		})
	default:
		return b.mostFree(func(t int) int {
			if t%b.instances != instance {
				return 0
			}
			return benchSlots - b.real[t]
		})
	}
}

func (b *bench) mostFree(free func(int) int) int {
	best, most := -1, 0
	first := b.rng.IntN(benchTargets)
	for i := range benchTargets {
		t := (first + i) % benchTargets
		if n := free(t); n > most {
			best, most = t, n
		}
	}
	return best
}

// twoChoices picks by power of two choices on the load last reported.
func (b *bench) twoChoices() int {
	x, y := b.rng.IntN(benchTargets), b.rng.IntN(benchTargets)
	if b.reported[y] < b.reported[x] {
		x = y
	}
	if b.reported[x] >= benchSlots {
		return -1
	}
	return x
}

type request struct{ instance, target, end int }

func (b *bench) run() {
	b.perInstance = make([][benchTargets]int, b.instances)
	b.queues = make([][]int, b.instances)
	b.freeSlots = make([]int, b.instances)
	var inFlight []request
	arrivals := float64(benchTargets*benchSlots) / benchWork * benchDemand / 100
	due := 0.0
	for now := range benchRun {
		inFlight = b.finish(now, inFlight)
		if now%benchStale == 0 {
			b.report()
		}
		for due += b.rng.ExpFloat64() * arrivals; due >= 1; due-- {
			i := max(b.rng.IntN(b.instances+1)-1, 0)
			if b.policy != policyP2C && b.pick(i) < 0 {
				i = slices.Index(b.freeSlots, slices.Max(b.freeSlots))
				b.freeSlots[i]--
			}
			b.queues[i] = append(b.queues[i], now)
		}
		for i := range b.queues {
			inFlight = append(inFlight, b.dispatch(now, i)...)
		}
	}
}

func (b *bench) finish(now int, inFlight []request) []request {
	return slices.DeleteFunc(inFlight, func(f request) bool {
		if f.end > now {
			return false
		}
		b.real[f.target]--
		b.perInstance[f.instance][f.target]--
		b.done++
		return true
	})
}

// report publishes the load of targets and the free slots of instances.
func (b *bench) report() {
	b.reported = b.real
	for i := range b.instances {
		used := 0
		for t := range benchTargets {
			used += b.perInstance[i][t]
		}
		b.freeSlots[i] = benchTargets*benchSlots/b.instances - used - len(b.queues[i])
	}
}

// dispatch sends the requests in an instance's queue that its policy allows.
func (b *bench) dispatch(now, instance int) []request {
	var sent []request
	for len(b.queues[instance]) > 0 {
		t := b.pick(instance)
		if t < 0 {
			break
		}
		b.waited += now - b.queues[instance][0]
		b.queues[instance] = b.queues[instance][1:]
		b.real[t]++
		b.perInstance[instance][t]++
		b.peak = max(b.peak, b.real[t])
		if b.real[t] > benchSlots {
			b.over++
		}
		sent = append(sent, request{instance, t, now + 1 + int(b.rng.ExpFloat64()*benchWork)})
	}
	return sent
}

// BenchmarkPolicies counts dispatches beyond a target's slots, and the use of
// slots, at 90% demand. It measures policies, not the code of this package.
func BenchmarkPolicies(b *testing.B) {
	tests := map[string]bench{
		"owned/2": {policy: policyOwned, instances: 2},
		"owned/9": {policy: policyOwned, instances: 9},
		"split/2": {policy: policySplit, instances: 2},
		"split/9": {policy: policySplit, instances: 9},
		"p2c/2":   {policy: policyP2C, instances: 2},
		"p2c/9":   {policy: policyP2C, instances: 9},
	}
	for name, tt := range tests {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				p := tt
				p.rng = rand.New(rand.NewPCG(1, 2))
				p.run()
				b.ReportMetric(float64(p.over)/float64(p.done)*100, "%over")
				b.ReportMetric(float64(p.peak), "most")
				b.ReportMetric(float64(p.done*benchWork)/(benchTargets*benchSlots*benchRun)*100, "%used")
				b.ReportMetric(float64(p.waited)/float64(p.done), "ms-waited")
			}
		})
	}
}
