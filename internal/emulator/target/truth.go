package target

import (
	"cmp"
	"slices"
)

// ScopeUsage is a scope with the counts of its requests.
type ScopeUsage struct {
	Scope
	Usage
}

// Runs returns the number of started runs of a request ID or idempotency key.
func (j *Journal) Runs(key string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	if r := j.records[key]; r != nil {
		return r.runs
	}
	return 0
}

// Usage returns the counts of a scope's requests.
func (j *Journal) Usage(s Scope) Usage {
	j.mu.Lock()
	defer j.mu.Unlock()
	if u := j.usage[s]; u != nil {
		return *u
	}
	return Usage{}
}

// Peak returns the maximum of requests in flight of a service in a place.
func (j *Journal) Peak(service, place string) int {
	return j.Usage(Scope{Place: place, Service: service}).Peak
}

// PlaceUsage returns the counts of all requests in a place.
func (j *Journal) PlaceUsage(place string) Usage { return j.Usage(Scope{Place: place}) }

// Usages returns the counts of all scopes, sorted by place, service and target.
func (j *Journal) Usages() []ScopeUsage {
	j.mu.Lock()
	defer j.mu.Unlock()
	uses := make([]ScopeUsage, 0, len(j.usage))
	for s, u := range j.usage {
		uses = append(uses, ScopeUsage{Scope: s, Usage: *u})
	}
	slices.SortFunc(uses, func(a, b ScopeUsage) int {
		return cmp.Or(
			cmp.Compare(a.Place, b.Place),
			cmp.Compare(a.Service, b.Service),
			cmp.Compare(a.Target, b.Target),
		)
	})
	return uses
}

// Shifts returns the number of requests of other places' callers that a service started in a
// place, by one-second windows from the journal's epoch.
func (j *Journal) Shifts(service, place string) []int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Clone(j.shifts[Scope{Place: place, Service: service}])
}

// ShiftGrowth returns the largest growth of the shifted requests of a service in a place from
// one window to the next. A target starts a request later than an instance admits it, so some
// may count in the next window.
func (j *Journal) ShiftGrowth(service, place string) int {
	before, growth := 0, 0
	for _, n := range j.Shifts(service, place) {
		growth = max(growth, n-before)
		before = n
	}
	return growth
}

// Violations returns the first violations, in the order of recording.
func (j *Journal) Violations() []Violation {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Clone(j.violations)
}
