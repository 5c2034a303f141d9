package admission

import (
	"flag"
	"fmt"
	"math"
	"testing"
	"time"
)

var weigh = flag.Bool("weigh", false, "compare the ways to decide at all loads and sizes")

const (
	burstBegin, burstEnd, playEnd = 5, 10, 16 // seconds
)

// burst returns the load of a calm with five seconds of another load.
func burst(load float64) func(t float64) float64 {
	return func(t float64) float64 {
		if t >= burstBegin && t < burstEnd {
			return load
		}
		return calmLoad
	}
}

// inTime returns the requests per second that were answered in time, relative to the room.
func (m *model) inTime(from, to int) float64 {
	n := 0
	for p := range priorities {
		n += m.sum(p, from, to).inTime
	}
	return float64(n) / float64(to-from) / modelRoom / float64(len(m.targets))
}

// In a burst of callers of three priorities, who return once when refused, the more urgent
// priorities get more of what they ask for, most of the most urgent is sent, and two seconds after
// the burst all is as in the calm.
func TestBurst(t *testing.T) {
	for _, load := range []float64{1.5, 2, 3, 4} {
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			m := newModel(1, 26, 190, byLevel)
			m.play(playEnd, burst(load))
			if got, want := m.inTime(burstEnd+2, playEnd-2), m.inTime(2, burstBegin); got < 0.95*want {
				t.Errorf("got %.2f of the room in time after the burst, want %.2f", got, want)
			}
			for p := range priorities - 1 {
				more, less := m.sum(p, burstBegin+1, burstEnd), m.sum(p+1, burstBegin+1, burstEnd)
				if got, than := more.share(), less.share(); got < than {
					t.Errorf("priority %d: got %.2f of what was asked in time, want more than the %.2f of priority %d", p, got, than, p+1)
				}
			}
			if c := m.sum(0, burstBegin+2, burstEnd); c.refused*5 > c.asked {
				t.Errorf("got %d of %d of the most urgent refused, want a fifth at most, as there is room for all", c.refused, c.asked)
			}
		})
	}
}

func (c count) share() float64 { return float64(c.inTime) / float64(max(1, c.asked)) }

// The same at instances that are only asked for one priority: the least urgent is refused there too
// while others are asked for more urgent ones, though none tells the others its level. Half of the
// instances are killed in the burst, and forget theirs.
func TestAgreement(t *testing.T) {
	const load, killAt = 3, 7.0
	m := newModel(2, 40, 190, byLevel)
	for i := range m.instances[:8] {
		m.instances[i].only = i % priorities
	}
	m.after(killAt, func() {
		for i := range m.instances {
			if i%2 == 0 {
				m.instances[i].level = Level{}
			}
		}
	})
	m.play(killAt+3, func(t float64) float64 { return burst(load)(min(t, burstEnd-1)) })
	for i, in := range m.instances {
		if in.only == 0 {
			continue
		}
		if got := in.level.Share(priorities - 1); got > 0.35 {
			t.Errorf("instance %d: got %.2f of the least urgent admitted 3 s after the kill, want a third at most, as its room has gone to others", i, got)
		}
	}
}

// A priority that is out of range takes no room from others, and one that few ask for or nobody
// decides nothing; none is shut out for good.
func TestPriorities(t *testing.T) {
	start := time.UnixMilli(1_800_000_000_000)
	full := Room{Requests: 300, Busy: 100, Slots: 100, Work: 100 * time.Millisecond}
	tests := map[string]struct {
		asked map[int]int // requests of each priority in ten
		least int         // priority that is refused most
	}{
		"two":            {map[int]int{0: 5, 1: 5}, 1},
		"far apart":      {map[int]int{0: 5, 9: 5}, 9},
		"negative":       {map[int]int{3: 5, -1: 5}, -1},
		"huge":           {map[int]int{3: 5, math.MaxInt: 5}, math.MaxInt},
		"single":         {map[int]int{3: 10}, 3},
		"single, faulty": {map[int]int{math.MinInt: 10}, math.MinInt},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var l Level
			for i := range 1000 {
				now := start.Add(time.Duration(i) * 10 * time.Millisecond)
				if l.Due(now) {
					l.Update(now, full)
				}
				for p, n := range tt.asked {
					if i%10 < n && l.MayWait(now, p, time.Second, uint64(i)<<54) && i%3 == 0 {
						l.Sent()
					}
				}
			}
			for p := range tt.asked {
				if got := l.Share(p); got < l.Share(tt.least) || got < minShare/2 {
					t.Errorf("got %.3f of priority %d admitted, and %.3f of %d", got, p, l.Share(tt.least), tt.least)
				}
			}
			if got := l.Share(tt.least); got > 0.9 {
				t.Errorf("got %.3f of priority %d admitted, want less", got, tt.least)
			}
		})
	}
}

// An instance that starts while its service is short of room lets all in until it knows what it
// may send.
func TestStartInBurst(t *testing.T) {
	now := time.UnixMilli(1_800_000_000_000)
	var l Level
	l.Update(now, Room{Requests: 200, Busy: 100, Slots: 100, Work: 100 * time.Millisecond})
	for i := range 100 {
		now = now.Add(time.Millisecond)
		if !l.MayWait(now, i%2, time.Second, uint64(i)<<57) {
			t.Fatalf("got request %d refused, want all let in", i)
		}
	}
	l.Update(now.Add(updateInterval), Room{Requests: 200, Busy: 100, Slots: 100, Work: 100 * time.Millisecond})
	if got := l.Share(1); got != 1 {
		t.Errorf("got %.2f let in, want all while the capacity isn't known", got)
	}
}

// TestWays prints the comparison of docs/design/admission.md.
func TestWays(t *testing.T) {
	if !*weigh {
		t.Skip("takes minutes; run with -weigh")
	}
	for _, size := range []struct {
		instances, targets int
		skewed             bool
	}{{8, 26, false}, {89, 240, false}, {89, 240, true}, {1000, 1000, false}} {
		for _, load := range []float64{1, 1.5, 2, 4, 10} {
			for _, w := range []way{asBefore, byLevel, credits, planned} {
				m := newModel(1, size.instances, size.targets, w)
				m.skewed = size.skewed
				m.play(playEnd, burst(load))
				back := burstEnd
				for s := burstEnd; s < playEnd-2; s++ {
					if m.inTime(s, s+1) < 0.95*m.inTime(2, burstBegin) {
						back = s + 1
					}
				}
				line := fmt.Sprintf("%4d %v %4g %-24s before %.2f, in time %.2f, calm after %d s",
					size.instances, size.skewed, load, w, m.inTime(2, burstBegin), m.inTime(burstBegin, burstEnd), back-burstEnd)
				for p := range priorities {
					c := m.sum(p, burstBegin, burstEnd)
					line += fmt.Sprintf(" | %d: %.2f late %.2f refused %.2f", p, c.share(), float64(c.late)/float64(c.asked), float64(c.refused)/float64(c.asked))
				}
				t.Log(line)
			}
		}
	}
}
