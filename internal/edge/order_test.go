package edge

import (
	"fmt"
	"testing"

	"github.com/firlever/firlever/platform"
)

// The later of two states of a key is found by its writer's own counters.
func TestCompareItems(t *testing.T) {
	target := func(started, sequence int, state string) string {
		return fmt.Sprintf(`{"address":"10.0.0.1:80","born":%d,"info":{"service":"s","version":"v1","zone":"n1","capacity":4},"status":{"state":%q,"sequence":%d,"warmup_left":"0ms"}}`,
			started, state, sequence)
	}
	instance := func(run int, leaving bool) string { return fmt.Sprintf(`{"run":%d,"leaving":%t}`, run, leaving) }
	tests := map[string]struct {
		key, a, b string
		want      int
	}{
		"version":                   {platform.ConfigKey, `{"version":9}`, `{"version":10}`, -1},
		"same version":              {platform.ConfigKey, `{"version":9}`, `{"version":9,"resources":[]}`, 0},
		"unreadable":                {platform.ConfigKey, `{"version":9}`, `{`, 0},
		"report":                    {"servers/a", target(5, 8, "draining"), target(5, 7, "ready"), 1},
		"report of a later run":     {"servers/a", target(5, 8, "draining"), target(6, 1, "ready"), -1},
		"report without a start":    {"servers/a", target(0, 8, "draining"), target(0, 1, "ready"), 1},
		"report of another writer":  {"servers/a", target(5, 8, "draining"), `{"state":"ready"}`, 0},
		"leaving instance":          {instancePrefix + "e1", instance(3, true), instance(3, false), 1},
		"later run of an instance":  {instancePrefix + "e1", instance(3, true), instance(4, false), -1},
		"later record of a run":     {instancePrefix + "e1", `{"run":3,"change":2,"partitioned":true}`, `{"run":3,"change":10}`, -1},
		"leaving before a change":   {instancePrefix + "e1", `{"run":3,"change":2,"leaving":true}`, `{"run":3,"change":10}`, 1},
		"evacuations have no order": {platform.EvacuatePrefix + "n1", "{}", "{ }", 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			a, b := platform.Item{Key: tt.key, Value: []byte(tt.a)}, platform.Item{Key: tt.key, Value: []byte(tt.b)}
			if got := compareItems(a, b); got != tt.want {
				t.Errorf("got %d, want %d", got, tt.want)
			}
			if got := compareItems(b, a); got != -tt.want {
				t.Errorf("got %d the other way, want %d", got, -tt.want)
			}
		})
	}
}
