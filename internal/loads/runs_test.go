package loads

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/firlever/firlever/internal/steer"
	"github.com/firlever/firlever/internal/workingset"
)

func keptReport(runs int) steer.KeptReport {
	r := steer.KeptReport{Service: 5, Report: workingset.Report{Complete: 16, Estimate: workingset.Estimate{
		Keeps: 12, ColdFactor: 3, Lifetime: 4 * time.Second, Confidence: 1, Repeats: 600, At: start.Add(-time.Second),
	}}}
	for i := range runs {
		r.Runs = append(r.Runs, workingset.Run{Target: 7, Object: uint64(i), Kind: 3, Took: 250 * time.Millisecond, At: start.Add(-501 * time.Millisecond)})
	}
	return r
}

func TestRunMessage(t *testing.T) {
	want := []steer.KeptReport{keptReport(2), keptReport(0)}
	b, err := encodeRuns(start, want)
	if err != nil {
		t.Fatal(err)
	}
	got, err := decodeRuns(start, b)
	for i := range want[0].Runs {
		want[0].Runs[i].At = want[0].Runs[i].At.Add(-time.Millisecond) // no run appears younger than it is
	}
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, %v, want %+v", got, err, want)
	}
	if most, err := encodeRuns(start, []steer.KeptReport{keptReport(maxReported)}); err != nil || len(most) > 8<<10 {
		t.Errorf("got %d bytes, %v, want at most 8 KB a second", len(most), err)
	}
	more, err := encodeRuns(start, []steer.KeptReport{keptReport(maxReported + 1)})
	if err != nil {
		t.Fatal(err)
	}
	for name, b := range map[string][]byte{"cut": b[:len(b)-1], "too many runs": more, "noise": []byte(strings.Repeat("x", 100))} {
		var fault *MessageError
		if _, err := decodeRuns(start, b); !errors.As(err, &fault) {
			t.Errorf("%s: got %v, want a *MessageError", name, err)
		}
	}
}

// An instance tells its runs, gets the estimate, and asks for it now and then without runs. A
// collector of an earlier version, which has no such path, is left alone for a while.
func TestRunExchange(t *testing.T) {
	var told, got []steer.KeptReport
	calls, failures, known := 0, 0, true
	collector := NewRuns(RunPeers{
		Collector: func() string { return "" },
		Reports:   func(time.Time, int, int, bool) []steer.KeptReport { return []steer.KeptReport{keptReport(0)} },
		Receive:   func(_ time.Time, r []steer.KeptReport) { told = append(told, r...) },
	})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls++
		if !known {
			http.NotFound(w, r)
			return
		}
		collector.ServeHTTP(w, r)
	}))
	defer server.Close()
	runs := 2
	x := NewRuns(RunPeers{
		Collector: func() string { return strings.TrimPrefix(server.URL, "http://") },
		Reports:   func(time.Time, int, int, bool) []steer.KeptReport { return []steer.KeptReport{keptReport(runs)} },
		Receive:   func(_ time.Time, r []steer.KeptReport) { got = append(got, r...) },
		Failed:    func(error) { failures++ },
	})
	x.exchangeOnce(context.Background(), start)
	if len(told) != 1 || len(told[0].Runs) != 2 || len(got) != 1 || got[0].Estimate.Keeps != 12 {
		t.Fatalf("got %+v told and %+v received", told, got)
	}
	runs = 0
	x.exchangeOnce(context.Background(), start.Add(runInterval))
	if calls != 1 {
		t.Errorf("got %d calls, want none without runs", calls)
	}
	x.exchangeOnce(context.Background(), start.Add(estimateInterval))
	if calls != 2 {
		t.Errorf("got %d calls, want one for the estimate", calls)
	}
	runs, known = 2, false
	for i := range 5 {
		x.exchangeOnce(context.Background(), start.Add(time.Minute+time.Duration(i)*runInterval))
	}
	if calls != 3 || failures != 1 {
		t.Errorf("got %d calls and %d failures of an earlier version, want one more", calls, failures)
	}
}
