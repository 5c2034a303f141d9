package owner

import (
	"testing"
	"time"
)

// TestReleaseStaysValid checks that an earlier release of a still bounds what b,
// which took over a target from it, may use, while rosters and incarnations change.
func TestReleaseStaysValid(t *testing.T) {
	key := keyOf(t, "z", "a", "b")
	two := join(t, join(t, Roster{}, "a"), "b")
	held := Release{From: "a", Incarnation: 1, Version: two.Version, Seq: 1, Held: []Held{{key, 3, 3}}}
	tests := map[string]struct {
		step func(b *Table)
		want int
	}{
		"said": {func(*Table) {}, 7},
		"by a newer roster that is not here yet": {func(b *Table) {
			b.RecordRelease(at(1), Release{From: "a", Incarnation: 1, Version: two.Version + 1, Seq: 2})
		}, 7},
		"by the newer roster, here": {func(b *Table) {
			b.RecordRelease(at(1), Release{From: "a", Incarnation: 1, Version: two.Version + 1, Seq: 2})
			b.SetRoster(at(1), join(t, two, "z"))
		}, 10},
		"a is back": {func(b *Table) {
			b.RecordRelease(at(1), Release{From: "a", Incarnation: 2, Version: two.Version, Seq: 1})
		}, 7},
		"a is back in the roster": {func(b *Table) {
			next, err := two.Join("a", 2)
			if err != nil {
				t.Fatal(err)
			}
			b.RecordRelease(at(1), Release{From: "a", Incarnation: 2, Version: two.Version, Seq: 1})
			b.SetRoster(at(1), next)
		}, 7},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := tableOf(t, "b", key)
			b.SetRoster(at(0), two)
			b.RecordRelease(at(0), held)
			b.Confirm(at(1), two.Version)
			tt.step(b)
			if got := b.Free(at(1.1), key); got != tt.want {
				t.Errorf("got %d free, want %d", got, tt.want)
			}
		})
	}
}

// TestQuotaWait restarts a place with a service of short requests beside one of
// long requests: the short one waits for the long one only if they may have used
// each other's quota.
func TestQuotaWait(t *testing.T) {
	for name, tt := range map[string]struct{ quota, want int }{
		"quotas cover the allowances": {10, 10},
		"quotas are shared":           {5, 0},
	} {
		t.Run(name, func(t *testing.T) {
			short := TargetKey{Service: service, Name: "short"}
			b := tableOf(t, "a", short)
			b.SetSpecs(at(0), []Spec{
				{Key: short, Allowance: 10, Quota: tt.quota, Timeout: 2 * time.Second},
				{Key: TargetKey{Service: service, Name: "long"}, Allowance: 10, Quota: tt.quota, Timeout: 10 * time.Minute},
			})
			next, err := join(t, Roster{}, "a").Remove("a", 1, false)
			if err != nil {
				t.Fatal(err)
			}
			b.cfg.Incarnation = 2
			if next, err = next.Join("a", 2); err != nil {
				t.Fatal(err)
			}
			b.SetRoster(at(0), next)
			b.Confirm(at(3), next.Version)
			if got := b.Free(at(3), short); got != tt.want {
				t.Errorf("got %d free, want %d", got, tt.want)
			}
		})
	}
}
