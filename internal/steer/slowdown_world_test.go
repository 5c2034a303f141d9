package steer

import (
	"testing"
	"time"
)

// noisyMachines are the machines of a fleetSim's targets. Each is drawn anew after every period, and is slow
// then with a probability. The first run of an object at a target is cold.
type noisyMachines struct {
	period time.Duration
	share  float64 // of the machines that are slow
	factor float64 // by how much work takes longer there
	cold   float64 // by how much a cold run takes longer
	tells  bool    // targets report how long work takes
}

// factorAt returns how long work takes at a target at a time, as a multiple of the usual.
func (m *noisyMachines) factorAt(id string, at time.Time) float64 {
	period := uint64(at.Sub(start) / m.period)
	if float64(mix(hash(id), period)%1000) < 1000*m.share {
		return m.factor
	}
	return 1
}

// told returns the slowdown that a target reports at a time; 0 if none.
func (m *noisyMachines) told(id string, at time.Time) int {
	if m == nil || !m.tells {
		return 0
	}
	return int(100 * m.factorAt(id, at))
}

// end returns when work ends that starts at a target.
func (m *noisyMachines) end(s *simTarget, w *simRequest, at time.Time, work time.Duration) time.Time {
	if !s.warm[w.object] {
		s.warm[w.object] = true
		work = time.Duration(m.cold * float64(work))
	}
	for work > 0 {
		factor := m.factorAt(w.choice.Target.ID, at)
		next := start.Add(at.Sub(start).Truncate(m.period) + m.period)
		left := time.Duration(float64(work) * factor)
		if step := next.Sub(at); left > step {
			work -= time.Duration(float64(step) / factor)
			at = next
			continue
		}
		return at.Add(left)
	}
	return at
}

// setPeers tells all instances of each other.
func (c *fleetSim) setPeers() {
	var names []string
	for _, f := range c.fleets {
		names = append(names, f.cfg.Instance)
	}
	for _, f := range c.fleets {
		f.SetPeers(start, names)
	}
}

// Targets share their machines with others: 15% of them take 2.5 times as long, for the same time each. The load
// is what they can do at two thirds of their slots. Where targets report how long work takes, fewer answers must
// be late, whatever the time, and none more where it is too short to be known.
func TestNoisyMachines(t *testing.T) {
	const work = 100 * time.Millisecond
	tests := map[string]struct {
		period time.Duration
		least  float64 // share of the late answers that has to be avoided
	}{
		"0.1 s": {100 * time.Millisecond, 0},
		"0.6 s": {600 * time.Millisecond, 0.1},
		"5 s":   {5 * time.Second, 0.25},
		"60 s":  {60 * time.Second, 0.25},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var late, ended [2]int
			for i := range late {
				c := newFleetSim(t, true)
				c.work, c.objective, c.gap = work, 3*work, work/(fleetSimTargets*fleetSimSlots)*5/3
				c.machines = &noisyMachines{period: tt.period, share: 0.15, factor: 2.5, cold: 3.3, tells: i == 1}
				c.interval = frequentInterval // in both, so that only the use of the figure differs
				c.setPeers()
				c.countFrom = start.Add(5 * time.Second) // cold runs make the answers late before
				c.run(40000)
				late[i], ended[i] = c.late, c.ended
			}
			t.Logf("late: %d of %d, %d of %d where targets report it", late[0], ended[0], late[1], ended[1])
			if want := (1 - tt.least) * float64(late[0]); float64(late[1]) > want {
				t.Errorf("got %d late, want %.0f or fewer", late[1], want)
			}
		})
	}
}
