package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"math"
	"reflect"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

func TestArrivals(t *testing.T) {
	const rate, horizon = 1000.0, 100 * time.Second
	tests := map[string]struct {
		ramp time.Duration
		want float64 // expected arrivals within the horizon
	}{
		"level":   {0, 100_000},
		"ramp":    {40 * time.Second, 80_000},
		"all one": {horizon, 50_000},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			a := newArrivals(rate, tt.ramp, 1, 2)
			n, early, last := 0, 0, time.Duration(0)
			for at := a.next(); at < horizon; at = a.next() {
				if at < last {
					t.Fatalf("got %s after %s, want times in order", at, last)
				}
				last = at
				n++
				if at < tt.ramp/2 {
					early++
				}
			}
			if sigma := math.Sqrt(tt.want); math.Abs(float64(n)-tt.want) > 5*sigma {
				t.Errorf("got %d arrivals, want about %g", n, tt.want)
			}
			want := rate * tt.ramp.Seconds() / 8 // half of the ramp has a quarter of its requests
			if math.Abs(float64(early)-want) > 5*math.Sqrt(want) {
				t.Errorf("got %d arrivals in half the ramp, want about %g", early, want)
			}
		})
	}
}

func plan() Plan {
	return Plan{
		Streams: []Stream{{Service: "t/a", Rate: 100, Size: 10}, {Service: "t/b", Rate: 20}},
		For:     10 * time.Second,
		Seed:    7,
	}
}

// run executes a plan in virtual time, and also returns the ID and intended start of each
// request, sorted.
func run(t *testing.T, p Plan, do Do) (*Report, []string) {
	t.Helper()
	var mu sync.Mutex
	var requests []string
	var report *Report
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		r, err := Run(t.Context(), p, func(ctx context.Context, r Request) Result {
			mu.Lock()
			requests = append(requests, r.ID+r.Due.Sub(start).String())
			mu.Unlock()
			return do(ctx, r)
		})
		if err != nil {
			t.Fatal(err)
		}
		report = r
	})
	slices.Sort(requests)
	return report, requests
}

func TestRunCounts(t *testing.T) {
	do := func(_ context.Context, r Request) Result {
		time.Sleep(10 * time.Millisecond)
		switch {
		case r.Service == "t/b":
			return Result{Outcome: Refused, Reason: "busy"}
		case strings.HasSuffix(r.ID, "5"):
			return Result{Outcome: Unknown, Reason: "timeout"}
		case strings.HasSuffix(r.ID, "-0"):
			return Result{Outcome: Answered, Wrong: errors.New("crossed")}
		}
		return Result{Outcome: Answered, Place: "p"}
	}
	r, seen := run(t, plan(), do)
	if r.Requests != uint64(len(seen)) || r.Requests != r.Answered+r.Refused+r.Unknown || r.Held != 0 {
		t.Errorf("got %+v of %d requests", r.Counts, len(seen))
	}
	a, b := r.Services[0], r.Services[1]
	if a.Name != "t/a" || a.P50 != 10.007 && a.P50 != 10 || a.Wrong != 1 || a.Places[0].Answered != a.Answered-1 {
		t.Errorf("got %+v", a)
	}
	want := []Reason{{Outcome: Refused, Text: "busy", Count: b.Requests}}
	if b.Answered != 0 || !slices.Equal(b.Errors, want) {
		t.Errorf("got %+v, want errors %+v", b, want)
	}
	again, seenAgain := run(t, plan(), do)
	if !slices.Equal(seen, seenAgain) || !reflect.DeepEqual(r, again) {
		t.Error("got another run from the same seed")
	}
}

// TestRunCountsFromIntendedStart sends one request at a time, each of 100 ms, at 100/s: of
// ten intended requests, nine are added to the queue.
func TestRunCountsFromIntendedStart(t *testing.T) {
	p := Plan{Streams: []Stream{{Service: "s", Rate: 100}}, For: time.Second, InFlight: 1}
	r, seen := run(t, p, func(context.Context, Request) Result {
		time.Sleep(100 * time.Millisecond)
		return Result{Outcome: Answered}
	})
	n := float64(len(seen))
	want := n*100 - 1000 // ms that the last request waits, at least
	if got := r.Services[0].Max; got < want {
		t.Errorf("got a longest latency of %g ms, want at least %g", got, want)
	}
	if got, want := r.Held, uint64(len(seen)-1); got != want {
		t.Errorf("got %d held up, want %d", got, want)
	}
}

func TestRunDeadlineAndCancel(t *testing.T) {
	p := Plan{Streams: []Stream{{Service: "s", Rate: 10, Timeout: time.Second}}, For: time.Hour}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		start := time.Now()
		r, err := Run(ctx, p, func(ctx context.Context, r Request) Result {
			<-ctx.Done()
			if got := time.Since(r.Due); got != time.Second {
				t.Errorf("got an end after %s, want 1s", got)
			}
			return Result{Outcome: Unknown, Reason: "timeout"}
		})
		if err != nil || r.Requests == 0 || r.Seconds != 10 {
			t.Errorf("got %+v and %v, want 10 s of requests", r, err)
		}
		if got := time.Since(start); got > 11*time.Second {
			t.Errorf("got an end after %s, want 11s at most", got)
		}
	})
}

func TestRunCountsUnsent(t *testing.T) {
	p := Plan{Streams: []Stream{{Service: "s", Rate: 100}}, For: time.Hour, InFlight: 1}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		r, err := Run(ctx, p, func(context.Context, Request) Result {
			time.Sleep(time.Minute)
			return Result{Outcome: Answered}
		})
		if err != nil || r.Requests != 1 || r.Held != 1 || r.Unsent != 1 {
			t.Errorf("got %+v and %v, want 1 sent, 1 held up and unsent", r, err)
		}
	})
}

func TestPlanFaults(t *testing.T) {
	p := Plan{Streams: []Stream{{Rate: -1, Size: -1}}, For: time.Second, Ramp: time.Minute, InFlight: -1}
	_, err := Run(t.Context(), p, nil)
	if err == nil {
		t.Fatal("got no error")
	}
	for _, want := range []string{"ramp", "in flight", "service", "rate", "size"} {
		if !strings.Contains(err.Error(), want+" is") {
			t.Errorf("got %q, want it to name %s", err, want)
		}
	}
}

func TestReportFormats(t *testing.T) {
	r, _ := run(t, plan(), func(context.Context, Request) Result {
		return Result{Outcome: Refused, Reason: "busy", Wrong: errors.New("crossed")}
	})
	var b bytes.Buffer
	if err := r.WriteJSON(&b); err != nil {
		t.Fatal(err)
	}
	var got Report
	if err := json.Unmarshal(b.Bytes(), &got); err != nil || !reflect.DeepEqual(&got, r) {
		t.Errorf("got %+v and %v, want %+v", got, err, r)
	}
	if got := bytes.Count(b.Bytes(), []byte("\n")); got != 1 {
		t.Errorf("got %d lines of JSON, want 1", got)
	}
	b.Reset()
	if err := r.WriteTable(&b); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"p99.9 ms", "t/a", "all", "not-run, busy", "wrong answer: crossed", "held up"} {
		if !strings.Contains(b.String(), want) {
			t.Errorf("got no %q in\n%s", want, b.String())
		}
	}
}
