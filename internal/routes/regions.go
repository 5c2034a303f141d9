package routes

import "slices"

// Regions lists the regions in which requests may be served. Nil means everywhere; an empty list
// that is not nil means nowhere.
type Regions []string

// RegionsOf returns the regions of a list. An empty list means everywhere.
func RegionsOf(names []string) Regions {
	if len(names) == 0 {
		return nil
	}
	return names
}

// Allows reports whether requests may be served in a region.
func (r Regions) Allows(region string) bool { return r == nil || slices.Contains(r, region) }

// Intersect returns the regions that both r and o allow.
func (r Regions) Intersect(o Regions) Regions {
	switch {
	case r == nil:
		return o
	case o == nil:
		return r
	}
	both := Regions{}
	for _, region := range r {
		if slices.Contains(o, region) {
			both = append(both, region)
		}
	}
	return both
}
