package steer

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// probeSample is how many targets of each service are considered for probes: enough to have some of
// each failure domain.
const probeSample = 32

// ProbeTargets returns targets that show whether this instance reaches any: n at most, in as many
// failure domains as possible, and others with each call. Targets that may not get requests are left
// out, and cold ones come last.
func (f *Fleet) ProbeTargets(now time.Time, n int) []Target {
	f.probeRounds++
	var sample []*target
	for _, name := range slices.Sorted(maps.Keys(f.services)) {
		sample = f.sampleForProbe(sample, f.services[name])
	}
	slices.SortFunc(sample, func(a, b *target) int { return f.compareForProbe(now, a, b) })
	domains := make(map[string]bool)
	var list, others []Target
	for _, t := range sample {
		if domains[t.Domain] {
			others = append(others, t.Target)
			continue
		}
		domains[t.Domain] = true
		list = append(list, t.Target)
	}
	list = append(list, others...)
	return list[:min(n, len(list))]
}

// sampleForProbe adds up to probeSample targets of a service that may get requests. They are in the
// order of their hashes, so that those that follow each other are in different failure domains.
func (f *Fleet) sampleForProbe(sample []*target, s *service) []*target {
	if len(s.targets) == 0 {
		return sample
	}
	begin := int(mix(hash(s.limits.Name), f.probeRounds) % uint64(len(s.targets)))
	for i, found := 0, 0; i < len(s.targets) && found < probeSample; i++ {
		if t := s.targets[(begin+i)%len(s.targets)]; f.available(t) {
			sample = append(sample, t)
			found++
		}
	}
	return sample
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
