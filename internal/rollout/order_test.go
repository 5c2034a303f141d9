package rollout

import "testing"

// An instance that stood still around the end of a rollout replaced "completed" by "rolled back".
func TestFinalStatusReplaced(t *testing.T) {
	tests := map[string]struct {
		next, stored Status
		want         bool
	}{
		"completed by rolled back":   {Status{Order: "1", Phase: RolledBack}, Status{Order: "1", Phase: Completed}, false},
		"rolled back by completed":   {Status{Order: "1", Phase: Completed}, Status{Order: "1", Phase: RolledBack}, false},
		"promoting by rolled back":   {Status{Order: "1", Phase: RolledBack}, Status{Order: "1", Phase: Promoting}, true},
		"canary by promoting":        {Status{Order: "1", Phase: Promoting}, Status{Order: "1", Phase: Canary}, true},
		"promoting by canary":        {Status{Order: "1", Phase: Canary}, Status{Order: "1", Phase: Promoting}, false},
		"of the order before":        {Status{Order: "2", Phase: Canary}, Status{Order: "1", Phase: Completed}, true},
		"nothing by canary":          {Status{Order: "1", Phase: Canary}, Status{}, true},
		"completed by the same once": {Status{Order: "1", Phase: Completed}, Status{Order: "1", Phase: Completed}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if got := tt.next.Follows(tt.stored); got != tt.want {
				t.Errorf("got %t, want %t", got, tt.want)
			}
		})
	}
}
