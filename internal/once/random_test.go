package once

import (
	"fmt"
	"testing"
	"time"

	"github.com/firlever/firlever/internal/invariant"
	"pgregory.net/rapid"
)

// attempt is an attempt that a home allowed to run.
type attempt struct {
	table      *Table
	key        Key
	number     uint32
	dispatched bool
	refused    bool // by the target, without running it
}

// duplicate is a copy of a request on its way to an instance.
type duplicate struct {
	key      Key
	instance int
	fp       Fingerprint
}

// simulation holds the homes, requests in transit, which arrive in any order, and the
// number of times that targets ran each request.
type simulation struct {
	t            *rapid.T
	now          time.Time
	tables       []*Table
	incarnations []uint64
	keys         []Key
	inTransit    []duplicate
	attempts     []attempt
	runs         map[Key]int // executions by targets: what the tables must agree with
	checks       *invariant.Counter
}

func (sim *simulation) restart(n int) {
	sim.incarnations[n]++
	cfg := Config{Records: 4, Bytes: 2*recordSize + 20, Answer: 50, Life: 10 * time.Second}
	i, err := NewIssuer(fmt.Sprint("home-", n), sim.incarnations[n], Secret{byte(n), byte(sim.incarnations[n])}, newIssuer(sim.t, "x", sim.incarnations[n]<<8|uint64(n)).rnd)
	if err != nil {
		sim.t.Fatal(err)
	}
	old := sim.tables[n]
	sim.tables[n] = New(cfg, i, sim.checks)
	alive := sim.attempts[:0]
	for _, a := range sim.attempts {
		if a.table != old {
			alive = append(alive, a)
		}
	}
	sim.attempts = alive
}

func (sim *simulation) checkNotRun(key Key, what string) {
	if got := sim.runs[key]; got != 0 {
		sim.t.Fatalf("%s reported as not run: got %d runs, want 0", what, got)
	}
}

func (sim *simulation) deliver(m duplicate) {
	b := sim.tables[m.instance]
	v := b.Begin(sim.now, m.key, m.fp, "r")
	switch v.Kind {
	case VerdictForeign:
		for n, home := range sim.tables {
			if home.issuer.IsHomeOf(m.key) {
				sim.inTransit = append(sim.inTransit, duplicate{m.key, n, m.fp})
			}
		}
	case VerdictRun:
		sim.attempts = append(sim.attempts, attempt{table: b, key: m.key, number: v.Attempt})
	case VerdictFull, VerdictForged, VerdictClosed:
		sim.checkNotRun(m.key, v.Kind.String())
	case VerdictAnswered:
		if got := sim.runs[m.key]; got != 1 {
			sim.t.Fatalf("answered: got %d runs, want 1", got)
		}
	}
}

func (sim *simulation) dispatch(n int) {
	a := &sim.attempts[n]
	if !a.table.Dispatch(sim.now, a.key, a.number) {
		return
	}
	a.dispatched = true
	a.refused = rapid.Bool().Draw(sim.t, "refused")
	if !a.refused {
		sim.runs[a.key]++
	}
	if got := sim.runs[a.key]; got > 1 {
		sim.t.Fatalf("key %s: got %d runs, want at most 1", a.key, got)
	}
	if rapid.Bool().Draw(sim.t, "retry") {
		proof := ProofNone
		if a.refused {
			proof = ProofRefusal
		}
		a.dispatched = !a.table.Withdraw(a.key, a.number, proof)
	}
}

func (sim *simulation) finish(n int) {
	a := sim.attempts[n]
	o := Outcome{Kind: OutcomeNotRun}
	switch {
	case a.dispatched && a.refused:
		o.Proof = ProofNoConn
	case a.dispatched && rapid.Bool().Draw(sim.t, "answered"):
		o = Outcome{Kind: OutcomeAnswered, Status: 200, Body: make([]byte, rapid.IntRange(0, 80).Draw(sim.t, "body"))}
	case a.dispatched && rapid.Bool().Draw(sim.t, "lost"):
		o.Kind = OutcomeUnknown
	}
	got, ok := a.table.Finish(sim.now, a.key, a.number, o)
	if ok && got.Kind == OutcomeNotRun {
		sim.checkNotRun(a.key, "finish")
	}
	if rapid.Bool().Draw(sim.t, "gone") { // otherwise it may wrongly dispatch and finish again
		sim.attempts = append(sim.attempts[:n], sim.attempts[n+1:]...)
	}
}

func (sim *simulation) check() {
	for _, b := range sim.tables {
		s := b.Stats()
		if s.Records > b.cfg.Records || s.Bytes > b.cfg.Bytes {
			sim.t.Fatalf("got %+v, want it within %+v", s, b.cfg)
		}
		running, bytes := 0, 0
		for _, r := range b.records {
			bytes += recordSize + r.outcome.size()
			if r.running() {
				running++
			}
		}
		if running != s.Running || bytes != s.Bytes {
			sim.t.Fatalf("got %+v, want %d running, %d bytes", s, running, bytes)
		}
	}
}

func (sim *simulation) step() {
	t := sim.t
	pick := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") }
	switch action := rapid.IntRange(0, 15).Draw(t, "action"); {
	case action == 0:
		sim.restart(pick(len(sim.tables)))
	case action == 1:
		sim.now = sim.now.Add(time.Duration(rapid.IntRange(-4000, 4000).Draw(t, "ms")) * time.Millisecond)
	case action == 2:
		sim.tables[pick(len(sim.tables))].Sweep(sim.now)
	case action == 3 || len(sim.keys) == 0:
		life := time.Duration(rapid.IntRange(1, 9).Draw(t, "life")) * time.Second
		sim.keys = append(sim.keys, sim.tables[pick(len(sim.tables))].Issue(sim.now, sim.now.Add(life)))
	case action < 7:
		fp := Fingerprint{byte(rapid.IntRange(0, 9).Draw(t, "fingerprint") / 9)}
		sim.inTransit = append(sim.inTransit, duplicate{sim.keys[pick(len(sim.keys))], pick(len(sim.tables)), fp})
	case action < 11 && len(sim.inTransit) > 0:
		n := pick(len(sim.inTransit))
		m := sim.inTransit[n]
		sim.inTransit = append(sim.inTransit[:n], sim.inTransit[n+1:]...)
		sim.deliver(m)
	case action < 14 && len(sim.attempts) > 0:
		sim.dispatch(pick(len(sim.attempts)))
	case len(sim.attempts) > 0:
		sim.finish(pick(len(sim.attempts)))
	}
}

// TestRandomRuns sends duplicate requests in random order through homes that
// restart, with a clock that jumps in both directions, and checks that no target
// runs a request twice.
func TestRandomRuns(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		checks := invariant.New(func(n invariant.Name, s string) { rt.Fatalf("%s: %s", n, s) })
		sim := &simulation{
			t: rt, now: start, tables: make([]*Table, 3), incarnations: make([]uint64, 3),
			runs: make(map[Key]int), checks: checks,
		}
		for n := range sim.tables {
			sim.restart(n)
		}
		for range rapid.IntRange(50, 300).Draw(rt, "steps") {
			sim.step()
			sim.check()
		}
	})
}
