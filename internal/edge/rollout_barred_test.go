package edge

import (
	"fmt"
	"slices"
	"testing"

	"github.com/firlever/firlever/internal/mirror"
	"github.com/firlever/firlever/platform"
)

// A version that had just been completed was barred by the order that followed, if both were learnt at
// once, so that the next version got all requests.
func TestCompletedVersionBarredByTheNextOrder(t *testing.T) {
	change := func(key string, at uint64, value string) mirror.Change {
		return mirror.Change{Item: platform.Item{Key: key, Value: []byte(value), Changed: platform.NewRevision(0, at)}}
	}
	order := func(version string, at uint64) mirror.Change {
		return change(orderKey, at, fmt.Sprintf(`{"service":"s","target_version":%q,"duration":"60s"}`, version))
	}
	status := func(order, version, phase, barred string, at uint64) mirror.Change {
		return change(statusKey, at, fmt.Sprintf(`{"service":"s","target_version":%q,"phase":%q,"order":%q%s}`, version, phase, order, barred))
	}
	const before, begun, ended, next, nextBegun = 5, 6, 11, 12, 13
	running := []mirror.Change{order("v2", before), status("5-v2", "v2", "promoting", `,"barred":["v0"]`, begun)}
	tests := map[string]struct {
		known, batch []mirror.Change
		want         []string
	}{
		"completed": {running, []mirror.Change{order("v3", next), status("5-v2", "v2", "completed", `,"barred":["v0"]`, ended)}, []string{"v0"}},
		"completed, and the next one begun": {running, []mirror.Change{
			order("v3", next), status("12-v3", "v3", "canary", `,"barred":["v0"]`, nextBegun),
		}, []string{"v0"}},
		"rolled back": {running, []mirror.Change{order("v3", next), status("5-v2", "v2", "rolled-back", `,"barred":["v0"]`, ended)}, []string{"v0", "v2"}},
		"replaced":    {running, []mirror.Change{order("v3", next)}, []string{"v0", "v2"}},
		"started after the end of the one before": {nil, []mirror.Change{
			order("v3", next), status("5-v2", "v2", "rolled-back", `,"barred":["v0"]`, ended),
		}, []string{"v0", "v2"}},
		"started after the begin": {nil, []mirror.Change{
			order("v3", next), status("12-v3", "v3", "canary", `,"barred":["v2"]`, nextBegun),
		}, []string{"v2"}},
		"status without what is barred": {running, []mirror.Change{
			order("v3", next), status("12-v3", "v3", "canary", "", nextBegun),
		}, []string{"v0", "v2"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			n := newRig(t).newInstance("e1", "n1")
			n.Changed(tt.known)
			n.Changed(tt.batch)
			n.rollouts.mu.Lock()
			defer n.rollouts.mu.Unlock()
			if got := n.rollouts.byService["s"].barred; !slices.Equal(got, tt.want) {
				t.Errorf("got %q barred, want %q", got, tt.want)
			}
		})
	}
}
