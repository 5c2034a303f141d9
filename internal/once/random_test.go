package once

import (
	"fmt"
	"testing"
	"time"

	"github.com/firlever/firlever/internal/invariant"
	"pgregory.net/rapid"
)

// attempt is a runner at some home, as the test knows it.
type attempt struct {
	book       *Book
	key        Key
	number     uint32
	dispatched bool
	refused    bool // by the target, which ran nothing
}

// duplicate is a duplicate of a request on its way to an instance.
type duplicate struct {
	key      Key
	instance int
	fp       Fingerprint
}

// simulation holds homes, messages that may cross, and what targets truly ran.
type simulation struct {
	t            *rapid.T
	now          time.Time
	books        []*Book
	incarnations []uint64
	keys         []Key
	inTransit    []duplicate
	attempts     []attempt
	runs         map[Key]int // ground truth
	checks       *invariant.Counter
}

func (w *simulation) restart(n int) {
	w.incarnations[n]++
	cfg := Config{Records: 4, Bytes: 2*recordSize + 20, Answer: 50, Life: 10 * time.Second}
	i, err := NewIssuer(fmt.Sprint("home-", n), w.incarnations[n], Secret{byte(n), byte(w.incarnations[n])}, newIssuer(w.t, "x", w.incarnations[n]<<8|uint64(n)).rnd)
	if err != nil {
		w.t.Fatal(err)
	}
	old := w.books[n]
	w.books[n] = New(cfg, i, w.checks)
	alive := w.attempts[:0]
	for _, a := range w.attempts {
		if a.book != old {
			alive = append(alive, a)
		}
	}
	w.attempts = alive
}

func (w *simulation) checkNotRun(key Key, what string) {
	if got := w.runs[key]; got != 0 {
		w.t.Fatalf("%s told as not run: got %d runs, want 0", what, got)
	}
}

func (w *simulation) deliver(m duplicate) {
	b := w.books[m.instance]
	v := b.Begin(w.now, m.key, m.fp, "r")
	switch v.Kind {
	case VerdictForeign:
		for n, home := range w.books {
			if home.issuer.IsHomeOf(m.key) {
				w.inTransit = append(w.inTransit, duplicate{m.key, n, m.fp})
			}
		}
	case VerdictRun:
		w.attempts = append(w.attempts, attempt{book: b, key: m.key, number: v.Attempt})
	case VerdictFull, VerdictForged, VerdictClosed:
		w.checkNotRun(m.key, v.Kind.String())
	case VerdictAnswered:
		if got := w.runs[m.key]; got != 1 {
			w.t.Fatalf("answered: got %d runs, want 1", got)
		}
	}
}

func (w *simulation) dispatch(n int) {
	a := &w.attempts[n]
	if !a.book.Dispatch(w.now, a.key, a.number) {
		return
	}
	a.dispatched = true
	a.refused = rapid.Bool().Draw(w.t, "refused")
	if !a.refused {
		w.runs[a.key]++
	}
	if got := w.runs[a.key]; got > 1 {
		w.t.Fatalf("key %s: got %d runs, want at most 1", a.key, got)
	}
	if rapid.Bool().Draw(w.t, "retry") {
		proof := ProofNone
		if a.refused {
			proof = ProofRefusal
		}
		a.dispatched = !a.book.Withdraw(a.key, a.number, proof)
	}
}

func (w *simulation) finish(n int) {
	a := w.attempts[n]
	o := Outcome{Kind: OutcomeNotRun}
	switch {
	case a.dispatched && a.refused:
		o.Proof = ProofNoConn
	case a.dispatched && rapid.Bool().Draw(w.t, "answered"):
		o = Outcome{Kind: OutcomeAnswered, Status: 200, Body: make([]byte, rapid.IntRange(0, 80).Draw(w.t, "body"))}
	case a.dispatched && rapid.Bool().Draw(w.t, "lost"):
		o.Kind = OutcomeUnknown
	}
	got, ok := a.book.Finish(w.now, a.key, a.number, o)
	if ok && got.Kind == OutcomeNotRun {
		w.checkNotRun(a.key, "finish")
	}
	if rapid.Bool().Draw(w.t, "gone") { // else it may dispatch and finish again by mistake
		w.attempts = append(w.attempts[:n], w.attempts[n+1:]...)
	}
}

func (w *simulation) check() {
	for _, b := range w.books {
		s := b.Stats()
		if s.Records > b.cfg.Records || s.Bytes > b.cfg.Bytes {
			w.t.Fatalf("got %+v, want it within %+v", s, b.cfg)
		}
		running, bytes := 0, 0
		for _, r := range b.records {
			bytes += recordSize + r.outcome.size()
			if r.running() {
				running++
			}
		}
		if running != s.Running || bytes != s.Bytes {
			w.t.Fatalf("got %+v, want %d running, %d bytes", s, running, bytes)
		}
	}
}

func (w *simulation) step() {
	t := w.t
	pick := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") }
	switch action := rapid.IntRange(0, 15).Draw(t, "action"); {
	case action == 0:
		w.restart(pick(len(w.books)))
	case action == 1:
		w.now = w.now.Add(time.Duration(rapid.IntRange(-4000, 4000).Draw(t, "ms")) * time.Millisecond)
	case action == 2:
		w.books[pick(len(w.books))].Sweep(w.now)
	case action == 3 || len(w.keys) == 0:
		life := time.Duration(rapid.IntRange(1, 9).Draw(t, "life")) * time.Second
		w.keys = append(w.keys, w.books[pick(len(w.books))].Issue(w.now, w.now.Add(life)))
	case action < 7:
		fp := Fingerprint{byte(rapid.IntRange(0, 9).Draw(t, "fingerprint") / 9)}
		w.inTransit = append(w.inTransit, duplicate{w.keys[pick(len(w.keys))], pick(len(w.books)), fp})
	case action < 11 && len(w.inTransit) > 0:
		n := pick(len(w.inTransit))
		m := w.inTransit[n]
		w.inTransit = append(w.inTransit[:n], w.inTransit[n+1:]...)
		w.deliver(m)
	case action < 14 && len(w.attempts) > 0:
		w.dispatch(pick(len(w.attempts)))
	case len(w.attempts) > 0:
		w.finish(pick(len(w.attempts)))
	}
}

// TestRandomRuns sends duplicates that cross through homes that restart, with a
// clock that jumps both ways, and counts what targets truly ran.
func TestRandomRuns(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		checks := invariant.New(func(n invariant.Name, s string) { rt.Fatalf("%s: %s", n, s) })
		w := &simulation{
			t: rt, now: start, books: make([]*Book, 3), incarnations: make([]uint64, 3),
			runs: make(map[Key]int), checks: checks,
		}
		for n := range w.books {
			w.restart(n)
		}
		for range rapid.IntRange(50, 300).Draw(rt, "steps") {
			w.step()
			w.check()
		}
	})
}
