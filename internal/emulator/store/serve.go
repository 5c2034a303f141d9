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

// Tokens that a call takes from the limiter of reads. A renewal is cheap; a stale read takes
// none.
const (
	readCost      = 10
	cheapReadCost = 1
)

// newLimiter returns a limiter with a burst of one second's worth, or nil for an infinite rate.
func newLimiter(perSecond float64) *rate.Limiter {
	if math.IsInf(perSecond, 1) {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), int(perSecond))
}

// readHeaderTimeout bounds the time in which a caller sends the request header. Calls come from
// the same machine, or over links of some 20 ms.
const readHeaderTimeout = 5 * time.Second

// Server returns an HTTP server for the store.
func (s *Store) Server() *http.Server {
	return &http.Server{Handler: s, ReadHeaderTimeout: readHeaderTimeout}
}

// SetFaults replaces the faults, also for watches that are waiting.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.PauseLeases != s.faults.PauseLeases {
		s.pauseLeases(f.PauseLeases)
	}
	s.faults = f
	s.notifyWatches()
}

// activeFaults returns the faults in force at now. s.mu is held.
func (s *Store) activeFaults(now time.Time) Faults {
	f := s.faults
	if f.expired(now) {
		f.Refuse, f.Silent = false, false
	}
	return f
}

// callEffects holds the faults and limits that apply to one call.
type callEffects struct {
	Faults
	overRate bool // answered 429
	lost     bool // executed and not answered
	late     bool // executed after Delay, and not answered
}

// admit counts a call and returns the faults and limits that apply to it.
func (s *Store) admit(r *http.Request) callEffects {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[r.URL.Path]++
	now := time.Now()
	f := callEffects{Faults: s.activeFaults(now)}
	if f.Silent || f.Refuse {
		return f
	}
	if host, _, err := net.SplitHostPort(r.RemoteAddr); err == nil && slices.Contains(f.RateLimited, host) {
		f.overRate = true
		return f
	}
	f.overRate = !s.allow(r, now)
	if f.overRate || !isWrite(r) {
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

// allow takes a call's tokens from its limiter and returns false if there are too few.
func (s *Store) allow(r *http.Request, now time.Time) bool {
	switch {
	case isWrite(r):
		return s.writes == nil || s.writes.AllowN(now, 1)
	case isStaleRead(r):
		return true
	case strings.HasPrefix(r.URL.Path, "/kv-keep/"):
		return s.reads == nil || s.reads.AllowN(now, cheapReadCost)
	}
	return s.reads == nil || s.reads.AllowN(now, readCost)
}

// isWrite reports whether a call counts as a write. A renewal counts as a read.
func isWrite(r *http.Request) bool {
	return r.Method != http.MethodGet && !strings.HasPrefix(r.URL.Path, "/kv-keep/")
}

// ServeHTTP serves a call, subject to the faults and rate limits.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w = eraWriter{w, s}
	f := s.admit(r)
	switch {
	case f.Silent:
		s.withholdAnswer(r)
	case f.Refuse:
		w.WriteHeader(http.StatusServiceUnavailable)
	case f.overRate:
		w.WriteHeader(http.StatusTooManyRequests)
	case f.late:
		s.delayCall(r, f.Delay)
		s.router.ServeHTTP(&recordedAnswer{}, r)
		panic(http.ErrAbortHandler)
	case f.lost:
		s.router.ServeHTTP(&recordedAnswer{}, r)
		panic(http.ErrAbortHandler)
	case f.Delay > 0:
		a := &recordedAnswer{}
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

// withholdAnswer returns without an answer when the caller has left. It reads the body first,
// as the server detects the end of the connection only then.
func (s *Store) withholdAnswer(r *http.Request) {
	io.Copy(io.Discard, r.Body)
	select {
	case <-r.Context().Done():
	case <-s.stop:
	}
}

// delayCall waits for d, also if the caller leaves meanwhile: the call has been received whole
// and is executed all the same.
func (s *Store) delayCall(r *http.Request, d time.Duration) {
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

// recordedAnswer is an http.ResponseWriter that buffers the answer.
type recordedAnswer struct {
	status int
	header http.Header
	body   bytes.Buffer
}

// Header returns the headers of the answer.
func (a *recordedAnswer) Header() http.Header {
	if a.header == nil {
		a.header = make(http.Header)
	}
	return a.header
}

// WriteHeader sets the status.
func (a *recordedAnswer) WriteHeader(status int) { a.status = status }

// Write appends to the body.
func (a *recordedAnswer) Write(b []byte) (int, error) { return a.body.Write(b) }

func (a *recordedAnswer) writeTo(w http.ResponseWriter) {
	for name, values := range a.Header() {
		w.Header()[name] = values
	}
	w.WriteHeader(max(a.status, http.StatusOK))
	w.Write(a.body.Bytes()) // a write fails only if the caller has left
}

// LostError is returned for a call in the same process whose answer was lost.
type LostError struct{ Path string }

func (e *LostError) Error() string { return "store: no answer to " + e.Path }

// RoundTrip serves a call in the same process, without a connection. It returns a *LostError
// if the answer was lost.
func (s *Store) RoundTrip(r *http.Request) (*http.Response, error) {
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	if r.Body == nil {
		r.Body = http.NoBody
	}
	// As over a connection, values of the caller's context don't pass: if the caller is itself
	// served by a chi router, that one's routing state is among them.
	ctx, cancel := context.WithCancel(context.Background())
	stop := context.AfterFunc(r.Context(), cancel)
	done := make(chan *recordedAnswer, 1) // nil: the answer is lost
	go func() {
		defer cancel()
		defer stop()
		a := &recordedAnswer{}
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
