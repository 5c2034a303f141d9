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
func (b *Table) Stats() Stats {
	return Stats{Records: len(b.records), Running: b.running, Bytes: b.bytes, counts: b.counts}
}

// Close stops the start of new attempts. Running attempts continue, and Begin
// still returns recorded outcomes.
func (b *Table) Close() { b.closed = true }

// Sweep drops the records whose deadline has passed, except for running ones, and
// returns how many it dropped.
func (b *Table) Sweep(now time.Time) int {
	now = b.monotonicNow(now)
	n := 0
	for {
		r, due := b.expiry.Due(now)
		if !due {
			return n
		}
		b.expiry.Pop()
		if r.running() {
			continue // Finish pushes it again
		}
		b.drop(r)
		n++
	}
}

// NextSweep returns the earliest deadline in the table, at which Sweep is due, or the
// zero time if there is none.
func (b *Table) NextSweep() time.Time { return b.expiry.Next() }

func (b *Table) drop(r *record) {
	b.bytes -= recordSize + r.outcome.size()
	delete(b.records, r.number)
}
