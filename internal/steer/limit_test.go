package steer

import (
	"fmt"
	"testing"
	"time"

	"github.com/firlever/firlever/internal/notice"
)

// limitFrom makes the watched target announce a limit from the given second on.
func limitFrom(rate, from float64) func(target string, now time.Time) stubAnswer {
	return func(target string, now time.Time) stubAnswer {
		if target == "t00" && now.Sub(start) >= seconds(from) {
			return stubAnswer{Notice: notice.Notice{Limit: rate, HasLimit: true}}
		}
		return stubAnswer{}
	}
}

// evenRates spreads a total rate of requests per second over n instances.
func evenRates(n int, rate float64) []float64 {
	rates := make([]float64, n)
	for i := range rates {
		rates[i] = rate / float64(n)
	}
	return rates
}

func TestMoreThanATargetsLimit(t *testing.T) {
	tests := map[string]struct {
		rates   []float64
		targets int
		limit   float64
	}{
		"even load":            {evenRates(9, 360), 16, 9},
		"unequal load":         {[]float64{200, 100, 40, 10, 5, 2, 1, 1, 1}, 16, 9},
		"all at one instance":  {[]float64{360, 0, 0, 0, 0, 0, 0, 0, 0}, 16, 9},
		"fewer than instances": {evenRates(60, 300), 12, 2.5},
		"less than one":        {evenRates(195, 400), 8, 0.4},
		"zero":                 {evenRates(9, 360), 16, 0},
		"of the only target":   {evenRates(9, 200), 1, 50},
		"smallest rate":        {evenRates(9, 360), 16, 5e-324},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := newNoticeSim(t, tt.rates, tt.targets, limitFrom(tt.limit, 5))
			w.run(0, 45)
			want := int(1.5*tt.limit*4) + 5
			if got := w.maxArrivals(4*time.Second, 500*time.Millisecond, start); got > want {
				t.Errorf("got %d requests in 4 s, want %d at most", got, want)
			}
		})
	}
}

// A limit is used up: where no other target has capacity, requests are served up to the limit.
func TestLimitIsUsed(t *testing.T) {
	tests := map[string]struct {
		rates []float64
		limit float64
		want  int // minimum requests in 20 s
	}{
		"even load":           {evenRates(9, 200), 50, 950},
		"unequal load":        {[]float64{100, 50, 20, 10, 8, 6, 5, 5, 5}, 18, 350},
		"all at one instance": {[]float64{200, 0, 0, 0, 0, 0, 0, 0, 0}, 18, 40},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := newNoticeSim(t, tt.rates, 1, limitFrom(tt.limit, 5))
			w.run(0, 10)
			before := len(w.arrivals)
			w.run(10, 30)
			if got := len(w.arrivals) - before; got < tt.want {
				t.Errorf("got %d requests, want %d at least", got, tt.want)
			}
		})
	}
}

// After a target has dropped its limit, it is used as before, but not by all instances at once.
func TestLimitEnds(t *testing.T) {
	tests := map[string]struct {
		rates  []float64
		limit  float64
		within float64 // seconds
	}{
		"even load":                      {evenRates(9, 360), 9, 2},
		"unequal load":                   {[]float64{200, 100, 40, 10, 5, 2, 1, 1, 1}, 9, 2},
		"none allowed":                   {evenRates(9, 360), 0, 12},
		"few of many instances allowed":  {evenRates(195, 360), 1.2, 10},
		"none of many instances allowed": {evenRates(195, 360), 0, 25},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := newNoticeSim(t, tt.rates, 16, func(target string, now time.Time) stubAnswer {
				if now.Sub(start) < seconds(25) {
					return limitFrom(tt.limit, 5)(target, now)
				}
				return stubAnswer{}
			})
			w.exchanges = true
			w.run(0, 25)
			w.run(25, 25+tt.within)
			begin := len(w.arrivals)
			w.run(25+tt.within, 30+tt.within)
			if got, want := len(w.arrivals)-begin, 60; got < want {
				t.Errorf("got %d requests in 5 s, want %d at least", got, want)
			}
		})
	}
}

// Callers refused for limits are asked to retry one after the other.
func TestRetryAfterWithinLimits(t *testing.T) {
	f := newFleet(t, 1, 9)
	target := f.targets["t00"].Target
	f.ApplyNotice(start, target, start, notice.Notice{Limit: 20, HasLimit: true}, true)
	now := start.Add(10 * time.Millisecond)
	var got []time.Duration
	for i := range 5 {
		c := f.Pick(now, query(fmt.Sprint(i)))
		if c.Reason != LimitReached {
			t.Fatalf("got reason %q, want %q", c.Reason, LimitReached)
		}
		got = append(got, c.RetryAfter)
	}
	for i, retryAfter := range got {
		// One of two instances may send 10 requests per second.
		if want := 90*time.Millisecond + time.Duration(i)*100*time.Millisecond; (retryAfter - want).Abs() > time.Millisecond {
			t.Errorf("caller %d: got %s, want %s", i, retryAfter, want)
		}
	}
}
