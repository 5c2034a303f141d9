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
	// shown is how many targets have to end under a request until that shows that it ends
	// them. The requests that were at the same target by chance are innocent, and hardly
	// one of them is there three times without an answer between.
	shown = 3
	// sure is how many are enough where another request was at all of the same targets, so
	// that nothing tells the two apart: each further trial ends another target.
	sure = 5
	// mostPrints, mostAnswered and mostFormer bound what else is kept.
	mostPrints   = 64
	mostAnswered = 512
	mostFormer   = 512
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
	revision platform.Revision // orders reports and answers of all instances; Unwritten comes after all
	target   string
	prints   map[Print]bool // without those that were answered since
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
	former   []Print                     // that ended targets, by reports that are forgotten; the oldest first, mostFormer at most
	dropped  []Print                     // of guilty, that were in reports forgotten since

	ended  map[string]map[Print]int // by target that ended: in how many reports on it a request is; 1 or more
	counts map[Print]int            // targets that ended under a request; 1 or more
	stale  bool                     // guilty has to be worked out anew
	guilty map[Print]int            // those of counts that end targets
}

// NewBook makes an empty book.
func NewBook() *Book {
	return &Book{
		reports: make(map[string]*entry), answered: make(map[Print]platform.Revision),
		ended: make(map[string]map[Print]int), counts: make(map[Print]int),
	}
}

// Put takes in a report under its key. One that is known only gets its revision.
func (b *Book) Put(key string, revision platform.Revision, r Report) {
	if old, ok := b.reports[key]; ok {
		old.revision = platform.Later(old.revision, revision)
		return
	}
	e := &entry{revision: revision, target: r.Target, prints: make(map[Print]bool)}
	for _, p := range r.Prints[:min(len(r.Prints), mostPrints)] {
		if e.after(b.answered[p]) && !e.prints[p] {
			e.prints[p] = true
			b.blame(e.target, p)
		}
	}
	b.reports[key] = e
	if len(b.reports) > MostReports {
		b.Remove(b.oldest())
	}
}

// blame notes that one more report has a request at a target that ended.
func (b *Book) blame(target string, p Print) {
	if b.ended[target] == nil {
		b.ended[target] = make(map[Print]int)
	}
	b.ended[target][p]++
	if b.ended[target][p] == 1 {
		b.counts[p]++
	}
	b.stale = true
}

// clear takes a request out of a report.
func (b *Book) clear(e *entry, p Print) {
	if !e.prints[p] {
		return
	}
	delete(e.prints, p)
	b.stale = true
	there := b.ended[e.target]
	if there[p]--; there[p] > 0 {
		return
	}
	delete(there, p)
	if len(there) == 0 {
		delete(b.ended, e.target)
	}
	if b.counts[p]--; b.counts[p] == 0 {
		delete(b.counts, p)
	}
}

// Report returns a report, without the requests that were answered since. It has none of
// them if it is not known.
func (b *Book) Report(key string) Report {
	e, ok := b.reports[key]
	if !ok {
		return Report{}
	}
	return Report{Target: e.target, Prints: slices.Sorted(maps.Keys(e.prints))}
}

// oldest returns the key of the oldest report.
func (b *Book) oldest() string {
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
	for p := range maps.Clone(e.prints) {
		if guilty[p] > 0 {
			b.dropped = append(b.dropped, p)
		}
		b.clear(e, p)
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
	if len(b.answered) > mostAnswered {
		b.forgetAnswer()
	}
	for _, e := range b.reports {
		if revision.IsZero() || e.before(revision) {
			b.clear(e, p)
		}
	}
	isIt := func(f Print) bool { return f == p }
	b.former = slices.DeleteFunc(b.former, isIt)
	b.dropped = slices.DeleteFunc(b.dropped, isIt)
}

// forgetAnswer drops the oldest answer.
func (b *Book) forgetAnswer() {
	prints := slices.Sorted(maps.Keys(b.answered))
	delete(b.answered, slices.MinFunc(prints, func(x, y Print) int { return b.answered[x].Compare(b.answered[y]) }))
}

// Count returns how many targets ended under a request.
func (b *Book) Count(p Print) int { return b.counts[p] }

// Guilty returns the requests that end targets, and under how many each did. The map is not
// changed any more.
func (b *Book) Guilty() map[Print]int {
	b.judge()
	return b.guilty
}

// judge judges anew if that is due, and notes what is told no more since it was forgotten.
func (b *Book) judge() {
	if !b.stale {
		return
	}
	b.stale = false
	b.explain()
	for _, p := range b.dropped {
		if b.guilty[p] == 0 && !slices.Contains(b.former, p) {
			b.former = append(b.former, p)
		}
	}
	b.former = b.former[max(0, len(b.former)-mostFormer):]
	b.dropped = nil
}

// explain finds the requests that explain why targets ended: the one that was at most of
// them first, then the same of those that are left, so that who was there by chance counts
// for nothing.
func (b *Book) explain() {
	b.guilty = make(map[Print]int)
	var ended map[string]map[Print]int // that are not explained yet; nil for all
	for counts := b.counts; ; counts = count(ended) {
		worst, ok := b.worst(counts)
		if !ok {
			return // mostly at once: few requests are at several targets that end
		}
		if ended == nil {
			ended = maps.Clone(b.ended)
		}
		alike, rivals := compare(ended, counts, worst)
		if rivals == 0 || counts[worst] >= sure {
			for _, p := range alike {
				b.guilty[p] = counts[p]
			}
		}
		maps.DeleteFunc(ended, func(_ string, prints map[Print]int) bool { return prints[worst] > 0 })
	}
}

// worst returns the request under which most targets ended, of those that were enough.
func (b *Book) worst(counts map[Print]int) (worst Print, found bool) {
	for p, n := range counts {
		if n < shown && !slices.Contains(b.former, p) {
			continue
		}
		if !found || n > counts[worst] || n == counts[worst] && p < worst {
			worst, found = p, true
		}
	}
	return worst, found
}

// count returns at how many of the targets each request was.
func count(ended map[string]map[Print]int) map[Print]int {
	counts := make(map[Print]int)
	for _, prints := range ended {
		for p := range prints {
			counts[p]++
		}
	}
	return counts
}

// compare returns the requests that were at just the targets that one was at, that one
// among them, and how many others were at as many, some of them the same.
func compare(ended map[string]map[Print]int, counts map[Print]int, one Print) (alike []Print, rivals int) {
	shared := make(map[Print]int)
	for _, prints := range ended {
		if prints[one] == 0 {
			continue
		}
		for p := range prints {
			shared[p]++
		}
	}
	for p, n := range shared {
		if counts[p] != counts[one] {
			continue
		}
		if n == counts[one] {
			alike = append(alike, p)
		}
		if p != one {
			rivals++
		}
	}
	return alike, rivals
}
