package partition

import (
	"testing"
	"time"
)

// Steps of the detector, each at a time after the start of the test.
type step struct {
	at       time.Duration
	fail     string        // target that fails
	began    time.Duration // when the failed attempt began
	connect  bool          // no connection could be opened
	answered bool          // a target answers on a connection
	opened   time.Duration // when that was opened
	results  []Result      // what a check finds
	check    bool          // a check is wanted after the step
	cut      bool          // the instance counts as partitioned after the step
}

func TestDetector(t *testing.T) {
	const ms = time.Millisecond
	none, some := []Result{Unreached, Unreached, Unreached}, []Result{Unreached, Answered, Unreached}
	silent := []Result{Connected, Connected}
	tests := map[string][]step{
		"one target fails": {
			{at: 10 * ms, fail: "a", connect: true},
			{at: 20 * ms, fail: "a", connect: true},
		},
		"several fail, others are reached": {
			{at: 10 * ms, fail: "a", connect: true},
			{at: 20 * ms, fail: "b", connect: true, check: true},
			{at: 30 * ms, results: some},
		},
		"no target is reached, then one": {
			{at: 10 * ms, fail: "a", connect: true},
			{at: 20 * ms, fail: "b", connect: true, check: true},
			{at: 30 * ms, results: none, cut: true},
			{at: 40 * ms, fail: "c", connect: true, cut: true},
			{at: 500 * ms, results: some},
		},
		"answers refute failed exchanges": {
			{at: 10 * ms, fail: "a", began: 5 * ms},
			{at: 20 * ms, answered: true},
			{at: 30 * ms, fail: "b", began: 15 * ms},
			{at: 40 * ms, fail: "c", began: 35 * ms},
			{at: 50 * ms, fail: "d", began: 36 * ms, check: true},
		},
		"answers on old connections refute no failed connect": {
			{at: 10 * ms, fail: "a", began: 5 * ms, connect: true},
			{at: 20 * ms, answered: true, opened: 1 * ms},
			{at: 30 * ms, fail: "b", began: 15 * ms, connect: true, check: true},
			{at: 40 * ms, answered: true, opened: 1 * ms},
			{at: 50 * ms, results: none, cut: true},
		},
		"an answer on a new connection refutes failed connects": {
			{at: 10 * ms, fail: "a", began: 5 * ms, connect: true},
			{at: 20 * ms, answered: true, opened: 12 * ms},
			{at: 30 * ms, fail: "b", began: 25 * ms, connect: true},
		},
		"failures far apart": {
			{at: 10 * ms, fail: "a", connect: true},
			{at: suspicionTTL + 20*ms, fail: "b", began: suspicionTTL, connect: true},
		},
		"connections without an answer, nothing else answers": {
			{at: 10 * ms, fail: "a"},
			{at: 20 * ms, fail: "b", check: true},
			{at: 30 * ms, results: silent, cut: true},
		},
		"connections without an answer, others answer": {
			{at: 10 * ms, fail: "a"},
			{at: 20 * ms, fail: "b", check: true},
			{at: 25 * ms, answered: true},
			{at: 30 * ms, results: silent},
		},
		"connections without an answer, the last answer is 2 s old": {
			{at: 10 * ms, answered: true},
			{at: 2000 * ms, fail: "a", began: 20 * ms},
			{at: 2010 * ms, fail: "b", began: 20 * ms, check: true},
			{at: 2100 * ms, results: silent},
		},
		"connections without an answer, the last answer is 4 s old": {
			{at: 10 * ms, answered: true},
			{at: 4000 * ms, fail: "a", began: 20 * ms},
			{at: 4010 * ms, fail: "b", began: 20 * ms, check: true},
			{at: 4100 * ms, results: silent, cut: true},
			{at: 4600 * ms, results: some},
		},
		"no targets": {
			{at: 10 * ms, fail: "a", connect: true},
			{at: 20 * ms, fail: "b", connect: true, check: true},
			{at: 30 * ms, results: []Result{}},
		},
		"checks are not repeated at once": {
			{at: 10 * ms, fail: "a", connect: true},
			{at: 20 * ms, fail: "b", connect: true, check: true},
			{at: 30 * ms, results: some},
			{at: 40 * ms, fail: "a", began: 35 * ms, connect: true},
			{at: 50 * ms, fail: "b", began: 45 * ms, connect: true},
			{at: 30*ms + checkGap, fail: "c", began: 60 * ms, connect: true, check: true},
		},
	}
	for name, steps := range tests {
		t.Run(name, func(t *testing.T) {
			d, start := New(), time.Now()
			for _, s := range steps {
				now, check := start.Add(s.at), false
				switch {
				case s.answered:
					d.RecordAnswer(now, start.Add(s.opened))
				case s.results != nil:
					before := d.Partitioned()
					d.BeginCheck(now)
					if got, want := d.EndCheck(now, s.results), before != s.cut; got != want {
						t.Errorf("at %s: got a change: %t, want %t", s.at, got, want)
					}
				default:
					check = d.RecordFailure(now, Failure{Target: s.fail, Began: start.Add(s.began), Connect: s.connect})
				}
				if check != s.check {
					t.Errorf("at %s: got a check: %t, want %t", s.at, check, s.check)
				}
				if got := d.Partitioned(); got != s.cut {
					t.Errorf("at %s: got partitioned %t, want %t", s.at, got, s.cut)
				}
			}
		})
	}
}

func TestSince(t *testing.T) {
	d, start := New(), time.Now()
	if got := d.Since(); !got.IsZero() {
		t.Errorf("got a partition since %s, want none", got)
	}
	for k, target := range []string{"a", "b"} {
		at := start.Add(time.Duration(k+1) * time.Millisecond)
		d.RecordFailure(at.Add(time.Millisecond), Failure{Target: target, Began: at, Connect: true})
	}
	d.EndCheck(start.Add(time.Second), []Result{Unreached})
	if got, want := d.Since(), start.Add(time.Millisecond); !got.Equal(want) {
		t.Errorf("got %s, want the begin of the first failed attempt %s", got, want)
	}
	if got, want := d.NextCheck(), start.Add(time.Second+partitionedCheckGap); !got.Equal(want) {
		t.Errorf("got the next check at %s, want %s", got, want)
	}
}
