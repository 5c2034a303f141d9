package steer

import (
	"fmt"
	"testing"
	"time"
)

// burst returns a load of 0.7 of what the targets can serve, and of the given multiple for 3 s.
func burst(factor float64) func(second float64) float64 {
	return func(second float64) float64 {
		if second >= burstFrom && second < burstTo {
			return factor
		}
		return 0.7
	}
}

// A burst of 1.5 and 2 times what the targets can serve: of the callers that return as they were told,
// fewer than 5% are refused again.
func TestReturnsAfterABurst(t *testing.T) {
	for _, factor := range []float64{1.5, 2} {
		w := newReturnSim(t, 8)
		w.run(18, burst(factor))
		c := w.total()
		if c.promised < 100 || c.again*20 > c.promised {
			t.Errorf("%g times the capacity: got %d of %d callers refused again, want 100 or more callers and a twentieth at most", factor, c.again, c.promised)
		}
	}
}

// Half of the instances are killed 1 s into a burst, and those that they have refused return to the others, which
// were told nothing. Of those that return as they were told, still fewer than 5% are refused again.
func TestReturnsAfterAKill(t *testing.T) {
	w := newReturnSim(t, 8)
	w.run(burstFrom+1, burst(1.5))
	w.killed = true
	w.run(18, burst(1.5))
	if c := w.total(); c.promised < 100 || c.again*20 > c.promised {
		t.Errorf("got %d of %d callers refused again, want 100 or more callers and a twentieth at most", c.again, c.promised)
	}
}

// Callers that are refused in a burst and never return: what is reserved for them is not lost to others.
func TestNobodyReturns(t *testing.T) {
	var inTime [2]int
	for i, policy := range []string{"before", "reserved"} {
		w := newReturnSim(t, 8)
		w.comesBack, w.policy = "never", policy
		w.run(18, burst(2))
		inTime[i] = w.total().inTime
	}
	if got, want := inTime[1], inTime[0]*19/20; got < want {
		t.Errorf("got %d answers in time, want %d or more", got, want)
	}
}

// In the calm, and on routes without an objective, each decision is as it is without reservations.
func TestReservationsChangeNothing(t *testing.T) {
	tests := map[string]struct {
		objective time.Duration
		busy      bool
	}{
		"calm":         {returnObjective, false},
		"no objective": {0, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var got [2][]string
			for i := range got {
				f := newFleet(t, 4, 2)
				for n := range 200 {
					now := start.Add(time.Duration(n) * 50 * time.Millisecond)
					q := query(fmt.Sprint(n % 7))
					q.Objective, q.Deadline = tt.objective, now.Add(2*time.Second)
					if i == 1 {
						q.Fingerprint, q.Returned, q.ReturnFrom = uint64(n), n%2 == 0, now.Add(time.Second)
					}
					c := f.Pick(now, q)
					got[i] = append(got[i], fmt.Sprint(c.Target.ID, c.Reason, c.RetryAfter))
					if load := (Load{Running: 1}); c.Reason == "" && !tt.busy {
						f.Done(now, c.Target, Outcome{Ending: Answered, Took: 100 * time.Millisecond, Load: &load})
					}
				}
			}
			for n := range got[0] {
				if got[1][n] != got[0][n] {
					t.Fatalf("request %d: got %s, want %s", n, got[1][n], got[0][n])
				}
			}
		})
	}
}

// A burst after a lull, in which no request was served: the capacity is not taken for none.
func TestBurstAfterALull(t *testing.T) {
	for _, lull := range []time.Duration{2 * time.Second, 5 * time.Second, time.Minute} {
		t.Run(lull.String(), func(t *testing.T) {
			f := newFleet(t, 2, 4)
			request := func(now time.Time) Choice {
				q := query("x")
				q.Objective, q.Deadline, q.ReturnFrom = returnObjective, now.Add(returnDeadline), now
				return f.Pick(now, q)
			}
			f.Done(start, request(start).Target, Outcome{Ending: Answered, Took: returnWork, Load: &Load{}})
			now, promised := start.Add(lull), 0
			for range 100 {
				c := request(now)
				if c.Promised {
					promised++
				}
				if c.RetryAfter > time.Minute/4 {
					t.Fatalf("got a refusal for %s, want a quarter of a minute at most", c.RetryAfter)
				}
			}
			if promised == 0 {
				t.Error("got no moment for any caller, want some")
			}
		})
	}
}

// Callers whose return would not be recognised are promised nothing, and are told what they were without reservations.
func TestUnrecognizable(t *testing.T) {
	f := newFleet(t, 1, 1)
	f.recordOwnLoad(start, f.targets["t00"], Load{Running: 9, Waiting: 9})
	q := query("x")
	q.Objective, q.Deadline = 100*time.Millisecond, start.Add(returnDeadline)
	want := f.best(start, f.services["s"], &q).RetryAfter
	if got := f.Pick(start, q); got.Reason != NoCapacity || got.Promised || got.RetryAfter != want {
		t.Errorf("got %s, promised %t, after %s, want no promise, after %s", got.Reason, got.Promised, got.RetryAfter, want)
	}
}

// All targets have refused a request. If they are full, its caller returns when there is capacity; if they have
// free slots, at once.
func TestReturnAfterRefusalsOfTargets(t *testing.T) {
	tests := map[string]struct {
		load     Load
		promised bool
	}{
		"full":       {Load{Running: 4, Waiting: 4}, true},
		"free slots": {Load{Running: 1}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 2, 4)
			q := query("x")
			q.ReturnFrom = start
			for range 2 {
				c := f.Pick(start, q)
				f.Done(start, c.Target, Outcome{Ending: Shed, Load: &tt.load})
				q.Tried, q.Retry = append(q.Tried, c.Target.ID), true
			}
			c := f.RefuseShed(start, q)
			if got := c.RetryAfter > 0; got != tt.promised || c.Promised != tt.promised {
				t.Errorf("got %s and promised %t, want a time %t", c.RetryAfter, c.Promised, tt.promised)
			}
		})
	}
}

// All targets refuse half of what they get for 8 s although they have free slots, and fewer retries are allowed than
// even the most urgent third of the callers asks for. Once a span of the budget has shown that, nearly all go to these.
func TestRetriesOfUrgentCallers(t *testing.T) {
	w := newReturnSim(t, 8)
	w.shed, w.priorities = 0.5, 3
	load := func(float64) float64 { return 0.5 }
	w.run(4, load)
	w.counts = [4]returnCounts{}
	w.run(8, load)
	urgent, all := w.counts[0], 0
	for _, c := range w.counts {
		all += c.retries
	}
	if urgent.noBudget == 0 || urgent.retries*10 < all*9 {
		t.Errorf("got %d of %d retries for the most urgent, of whom %d were refused one; want nine tenths, and some", urgent.retries, all, urgent.noBudget)
	}
}

// BenchmarkReturns reports the figures of docs/design/returns.md.
func BenchmarkReturns(b *testing.B) {
	for _, n := range []int{8, 89, 1000} {
		for _, factor := range []float64{1.5, 2, 4, 10} {
			for _, back := range []string{"told", "at once", "never"} {
				for _, policy := range []string{"before", "spacing", "reserved"} {
					b.Run(fmt.Sprintf("%d/%g/%s/%s", n, factor, back, policy), func(b *testing.B) {
						w := newReturnSim(b, n)
						w.comesBack, w.policy = back, policy
						w.run(18, burst(factor))
						w.report(b)
					})
				}
			}
		}
	}
}

// BenchmarkRetries reports the figures of docs/design/returns.md on retries: all targets refuse half of
// what they get.
func BenchmarkRetries(b *testing.B) {
	for _, n := range []int{8, 89, 1000} {
		for _, policy := range []string{"first come", "gain"} {
			b.Run(fmt.Sprintf("%d/%s", n, policy), func(b *testing.B) {
				w := newReturnSim(b, n)
				w.shed, w.priorities, w.firstCome = 0.5, 3, policy == "first come"
				w.run(8, func(float64) float64 { return 0.5 })
				for p, c := range w.counts[:3] {
					b.ReportMetric(float64(c.inTime)/float64(c.asked), fmt.Sprintf("in-time-%d", p))
					b.ReportMetric(float64(c.served)/float64(c.asked), fmt.Sprintf("served-%d", p))
				}
				b.ReportMetric(float64(w.total().noBudget), "no-budget")
			})
		}
	}
}

func (w *returnSim) report(b *testing.B) {
	c := w.total()
	share := func(n, of int) float64 { return float64(n) / float64(max(1, of)) }
	b.ReportMetric(share(c.inTime, c.asked), "in-time")
	b.ReportMetric(share(c.served, c.asked), "served")
	b.ReportMetric(float64(c.promised), "promised")
	b.ReportMetric(share(c.again, c.promised), "again")
	b.ReportMetric(float64(c.unpromised), "unpromised")
	b.ReportMetric(share(c.unpromisedAgain, c.unpromised), "unpromised-again")
}
