package explain

import (
	"slices"
	"strings"
)

// RolloutStep is a phase that a rollout reached, or an order or status that could not be used.
type RolloutStep struct {
	First     Line // earliest line about it
	Instances int  // instances that have a line about it
}

// Rollout returns the steps of the rollouts of a service, ordered by time.
func Rollout(lines []Line, service string) []RolloutStep {
	type key struct{ msg, order, phase, err string }
	seen := make(map[key]map[string]bool) // sources
	first := make(map[key]Line)
	for _, l := range lines {
		if l.Field("service") != service || !strings.HasPrefix(l.Field("msg"), "rollout") {
			continue
		}
		k := key{l.Field("msg"), l.Field("order"), l.Field("phase"), l.Field("err")}
		if seen[k] == nil {
			seen[k] = make(map[string]bool)
		}
		seen[k][l.Source] = true
		if old, ok := first[k]; !ok || l.Time.Before(old.Time) {
			first[k] = l
		}
	}
	steps := make([]RolloutStep, 0, len(first))
	for k, l := range first {
		steps = append(steps, RolloutStep{First: l, Instances: len(seen[k])})
	}
	slices.SortFunc(steps, func(a, b RolloutStep) int {
		if c := a.First.Time.Compare(b.First.Time); c != 0 {
			return c
		}
		return strings.Compare(a.First.Text, b.First.Text)
	})
	return steps
}
