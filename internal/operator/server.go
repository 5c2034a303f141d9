package operator

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/juju/errors"
)

// Limits of a server.
const (
	maxRequests   = 64 // at one time
	maxChanges    = 8  // at one time, each with a body of up to settings.MaxBody
	maxConns      = 256
	maxHeader     = 16 << 10 // bytes
	headerTimeout = 5 * time.Second
	readTimeout   = 15 * time.Second
	writeTimeout  = readTimeout + changeTimeout + 5*time.Second // from a request's first byte on
	idleTimeout   = time.Minute
)

// Server answers operators. It is safe for concurrent use.
type Server struct {
	cfg          Config
	routes       http.Handler
	http         *http.Server
	requestSlots chan struct{} // one for each request at work
	changeSlots  chan struct{} // one for each change at work
	conns        atomic.Int64
}

// New makes a server. A faulty configuration gives *ConfigError.
func New(cfg Config) (*Server, error) {
	if err := cfg.Validate(); err != nil {
		return nil, errors.Annotate(err, "operator.New")
	}
	s := &Server{
		cfg:          cfg,
		requestSlots: make(chan struct{}, maxRequests),
		changeSlots:  make(chan struct{}, maxChanges),
	}
	s.routes = s.newRoutes()
	s.http = &http.Server{
		Handler:           s,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeader,
		ConnState:         s.countConn,
		ErrorLog:          cfg.Log.StandardLog(),
	}
	return s, nil
}

// Serve answers on a listener until Close or Shutdown of HTTP. It returns
// http.ErrServerClosed then.
func (s *Server) Serve(ln net.Listener) error { return s.http.Serve(ln) }

// HTTP is the server underneath, to be shut down.
func (s *Server) HTTP() *http.Server { return s.http }

// ServeHTTP answers one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.routes.ServeHTTP(w, r) }

// countConn closes new connections over the limit.
func (s *Server) countConn(c net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		if s.conns.Add(1) > maxConns {
			_ = c.Close()
		}
	case http.StateClosed, http.StateHijacked:
		s.conns.Add(-1)
	}
}

func (s *Server) newRoutes() http.Handler {
	m := chi.NewRouter()
	m.NotFound(problemHandler(func(http.ResponseWriter, *http.Request) error {
		return &Problem{Code: CodeNotFound, Reason: "there is nothing at this address"}
	}))
	m.MethodNotAllowed(problemHandler(func(_ http.ResponseWriter, r *http.Request) error {
		return &Problem{Code: CodeMethod, Reason: r.Method + " is not for this address"}
	}))
	m.Get("/health", s.health)
	m.Get("/ready", s.ready)
	m.Method(http.MethodGet, "/metrics", s.cfg.Metrics)
	m.Group(func(m chi.Router) {
		m.Use(s.limit)
		m.Get("/v1/documents", problemHandler(s.listDocuments))
		m.Get("/v1/documents/*", problemHandler(s.getDocument))
		m.Put("/v1/documents/*", problemHandler(s.changeDocument))
		m.Delete("/v1/documents/*", problemHandler(s.changeDocument))
		m.Get("/v1/writes/{write}", problemHandler(s.getWrite))
		m.Get("/v1/status", problemHandler(s.status))
		m.Get("/v1/fleet", problemHandler(s.fleet))
	})
	return m
}

// problemHandler sends the error of a handler as a Problem.
func problemHandler(f func(w http.ResponseWriter, r *http.Request) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if err := f(w, r); err != nil {
			newProblem(err).send(w)
		}
	}
}

// limit refuses requests over those that may be at work at one time.
func (s *Server) limit(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case s.requestSlots <- struct{}{}:
			defer func() { <-s.requestSlots }()
			next.ServeHTTP(w, r)
		default:
			(&Problem{Code: CodeBusy, Reason: "too many requests at one time"}).send(w)
		}
	})
}

// State is the answer to /health and /ready.
type State struct {
	Ready  bool   `json:"ready"`
	Reason string `json:"reason,omitempty"`
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	sendJSON(w, http.StatusOK, State{Ready: s.cfg.Ready() == nil})
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if err := s.cfg.Ready(); err != nil {
		sendJSON(w, http.StatusServiceUnavailable, State{Reason: err.Error()})
		return
	}
	sendJSON(w, http.StatusOK, State{Ready: true})
}

func (s *Server) status(w http.ResponseWriter, r *http.Request) error {
	a, err := s.authenticate(r)
	if err != nil {
		return err
	}
	sendJSON(w, http.StatusOK, a.visible(s.cfg.Status()))
	return nil
}

// fleet answers with the documents' versions only where paths are asked for.
func (s *Server) fleet(w http.ResponseWriter, r *http.Request) error {
	a, err := s.authenticate(r)
	if err != nil {
		return err
	}
	paths, err := parsePaths(r.URL.Query())
	if err != nil {
		return err
	}
	reports := s.cfg.Fleet(withBearer(r.Context(), a.bearer))
	for i, report := range reports {
		if report.Status != nil {
			visible := a.visible(*report.Status).withVersionsOf(paths)
			reports[i].Status = &visible
		}
	}
	sendJSON(w, http.StatusOK, Fleet{Reports: reports})
	return nil
}

// Fleet is the answer to a question for the status of all instances.
type Fleet struct {
	Reports []Report `json:"reports"`
}
