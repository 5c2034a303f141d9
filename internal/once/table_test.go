package once

import (
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/firlever/firlever/internal/invariant"
)

func newTestTable(t testing.TB, cfg Config) *Table {
	t.Helper()
	checks := invariant.New(func(n invariant.Name, s string) { t.Errorf("%s: %s", n, s) })
	return New(cfg, newIssuer(t, "home", 5), checks)
}

func TestBeginAfterOutcome(t *testing.T) {
	answer := Outcome{Kind: OutcomeAnswered, Status: 201, Header: http.Header{"A": {"b"}}, Body: []byte("x")}
	tests := map[string]struct {
		dispatch bool
		outcome  Outcome
		late     bool // Begin is repeated at the deadline
		want     VerdictKind
	}{
		"answered":           {true, answer, false, VerdictAnswered},
		"answered, late":     {true, answer, true, VerdictAnswered},
		"unknown":            {true, Outcome{Kind: OutcomeUnknown}, false, VerdictUnknown},
		"no outcome given":   {true, Outcome{}, false, VerdictUnknown},
		"refused by target":  {true, Outcome{Kind: OutcomeNotRun, Proof: ProofRefusal}, false, VerdictRun},
		"not run, no proof":  {true, Outcome{Kind: OutcomeNotRun}, false, VerdictUnknown},
		"not dispatched":     {false, Outcome{Kind: OutcomeNotRun}, false, VerdictRun},
		"not run, then late": {false, Outcome{Kind: OutcomeNotRun}, true, VerdictExpired},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := newTestTable(t, Defaults())
			k := b.Issue(start, start.Add(time.Second))
			v := b.Begin(start, k, Fingerprint{}, "r1")
			if tt.dispatch && !b.Dispatch(start, k, v.Attempt) {
				t.Fatal("got no dispatch, want one")
			}
			if got := b.Begin(start, k, Fingerprint{}, "r2"); got.Kind != VerdictRunning || got.RequestID != "r1" {
				t.Fatalf("got %v of %s, want running of r1", got.Kind, got.RequestID)
			}
			b.Finish(start, k, v.Attempt, tt.outcome)
			now := start
			if tt.late {
				now = now.Add(time.Second)
			}
			if got := b.Begin(now, k, Fingerprint{}, "r3"); got.Kind != tt.want {
				t.Errorf("got %v, want %v", got.Kind, tt.want)
			}
		})
	}
}

func TestBeginRefusals(t *testing.T) {
	b := newTestTable(t, Config{Records: 1, Bytes: recordSize, Life: time.Second})
	other := newIssuer(t, "other", 5).Issue(start.Add(time.Second))
	earlier := newIssuer(t, "home", 4).Issue(start.Add(time.Second))
	later := newIssuer(t, "home", 6).Issue(start.Add(time.Second))
	used := b.Issue(start, start.Add(time.Hour))
	forged := used
	forged.until++
	b.Begin(start, used, Fingerprint{}, "r")
	tests := map[string]struct {
		key  Key
		fp   Fingerprint
		want VerdictKind
	}{
		"foreign":  {other, Fingerprint{}, VerdictForeign},
		"gone":     {earlier, Fingerprint{}, VerdictHomeRestarted},
		"later":    {later, Fingerprint{}, VerdictForeign},
		"forged":   {forged, Fingerprint{}, VerdictForged},
		"mismatch": {used, Fingerprint{1}, VerdictMismatch},
		"full":     {b.Issue(start, start.Add(time.Second)), Fingerprint{}, VerdictFull},
		"expired":  {b.Issue(start, start), Fingerprint{}, VerdictExpired},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if got := b.Begin(start, tt.key, tt.fp, "r"); got.Kind != tt.want {
				t.Errorf("got %v, want %v", got.Kind, tt.want)
			}
		})
	}
	if got, want := used.Until(), start.Add(time.Second); !got.Equal(want) {
		t.Errorf("got a key valid until %v, want its lifetime limited to %v", got, want)
	}
}

func TestDeadlineInQueueEndsAsNotRun(t *testing.T) {
	b := newTestTable(t, Defaults())
	k := b.Issue(start, start.Add(time.Second))
	v := b.Begin(start, k, Fingerprint{}, "r")
	if b.Dispatch(start.Add(time.Second), k, v.Attempt) {
		t.Error("got a dispatch past the deadline, want none")
	}
	if got := b.Stats().Running; got != 0 {
		t.Errorf("got %d running, want 0", got)
	}
}

func TestPastAttemptChangesNothing(t *testing.T) {
	b := newTestTable(t, Defaults())
	k := b.Issue(start, start.Add(time.Second))
	past := b.Begin(start, k, Fingerprint{}, "r1").Attempt
	b.Finish(start, k, past, Outcome{Kind: OutcomeNotRun})
	present := b.Begin(start, k, Fingerprint{}, "r2").Attempt
	if b.Dispatch(start, k, past) {
		t.Error("got a dispatch of the past attempt, want none")
	}
	b.Dispatch(start, k, present)
	if b.Withdraw(k, past, ProofNoByte) {
		t.Error("got a proof from the past attempt, want none")
	}
	if _, got := b.Finish(start, k, past, Outcome{Kind: OutcomeNotRun, Proof: ProofNoByte}); got {
		t.Error("got an outcome from the past attempt, want none")
	}
	if got := b.Begin(start, k, Fingerprint{}, "r3").Kind; got != VerdictRunning {
		t.Errorf("got %v, want running", got)
	}
}

func TestCloseStartsNoAttempt(t *testing.T) {
	b := newTestTable(t, Defaults())
	old, fresh := b.Issue(start, start.Add(time.Second)), b.Issue(start, start.Add(time.Second))
	v := b.Begin(start, old, Fingerprint{}, "r1")
	b.Close()
	if got := b.Begin(start, fresh, Fingerprint{}, "r2").Kind; got != VerdictClosed {
		t.Errorf("got %v, want closed", got)
	}
	if !b.Dispatch(start, old, v.Attempt) {
		t.Error("got no dispatch of a running attempt, want one")
	}
	b.Finish(start, old, v.Attempt, Outcome{Kind: OutcomeNotRun, Proof: ProofRefusal})
	if got := b.Begin(start, old, Fingerprint{}, "r3").Kind; got != VerdictClosed {
		t.Errorf("second attempt: got %v, want closed", got)
	}
}

func TestSweepKeepsRunning(t *testing.T) {
	b := newTestTable(t, Defaults())
	k := b.Issue(start, start.Add(time.Second))
	v := b.Begin(start, k, Fingerprint{}, "r")
	b.Dispatch(start, k, v.Attempt)
	late := start.Add(time.Minute)
	if got := b.Sweep(start.Add(time.Second - 1)); got != 0 {
		t.Fatalf("got %d dropped before the deadline, want 0", got)
	}
	b.Sweep(late)
	if got := b.Begin(late, k, Fingerprint{}, "r2").Kind; got != VerdictRunning {
		t.Fatalf("got %v, want running", got)
	}
	b.Finish(late, k, v.Attempt, Outcome{Kind: OutcomeUnknown})
	if got := b.Sweep(late); got != 1 || b.Stats().Bytes != 0 {
		t.Errorf("got %d dropped, %d bytes left, want 1 and 0", got, b.Stats().Bytes)
	}
	if got := b.Begin(start, k, Fingerprint{}, "r3").Kind; got != VerdictExpired {
		t.Errorf("clock set back: got %v, want expired", got)
	}
}

// BenchmarkCapacityRecord measures the memory of a record without a stored answer.
func BenchmarkCapacityRecord(b *testing.B) {
	for _, records := range []int{1_000, 5_000, 20_000, 60_000} {
		b.Run(strconv.Itoa(records), func(b *testing.B) {
			for b.Loop() {
				b.ReportMetric(measureRecordBytes(b, records), "B/record")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}

func measureRecordBytes(b *testing.B, records int) float64 {
	request := strings.Repeat("r", 32)
	table := newTestTable(b, Config{Records: records, Bytes: records * recordSize, Life: time.Minute})
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for range records {
		k := table.Issue(start, start.Add(time.Minute))
		v := table.Begin(start, k, Fingerprint{}, request)
		table.Dispatch(start, k, v.Attempt)
		table.Finish(start, k, v.Attempt, Outcome{Kind: OutcomeAnswered, Status: 200})
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(table)
	return float64(after.HeapAlloc-before.HeapAlloc) / float64(records)
}

// BenchmarkBegin measures the processor time of one request from issue to sweep.
func BenchmarkBegin(b *testing.B) {
	table := newTestTable(b, Config{Records: 1 << 30, Bytes: 1 << 40, Life: time.Minute})
	now := start
	for b.Loop() {
		now = now.Add(time.Millisecond)
		k := table.Issue(now, now.Add(time.Second))
		v := table.Begin(now, k, Fingerprint{}, "r")
		table.Dispatch(now, k, v.Attempt)
		table.Finish(now, k, v.Attempt, Outcome{Kind: OutcomeAnswered, Status: 200})
		table.Sweep(now)
	}
}
