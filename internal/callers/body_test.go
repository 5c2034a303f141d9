package callers

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/firlever/firlever/internal/core"
)

const longBody = 20 * maxReplay

// TestLongBody streams a body to a target that reads it, refuses the request early, or can't be
// reached. The target must get the whole body or none of it.
func TestLongBody(t *testing.T) {
	reads := func(w http.ResponseWriter, r *http.Request) {
		b, err := io.ReadAll(r.Body)
		if err != nil || strings.Trim(string(b), "x") != "" {
			return
		}
		w.Header().Set("X-Got", itoa(int64(len(b))))
	}
	first := true
	refuses := func(w http.ResponseWriter, r *http.Request) {
		if !first {
			reads(w, r)
			return
		}
		first = false
		io.Copy(io.Discard, r.Body)
		w.Header().Set(HeaderOutcome, OutcomeNotRun)
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	dead := "127.0.0.1:1" // refuses connections
	tests := map[string]struct {
		addresses []string
		declared  bool
		want      string
	}{
		"declared":          {[]string{target(t, reads)}, true, OutcomeAnswered},
		"chunked":           {[]string{target(t, reads)}, false, OutcomeAnswered},
		"refused, retried":  {[]string{dead, target(t, reads)}, true, OutcomeAnswered},
		"refused, read":     {[]string{target(t, refuses), target(t, refuses)}, false, OutcomeNotRun + " " + string(core.ReasonTargetError)},
		"refused by all":    {[]string{dead, dead[:len(dead)-1] + "2"}, true, OutcomeNotRun + " " + string(core.ReasonTargetError)},
		"refused, no other": {[]string{dead}, false, OutcomeNotRun + " " + string(core.ReasonTargetError)},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := newRig(t, "i1", tt.addresses...)
			r, err := http.NewRequest("PUT", g.callers.URL+"/call/shop/orders/", strings.NewReader(strings.Repeat("x", longBody)))
			if err != nil {
				t.Fatal(err)
			}
			if !tt.declared {
				r.ContentLength, r.Body = -1, io.NopCloser(r.Body)
			}
			r.Header.Set(HeaderKey, g.key())
			resp, err := http.DefaultClient.Do(r)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			_, err = io.ReadAll(resp.Body)
			if err != nil || outcome(resp) != tt.want {
				t.Fatalf("got %q, %v, want %q", outcome(resp), err, tt.want)
			}
			if got, want := resp.Header.Get("X-Got"), itoa(longBody); tt.want == OutcomeAnswered && got != want {
				t.Errorf("got %q bytes at the target, want %q", got, want)
			}
			g.idle()
		})
	}
}

// TestAnswerBeforeBodyEnds streams in both directions at once. The rest of the body, sent after the
// answer has begun, must reach the target.
func TestAnswerBeforeBodyEnds(t *testing.T) {
	g := newRig(t, "i1", target(t, func(w http.ResponseWriter, r *http.Request) {
		http.NewResponseController(w).EnableFullDuplex()
		w.Write([]byte(strings.Repeat("y", maxBuffered+1)))
		http.NewResponseController(w).Flush()
		b, _ := io.ReadAll(r.Body)
		io.WriteString(w, itoa(int64(len(b))))
	}))
	body, send := io.Pipe()
	start := strings.Repeat("x", maxReplay+1)
	key := g.key()
	go io.WriteString(send, start)
	resp, err := g.do(context.Background(), "PUT", "/call/shop/orders/", body, HeaderKey, key)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	go func() {
		io.WriteString(send, strings.Repeat("x", longBody-len(start)))
		send.Close()
	}()
	b, err := io.ReadAll(resp.Body)
	if got, want := strings.Trim(string(b), "y"), itoa(longBody); err != nil || got != want {
		t.Errorf("got %q bytes at the target, %v, want %q", got, err, want)
	}
	g.idle()
}

// TestAbortedBody checks that a request whose caller aborts the body ends cleanly, and that the
// target doesn't see the truncated body as complete.
func TestAbortedBody(t *testing.T) {
	tests := map[string]string{
		"short":         "Content-Length: 9\r\n\r\nabc",
		"long":          "Content-Length: 99999\r\n\r\n" + strings.Repeat("x", maxReplay+9),
		"short chunked": "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
		"long chunked":  "Transfer-Encoding: chunked\r\n\r\n10009\r\n" + strings.Repeat("x", maxReplay+9) + "\r\n",
	}
	for name, rest := range tests {
		t.Run(name, func(t *testing.T) {
			complete := make(chan bool, 1)
			g := newRig(t, "i1", target(t, func(_ http.ResponseWriter, r *http.Request) {
				_, err := io.Copy(io.Discard, r.Body)
				complete <- err == nil
			}))
			c := g.sendRaw("PUT /call/shop/orders/ HTTP/1.1\r\nHost: a\r\nFirlever-Key: " + g.key() + "\r\n" + rest)
			if strings.HasPrefix(name, "long") {
				g.waitFor("the request at its target", func(st core.Status) bool { return st.Targets[0].InFlight == 1 })
			}
			c.Close()
			g.idle()
			select {
			case got := <-complete:
				if got {
					t.Error("got a complete body at the target, want it truncated")
				}
			default:
			}
		})
	}
}

// TestCallerGoesAway disconnects the caller while the target works on its request. An idempotent
// request must be cancelled; one with a key must continue, and its answer must be recorded.
func TestCallerGoesAway(t *testing.T) {
	tests := map[string]struct {
		keyed     bool
		cancelled bool // the target's request context
		again     string
	}{
		"idempotent": {false, true, ""},
		"keyed":      {true, false, "answered repeat"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			started, finish, ended := make(chan bool), make(chan bool), make(chan bool, 1)
			g := newRig(t, "i1", target(t, func(w http.ResponseWriter, r *http.Request) {
				io.Copy(io.Discard, r.Body)
				started <- true
				select {
				case <-r.Context().Done():
				case <-finish:
				}
				ended <- r.Context().Err() != nil
				io.WriteString(w, "done")
			}))
			header := []string{}
			method := "GET"
			if tt.keyed {
				method, header = "POST", []string{HeaderKey, g.key()}
			}
			ctx, cancel := context.WithCancel(context.Background())
			callerDone := make(chan error)
			go func() {
				_, err := g.do(ctx, method, "/call/shop/orders/", nil, header...)
				callerDone <- err
			}()
			<-started
			cancel()
			<-callerDone
			if !tt.cancelled {
				close(finish)
			}
			select {
			case got := <-ended:
				if got != tt.cancelled {
					t.Errorf("got cancelled %v, want %v", got, tt.cancelled)
				}
			case <-time.After(3 * time.Second): // before the request's deadline
				t.Error("got a request still running at the target, want it ended")
			}
			g.idle()
			if tt.again == "" {
				return
			}
			if r, body := g.ask(method, "/call/shop/orders/", "", header...); outcome(r) != tt.again || body != "done" {
				t.Errorf("got %q %q, want %q", outcome(r), body, tt.again)
			}
		})
	}
}

// stuckWriter is the answer writer of a caller that reads nothing.
type stuckWriter struct {
	*httptest.ResponseRecorder
	stuck, release chan bool
}

func (w stuckWriter) Write(b []byte) (int, error) {
	w.stuck <- true
	<-w.release
	return len(b), nil
}

// TestSlowReaderHoldsNoSlot checks that a caller that doesn't read a short answer doesn't keep the
// target's slot occupied.
func TestSlowReaderHoldsNoSlot(t *testing.T) {
	g := newRig(t, "i1", target(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Write(make([]byte, maxBuffered))
	}))
	w := stuckWriter{httptest.NewRecorder(), make(chan bool, 1), make(chan bool)}
	done := make(chan bool)
	go func() {
		g.server.Callers().ServeHTTP(w, httptest.NewRequest("GET", "/call/shop/orders/", nil))
		close(done)
	}()
	<-w.stuck
	g.idle()
	close(w.release)
	<-done
}

// TestSlowReaderEnds checks that the request's deadline ends an answer that is too large for any
// buffer and that the caller doesn't read.
func TestSlowReaderEnds(t *testing.T) {
	g := newRig(t, "i1", target(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Write(make([]byte, 64<<20))
	}))
	g.sendRaw("GET /call/shop/orders/ HTTP/1.1\r\nHost: a\r\nFirlever-Timeout: 200\r\n\r\n")
	g.waitFor("the request", func(st core.Status) bool { return st.InFlight == 1 })
	g.idle()
}

// TestDeadline checks that the deadline is passed on to the target, and enforced if the target is
// late.
func TestDeadline(t *testing.T) {
	left := make(chan string, 1)
	g := newRig(t, "i1", target(t, func(_ http.ResponseWriter, r *http.Request) {
		left <- r.Header.Get(HeaderTimeout)
		<-r.Context().Done()
	}))
	r, _ := g.ask("GET", "/call/shop/orders/", "", HeaderTimeout, "100")
	if got, want := outcome(r), OutcomeUnknown+" "+string(core.ReasonTargetError); got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	ms, err := time.ParseDuration(<-left + "ms")
	if err != nil || ms <= 0 || ms > 100*time.Millisecond {
		t.Errorf("got %v, %v left at the target, want at most 100ms", ms, err)
	}
	g.idle()
}

// What an attempt had left of a body could be sent as if it were all: each attempt gets the whole body or none.
func TestPartialBodyIsNotSent(t *testing.T) {
	r := httptest.NewRequest("PUT", "/", strings.NewReader(strings.Repeat("x", longBody)))
	b, err := readBody(r)
	if err != nil {
		t.Fatal(err)
	}
	noPace := func(int) error { return nil }
	first, err := b.forAttempt(noPace)
	if err != nil {
		t.Fatalf("got %v for the first attempt, want the body", err)
	}
	if _, err := io.CopyN(io.Discard, first, maxReplay+2); err != nil {
		t.Fatal(err)
	}
	first.stop()
	_, err = b.forAttempt(noPace)
	var partial *PartialBodyError
	if !errors.As(err, &partial) {
		t.Errorf("got %v for an attempt after a part was sent, want a *PartialBodyError", err)
	}
}
