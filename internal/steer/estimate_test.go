package steer

import (
	"testing"
	"time"
)

// A path's round trip is the least time to connect within a minute.
func TestRoundTrip(t *testing.T) {
	const near, far = 3 * time.Millisecond, 40 * time.Millisecond
	tests := map[string]struct {
		connects map[time.Duration]time.Duration // time to connect, by when
		want     time.Duration
	}{
		"none":           {nil, 0},
		"one":            {map[time.Duration]time.Duration{0: far}, far},
		"least":          {map[time.Duration]time.Duration{0: far, time.Second: near, 2 * time.Second: far}, near},
		"longer since":   {map[time.Duration]time.Duration{0: near, 31 * time.Second: far, 62 * time.Second: far}, far},
		"window before":  {map[time.Duration]time.Duration{0: near, 31 * time.Second: far}, near},
		"only in window": {map[time.Duration]time.Duration{31 * time.Second: far}, far},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var p path
			for at := time.Duration(0); at < 2*time.Minute; at += time.Second {
				if took, ok := tt.connects[at]; ok {
					p.record(start.Add(at), took)
				}
			}
			if got := p.roundTrip(); got != tt.want {
				t.Errorf("got %s, want %s", got, tt.want)
			}
		})
	}
}

// The estimate adds up the wait, the work, what slows it down, and the way.
func TestEstimate(t *testing.T) {
	// Reports of the usual time alone leave a slowdown the weight that is assumed at first.
	const work, near, far = 100 * time.Millisecond, 4 * time.Millisecond, 40 * time.Millisecond
	tests := map[string]struct {
		domain string
		load   Load
		want   time.Duration
	}{
		"near":           {"n1", Load{Slowdown: 100}, 82 * time.Millisecond},
		"far":            {"s1", Load{Slowdown: 100}, 118 * time.Millisecond},
		"waits":          {"s1", Load{Running: 4, Slowdown: 100}, 143 * time.Millisecond},
		"slow":           {"n1", Load{Slowdown: 200}, 166 * time.Millisecond},
		"slow and waits": {"n1", Load{Running: 4, Slowdown: 200}, 212 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 4, 4)
			s := f.services["s"]
			for range 2000 {
				f.pathTo("n1").record(start, near)
				f.pathTo("s1").record(start, far)
				for _, target := range s.targets {
					if target.Domain == "n1" || target.Domain == "s1" {
						f.measure(start, target, work)
						f.recordOwnLoad(start, target, Load{Slowdown: 100})
					}
				}
			}
			for _, target := range s.targets {
				if target.Domain != tt.domain {
					continue
				}
				s.typicalLoad = 0
				f.recordOwnLoad(start, target, tt.load)
				s.slowdowns.mean = 1
				c := &candidate{target: target}
				got := f.back(c, &Query{}, f.estimate(start, c, work), work)
				if diff := (got - tt.want).Abs(); diff > 5*time.Millisecond {
					t.Errorf("got %s, want about %s", got, tt.want)
				}
			}
		})
	}
}

// All targets of a failure domain work slowly, so its latency has grown: their slowdowns are not counted a second time.
func TestEstimateInSlowDomain(t *testing.T) {
	const usual, slow, slots = time.Second, 2500 * time.Millisecond, 4
	f := newFleet(t, 8, slots)
	s, now := f.services["s"], start
	for range 600 {
		now = now.Add(50 * time.Millisecond)
		for _, target := range s.targets {
			took, percent := usual, 100
			if target.Domain == "s1" {
				took, percent = slow, 250
			}
			f.measure(now, target, took)
			f.recordOwnLoad(now, target, Load{Running: slots, Slowdown: percent})
		}
	}
	for _, target := range s.targets {
		c := &candidate{target: target}
		if got, want := f.estimate(now, c, s.latency(usual)).wait, s.domainLatency[target.Domain]*11/10/slots; target.Domain == "s1" && got > want {
			t.Errorf("%s: got a wait of %s for one slot of %d, want %s at most", target.ID, got, slots, want)
		}
	}
}
