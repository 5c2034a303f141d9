//go:build linux

package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/firlever/firlever/internal/emulator/store"
	"github.com/firlever/firlever/platform"
)

// rush sends requests to an instance at a rate, whether or not others have been answered. Its
// callers leave after the timeout, and close their connections then.
type rush struct {
	address string

	answered, refused, left atomic.Int64

	mu   sync.Mutex
	idle []net.Conn // guarded by mu
}

// play sends for a time and returns the answers a second in its second half.
func (r *rush) play(rate float64, length time.Duration) float64 {
	var work sync.WaitGroup
	begin, half, sent := time.Now(), int64(-1), 0
	for took := time.Duration(0); took < length; took = time.Since(begin) {
		if took > length/2 && half < 0 {
			half = r.answered.Load()
		}
		for due := int(took.Seconds() * rate); sent < due; sent++ {
			work.Go(func() { r.one(fmt.Sprintf("%p-%d", r, sent)) })
		}
		time.Sleep(time.Millisecond)
	}
	answers := float64(r.answered.Load()-half) / (length / 2).Seconds()
	work.Wait()
	for _, c := range r.idle {
		c.Close()
	}
	return answers
}

func (r *rush) one(id string) {
	deadline := time.Now().Add(timeout)
	c, err := r.connect(deadline)
	if err != nil {
		r.left.Add(1)
		return
	}
	c.SetDeadline(deadline)
	fmt.Fprintf(c, "GET /get/x HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n\r\n", id, timeout.Milliseconds())
	resp, err := http.ReadResponse(bufio.NewReaderSize(c, 1<<10), nil)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	switch {
	case err != nil:
		r.left.Add(1)
		c.Close()
		return
	case resp.StatusCode == http.StatusOK:
		r.answered.Add(1)
	default:
		r.refused.Add(1)
	}
	r.mu.Lock()
	r.idle = append(r.idle, c)
	r.mu.Unlock()
}

func (r *rush) connect(deadline time.Time) (net.Conn, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if last := len(r.idle) - 1; last >= 0 {
		c := r.idle[last]
		r.idle = r.idle[:last]
		return c, nil
	}
	r.mu.Unlock()
	defer r.mu.Lock()
	return (&net.Dialer{Deadline: deadline}).Dial("tcp", r.address)
}

func (r *rush) String() string {
	return fmt.Sprintf("%d answered, %d refused, %d left", r.answered.Load(), r.refused.Load(), r.left.Load())
}

// used is the processor time that the process has taken.
func (e *edge) used() (time.Duration, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", e.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	const user, system, tick = 11, 12, 10 * time.Millisecond // of the fields after the name
	_, rest, _ := strings.Cut(string(b), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= system {
		return 0, errors.New("/proc/PID/stat is too short")
	}
	var u, s time.Duration
	_, err = fmt.Sscan(fields[user]+" "+fields[system], &u, &s)
	return (u + s) * tick, err
}

// An instance on one processor that gets half as much again as that can do answers as much as
// it can, and all of a usual load right afterwards. It takes FIRLEVER_SOAK, as it needs the
// machine for itself.
func TestSoakOverload(t *testing.T) {
	if os.Getenv(envSoak) == "" {
		t.Skip("set " + envSoak)
	}
	e := overloaded(t)
	const probe, second = 2000, time.Second
	before, err := e.used()
	if err != nil {
		t.Fatal(err)
	}
	(&rush{address: e.address(callerPort)}).play(probe, 2*second)
	after, err := e.used()
	if err != nil {
		t.Fatal(err)
	}
	capacity := probe * 2 * second.Seconds() / (after - before).Seconds()
	over := &rush{address: e.address(callerPort)}
	got := over.play(1.5*capacity, 4*second)
	t.Logf("%.0f answers a second of %.0f that the processor can do; %s", got, capacity, over)
	if want := capacity / 2; got < want {
		t.Errorf("got %.0f answers a second, want %.0f of %.0f", got, want, capacity)
	}
	usual := &rush{address: e.address(callerPort)}
	usual.play(capacity/3, 4*second)
	t.Logf("afterwards: %s", usual)
	if got, all := usual.answered.Load(), usual.answered.Load()+usual.refused.Load()+usual.left.Load(); got < all*9/10 {
		t.Errorf("got %d answers of %d afterwards, want nine tenths", got, all)
	}
}

// overloaded starts an instance on one processor, with targets that have room.
func overloaded(t *testing.T) *edge {
	fake := store.New()
	server := httptest.NewServer(fake)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
		fake.Close()
	})
	const route = `{"resource_kind":"routes","metadata":{"name":"get"},"spec":{"host":"h","prefix":"/get/","route_type":"idempotent","timeout":"%dms","target_latency":"100ms","max_attempts":%d,"service":"s"}}`
	fake.Put(platform.ConfigKey, fmt.Appendf(nil, `{"version":1,"resources":[%s]}`, fmt.Sprintf(route, timeout.Milliseconds(), attempts)))
	for i := range 4 {
		tg := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(5 * time.Millisecond)
			w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
			w.Header().Set("Response-Signature", "sig")
			io.WriteString(w, "answer")
		}))
		t.Cleanup(func() {
			tg.CloseClientConnections()
			tg.Close()
		})
		fake.Put(fmt.Sprint(platform.TargetPrefix, "t", i), fmt.Appendf(nil,
			`{"address":%q,"info":{"service":"s","version":"v1","zone":"n1","capacity":1000},"status":{"state":"ready","sequence":1,"warmup_left":"0ms"}}`,
			tg.Listener.Addr().String()))
	}
	t.Setenv("GOMAXPROCS", "1")
	e := newEdge(t, 0, "n1", server.Listener.Addr().String(), []string{"127.0.0.1:1", "127.0.0.1:1"})
	e.start()
	t.Cleanup(func() { e.stop(false) })
	for end := time.Now().Add(recoverTime); !e.ready(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the instance is not ready")
		}
	}
	return e
}
