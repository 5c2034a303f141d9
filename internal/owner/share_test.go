package owner

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/firlever/firlever/pkg/settings"
)

func TestAllowances(t *testing.T) {
	tests := map[string]struct {
		limit int
		slots []int
		want  []int
	}{
		"none":       {limit: 5, slots: nil, want: []int{}},
		"all":        {limit: 99, slots: []int{10, 3}, want: []int{10, 3}},
		"even":       {limit: 10, slots: []int{10, 10}, want: []int{5, 5}},
		"remainders": {limit: 5, slots: []int{3, 3, 3}, want: []int{2, 2, 1}},
		"few":        {limit: 1, slots: []int{1, 7}, want: []int{0, 1}},
		"negative":   {limit: -1, slots: []int{-4, 7}, want: []int{0, 0}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			site := settings.Site{Limit: tt.limit}
			for _, n := range tt.slots {
				site.Targets = append(site.Targets, settings.Target{Slots: n})
			}
			if got := Allowances(site); !slices.Equal(got, tt.want) {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}

func TestSplit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		caps := rapid.SliceOf(rapid.IntRange(0, 50)).Draw(rt, "caps")
		limit := rapid.IntRange(0, 500).Draw(rt, "limit")
		sum, total := 0, 0
		for i, got := range Quotas(limit, caps) {
			if got < 0 || got > caps[i] {
				rt.Fatalf("got %d, want at most %d", got, caps[i])
			}
			sum += got
			total += caps[i]
		}
		if want := min(limit, total); sum != want {
			rt.Fatalf("got a sum of %d, want %d", sum, want)
		}
	})
}
