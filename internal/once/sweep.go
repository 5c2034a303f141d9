package once

import "time"

// Stats is the size of the table and the number of its verdicts.
type Stats struct {
	Records int // stored
	Running int // attempts without an outcome; a graceful stop waits until it is 0
	Bytes   int // counted for records and answers
	counts  [verdictKindCount]uint64
}

// Verdicts returns the number of verdicts of a kind.
func (s Stats) Verdicts(kind VerdictKind) uint64 {
	if kind >= verdictKindCount {
		return 0
	}
	return s.counts[kind]
}

// Stats returns the current numbers.
func (t *Table) Stats() Stats {
	return Stats{Records: len(t.records), Running: t.running, Bytes: t.bytes, counts: t.counts}
}

// Close stops the start of new attempts. Running attempts continue, and Begin
// still returns recorded outcomes.
func (t *Table) Close() { t.closed = true }

// Sweep drops the records whose deadline has passed, except for running ones, and
// returns how many it dropped.
func (t *Table) Sweep(now time.Time) int {
	now = t.monotonicNow(now)
	n := 0
	for {
		r, due := t.expiry.Due(now)
		if !due {
			return n
		}
		t.expiry.Pop()
		if r.running() {
			continue // Finish pushes it again
		}
		t.drop(r)
		n++
	}
}

// NextSweep returns the earliest deadline in the table, at which Sweep is due, or the
// zero time if there is none.
func (t *Table) NextSweep() time.Time { return t.expiry.Next() }

func (t *Table) drop(r *record) {
	t.bytes -= recordSize + r.outcome.size()
	delete(t.records, r.number)
}
