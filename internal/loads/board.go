// Package loads exchanges the reports of targets, on their load and on the requests that they
// accept, between the instances of a region. One instance collects: each other one periodically
// sends it the reports that it received from targets itself, and gets those that other instances
// have sent since. Nothing depends on it: if reports are late or missing, an instance is left with
// those that it receives itself.
package loads

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// maxReportAge is the age up to which a report is passed on: about as long as it is used.
const maxReportAge = 5 * time.Second

// report is what instances exchange about a target.
type report interface {
	// About returns the hash of the target's ID.
	About() uint64
	// Made returns when the target was in the reported state.
	Made() time.Time
}

// reportTable holds the newest report of each target at the instance that collects. It is safe for
// concurrent use.
type reportTable[R report] struct {
	mu   sync.Mutex
	rows map[uint64]row[R] // by target; guarded by mu
	last uint64            // sequence number of the newest row; guarded by mu
}

// row is the newest report of a target.
type row[R report] struct {
	report   R
	from     uint64 // hash of the name of the instance that sent it
	sequence uint64 // increases with each row that is written
}

func newReportTable[R report]() *reportTable[R] {
	return &reportTable[R]{rows: make(map[uint64]row[R])}
}

// merge adds reports, and returns those that are newer than the known ones.
func (t *reportTable[R]) merge(from uint64, reports []R) []R {
	t.mu.Lock()
	defer t.mu.Unlock()
	var newer []R
	for _, r := range reports {
		if old, ok := t.rows[r.About()]; ok && !r.Made().After(old.report.Made()) {
			continue
		}
		t.last++
		t.rows[r.About()] = row[R]{report: r, from: from, sequence: t.last}
		newer = append(newer, r)
	}
	return newer
}

// since returns the reports after a sequence number that other instances than except have sent. If
// there are more than most, it returns the newest. It also returns the sequence number that the
// reports lead up to.
func (t *reportTable[R]) since(now time.Time, sequence, except uint64, most int) ([]R, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var rows []row[R]
	for target, r := range t.rows {
		switch {
		case now.Sub(r.report.Made()) > maxReportAge:
			delete(t.rows, target)
		case r.sequence > sequence && r.from != except:
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
	return reports, t.last
}
