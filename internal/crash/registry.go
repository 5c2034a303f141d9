package crash

import (
	"cmp"
	"maps"
	"slices"

	"github.com/firlever/firlever/platform"
)

// MaxReports is the maximum number of reports; the oldest are evicted first.
const MaxReports = 512

const (
	// minCrashes is the number of targets that have to crash with a request in flight before the
	// request counts as the cause. Other requests are at the same target by chance, and hardly
	// one of them is there three times without a successful answer in between.
	minCrashes = 3
	// minTiedCrashes is the number of crashes that suffices if another request was at all of the
	// same targets and the two can't be told apart: each further probe crashes another target.
	minTiedCrashes = 5
	// maxFingerprints is per report; maxAnswered and maxPrevious limit the fields of the table.
	maxFingerprints = 64
	maxAnswered     = 512
	maxPrevious     = 512
)

// Unwritten is the revision of a report or answer that the store does not have (yet).
var Unwritten platform.Revision

// Report lists the requests that one instance had in flight at a target when it crashed.
type Report struct {
	Target       string        `json:"target"` // run of the target
	Fingerprints []Fingerprint `json:"prints"`
}

// entry is a report in the table.
type entry struct {
	revision     platform.Revision // orders reports and answers of all instances; Unwritten sorts last
	target       string
	fingerprints map[Fingerprint]bool // without requests that were answered successfully later
}

// before reports whether the entry was written before r. An entry without a revision is the
// latest.
func (e *entry) before(r platform.Revision) bool { return !e.revision.IsZero() && r.After(e.revision) }

// after reports whether the entry was written after r.
func (e *entry) after(r platform.Revision) bool { return e.revision.IsZero() || e.revision.After(r) }

// compare orders entries by time.
func (e *entry) compare(o *entry) int {
	if e.revision.IsZero() || o.revision.IsZero() {
		return o.revision.Compare(e.revision) // the zero revision is the latest
	}
	return e.revision.Compare(o.revision)
}

// Registry holds the crash reports of all instances, and finds the poison requests among them. It is
// not safe for concurrent use.
type Registry struct {
	reports  map[string]*entry                 // by key; limited in number, the oldest are evicted first
	answered map[Fingerprint]platform.Revision // revision of the last successful answer; maxAnswered at most
	previous []Fingerprint                     // poison requests by reports since removed, oldest first; maxPrevious at most
	removed  []Fingerprint                     // poison requests that were in reports removed since the last refresh

	crashes     map[string]map[Fingerprint]int // by crashed target: number of reports on it that list a request; 1 or more
	crashCounts map[Fingerprint]int            // targets that crashed with a request in flight; 1 or more
	stale       bool                           // whether poison has to be recomputed
	poison      map[Fingerprint]int            // requests that crash targets, with the number of those targets
}

// NewRegistry returns an empty table.
func NewRegistry() *Registry {
	return &Registry{
		reports: make(map[string]*entry), answered: make(map[Fingerprint]platform.Revision),
		crashes: make(map[string]map[Fingerprint]int), crashCounts: make(map[Fingerprint]int),
	}
}

// Put adds a report under its key. If the key exists, only the revision of its report is updated.
func (reg *Registry) Put(key string, revision platform.Revision, r Report) {
	if old, ok := reg.reports[key]; ok {
		old.revision = platform.Later(old.revision, revision)
		return
	}
	e := &entry{revision: revision, target: r.Target, fingerprints: make(map[Fingerprint]bool)}
	for _, p := range r.Fingerprints[:min(len(r.Fingerprints), maxFingerprints)] {
		if e.after(reg.answered[p]) && !e.fingerprints[p] {
			e.fingerprints[p] = true
			reg.addCrash(e.target, p)
		}
	}
	reg.reports[key] = e
	if len(reg.reports) > MaxReports {
		reg.Remove(reg.oldestReport())
	}
}

// addCrash records that one more report lists the request at a crashed target.
func (reg *Registry) addCrash(target string, p Fingerprint) {
	if reg.crashes[target] == nil {
		reg.crashes[target] = make(map[Fingerprint]int)
	}
	reg.crashes[target][p]++
	if reg.crashes[target][p] == 1 {
		reg.crashCounts[p]++
	}
	reg.stale = true
}

// clear removes a request from a report.
func (reg *Registry) clear(e *entry, p Fingerprint) {
	if !e.fingerprints[p] {
		return
	}
	delete(e.fingerprints, p)
	reg.stale = true
	requests := reg.crashes[e.target]
	if requests[p]--; requests[p] > 0 {
		return
	}
	delete(requests, p)
	if len(requests) == 0 {
		delete(reg.crashes, e.target)
	}
	if reg.crashCounts[p]--; reg.crashCounts[p] == 0 {
		delete(reg.crashCounts, p)
	}
}

// Report returns the report with the given key, without the requests that were answered
// successfully later. It is empty if the key is unknown.
func (reg *Registry) Report(key string) Report {
	e, ok := reg.reports[key]
	if !ok {
		return Report{}
	}
	return Report{Target: e.target, Fingerprints: slices.Sorted(maps.Keys(e.fingerprints))}
}

// oldestReport returns the key of the oldest report.
func (reg *Registry) oldestReport() string {
	first := ""
	for key, e := range reg.reports {
		old := reg.reports[first]
		if old == nil || cmp.Or(e.compare(old), cmp.Compare(key, first)) < 0 {
			first = key
		}
	}
	return first
}

// Remove removes a report. A request that was poison by a removed report counts as poison again
// after one more crash.
func (reg *Registry) Remove(key string) {
	e, ok := reg.reports[key]
	if !ok {
		return
	}
	guilty := reg.PoisonRequests()
	for p := range maps.Clone(e.fingerprints) {
		if guilty[p] > 0 {
			reg.removed = append(reg.removed, p)
		}
		reg.clear(e, p)
	}
	delete(reg.reports, key)
}

// RecordSuccess records that a target answered a request successfully at a revision, which shows that
// earlier crashes had another cause. Without a revision, all existing reports count as earlier.
func (reg *Registry) RecordSuccess(p Fingerprint, revision platform.Revision) {
	if !revision.IsZero() {
		reg.answered[p] = platform.Later(reg.answered[p], revision)
	}
	if len(reg.answered) > maxAnswered {
		reg.evictOldestAnswer()
	}
	for _, e := range reg.reports {
		if revision.IsZero() || e.before(revision) {
			reg.clear(e, p)
		}
	}
	same := func(f Fingerprint) bool { return f == p }
	reg.previous = slices.DeleteFunc(reg.previous, same)
	reg.removed = slices.DeleteFunc(reg.removed, same)
}

// evictOldestAnswer removes the oldest entry of answered.
func (reg *Registry) evictOldestAnswer() {
	fingerprints := slices.Sorted(maps.Keys(reg.answered))
	delete(reg.answered, slices.MinFunc(fingerprints, func(x, y Fingerprint) int { return reg.answered[x].Compare(reg.answered[y]) }))
}

// CrashCount returns how many targets crashed with the request in flight.
func (reg *Registry) CrashCount(p Fingerprint) int { return reg.crashCounts[p] }

// PoisonRequests returns the requests that crash targets, each with the number of targets that it
// crashed. The returned map is not modified later.
func (reg *Registry) PoisonRequests() map[Fingerprint]int {
	reg.refresh()
	return reg.poison
}

// refresh recomputes poison if it is stale, and moves requests that are no longer poison, because
// their reports were removed, to previous.
func (reg *Registry) refresh() {
	if !reg.stale {
		return
	}
	reg.stale = false
	reg.findPoison()
	for _, p := range reg.removed {
		if reg.poison[p] == 0 && !slices.Contains(reg.previous, p) {
			reg.previous = append(reg.previous, p)
		}
	}
	reg.previous = reg.previous[max(0, len(reg.previous)-maxPrevious):]
	reg.removed = nil
}

// findPoison finds the requests that explain the crashes. It takes the request that was at most
// of the crashed targets, leaves out these targets, and repeats. Requests that were there by
// chance therefore don't count.
func (reg *Registry) findPoison() {
	reg.poison = make(map[Fingerprint]int)
	var unexplained map[string]map[Fingerprint]int // targets whose crash is not explained yet; nil for all
	for counts := reg.crashCounts; ; counts = countTargets(unexplained) {
		most, ok := reg.mostCrashes(counts)
		if !ok {
			return // usually at once, as few requests are at several crashing targets
		}
		if unexplained == nil {
			unexplained = maps.Clone(reg.crashes)
		}
		tied, rivals := findTied(unexplained, counts, most)
		if rivals == 0 || counts[most] >= minTiedCrashes {
			for _, p := range tied {
				reg.poison[p] = counts[p]
			}
		}
		maps.DeleteFunc(unexplained, func(_ string, fingerprints map[Fingerprint]int) bool { return fingerprints[most] > 0 })
	}
}

// mostCrashes returns the request with the most crashed targets, among those with enough crashes
// to count as a cause.
func (reg *Registry) mostCrashes(counts map[Fingerprint]int) (most Fingerprint, found bool) {
	for p, n := range counts {
		if n < minCrashes && !slices.Contains(reg.previous, p) {
			continue
		}
		if !found || n > counts[most] || n == counts[most] && p < most {
			most, found = p, true
		}
	}
	return most, found
}

// countTargets returns for each request the number of targets that it was at.
func countTargets(crashes map[string]map[Fingerprint]int) map[Fingerprint]int {
	counts := make(map[Fingerprint]int)
	for _, fingerprints := range crashes {
		for p := range fingerprints {
			counts[p]++
		}
	}
	return counts
}

// findTied returns the requests that were at exactly the same targets as the given one, including
// it. It also returns the number of other requests that were at as many targets and share at
// least one with it.
func findTied(crashes map[string]map[Fingerprint]int, counts map[Fingerprint]int, request Fingerprint) (tied []Fingerprint, rivals int) {
	shared := make(map[Fingerprint]int)
	for _, fingerprints := range crashes {
		if fingerprints[request] == 0 {
			continue
		}
		for p := range fingerprints {
			shared[p]++
		}
	}
	for p, n := range shared {
		if counts[p] != counts[request] {
			continue
		}
		if n == counts[request] {
			tied = append(tied, p)
		}
		if p != request {
			rivals++
		}
	}
	return tied, rivals
}
