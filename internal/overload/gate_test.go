package overload

import (
	"slices"
	"testing"
	"time"
)

var start = time.Unix(1_000_000, 0)

func TestGate(t *testing.T) {
	const ms = time.Millisecond
	tests := map[string]struct {
		delays    []time.Duration // in order, 10 ms apart
		low, high float64         // bounds of the share refused afterwards
	}{
		"nothing measured":          {nil, 0, 0},
		"short ones":                {[]time.Duration{ms, 4 * ms, 2 * ms}, 0, 0},
		"a single long one":         {[]time.Duration{ms, 500 * ms, ms, ms}, 0, 0},
		"long ones apart":           {[]time.Duration{50 * ms, ms, 50 * ms, ms, 50 * ms}, 0, 0},
		"long ones":                 {slices.Repeat([]time.Duration{50 * ms}, 10), 0.9, 1},
		"half as long ones":         {slices.Repeat([]time.Duration{15 * ms}, 12), 0.45, 0.5},
		"short ones after long":     {append(slices.Repeat([]time.Duration{50 * ms}, 10), ms, ms), 0.8, 0.99},
		"for long short after long": {append(slices.Repeat([]time.Duration{50 * ms}, 10), make([]time.Duration, 200)...), 0, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var g Gate
			now := start
			for _, d := range tt.delays {
				now = now.Add(10 * ms)
				g.Record(now, d)
			}
			if got := g.Share(); got < tt.low || got > tt.high {
				t.Errorf("got a share of %g, want %g to %g", got, tt.low, tt.high)
			}
			if got := g.Refuse(); got && tt.high == 0 {
				t.Error("got a request refused, want none")
			}
		})
	}
}

// processor simulates a processor that runs a queue in order. A request takes several steps of
// work and queues before each of them; refusing a request takes less than running it.
type processor struct {
	now      time.Time
	queue    []*item
	answered int
}

type item struct {
	arrivedAt time.Time
	stepsLeft int  // remaining steps
	probe     bool // whether it is a measurement
}

const (
	steps         = 10
	stepTime      = 10 * time.Microsecond
	refuseTime    = 25 * time.Microsecond
	callerTimeout = 500 * time.Millisecond
	capacity      = float64(time.Second / (steps * stepTime))
)

// run sends requests at a rate for a time, and returns the answers per second in the second half
// of it.
func (p *processor) run(g *Gate, rate float64, length time.Duration) float64 {
	gap := time.Duration(float64(time.Second) / rate)
	begin, due, measured, half := p.now, p.now, p.now, 0
	for p.now.Sub(begin) < length {
		for ; !due.After(p.now); due = due.Add(gap) {
			p.queue = append(p.queue, &item{arrivedAt: due, stepsLeft: steps})
		}
		if p.now.Sub(measured) >= idleInterval {
			measured = p.now
			p.queue = append(p.queue, &item{arrivedAt: p.now, probe: true})
		}
		if p.now.Sub(begin) < length/2 {
			half = p.answered
		}
		p.step(g)
	}
	return float64(p.answered-half) / (length / 2).Seconds()
}

// step runs the first item of the queue.
func (p *processor) step(g *Gate) {
	if len(p.queue) == 0 {
		p.now = p.now.Add(stepTime)
		return
	}
	i := p.queue[0]
	p.queue = p.queue[1:]
	switch {
	case i.probe:
		if g != nil {
			g.Record(p.now, p.now.Sub(i.arrivedAt))
		}
		return
	case i.stepsLeft == steps && g != nil && g.Refuse():
		p.now = p.now.Add(refuseTime)
		return
	}
	p.now = p.now.Add(stepTime)
	if i.stepsLeft--; i.stepsLeft > 0 {
		p.queue = append(p.queue, i)
	} else if p.now.Sub(i.arrivedAt) <= callerTimeout {
		p.answered++
	}
}

// An overloaded process must answer nearly as many requests as it can, by refusing the others at
// once. Without that, every answer comes after its caller has left.
func TestOverloadIsNoCollapse(t *testing.T) {
	tests := map[string]struct {
		load  float64 // relative to the capacity
		least float64 // minimum answers, relative to what can be answered besides the refusals
	}{
		"half":   {0.5, 1},
		"nearly": {0.95, 0.98},
		"1.5":    {1.5, 0.9},
		"double": {2, 0.9},
		"triple": {3, 0.85},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			// Each second is divided between answers and refusals: a*cost + (load-a)*refusal = 1.
			refusal := float64(refuseTime) / float64(steps*stepTime)
			maxAnswers := min(tt.load, (1-tt.load*refusal)/(1-refusal)) * capacity
			p, g := &processor{now: start}, &Gate{}
			if got := p.run(g, tt.load*capacity, 4*time.Second); got < tt.least*maxAnswers {
				t.Errorf("got %.0f answers a second, want %.0f of %.0f", got, tt.least*maxAnswers, maxAnswers)
			}
			if got := p.run(g, 0.5*capacity, 2*time.Second); got < 0.49*capacity {
				t.Errorf("got %.0f answers a second afterwards, want %.0f", got, 0.5*capacity)
			}
			ungated := &processor{now: start}
			if got := ungated.run(nil, tt.load*capacity, 4*time.Second); tt.load > 1 && got > 0.05*capacity {
				t.Errorf("got %.0f answers a second without a gate: the load is too low for this test", got)
			}
		})
	}
}
