package crash

import (
	"cmp"
	"maps"
	"slices"

	"github.com/firlever/firlever/platform"
)

// MostReports bounds the reports that are kept; the oldest go first.
const MostReports = 512

const (
	// minCrashes is how many targets have to end under a request until that shows that it ends
	// them. The requests that were at the same target by chance are innocent, and hardly
	// one of them is there three times without an answer between.
	minCrashes = 3
	// minTiedCrashes is how many are enough where another request was at all of the same targets, so
	// that nothing tells the two apart: each further trial ends another target.
	minTiedCrashes = 5
	// maxFingerprints, mostAnswered and mostFormer bound what else is kept.
	maxFingerprints = 64
	maxAnswered     = 512
	maxPrevious     = 512
)

// Unwritten is the revision of a report or an answer that the store does not have, or not yet.
var Unwritten platform.Revision

// Report says which requests one instance had at a target when that ended.
type Report struct {
	Target string  `json:"target"` // its run
	Prints []Print `json:"prints"`
}

// entry is a report under its key.
type entry struct {
	revision     platform.Revision // orders reports and answers of all instances; Unwritten comes after all
	target       string
	fingerprints map[Print]bool // without those that were answered since
}

// before says whether the entry was written before a revision: what has none yet is the latest.
func (e *entry) before(r platform.Revision) bool { return !e.revision.IsZero() && r.After(e.revision) }

// after says whether the entry was written after a revision.
func (e *entry) after(r platform.Revision) bool { return e.revision.IsZero() || e.revision.After(r) }

// compare orders entries in time.
func (e *entry) compare(o *entry) int {
	if e.revision.IsZero() || o.revision.IsZero() {
		return o.revision.Compare(e.revision) // the zero one is the latest
	}
	return e.revision.Compare(o.revision)
}

// Book holds the reports of all instances. It is not safe for concurrent use.
type Book struct {
	reports  map[string]*entry           // by key; MostReports at most
	answered map[Print]platform.Revision // when a request was answered with success; mostAnswered at most
	previous []Print                     // that ended targets, by reports that are forgotten; the oldest first, mostFormer at most
	removed  []Print                     // of guilty, that were in reports forgotten since

	crashes     map[string]map[Print]int // by target that ended: in how many reports on it a request is; 1 or more
	crashCounts map[Print]int            // targets that ended under a request; 1 or more
	stale       bool                     // guilty has to be worked out anew
	poison      map[Print]int            // those of counts that end targets
}

// NewBook makes an empty book.
func NewBook() *Book {
	return &Book{
		reports: make(map[string]*entry), answered: make(map[Print]platform.Revision),
		crashes: make(map[string]map[Print]int), crashCounts: make(map[Print]int),
	}
}

// Put takes in a report under its key. One that is known only gets its revision.
func (b *Book) Put(key string, revision platform.Revision, r Report) {
	if old, ok := b.reports[key]; ok {
		old.revision = platform.Later(old.revision, revision)
		return
	}
	e := &entry{revision: revision, target: r.Target, fingerprints: make(map[Print]bool)}
	for _, p := range r.Prints[:min(len(r.Prints), maxFingerprints)] {
		if e.after(b.answered[p]) && !e.fingerprints[p] {
			e.fingerprints[p] = true
			b.addCrash(e.target, p)
		}
	}
	b.reports[key] = e
	if len(b.reports) > MostReports {
		b.Remove(b.oldestReport())
	}
}

// addCrash notes that one more report has a request at a target that ended.
func (b *Book) addCrash(target string, p Print) {
	if b.crashes[target] == nil {
		b.crashes[target] = make(map[Print]int)
	}
	b.crashes[target][p]++
	if b.crashes[target][p] == 1 {
		b.crashCounts[p]++
	}
	b.stale = true
}

// removeCrash takes a request out of a report.
func (b *Book) removeCrash(e *entry, p Print) {
	if !e.fingerprints[p] {
		return
	}
	delete(e.fingerprints, p)
	b.stale = true
	requests := b.crashes[e.target]
	if requests[p]--; requests[p] > 0 {
		return
	}
	delete(requests, p)
	if len(requests) == 0 {
		delete(b.crashes, e.target)
	}
	if b.crashCounts[p]--; b.crashCounts[p] == 0 {
		delete(b.crashCounts, p)
	}
}

// Report returns a report, without the requests that were answered since. It has none of
// them if it is not known.
func (b *Book) Report(key string) Report {
	e, ok := b.reports[key]
	if !ok {
		return Report{}
	}
	return Report{Target: e.target, Prints: slices.Sorted(maps.Keys(e.fingerprints))}
}

// oldestReport returns the key of the oldestReport report.
func (b *Book) oldestReport() string {
	first := ""
	for key, e := range b.reports {
		old := b.reports[first]
		if old == nil || cmp.Or(e.compare(old), cmp.Compare(key, first)) < 0 {
			first = key
		}
	}
	return first
}

// Remove forgets a report. A request that ends targets by what is forgotten needs to end
// only one more to be told again.
func (b *Book) Remove(key string) {
	e, ok := b.reports[key]
	if !ok {
		return
	}
	guilty := b.Guilty()
	for p := range maps.Clone(e.fingerprints) {
		if guilty[p] > 0 {
			b.removed = append(b.removed, p)
		}
		b.removeCrash(e, p)
	}
	delete(b.reports, key)
}

// Answered notes that a target has answered a request with success at a revision, which
// shows that the targets that ended before ended of something else. Without a revision,
// all reports that are known are from before.
func (b *Book) Answered(p Print, revision platform.Revision) {
	if !revision.IsZero() {
		b.answered[p] = platform.Later(b.answered[p], revision)
	}
	if len(b.answered) > maxAnswered {
		b.evictOldestAnswer()
	}
	for _, e := range b.reports {
		if revision.IsZero() || e.before(revision) {
			b.removeCrash(e, p)
		}
	}
	same := func(f Print) bool { return f == p }
	b.previous = slices.DeleteFunc(b.previous, same)
	b.removed = slices.DeleteFunc(b.removed, same)
}

// evictOldestAnswer drops the oldest answer.
func (b *Book) evictOldestAnswer() {
	prints := slices.Sorted(maps.Keys(b.answered))
	delete(b.answered, slices.MinFunc(prints, func(x, y Print) int { return b.answered[x].Compare(b.answered[y]) }))
}

// Count returns how many targets ended under a request.
func (b *Book) Count(p Print) int { return b.crashCounts[p] }

// Guilty returns the requests that end targets, and under how many each did. The map is not
// changed any more.
func (b *Book) Guilty() map[Print]int {
	b.refresh()
	return b.poison
}

// refresh judges anew if that is due, and notes what is told no more since it was forgotten.
func (b *Book) refresh() {
	if !b.stale {
		return
	}
	b.stale = false
	b.findPoison()
	for _, p := range b.removed {
		if b.poison[p] == 0 && !slices.Contains(b.previous, p) {
			b.previous = append(b.previous, p)
		}
	}
	b.previous = b.previous[max(0, len(b.previous)-maxPrevious):]
	b.removed = nil
}

// findPoison finds the requests that findPoison why targets ended: the one that was at most of
// them first, then the same of those that are left, so that who was there by chance counts
// for nothing.
func (b *Book) findPoison() {
	b.poison = make(map[Print]int)
	var unexplained map[string]map[Print]int // that are not explained yet; nil for all
	for counts := b.crashCounts; ; counts = countTargets(unexplained) {
		most, ok := b.mostCrashes(counts)
		if !ok {
			return // mostly at once: few requests are at several targets that end
		}
		if unexplained == nil {
			unexplained = maps.Clone(b.crashes)
		}
		tied, rivals := findTied(unexplained, counts, most)
		if rivals == 0 || counts[most] >= minTiedCrashes {
			for _, p := range tied {
				b.poison[p] = counts[p]
			}
		}
		maps.DeleteFunc(unexplained, func(_ string, prints map[Print]int) bool { return prints[most] > 0 })
	}
}

// mostCrashes returns the request under which most targets ended, of those that were enough.
func (b *Book) mostCrashes(counts map[Print]int) (most Print, found bool) {
	for p, n := range counts {
		if n < minCrashes && !slices.Contains(b.previous, p) {
			continue
		}
		if !found || n > counts[most] || n == counts[most] && p < most {
			most, found = p, true
		}
	}
	return most, found
}

// countTargets returns at how many of the targets each request was.
func countTargets(crashes map[string]map[Print]int) map[Print]int {
	counts := make(map[Print]int)
	for _, prints := range crashes {
		for p := range prints {
			counts[p]++
		}
	}
	return counts
}

// findTied returns the requests that were at just the targets that one was at, that one
// among them, and how many others were at as many, some of them the same.
func findTied(crashes map[string]map[Print]int, counts map[Print]int, request Print) (tied []Print, rivals int) {
	shared := make(map[Print]int)
	for _, prints := range crashes {
		if prints[request] == 0 {
			continue
		}
		for p := range prints {
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
