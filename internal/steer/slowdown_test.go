package steer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// reportSlowdowns lets a target report slowdowns in percent to the fleet at intervals, and returns the time of the
// last one.
func reportSlowdowns(f *Fleet, t *target, interval time.Duration, percents ...int) time.Time {
	now := start
	for _, p := range percents {
		now = now.Add(interval)
		f.recordOwnLoad(now, t, Load{Slowdown: p})
	}
	return now
}

// A figure counts as long as reports have shown it to last.
func TestSlowdownFactor(t *testing.T) {
	repeat := func(n int, block ...int) []int { return slices.Repeat(block, n) }
	lasting := repeat(20, append(repeat(10, 100), repeat(10, 250)...)...)
	tests := map[string]struct {
		interval time.Duration
		reports  []int
		age      time.Duration // of the last report
		least    float64
		most     float64
	}{
		"none":                   {time.Second, nil, 0, 1, 1},
		"always usual":           {time.Second, repeat(50, 100), time.Second, 1, 1},
		"always the same":        {time.Second, repeat(50, 250), time.Second, 1, 1},
		"lasts":                  {time.Second, lasting, time.Second, 1.25, 2.5},
		"lasts, but is old":      {time.Second, lasting, time.Minute, 1, 1},
		"fast":                   {time.Second, append(lasting, repeat(5, 100)...), time.Second, 0.5, 0.8},
		"changes at each report": {time.Second, repeat(100, 100, 250), time.Second, 1, 1.05},
		"slow after long":        {100 * time.Millisecond, append(repeat(1000, 100), 250), 50 * time.Millisecond, 1.5, 2.5},
		"impossibly fast":        {time.Second, append(lasting, repeat(5, 1)...), 0, 0.5, 0.5},
		"only just turned slow":  {time.Second, append(repeat(100, 100), 250), 100 * time.Millisecond, 1.5, 2.5},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 1, 4)
			target := f.targets["t00"]
			now := reportSlowdowns(f, target, tt.interval, tt.reports...).Add(tt.age)
			if got := target.slowdownFactor(now); got < tt.least || got > tt.most {
				t.Errorf("got %.2f, want %.2f to %.2f", got, tt.least, tt.most)
			}
		})
	}
}

// Whatever targets report, the estimate is a finite, positive time.
func TestSlowdownStaysFinite(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	f := newFleet(t, 2, 4)
	now := start
	for range 5000 {
		now = now.Add(time.Duration(rng.Int64N(int64(3 * time.Second))))
		target := f.services["s"].targets[rng.IntN(2)]
		f.recordOwnLoad(now, target, Load{Running: 9, Slowdown: []int{1, 100, 10000}[rng.IntN(3)]})
		for _, other := range f.services["s"].targets {
			c := &candidate{target: other}
			e := f.estimate(now, c, 100*time.Millisecond)
			back := f.back(c, queryOf("x"), e, 100*time.Millisecond)
			if math.IsNaN(other.slowdownFactor(now)) || e.wait < 0 || back <= 0 || back > time.Hour {
				t.Fatalf("got %+v and %s with a factor of %g", e, back, other.slowdownFactor(now))
			}
		}
	}
}

// While an object's home works slowly, its requests go to the second home, and return once it reports the usual
// time again.
func TestSlowHomeIsAvoided(t *testing.T) {
	f := newFleet(t, 16, 4)
	now := start.Add(time.Second)
	home := f.best(now, f.services["s"], queryOf("x")).Target.ID
	for _, target := range f.services["s"].targets {
		f.recordOwnLoad(now, target, Load{Slowdown: 100})
	}
	f.recordOwnLoad(now, f.targets[home], Load{Slowdown: 250})
	got := f.best(now, f.services["s"], queryOf("x"))
	if got.Target.ID == home || got.Home {
		t.Errorf("got the slow home %s, want another target", home)
	}
	f.recordOwnLoad(now, f.targets[home], Load{Slowdown: 100})
	if got := f.best(now, f.services["s"], queryOf("x")).Target.ID; got != home {
		t.Errorf("got %s, want the home %s again", got, home)
	}
}

// Targets that report no slowdown, or the usual time alone, are chosen as if there was no such report.
func TestChoicesWithoutSlowdowns(t *testing.T) {
	tests := map[string]int{"none reported": 0, "always usual": 100}
	for name, percent := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 16, 4)
			rng := rand.New(rand.NewPCG(1, 1))
			now := start
			for i := range 3000 {
				now = now.Add(time.Duration(rng.Int64N(int64(20 * time.Millisecond))))
				mean := f.services["s"].latency(400 * time.Millisecond)
				for _, target := range f.services["s"].targets {
					c := &candidate{target: target}
					if got, want := f.estimate(now, c, mean), (estimate{wait: c.queueWait(now, c.workTime(mean)), work: c.workTime(mean)}); got != want {
						t.Fatalf("request %d: got %+v, want %+v", i, got, want)
					}
				}
				q := query(fmt.Sprint(rng.IntN(60)))
				q.Deadline = now.Add(time.Minute)
				if c := f.Pick(now, q); c.Reason == "" && rng.IntN(3) > 0 {
					f.Done(now, c.Target, Outcome{
						Ending: Answered, Took: time.Duration(50+rng.IntN(200)) * time.Millisecond,
						Load: &Load{Running: rng.IntN(5), Waiting: rng.IntN(3), Slowdown: percent},
					})
				}
			}
			if percent == 0 && f.services["s"].slowdowns != nil {
				t.Error("got statistics of slowdowns, want none")
			}
		})
	}
}

// slowdownReports returns the slowdowns among reports, as target and percent.
func slowdownReports(f *Fleet, reports []LoadReport) []string {
	var list []string
	for _, r := range reports {
		if t := f.byHash[^r.Target]; t != nil {
			list = append(list, fmt.Sprint(t.ID, " ", r.Load))
		}
	}
	return list
}

// A slowdown is told if peers would assume a clearly different one.
func TestSlowdownsTold(t *testing.T) {
	f, peer := newFleet(t, 2, 4), newFleet(t, 2, 4)
	now := start
	steps := []struct {
		percent int // that t00 reports
		want    string
	}{
		{100, "[]"}, {250, "[t00 250]"}, {250, "[]"}, {110, "[t00 110]"}, {100, "[]"}, {0, "[]"},
	}
	for i, step := range steps {
		since := now
		now = now.Add(50 * time.Millisecond)
		f.recordOwnLoad(now, f.targets["t01"], Load{Slowdown: 100})
		f.recordOwnLoad(now, f.targets["t00"], Load{Slowdown: step.percent})
		reports := f.Reports(now, since)
		if got := fmt.Sprint(slowdownReports(f, reports)); got != step.want {
			t.Errorf("step %d: got %s told, want %s", i, got, step.want)
		}
		peer.ApplyReports(now, reports)
	}
	if got := peer.targets["t00"].slowdown.factor; got != 1.1 {
		t.Errorf("got a factor of %g at the peer, want 1.1", got)
	}
	if got := slowdownReports(peer, peer.Reports(now, start)); got != nil {
		t.Errorf("got %v told on by the peer, want none", got)
	}
}

// However many targets change, all instances together tell no more than the rate.
func TestToldSlowdownsAreBounded(t *testing.T) {
	for _, instances := range []int{1, 26, 2000} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			f := newFleet(t, 300, 4)
			var peers []string
			for i := range instances {
				peers = append(peers, fmt.Sprint(i))
			}
			f.SetPeers(start, peers)
			const seconds = 60
			now, told := start, 0
			for i := range 2 * seconds {
				since := now
				now = now.Add(500 * time.Millisecond)
				for j, target := range f.services["s"].targets {
					f.recordOwnLoad(now, target, Load{Slowdown: 100 + 300*((i+j)%2)})
				}
				told += len(slowdownReports(f, f.Reports(now, since)))
			}
			most := slowdownRate*(seconds+1)/float64(instances) + 1
			if got := float64(told); got == 0 || got > most {
				t.Errorf("got %d told in %d s, want some and %.0f at most", told, seconds, most)
			}
		})
	}
}

// Instances that know no slowdowns must take a report of one for that of an unknown target.
func TestSlowdownFromPeer(t *testing.T) {
	at := start.Add(time.Second)
	tests := map[string]struct {
		report LoadReport
		want   float64
	}{
		"slow":                {LoadReport{Load: 250, At: at}, 2.5},
		"from the future":     {LoadReport{Load: 250, At: at.Add(1)}, 1.5},
		"older than the last": {LoadReport{Load: 250, At: start.Add(1)}, 1.5},
		"zero":                {LoadReport{Load: 0, At: at}, 1.5},
		"huge":                {LoadReport{Load: maxSlowdownPercent + 1, At: at}, 1.5},
		"unknown target":      {LoadReport{Target: 1, Load: 250, At: at}, 1.5},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 1, 4)
			target := f.targets["t00"]
			f.recordOwnLoad(start.Add(time.Millisecond), target, Load{Running: 3, Slowdown: 150})
			if tt.report.Target == 0 {
				tt.report.Target = ^target.idHash
			}
			f.ApplyReports(at, []LoadReport{tt.report})
			if got := target.slowdown.factor; got != tt.want {
				t.Errorf("got %g, want %g", got, tt.want)
			}
			if f.byHash[tt.report.Target] != nil || target.otherLoad != 3 {
				t.Errorf("got the report counted as a load of %d, want 3", target.otherLoad)
			}
		})
	}
}

// Reports are exchanged more often only where targets report slowdowns, and where few instances do.
func TestReportInterval(t *testing.T) {
	tests := map[string]struct {
		load  Load
		age   time.Duration
		peers int
		want  time.Duration
	}{
		"no slowdown":    {Load{Running: 1}, 0, 26, reportInterval},
		"slowdown":       {Load{Slowdown: 100}, 0, 26, frequentInterval},
		"none any more":  {Load{Slowdown: 100}, slowdownsLast, 26, reportInterval},
		"many instances": {Load{Slowdown: 100}, 0, maxFrequentPeers + 1, reportInterval},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 1, 4)
			var peers []string
			for i := range tt.peers {
				peers = append(peers, fmt.Sprint(i))
			}
			f.SetPeers(start, peers)
			f.recordOwnLoad(start, f.targets["t00"], tt.load)
			if got := f.ReportInterval(start.Add(tt.age)); got != tt.want {
				t.Errorf("got %s, want %s", got, tt.want)
			}
		})
	}
}

// A target that restarts, perhaps on another machine, has no slowdown.
func TestRestartForgetsSlowdown(t *testing.T) {
	f := newFleet(t, 1, 4)
	now := reportSlowdowns(f, f.targets["t00"], time.Second, 100, 250)
	f.Put(now, Target{ID: "t00", Started: now, Service: "s", Domain: "n1", Slots: 4})
	f.ApplyReports(now, []LoadReport{{Target: ^f.targets["t00"].idHash, Load: 250, At: now.Add(-1)}})
	if got := f.targets["t00"].slowdownFactor(now); got != 1 {
		t.Errorf("got %g, want 1", got)
	}
}
