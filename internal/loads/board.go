// Package loads passes on what targets say of themselves, of their load and of the requests
// that they want, between the instances of a region. One of them collects: each tells it now and then what it was told itself, and
// gets what the others were told since. Nothing rests on it: what comes late or not at
// all leaves an instance with what it hears by itself.
package loads

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// maxReportAge is how long a report is passed on: about as long as it counts.
const maxReportAge = 5 * time.Second

// report is what instances tell each other of a target.
type report interface {
	// About is the hash of the target's ID.
	About() uint64
	// Made is when it was so.
	Made() time.Time
}

// reportTable holds the newest report of each target at the instance that collects. It is safe
// for concurrent use.
type reportTable[R report] struct {
	mu   sync.Mutex
	rows map[uint64]row[R] // by target; guarded by mu
	last uint64            // number of the newest row; guarded by mu
}

// row is the newest report of a target.
type row[R report] struct {
	report   R
	from     uint64 // who told it
	sequence uint64 // grows with each row that is written
}

func newReportTable[R report]() *reportTable[R] {
	return &reportTable[R]{rows: make(map[uint64]row[R])}
}

// merge takes reports in, and returns those that are newer than what was known.
func (b *reportTable[R]) merge(from uint64, reports []R) []R {
	b.mu.Lock()
	defer b.mu.Unlock()
	var news []R
	for _, r := range reports {
		if old, ok := b.rows[r.About()]; ok && !r.Made().After(old.report.Made()) {
			continue
		}
		b.last++
		b.rows[r.About()] = row[R]{report: r, from: from, sequence: b.last}
		news = append(news, r)
	}
	return news
}

// since returns what others than one have told after a number, at most so many, the
// newest first if there are more. It returns the number up to which all is told then.
func (b *reportTable[R]) since(now time.Time, number, but uint64, most int) ([]R, uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var rows []row[R]
	for target, r := range b.rows {
		switch {
		case now.Sub(r.report.Made()) > maxReportAge:
			delete(b.rows, target)
		case r.sequence > number && r.from != but:
			rows = append(rows, r)
		}
	}
	if len(rows) > most {
		slices.SortFunc(rows, func(x, y row[R]) int { return cmp.Compare(y.sequence, x.sequence) })
		rows = rows[:most]
	}
	reports := make([]R, 0, len(rows))
	for _, r := range rows {
		reports = append(reports, r.report)
	}
	return reports, b.last
}
