package explain

import (
	"slices"
	"strings"
	"testing"
)

const rolloutLines = `a time=2026-06-01T10:00:01.2Z level=info msg=rollout service=s version=v2 order=4-v2 phase=canary
b time=2026-06-01T10:00:01.1Z level=info msg=rollout service=s version=v2 order=4-v2 phase=canary
a time=2026-06-01T10:00:03Z level=info msg=rollout service=s version=v2 order=4-v2 phase=rolled-back reason="too few answers of the new version"
a time=2026-06-01T10:00:02Z level=info msg=rollout service=t version=v2 order=5-v2 phase=canary
a time=2026-06-01T10:00:09Z level=error msg="rollout order unusable" service=s err=bad
b time=2026-06-01T10:00:04Z level=info msg=target service=s
`

// Each phase of each order stands once, with its first line and the number of instances.
func TestRollout(t *testing.T) {
	lines, err := Read(strings.NewReader(rolloutLines), "stdin")
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	var instances []int
	for _, s := range Rollout(lines, "s") {
		got = append(got, s.First.Source+" "+s.First.Field("msg")+" "+s.First.Field("phase"))
		instances = append(instances, s.Instances)
	}
	want := []string{"b rollout canary", "a rollout rolled-back", "a rollout order unusable "}
	if !slices.Equal(got, want) || !slices.Equal(instances, []int{2, 1, 1}) {
		t.Errorf("got %q at %v instances, want %q at 2, 1, 1", got, instances, want)
	}
	if other := Rollout(lines, "x"); len(other) != 0 {
		t.Errorf("got %v for a service without rollouts", other)
	}
}
