package store

import (
	"bytes"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"golang.org/x/time/rate"
)

// What calls cost of the rate of reads: renewals and stale reads are cheap.
const (
	readPrice  = 10
	cheapPrice = 1
)

// limiter allows bursts of one second's worth; it is nil for any number.
func limiter(perSecond float64) *rate.Limiter {
	if math.IsInf(perSecond, 1) {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), int(perSecond))
}

// headerTime is how long a caller may take to send a header; calls come from the
// same machine, or over links of some 20 ms.
const headerTime = 5 * time.Second

// Server makes a server of the store.
func (s *Store) Server() *http.Server {
	return &http.Server{Handler: s, ReadHeaderTimeout: headerTime}
}

// SetFaults replaces the faults, also for calls that wait.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wake()
}

// failing returns the faults in force. s.mu is held.
func (s *Store) failing(now time.Time) Faults {
	f := s.faults
	if f.over(now) {
		f.Refuse, f.Silent = false, false
	}
	return f
}

// fate is what becomes of one call.
type fate struct {
	Faults
	busy bool // over the rate
	lost bool // done and not answered
	late bool // done after Delay, and not answered
}

// begin counts a call and decides its fate.
func (s *Store) begin(r *http.Request) fate {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[r.URL.Path]++
	now := time.Now()
	f := fate{Faults: s.failing(now)}
	if f.Silent || f.Refuse {
		return f
	}
	if host, _, err := net.SplitHostPort(r.RemoteAddr); err == nil && slices.Contains(f.Closed, host) {
		f.busy = true
		return f
	}
	f.busy = !s.allow(r, now)
	if f.busy || !writes(r) {
		return f
	}
	switch {
	case s.faults.LoseNext > 0:
		s.faults.LoseNext--
		f.lost = true
	case s.rng.Float64() < f.LoseShare:
		f.lost = true
	case s.rng.Float64() < f.LateShare:
		f.late = true
	}
	return f
}

// allow takes a call's price from its rate.
func (s *Store) allow(r *http.Request, now time.Time) bool {
	switch {
	case writes(r):
		return s.writes == nil || s.writes.AllowN(now, 1)
	case stale(r):
		return true
	case strings.HasPrefix(r.URL.Path, "/kv-keep/"):
		return s.reads == nil || s.reads.AllowN(now, cheapPrice)
	}
	return s.reads == nil || s.reads.AllowN(now, readPrice)
}

// writes says whether a call changes anything. A renewal counts as a read.
func writes(r *http.Request) bool {
	return r.Method != http.MethodGet && !strings.HasPrefix(r.URL.Path, "/kv-keep/")
}

// ServeHTTP answers a call, or fails it as the faults say.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w = eraWriter{w, s}
	f := s.begin(r)
	switch {
	case f.Silent:
		s.ignore(r)
	case f.Refuse:
		w.WriteHeader(http.StatusServiceUnavailable)
	case f.busy:
		w.WriteHeader(http.StatusTooManyRequests)
	case f.late:
		s.pause(r, f.Delay)
		s.router.ServeHTTP(&answer{}, r)
		panic(http.ErrAbortHandler)
	case f.lost:
		s.router.ServeHTTP(&answer{}, r)
		panic(http.ErrAbortHandler)
	case f.Delay > 0:
		a := &answer{}
		s.router.ServeHTTP(eraWriter{a, s}, r)
		select {
		case <-time.After(f.Delay):
		case <-r.Context().Done():
		case <-s.stop:
		}
		a.writeTo(w)
	default:
		s.router.ServeHTTP(w, r)
	}
}

// ignore gives no answer until the caller has left. It reads the body, as the end
// of the connection is noticed only then.
func (s *Store) ignore(r *http.Request) {
	io.Copy(io.Discard, r.Body)
	select {
	case <-r.Context().Done():
	case <-s.stop:
	}
}

// pause waits, also when the caller has left: the call has arrived whole by then.
func (s *Store) pause(r *http.Request, d time.Duration) {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	r.Body = io.NopCloser(bytes.NewReader(b))
	select {
	case <-time.After(d):
	case <-s.stop:
	}
}

// answer keeps what a handler writes.
type answer struct {
	status int
	header http.Header
	body   bytes.Buffer
}

// Header returns the headers to be written.
func (a *answer) Header() http.Header {
	if a.header == nil {
		a.header = make(http.Header)
	}
	return a.header
}

// WriteHeader sets the status.
func (a *answer) WriteHeader(status int) { a.status = status }

// Write appends to the body.
func (a *answer) Write(b []byte) (int, error) { return a.body.Write(b) }

func (a *answer) writeTo(w http.ResponseWriter) {
	for name, values := range a.Header() {
		w.Header()[name] = values
	}
	w.WriteHeader(max(a.status, http.StatusOK))
	w.Write(a.body.Bytes()) // an answer that can't be written has no reader left
}

// LostError is the error of a call in the same process whose answer is lost.
type LostError struct{ Path string }

func (e *LostError) Error() string { return "store: no answer to " + e.Path }

// RoundTrip makes a call in the same process, without a connection.
func (s *Store) RoundTrip(r *http.Request) (*http.Response, error) {
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	if r.Body == nil {
		r.Body = http.NoBody
	}
	// The call gets no values of the caller's context, as over a connection: a router
	// that the caller is in keeps its own there.
	ctx, cancel := context.WithCancel(context.Background())
	stop := context.AfterFunc(r.Context(), cancel)
	done := make(chan *answer, 1) // nil: the answer is lost
	go func() {
		defer cancel()
		defer stop()
		a := &answer{}
		defer func() {
			if v := recover(); v != nil {
				if v != http.ErrAbortHandler {
					panic(v)
				}
				a = nil
			}
			done <- a
		}()
		s.ServeHTTP(a, r.WithContext(ctx))
	}()
	select {
	case a := <-done:
		if a == nil || r.Context().Err() != nil {
			return nil, &LostError{Path: r.URL.Path}
		}
		return &http.Response{
			StatusCode: max(a.status, http.StatusOK), Header: a.Header(), Request: r,
			Body: io.NopCloser(&a.body), ContentLength: int64(a.body.Len()), ProtoMajor: 1, ProtoMinor: 1,
		}, nil
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
}
