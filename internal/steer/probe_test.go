package steer

import (
	"fmt"
	"testing"
	"time"
)

func TestProbeTargets(t *testing.T) {
	now := time.Now()
	targets := map[string]struct {
		change func(k int, t *Target)
		n      int
		want   int // targets
		in     int // failure domains
	}{
		"more domains than probes":  {func(k int, t *Target) { t.Domain = fmt.Sprint("d", k) }, 4, 4, 4},
		"fewer domains than probes": {func(k int, t *Target) { t.Domain = fmt.Sprint("d", k%2) }, 4, 4, 2},
		"one domain":                {func(_ int, t *Target) { t.Domain = "d0" }, 4, 4, 1},
		"leaving targets":           {func(k int, t *Target) { t.Domain, t.Leaving = "d0", k > 1 }, 4, 2, 1},
		"evacuated domain":          {func(k int, t *Target) { t.Domain = []string{"gone", "d0"}[k%2] }, 4, 4, 1},
		"cold ones come last":       {func(k int, t *Target) { t.Domain = "d0"; t.WarmAt = now.Add(time.Duration(k-4) * time.Hour) }, 4, 4, 1},
	}
	for name, tt := range targets {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 0, 1)
			for k := range 8 {
				target := Target{ID: fmt.Sprint("t", k), Service: "s", Slots: 1}
				tt.change(k, &target)
				f.Put(now, target)
			}
			f.Evacuate(now, []string{"gone"})
			seen := make(map[string]bool)
			for range 50 {
				got, domains := f.ProbeTargets(now, tt.n), make(map[string]bool)
				for _, target := range got {
					domains[target.Domain], seen[target.ID] = true, true
					if name == "cold ones come last" && target.WarmAt.After(now) {
						t.Errorf("got cold target %s although enough are warm", target.ID)
					}
				}
				if len(got) != tt.want || len(domains) != tt.in {
					t.Fatalf("got %d targets in %d domains, want %d in %d", len(got), len(domains), tt.want, tt.in)
				}
			}
			if name == "one domain" && len(seen) != 8 {
				t.Errorf("got %d targets probed in 50 rounds, want all 8", len(seen))
			}
		})
	}
}

// BenchmarkCapacityProbeTargets measures the choice of targets for a check, which holds the lock.
func BenchmarkCapacityProbeTargets(b *testing.B) {
	for _, n := range []int{40, 300, 10_000, 20_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := newBenchFleet(b, n, 8)
			for b.Loop() {
				f.ProbeTargets(start, 5)
			}
		})
	}
}
