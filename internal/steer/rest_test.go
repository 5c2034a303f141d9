package steer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/firlever/firlever/internal/notice"
)

// backOffBetween makes some targets refuse requests in a time span and ask for a back-off.
func backOffBetween(affected func(target string) bool, from, to float64, backOff time.Duration) func(target string, now time.Time) stubAnswer {
	return func(target string, now time.Time) stubAnswer {
		at := now.Sub(start)
		if affected(target) && at >= seconds(from) && at < seconds(to) {
			return stubAnswer{Notice: notice.Notice{BackOff: backOff}, refused: true}
		}
		return stubAnswer{}
	}
}

// A target that asks an instance for a back-off gets no requests from it until the back-off ends.
func TestRequestsInATimeOfRest(t *testing.T) {
	one := func(target string) bool { return target == "t00" }
	third := func(target string) bool { return target <= "t04" }
	all := func(string) bool { return true }
	tests := map[string]struct {
		rates    []float64
		targets  int
		affected func(target string) bool
	}{
		"one target":          {evenRates(9, 360), 16, one},
		"a third of them":     {evenRates(9, 360), 16, third},
		"all at once":         {evenRates(9, 360), 16, all},
		"all at one instance": {[]float64{360, 0, 0, 0, 0, 0, 0, 0, 0}, 16, third},
		"the only target":     {evenRates(9, 200), 1, all},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := newNoticeSim(t, tt.rates, tt.targets, backOffBetween(tt.affected, 5, 14, 3*time.Second))
			w.run(0, 14)
			for i := range w.rates {
				if got := w.maxDuringBackOff(i); got > 2 {
					t.Errorf("instance %d: got %d requests within a back-off of 3 s, want 2 at most", i, got)
				}
			}
		})
	}
}

// maxDuringBackOff returns the maximum number of requests that an instance sent during a
// back-off, counted from half a second after the watched target refused one of its requests.
func (w *noticeSim) maxDuringBackOff(instance int) int {
	var times []time.Time
	for _, a := range w.arrivals {
		if a.instance == instance {
			times = append(times, a.at)
		}
	}
	most := 0
	for _, at := range times {
		if !w.respond(w.watched, at).refused {
			continue
		}
		notified := at.Add(noticeSimTick)
		from, _ := slices.BinarySearchFunc(times, notified.Add(500*time.Millisecond), time.Time.Compare)
		to, _ := slices.BinarySearchFunc(times, notified.Add(3*time.Second), time.Time.Compare)
		most = max(most, to-from)
	}
	return most
}

// Requests that arrive while all targets are backing off are refused at once. Each caller is
// asked to retry at a different time after the end of the first back-off.
func TestRefusedInATimeOfRest(t *testing.T) {
	f := newFleet(t, 3, 9)
	for i, backOff := range []time.Duration{4 * time.Second, 3 * time.Second, 5 * time.Second} {
		f.ApplyNotice(start, f.targets[fmt.Sprintf("t%02d", i)].Target, start, notice.Notice{BackOff: backOff}, true)
	}
	now := start.Add(time.Second)
	before := time.Duration(0)
	for i := range 5 {
		c := f.Pick(now, query(fmt.Sprint(i)))
		if c.Reason != BackingOff || c.Target.ID != "" {
			t.Fatalf("got %+v, want a refusal as all targets are backing off", c)
		}
		if c.RetryAfter < 2*time.Second || c.RetryAfter > 2*time.Second+retrySpread || c.RetryAfter <= before {
			t.Errorf("got %s, want another time than %s between 2 s and 3 s", c.RetryAfter, before)
		}
		before = c.RetryAfter
	}
	if got := f.Pick(start.Add(3100*time.Millisecond), query("7")); got.Target.ID != "t01" {
		t.Errorf("got %+v, want t01, whose back-off is over", got)
	}
}

// After a back-off a target gets one request at a time from each instance until it has answered
// one, and then as many as before.
func TestRestEnds(t *testing.T) {
	tests := map[string]struct {
		targets int
		want    int // minimum requests in 12 s
	}{
		"one of many":     {16, 120},
		"the only target": {1, 2000},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := newNoticeSim(t, evenRates(9, 360), tt.targets, backOffBetween(func(target string) bool { return target == "t00" }, 5, 6, 3*time.Second))
			w.run(0, 8)
			w.arrivals = nil
			w.run(8, 20)
			end := w.arrivals[0].at.Add(noticeSimWork)
			got, _ := slices.BinarySearchFunc(w.arrivals, end, func(a arrival, at time.Time) int { return a.at.Compare(at) })
			if got > len(w.rates) {
				t.Errorf("got %d requests before the first answer, want %d at most", got, len(w.rates))
			}
			if got := len(w.arrivals); got < tt.want {
				t.Errorf("got %d requests in 12 s, want %d at least", got, tt.want)
			}
		})
	}
}
