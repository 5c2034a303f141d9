package target

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// pipeListener is a listener with in-memory connections, as virtual time requires.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
}

func (p *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

func (p *pipeListener) Close() error   { close(p.done); return nil }
func (p *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (p *pipeListener) dial(context.Context, string, string) (net.Conn, error) {
	c, far := net.Pipe()
	p.conns <- far
	return c, nil
}

// testTarget is a target with a client, both in one synctest bubble.
type testTarget struct {
	*Target
	client  *http.Client
	journal *Journal
}

func newTestTarget(t *testing.T, cfg Config) *testTarget {
	t.Helper()
	cfg.Service, cfg.Place, cfg.Name = "team/svc", "p", "t"
	p := &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
	j := NewJournal(nil, time.Now())
	tg, err := Start(p, cfg, j)
	if err != nil {
		t.Fatal(err)
	}
	tr := &http.Transport{DialContext: p.dial}
	t.Cleanup(func() {
		tr.CloseIdleConnections()
		_ = tg.Close()
	})
	return &testTarget{Target: tg, client: &http.Client{Transport: tr}, journal: j}
}

// get sends a request and returns the status, the outcome, the duration, and the error of the
// request or of its body's verification.
func (b *testTarget) get(ctx context.Context, t *testing.T, path, id, timeout string) (int, string, time.Duration, error) {
	t.Helper()
	start := time.Now()
	r, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://t"+path, strings.NewReader("x"))
	r.Header.Set(headerRequest, id)
	if timeout != "" {
		r.Header.Set(headerTimeout, timeout)
	}
	resp, err := b.client.Do(r)
	if err != nil {
		return 0, "", time.Since(start), err
	}
	defer resp.Body.Close()
	err = VerifyAnswer(id, resp.Body)
	return resp.StatusCode, resp.Header.Get(headerOutcome), time.Since(start), err
}

func TestServe(t *testing.T) {
	const ms = time.Millisecond
	tests := map[string]struct {
		cfg     Config
		path    string
		timeout string
		status  int
		outcome string
		took    time.Duration
		runs    int
	}{
		"warm":           {Config{}, "/a", "", 200, "", 6 * ms, 1},
		"slow link":      {Config{Pace: 100_000}, "/a?size=50001", "", 200, "", 506 * ms, 1},
		"cold":           {Config{Cold: 3, WarmRequests: 2}, "/a", "", 200, "", 16 * ms, 1},
		"timeout":        {Config{}, "/a", "3", 504, outcomeUnknown, 4 * ms, 1},
		"no time":        {Config{}, "/a", "0", 503, outcomeNotRun, ms, 0},
		"bad timeout":    {Config{}, "/a", "x", 400, outcomeNotRun, ms, 0},
		"bad size":       {Config{}, "/a?size=-1", "", 400, outcomeNotRun, ms, 0},
		"too large size": {Config{}, "/a?size=9999999999", "", 400, outcomeNotRun, ms, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestTarget(t, tt.cfg)
				status, outcome, took, err := b.get(t.Context(), t, tt.path, "r", tt.timeout)
				if status != tt.status || outcome != tt.outcome || took != tt.took {
					t.Errorf("got %d %q %s, want %d %q %s", status, outcome, took, tt.status, tt.outcome, tt.took)
				}
				if got, want := err == nil, tt.status == 200; got != want {
					t.Errorf("got whole %v, want %v: %v", got, want, err)
				}
				if got := b.journal.Runs("r"); got != tt.runs {
					t.Errorf("got %d runs, want %d", got, tt.runs)
				}
			})
		})
	}
}

func TestShedDrainCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestTarget(t, Config{Slots: 1, Queue: 1, Mean: time.Second, Report: Report{Lag: 500 * time.Millisecond}})
		ctx, cancel := context.WithCancel(t.Context())
		go b.get(ctx, t, "/a", "running", "")
		time.Sleep(10 * time.Millisecond)
		queued := make(chan int, 1)
		go func() {
			status, _, _, _ := b.get(t.Context(), t, "/a", "queued", "")
			queued <- status
		}()
		time.Sleep(10 * time.Millisecond)
		if status, outcome, _, _ := b.get(t.Context(), t, "/a", "shed", ""); status != 503 || outcome != outcomeNotRun {
			t.Errorf("got %d %q, want 503 not-run", status, outcome)
		}
		if got := b.reportedBusy(t); got != 0 {
			t.Errorf("got %d busy before the lag, want 0", got)
		}
		time.Sleep(600 * time.Millisecond)
		if got := b.reportedBusy(t); got != 1 {
			t.Errorf("got %d busy after the lag, want 1", got)
		}
		b.SetReport(Report{AlwaysIdle: true})
		if got := b.reportedBusy(t); got != 0 {
			t.Errorf("got %d busy when misleading, want 0", got)
		}
		b.Drain()
		cancel()
		if got := <-queued; got != 200 {
			t.Errorf("got %d for the queued request, want 200", got)
		}
		if status, outcome, _, _ := b.get(t.Context(), t, "/a", "late", ""); status != 503 || outcome != outcomeNotRun {
			t.Errorf("got %d %q while draining, want 503 not-run", status, outcome)
		}
		if got, want := b.journal.Runs("shed")+b.journal.Runs("late"), 0; got != want {
			t.Errorf("got %d runs of refused requests, want %d", got, want)
		}
		want := Usage{Peak: 1, Runs: 2, LastFinished: b.journal.PlaceUsage("p").LastFinished}
		if got := b.journal.PlaceUsage("p"); got != want {
			t.Errorf("got %+v, want %+v", got, want)
		}
	})
}

func (b *testTarget) reportedBusy(t *testing.T) int {
	t.Helper()
	resp, err := b.client.Get("http://t/load")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var l load
	if err := json.NewDecoder(resp.Body).Decode(&l); err != nil {
		t.Fatal(err)
	}
	return l.Busy
}

// lastByteRecorder records the number of requests in flight when the body's last byte is
// written.
type lastByteRecorder struct {
	*httptest.ResponseRecorder
	journal  *Journal
	bodyLen  int64
	inFlight int
}

func (w *lastByteRecorder) Write(b []byte) (int, error) {
	n, err := w.ResponseRecorder.Write(b)
	if int64(w.Body.Len()) == w.bodyLen {
		w.inFlight = w.journal.PlaceUsage("p").InFlight
	}
	return n, err
}

func TestFinishedBeforeLastByte(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestTarget(t, Config{Size: 100_000})
		w := &lastByteRecorder{ResponseRecorder: httptest.NewRecorder(), journal: b.journal, bodyLen: 100_000, inFlight: -1}
		b.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/a", nil))
		if got, want := w.inFlight, 0; got != want {
			t.Errorf("got %d in flight at the last byte, want %d", got, want)
		}
	})
}

func TestManyRequests(t *testing.T) {
	tests := map[string]struct {
		timeout string
		status  int
		runs    int
	}{
		"answered": {"", 200, 50},
		"no time":  {"0", 503, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestTarget(t, Config{Slots: 1, Queue: 1})
				for range 50 {
					if got, _, _, _ := b.get(t.Context(), t, "/a", "r", tt.timeout); got != tt.status {
						t.Errorf("got %d, want %d", got, tt.status)
					}
				}
				if got := b.journal.Runs("r"); got != tt.runs {
					t.Errorf("got %d runs, want %d", got, tt.runs)
				}
			})
		})
	}
}

func TestConnectionLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestTarget(t, Config{Connections: 1, Mean: time.Second})
		go b.get(t.Context(), t, "/a", "first", "")
		time.Sleep(10 * time.Millisecond)
		if _, _, _, err := b.get(t.Context(), t, "/a", "second", ""); err == nil {
			t.Error("got an answer over the limit, want an aborted connection")
		}
		time.Sleep(2 * time.Second)
		if got, want := b.Stats(), (Stats{Open: 1, Peak: 1, Refused: 1}); got != want {
			t.Errorf("got %+v, want %+v", got, want)
		}
	})
}

func TestHealth(t *testing.T) {
	tests := map[string]struct {
		report Report
		set    func(*Target)
		want   int
	}{
		"healthy":    {Report{}, func(*Target) {}, 200},
		"unhealthy":  {Report{}, func(t *Target) { t.SetHealthy(false) }, 503},
		"draining":   {Report{}, (*Target).Drain, 503},
		"lagging":    {Report{Lag: time.Second}, (*Target).Drain, 200},
		"misleading": {Report{AlwaysHealthy: true}, (*Target).Drain, 200},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestTarget(t, Config{ProbeCost: 6 * time.Millisecond, Report: tt.report})
				time.Sleep(time.Minute)
				tt.set(b.Target)
				start := time.Now()
				resp, err := b.client.Get("http://t/health")
				if err != nil {
					t.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
				if got := resp.StatusCode; got != tt.want {
					t.Errorf("got %d, want %d", got, tt.want)
				}
				if got, want := time.Since(start), 7*time.Millisecond; got != want {
					t.Errorf("got %s, want %s", got, want)
				}
			})
		})
	}
}

func TestConfigFaults(t *testing.T) {
	cfg := Config{Slots: -1, Cold: 0.5, Size: -1}
	_, err := Start(nil, cfg, nil)
	if err == nil {
		t.Fatal("got no error")
	}
	for _, want := range []string{"service", "place", "name", "slots", "cold", "size"} {
		if !strings.Contains(err.Error(), want+" is") {
			t.Errorf("got %q, want it to name %s", err, want)
		}
	}
}
