package once

import "time"

// Stats tells how full a book is and what it has decided.
type Stats struct {
	Records int // kept
	Running int // under way; a planned stop waits until it is 0
	Bytes   int // counted for records and answers
	counts  [verdictKindCount]uint64
}

// Verdicts returns how many verdicts of a kind the book has given.
func (s Stats) Verdicts(kind VerdictKind) uint64 {
	if kind >= verdictKindCount {
		return 0
	}
	return s.counts[kind]
}

// Stats returns the present figures.
func (b *Book) Stats() Stats {
	return Stats{Records: len(b.records), Running: b.running, Bytes: b.bytes, counts: b.counts}
}

// Close makes the book begin nothing new. Attempts under way go on, and records
// are still told.
func (b *Book) Close() { b.closed = true }

// Sweep drops the records past their deadline, but for those under way, and
// returns how many it dropped.
func (b *Book) Sweep(now time.Time) int {
	now = b.monotonicNow(now)
	n := 0
	for {
		r, due := b.expiry.Due(now)
		if !due {
			return n
		}
		b.expiry.Pop()
		if r.running() {
			continue // Finish puts it back
		}
		b.drop(r)
		n++
	}
}

// NextSweep returns when Sweep next has something to do; zero if never.
func (b *Book) NextSweep() time.Time { return b.expiry.Next() }

func (b *Book) drop(r *record) {
	b.bytes -= recordSize + r.outcome.size()
	delete(b.records, r.number)
}
