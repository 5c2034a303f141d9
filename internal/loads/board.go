// Package loads exchanges the reports of targets, on their load and on the requests that they
// accept, between the instances of a region. One instance collects: each other one periodically
// sends it the reports that it received from targets itself, and gets those that other instances
// have sent since. Nothing depends on it: if reports are late or missing, an instance is left with
// those that it receives itself.
package loads

import (
	"slices"
	"sync"
	"time"
)

// maxReportAge is the age up to which a report is passed on: about as long as it is used.
const maxReportAge = 5 * time.Second

// maxRows bounds the targets of which reports are kept: several times those of a large region. Anybody who
// reaches the port for peers can name others.
const maxRows = 1 << 17

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

	// written has the rows in the order in which they were written, so that an answer costs what it
	// tells and not what the region has. Places of rows that were replaced stay for a while, no more
	// than there are rows and minReplaced. Guarded by mu.
	written []place
}

// row is the newest report of a target.
type row[R report] struct {
	report   R
	from     uint64 // hash of the name of the instance that sent it
	sequence uint64 // increases with each row that is written
}

// place is the place of a row in the order of writing.
type place struct{ target, sequence uint64 }

// minReplaced is how many places of replaced rows are kept at least before they are removed.
const minReplaced = 64

func newReportTable[R report]() *reportTable[R] {
	return &reportTable[R]{rows: make(map[uint64]row[R])}
}

// merge adds reports, and returns those that are newer than the known ones.
func (t *reportTable[R]) merge(from uint64, reports []R) []R {
	t.mu.Lock()
	defer t.mu.Unlock()
	var newer []R
	for _, r := range reports {
		old, known := t.rows[r.About()]
		if known && !r.Made().After(old.report.Made()) || !known && len(t.rows) >= maxRows {
			continue
		}
		t.last++
		t.rows[r.About()] = row[R]{report: r, from: from, sequence: t.last}
		t.written = append(t.written, place{target: r.About(), sequence: t.last})
		newer = append(newer, r)
	}
	if len(t.written) > 2*len(t.rows)+minReplaced {
		t.written = slices.DeleteFunc(t.written, func(p place) bool { return t.rows[p.target].sequence != p.sequence })
	}
	return newer
}

// since returns the reports after a sequence number that other instances than except have sent, the
// newest first, most at most. It also returns the sequence number that the reports lead up to.
func (t *reportTable[R]) since(now time.Time, sequence, except uint64, most int) ([]R, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forget(now)
	reports := make([]R, 0, min(most, len(t.written)))
	for _, p := range slices.Backward(t.written) {
		if p.sequence <= sequence || len(reports) == most {
			break
		}
		r := t.rows[p.target]
		if r.sequence == p.sequence && r.from != except && now.Sub(r.report.Made()) <= maxReportAge {
			reports = append(reports, r.report)
		}
	}
	return reports, t.last
}

// forget removes the rows that were written first as long as they are too old to be told. t.mu is held.
func (t *reportTable[R]) forget(now time.Time) {
	for len(t.written) > 0 {
		p := t.written[0]
		r := t.rows[p.target]
		if r.sequence == p.sequence {
			if now.Sub(r.report.Made()) <= maxReportAge {
				return
			}
			delete(t.rows, p.target)
		}
		t.written = t.written[1:]
	}
}
