package kv

import (
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/firlever/firlever/internal/platform"
)

// Limits of the server.
const (
	maxWait       = 5 * time.Minute // of a watch, and of a lease
	maxLine       = 64 << 10        // bytes of a registration
	headerTimeout = 5 * time.Second
)

// Server answers the protocol of docs/platform.md from a store.
type Server struct {
	store platform.Store
	http  *http.Server
}

// NewServer makes a server round a store, a Local as a rule.
func NewServer(store platform.Store) *Server {
	s := &Server{store: store}
	s.http = &http.Server{Handler: s.routes(), ReadHeaderTimeout: headerTimeout}
	return s
}

// Serve answers on a listener until Close. It returns http.ErrServerClosed then.
func (s *Server) Serve(ln net.Listener) error { return s.http.Serve(ln) }

// Close cuts every connection and ends Serve.
func (s *Server) Close() error { return s.http.Close() }

// ServeHTTP answers one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.http.Handler.ServeHTTP(w, r) }

func (s *Server) routes() http.Handler {
	m := chi.NewRouter()
	m.Get(platform.RouteEntry, answer(s.get))
	m.Put(platform.RouteEntry, answer(s.swap))
	m.Delete(platform.RouteEntry, answer(s.remove))
	m.Get(platform.RouteEntries, answer(s.list))
	m.Get(platform.RouteWatch, answer(s.watch))
	m.Put(platform.RouteLease, answer(s.acquire))
	m.Delete(platform.RouteLease, answer(s.release))
	m.Put(platform.RouteInstance, answer(s.register))
	m.Get(platform.RouteInstances, answer(s.instances))
	return m
}

// answer writes what f returns. A write that may have landed gets no answer.
func answer[T any](f func(r *http.Request, q *query) (T, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		v, err := f(r, &query{values: r.URL.Query()})
		var lost *platform.UncertainError
		if errors.As(err, &lost) {
			panic(http.ErrAbortHandler)
		}
		if err != nil {
			status, refusal := refuse(err)
			write(w, status, refusal)
			return
		}
		write(w, http.StatusOK, v)
	}
}

func write(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body) // the caller sees that the answer is cut
}

// query reads parameters and keeps the first fault.
type query struct {
	values url.Values
	err    error
}

func (q *query) number(name string) uint64 {
	n, err := strconv.ParseUint(q.values.Get(name), 10, 64)
	if err != nil {
		q.fail(name + " is no whole number")
	}
	return n
}

func (q *query) wait(name string) time.Duration {
	n := q.number(name)
	if n > uint64(maxWait.Milliseconds()) {
		q.fail(name + " is over " + maxWait.String())
		return 0
	}
	return time.Duration(n) * time.Millisecond
}

func (q *query) text(name string) string {
	v := q.values.Get(name)
	if v == "" || len(v) > platform.MaxPath {
		q.fail(name + " is missing or too long")
	}
	return v
}

func (q *query) fail(reason string) {
	if q.err == nil {
		q.err = &platform.InvalidError{Call: "request", Reason: reason}
	}
}

// body reads a request's body of at most limit bytes.
func body(r *http.Request, limit int64) ([]byte, error) {
	b, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, limit))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, &platform.TooLargeError{Path: r.URL.Query().Get(platform.ParamPath), Size: int(limit) + 1}
	}
	if err != nil {
		return nil, &platform.InvalidError{Call: "request", Reason: err.Error()}
	}
	return b, nil
}
