package steer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// newAdmittingFleet returns a fleet as newFleet does, which admits requests by priority.
func newAdmittingFleet(t *testing.T, n, slots int) *Fleet {
	t.Helper()
	f := newFleet(t, n, slots)
	f.cfg.Admission = true
	return f
}

// Without admission by priority, full targets are chosen by the wait alone.
func TestNoAdmissionByDefault(t *testing.T) {
	f := newFleet(t, 8, 4)
	now := fill(f, true)
	q := query("x")
	q.Deadline, q.ReceivedAt = now.Add(time.Second), now.Add(-350*time.Millisecond)
	if c := f.Pick(now, q); c.Reason == Overloaded || c.Admission != (Admission{}) {
		t.Errorf("got %+v, want nothing decided by the load of the service", c)
	}
}

// Below overload, targets with a free slot or a wait at some of them: each choice is the same as for
// a route without an objective, for which the load of the service decides nothing.
func TestChoicesBelowOverload(t *testing.T) {
	with, without := newAdmittingFleet(t, 24, 4), newAdmittingFleet(t, 24, 4)
	rng := rand.New(rand.NewPCG(1, 1))
	waited := 0
	for i := range 5000 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		q := query(fmt.Sprint(rng.IntN(60)))
		q.Objective, q.Deadline, q.Priority, q.ReceivedAt = DefaultObjective, now.Add(2*time.Second), i%3, now
		got := with.Pick(now, q)
		q.Objective = 0
		want := without.Pick(now, q)
		got.Admission = Admission{}
		if got.Target != want.Target || got.Reason != want.Reason || got.Wait != want.Wait || got.RetryAfter != want.RetryAfter {
			t.Fatalf("request %d: got %+v, want %+v", i, got, want)
		}
		if got.Wait > 0 {
			waited++
		}
		if got.Reason == "" {
			o := Outcome{Ending: Answered, Took: 100 * time.Millisecond, Load: &Load{Running: 2 + rng.IntN(3), Waiting: rng.IntN(2)}}
			with.Done(now, got.Target, o)
			without.Done(now, want.Target, o)
		}
	}
	if waited == 0 {
		t.Error("got no request that waits, want some")
	}
}

// While all targets are full, a request is refused at once if it can't be in time, and the caller
// is told to come back before its deadline.
func TestFullTargets(t *testing.T) {
	tests := map[string]struct {
		change func(q *Query)
		loads  bool // targets report their load
		want   Reason
	}{
		"in time":                     {func(*Query) {}, true, ""},
		"late":                        {func(q *Query) { q.ReceivedAt = q.ReceivedAt.Add(-350 * time.Millisecond) }, true, Overloaded},
		"late, arrival not known":     {func(q *Query) { q.ReceivedAt = time.Time{} }, true, ""},
		"late, arrival in the future": {func(q *Query) { q.ReceivedAt = q.ReceivedAt.Add(time.Hour) }, true, ""},
		"late, but sent before":       {func(q *Query) { q.ReceivedAt, q.Retry = q.ReceivedAt.Add(-350*time.Millisecond), true }, true, ""},
		"late, without an objective":  {func(q *Query) { q.ReceivedAt, q.Objective = q.ReceivedAt.Add(-350*time.Millisecond), 0 }, true, ""},
		"late, loads not reported":    {func(q *Query) { q.ReceivedAt = q.ReceivedAt.Add(-350 * time.Millisecond) }, false, ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newAdmittingFleet(t, 8, 4)
			now := fill(f, tt.loads)
			q := query("")
			q.Deadline, q.ReceivedAt = now.Add(2*time.Second), now
			tt.change(&q)
			got := f.Pick(now, q)
			if got.Reason != tt.want {
				t.Errorf("got reason %q, want %q", got.Reason, tt.want)
			}
			if got.Reason == Overloaded && (got.RetryAfter < minRetryAfter || got.RetryAfter >= 2*time.Second) {
				t.Errorf("got %s until a retry, want a time within the deadline", got.RetryAfter)
			}
		})
	}
}

// fill sends requests to all targets until half as many wait at each as it has slots, and returns the time after.
func fill(f *Fleet, loads bool) time.Time {
	now := start
	for range 30 {
		now = now.Add(100 * time.Millisecond)
		for _, t := range f.services["s"].targets {
			t.startRequest(now)
			o := Outcome{Ending: Answered, Took: 100 * time.Millisecond}
			if loads {
				o.Load = &Load{Running: 4, Waiting: 2}
			} else {
				t.otherLoad, t.otherLoadUntil = 6, now.Add(loadReportTTL)
			}
			f.Done(now, t.Target, o)
		}
		q := query("")
		q.ReceivedAt, q.Deadline = now, now.Add(time.Second)
		if c := f.Pick(now, q); c.Target.ID != "" {
			f.Done(now, c.Target, Outcome{Ending: NotSent})
		}
	}
	return now
}

// A service whose answers are late for their work alone, as all its targets are cold: nobody gains
// by refusing the only priority that is asked for, so all is as without a load.
func TestColdServiceIsNotShort(t *testing.T) {
	f := newAdmittingFleet(t, 8, 4)
	now := fill(f, true)
	f.services["s"].meanLatency = 450 * time.Millisecond
	q := query("")
	q.Deadline, q.ReceivedAt = now.Add(2*time.Second), now.Add(-350*time.Millisecond)
	if got := f.Pick(now, q); got.Reason != "" {
		t.Errorf("got reason %q, want a target", got.Reason)
	}
}
