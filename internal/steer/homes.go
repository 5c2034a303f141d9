package steer

import "time"

// plannedHomes returns the targets that the object's work is planned for; nil if the object is placed
// by its hash alone.
func (f *Fleet) plannedHomes(now time.Time, s *service, q *Query) []*target {
	if q.Object == "" || q.pool == canaryTargets {
		return nil
	}
	planned, ok := s.plan.Homes(now, q.object)
	if !ok {
		return nil
	}
	var homes []*target
	for _, id := range planned.IDs() {
		if t := f.byHash[id]; t != nil && t.service == s {
			homes = append(homes, t)
		}
	}
	return homes
}

// promote ranks the given targets before all others, as far as they are candidates, and returns how
// many are.
func (f *Fleet) promote(now time.Time, o *order, q *Query, homes []*target) int {
	var list top
	for _, t := range homes {
		if list.n < rankedCount && f.isCandidate(now, t, q, o) {
			list.list[list.n] = newCandidate(t)
			list.n++
		}
	}
	n := list.n
	for _, c := range o.global.list[:o.global.n] {
		if list.n < rankedCount && !list.contains(c.target) {
			list.list[list.n] = c
			list.n++
		}
	}
	if n > 0 {
		o.global = list
	}
	return n
}

func (t *top) contains(other *target) bool {
	for _, c := range t.list[:t.n] {
		if c.target == other {
			return true
		}
	}
	return false
}

// isHome reports whether the target is one of those that keep the object warm.
// Of a planned object these are its homes and one more, for what these can't answer in time.
func (f *Fleet) isHome(c *candidate, q *Query) bool {
	if q.homes > 0 {
		return c.globalRank <= q.homes
	}
	n := c.service.maxHomes()
	if c.globalRank < n {
		return true
	}
	return f.hasLocalHomes(q) && (c.target.region == f.region && c.regionRank < n || c.Domain == f.cfg.Domain && c.domainRank < n)
}

// hasLocalHomes reports whether the object also has homes in each failure domain and region
// because its answers are too large to transfer from a single home. A plan places it near as far as
// there is room.
func (f *Fleet) hasLocalHomes(q *Query) bool { return q.homes == 0 && f.hasLargeAnswers(q) }

func (f *Fleet) hasLargeAnswers(q *Query) bool { return f.transferCost(q) > domainHomeCost }

// penalty returns the cost of a target for its location and for not being the object's home.
func (f *Fleet) penalty(c *candidate, q *Query, mean time.Duration) time.Duration {
	cost := f.missPenalty(c, q, mean)
	if c.Domain != f.cfg.Domain {
		cost += f.transferCost(q)
	}
	return cost
}

// missPenalty returns the cost of a first run of the object at the target, times the chance of one.
func (f *Fleet) missPenalty(c *candidate, q *Query, mean time.Duration) time.Duration {
	if q.Object == "" {
		return 0
	}
	miss := float64(mean) * missCostFactor
	if q.homes > 0 {
		return plannedMissCost(miss, c.globalRank-q.homes, q)
	}
	missed := missCost(miss, c.globalRank)
	if f.hasLocalHomes(q) {
		if c.target.region == f.region {
			missed = min(missed, regionHomeCost+missCost(miss, c.regionRank))
		}
		if c.Domain == f.cfg.Domain {
			missed = min(missed, domainHomeCost+missCost(miss, c.domainRank))
		}
	}
	return missed
}

// missCost returns the expected cost of a cache miss at the target with the given rank: none at
// the home, and half at the second, as that serves the requests that exceed the capacity of the
// home.
func missCost(miss float64, rank int) time.Duration {
	return time.Duration(miss * (1 - 1/float64(uint64(1)<<min(rank, lowestRank))))
}

// plannedMissCost returns the expected cost of a cache miss at a target that is ranked after the
// planned homes. If it would push out what is warm there, waiting at the home for less than the
// objective costs less.
func plannedMissCost(miss float64, after int, q *Query) time.Duration {
	if after < 0 {
		return 0
	}
	cost := missCost(miss, after+1)
	if q.oneHome {
		return max(cost, q.Objective)
	}
	return cost
}
