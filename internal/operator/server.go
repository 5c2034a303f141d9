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
	maxRequests   = 64 // concurrent
	maxChanges    = 8  // concurrent, each with a body of up to settings.MaxBody
	maxConns      = 256
	maxHeader     = 16 << 10 // bytes
	headerTimeout = 5 * time.Second
	readTimeout   = 15 * time.Second
	writeTimeout  = readTimeout + changeTimeout + 5*time.Second // from the first byte of a request
	idleTimeout   = time.Minute
)

// Server serves the operators' HTTP API. It is safe for concurrent use.
type Server struct {
	cfg          Config
	routes       http.Handler
	http         *http.Server
	requestSlots chan struct{} // one element per request in progress
	changeSlots  chan struct{} // one element per change in progress
	conns        atomic.Int64
}

// New returns a server. An invalid configuration gives *ConfigError.
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

// Serve accepts connections on a listener until the server of HTTP is closed or shut
// down, and then returns http.ErrServerClosed.
func (s *Server) Serve(ln net.Listener) error { return s.http.Serve(ln) }

// HTTP returns the underlying server, for shutting it down.
func (s *Server) HTTP() *http.Server { return s.http }

// ServeHTTP handles one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.routes.ServeHTTP(w, r) }

// countConn counts connections and closes new ones over maxConns.
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
		return &Problem{Code: CodeNotFound, Reason: "no resource at this path"}
	}))
	m.MethodNotAllowed(problemHandler(func(_ http.ResponseWriter, r *http.Request) error {
		return &Problem{Code: CodeMethod, Reason: r.Method + " is not allowed for this path"}
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

// problemHandler adapts a handler that returns an error, and sends the error as a Problem.
func problemHandler(f func(w http.ResponseWriter, r *http.Request) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if err := f(w, r); err != nil {
			newProblem(err).send(w)
		}
	}
}

// limit rejects requests with CodeBusy while maxRequests are in progress.
func (s *Server) limit(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case s.requestSlots <- struct{}{}:
			defer func() { <-s.requestSlots }()
			next.ServeHTTP(w, r)
		default:
			(&Problem{Code: CodeBusy, Reason: "too many concurrent requests"}).send(w)
		}
	})
}

// State is the response to /health and /ready.
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

// fleet sends the status of all instances, with the versions of only those documents
// whose paths are requested.
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

// Fleet is the response to a request for the status of all instances.
type Fleet struct {
	Reports []Report `json:"reports"`
}
