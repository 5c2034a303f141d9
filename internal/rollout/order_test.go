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

// An instance that doesn't know the latest order must not replace its status by that of an earlier one.
func TestLaterOrder(t *testing.T) {
	tests := map[string]struct {
		id, other string
		want      bool
	}{
		"later":      {"12-v3", "5-v2", true},
		"earlier":    {"5-v2", "12-v3", false},
		"same":       {"12-v3", "12-v3", false},
		"unreadable": {"x", "5-v2", false},
		"none":       {"12-v3", "", false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if got := LaterOrder(tt.id, tt.other); got != tt.want {
				t.Errorf("got %t, want %t", got, tt.want)
			}
		})
	}
}
