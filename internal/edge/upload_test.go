package edge

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// pattern is an endless body.
type pattern struct{ at int64 }

func (p *pattern) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = byte(p.at >> 3)
		p.at++
	}
	return len(b), nil
}

// uploadTarget is a target that checks bodies of pattern and counts those that came whole.
func (r *rig) uploadTarget(whole *atomic.Int64) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		want := &pattern{}
		got, expected := make([]byte, 32<<10), make([]byte, 32<<10)
		for {
			n, err := q.Body.Read(got)
			want.Read(expected[:n])
			if !bytes.Equal(got[:n], expected[:n]) {
				return
			}
			if err == io.EOF {
				break
			}
			if err != nil {
				return
			}
		}
		whole.Add(1)
		w.Header().Set("Request-Id", q.Header.Get("Request-Id"))
		writeOK(w)
	}))
	r.t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// upload sends a long body and returns the answer's status; 0 if there is none.
func (r *rig) upload(size, sent int64, chunks bool) int {
	c, err := net.Dial("tcp", r.node.cfg.Settings.Callers)
	if err != nil {
		return 0
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(20 * time.Second))
	length := fmt.Sprintf("Content-Length: %d", size)
	body := io.LimitReader(&pattern{}, sent)
	if chunks {
		length = "Transfer-Encoding: chunked"
	}
	fmt.Fprintf(c, "POST /do/x HTTP/1.1\r\nHost: h\r\nRequest-Id: q1\r\nDeadline-Ms: 20000\r\n%s\r\n\r\n", length)
	go func() {
		if !chunks {
			io.Copy(c, body)
			return
		}
		for n := int64(1); n > 0; {
			var part bytes.Buffer
			n, _ = io.CopyN(&part, body, 50_000)
			fmt.Fprintf(c, "%x\r\n%s\r\n", part.Len(), part.Bytes())
		}
	}()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	return resp.StatusCode
}

// configureUploads writes a configuration whose requests may take long.
func (r *rig) configureUploads() {
	const route = `{"resource_kind":"routes","metadata":{"name":"do"},"spec":{"host":"h","prefix":"/do/","route_type":"upload","timeout":"20s","target_latency":"100ms","max_attempts":2,"service":"s"}}`
	r.store.Put("op/config", fmt.Appendf(nil, `{"version":1,"resources":[%s]}`, route))
}

// Long bodies come whole to the target, in either coding.
func TestUploadThroughAnInstance(t *testing.T) {
	r, whole := newUploadRig(t, 0)
	for i, chunks := range []bool{false, true} {
		if got := r.upload(5<<20, 5<<20, chunks); got != 200 || whole.Load() != int64(i+1) {
			t.Errorf("chunks %t: got status %d and %d whole bodies, want 200 and %d", chunks, got, whole.Load(), i+1)
		}
	}
}

// A caller that stops in the middle of a body: the target's request breaks off, and the target
// isn't to blame.
func TestUploadBreaksOff(t *testing.T) {
	r, whole := newUploadRig(t, 0)
	for range 5 {
		c, err := net.Dial("tcp", r.node.cfg.Settings.Callers)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(c, "POST /do/x HTTP/1.1\r\nHost: h\r\nRequest-Id: q1\r\nContent-Length: %d\r\n\r\n", 5<<20)
		io.CopyN(c, &pattern{}, 1<<20)
		c.Close()
	}
	if got := r.upload(5<<20, 5<<20, false); got != 200 || whole.Load() != 1 {
		t.Errorf("got status %d and %d whole bodies, want 200 and 1: the target in use", got, whole.Load())
	}
}

// A target that refuses after a part of the body: the request has not run, and is not sent again, as
// that part is gone.
func TestUploadRefusedInTheMiddle(t *testing.T) {
	r := newRig(t)
	r.configureUploads()
	r.start()
	ln, err := net.Listen("tcp", anyPort)
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	var requests atomic.Int64
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				q, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				requests.Add(1)
				io.CopyN(io.Discard, q.Body, 1<<20)
				fmt.Fprintf(c, "HTTP/1.1 503 Full\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", q.Header.Get("Request-Id"))
				time.Sleep(200 * time.Millisecond)
			}()
		}
	}()
	r.register("t1", ln.Addr().String(), "n1", "ready")
	r.register("t2", ln.Addr().String(), "n1", "ready")
	r.waitUsable(2)
	if got := r.upload(8<<20, 8<<20, false); got != http.StatusServiceUnavailable || requests.Load() != 1 {
		t.Errorf("got status %d after %d requests at targets, want 503 after 1", got, requests.Load())
	}
}

// Callers that read slowly: what is held for them stays within the bound, nothing is lost, and when
// they have read nothing is held.
func TestSlowReaders(t *testing.T) {
	const callers, size = 500, 90_000
	r := newRig(t)
	r.memory = 16
	r.configureUploads()
	r.start()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		io.Copy(io.Discard, q.Body)
		w.Header().Set("Request-Id", q.Header.Get("Request-Id"))
		w.Header().Set("Response-Signature", "sig")
		io.CopyN(w, &pattern{}, size)
	}))
	t.Cleanup(server.Close)
	r.report("t1", server.Listener.Addr().String(), "n1", "ready", 0, 1)
	r.waitUsable(1)
	limit := r.node.resources.budget.Limit()
	var most atomic.Int64
	stop := make(chan struct{})
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Millisecond):
				most.Store(max(most.Load(), r.node.resources.budget.Held()))
			}
		}
	}()
	var all sync.WaitGroup
	var whole, refused atomic.Int64
	for range callers {
		all.Go(func() {
			c, err := net.Dial("tcp", r.node.cfg.Settings.Callers)
			if err != nil {
				return
			}
			defer c.Close()
			c.(*net.TCPConn).SetReadBuffer(4 << 10)
			c.SetDeadline(time.Now().Add(20 * time.Second))
			fmt.Fprint(c, "POST /do/x HTTP/1.1\r\nHost: h\r\nRequest-Id: q1\r\nDeadline-Ms: 20000\r\nContent-Length: 2\r\n\r\nhi")
			time.Sleep(time.Second)
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				return
			}
			switch n, err := io.Copy(io.Discard, resp.Body); {
			case resp.StatusCode == http.StatusServiceUnavailable:
				refused.Add(1)
			case err == nil && n == size:
				whole.Add(1)
			}
		})
	}
	all.Wait()
	close(stop)
	if whole.Load()+refused.Load() != callers || whole.Load() == 0 {
		t.Errorf("got %d whole answers and %d refusals, want %d together", whole.Load(), refused.Load(), callers)
	}
	if most.Load() > limit {
		t.Errorf("got %d bytes held, want %d at most", most.Load(), limit)
	}
	r.eventually("nothing is held", func() bool { return r.node.resources.budget.Held() == 0 })
}

// newUploadRig starts a node with a memory limit in MB and a target for uploads.
func newUploadRig(t testing.TB, memory int) (*rig, *atomic.Int64) {
	r := newRig(t)
	r.memory = memory
	r.configureUploads()
	r.start()
	whole := new(atomic.Int64)
	address := r.uploadTarget(whole)
	const targets = 60 // of 4 slots each, at one address
	for i := range targets {
		r.report(fmt.Sprint("t", i), address, "n1", "ready", 0, 1)
	}
	r.waitUsable(targets)
	return r, whole
}

// BenchmarkUploads sends 200 uploads of 10 MB at once through an instance of 184 MB, and reports the
// memory of the process, targets and callers included.
func BenchmarkUploads(b *testing.B) {
	const uploads, size = 200, 10 << 20
	for b.Loop() {
		b.StopTimer()
		r, whole := newUploadRig(b, 184)
		b.StartTimer()
		var peak uint64
		var all sync.WaitGroup
		var answered atomic.Int64
		for range uploads {
			all.Go(func() {
				if r.upload(size, size, false) == 200 {
					answered.Add(1)
				}
			})
		}
		done := make(chan struct{})
		go func() { all.Wait(); close(done) }()
		for running := true; running; {
			select {
			case <-done:
				running = false
			case <-time.After(20 * time.Millisecond):
				var m runtime.MemStats
				runtime.ReadMemStats(&m)
				peak = max(peak, m.HeapInuse+m.StackInuse)
			}
		}
		b.ReportMetric(float64(peak)/(1<<20), "peak-MB")
		b.ReportMetric(float64(answered.Load()), "answered")
		b.ReportMetric(float64(whole.Load()), "whole")
	}
}
