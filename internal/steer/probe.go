package steer

import (
	"cmp"
	"slices"
	"time"
)

// ProbeTargets returns targets that show whether this instance reaches any: n at most, in as many
// failure domains as possible, and others with each call. Targets that may not get requests are left
// out, and cold ones come last.
func (f *Fleet) ProbeTargets(now time.Time, n int) []Target {
	f.probeRounds++
	firsts := make(map[string]*target) // by failure domain
	for _, t := range f.targets {
		if first := firsts[t.Domain]; f.available(t) && (first == nil || f.compareForProbe(now, t, first) < 0) {
			firsts[t.Domain] = t
		}
	}
	var list, others []*target
	for _, t := range f.targets {
		switch {
		case !f.available(t):
		case firsts[t.Domain] == t:
			list = f.insertForProbe(now, list, t, n)
		default:
			others = f.insertForProbe(now, others, t, n)
		}
	}
	list = append(list, others...)
	targets := make([]Target, 0, n)
	for _, t := range list[:min(n, len(list))] {
		targets = append(targets, t.Target)
	}
	return targets
}

// insertForProbe inserts a target into a sorted list of n at most.
func (f *Fleet) insertForProbe(now time.Time, list []*target, t *target, n int) []*target {
	i, _ := slices.BinarySearchFunc(list, t, func(a, b *target) int { return f.compareForProbe(now, a, b) })
	if i == n {
		return list
	}
	list = slices.Insert(list, i, t)
	return list[:min(n, len(list))]
}

// compareForProbe orders targets for this round of probes: warm ones first, then by a hash.
func (f *Fleet) compareForProbe(now time.Time, a, b *target) int {
	if a.cold(now) != b.cold(now) {
		if b.cold(now) {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(mix(a.idHash, f.probeRounds), mix(b.idHash, f.probeRounds)), compareHash(a, b))
}
