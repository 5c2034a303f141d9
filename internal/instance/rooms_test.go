package instance

import (
	"fmt"
	"testing"

	"github.com/firlever/firlever/internal/core"
	"github.com/firlever/firlever/pkg/settings"
)

func TestCapacityRotation(t *testing.T) {
	tests := map[string]struct {
		services int
		changing bool
		rounds   int // within which each service is sent at least once
	}{
		"few":            {services: 2, changing: true, rounds: 1},
		"many, changing": {services: 30, changing: true, rounds: 15},
		"many, at rest":  {services: 30, rounds: 15 + 30*unchangedEvery},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var rotation capacityRotation
			last := map[settings.ServiceID]int{}
			capacities := make([]core.FreeSlots, tt.services)
			for round := range 200 {
				for i := range capacities {
					capacities[i] = core.FreeSlots{Service: settings.ServiceID{Team: "t", Name: fmt.Sprintf("s%02d", i)}}
					if tt.changing {
						capacities[i].Free = round
					}
				}
				picked := rotation.pick(capacities)
				if len(picked) > maxChanged+1 {
					t.Fatalf("got %d services in one packet, want at most %d", len(picked), maxChanged+1)
				}
				for _, r := range picked {
					last[r.Service] = round
				}
				for i := range capacities {
					if at, ok := last[capacities[i].Service]; round >= tt.rounds && (!ok || round-at > tt.rounds) {
						t.Fatalf("got %v last sent in round %d by round %d, want within %d", capacities[i].Service, at, round, tt.rounds)
					}
				}
			}
		})
	}
}
