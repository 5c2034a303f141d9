// Package callers serves callers: look-ups and requests. Peers hand requests
// off over the same protocol.
package callers

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-chi/chi/v5"

	"github.com/firlever/firlever/internal/core"
	"github.com/firlever/firlever/internal/dispatch"
	"github.com/firlever/firlever/internal/invariant"
	"github.com/firlever/firlever/internal/metrics"
	"github.com/firlever/firlever/internal/targets"
	"github.com/firlever/firlever/pkg/settings"
)

// Config is what a Server is told at its start.
type Config struct {
	Instance string
	Callers  string // this instance's own address for callers
	Checks   *invariant.Counter
	Log      *log.Logger  // nil logs nothing
	Metrics  *metrics.Set // nil counts nothing
}

// Server serves callers and peers. It is safe for concurrent use.
type Server struct {
	cfg    Config
	desk   *dispatch.Dispatcher
	client *targets.Client
}

// New makes a server.
func New(cfg Config, desk *dispatch.Dispatcher, client *targets.Client) *Server {
	return &Server{cfg: cfg, desk: desk, client: client}
}

// Callers is the handler of the callers' address.
func (s *Server) Callers() http.Handler {
	r := chi.NewRouter()
	r.Get(PrefixLookup+"{team}/{service}", s.lookup)
	r.HandleFunc(PrefixCall+"*", s.handler(PrefixCall, core.FromCaller))
	return r
}

// Peers adds the hand-off paths to the handler of the peers' address.
func (s *Server) Peers(r chi.Router) {
	r.HandleFunc(PrefixHand+"*", s.handler(PrefixHand, core.FromPeer))
	r.HandleFunc(PrefixForward+"*", s.handler(PrefixForward, core.FromForward))
	r.Post(PrefixGrant+"{team}/{service}", s.grant)
}

// handler serves requests that come in by one way.
func (s *Server) handler(prefix string, origin core.Origin) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		b, err := readBody(r)
		if err != nil {
			s.badRequest(w, err)
			return
		}
		req, err := parse(r, prefix, s.desk.Now(), b)
		if err != nil {
			s.badRequest(w, err)
			return
		}
		if origin != core.FromCaller {
			req.Home = r.Header.Get(HeaderHome)
		}
		if origin == core.FromPeer {
			req.From = r.Header.Get(HeaderFrom)
		}
		s.serve(w, r, origin, req, b)
	}
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request, origin core.Origin, req core.Request, b *body) {
	id, decisions := s.desk.Open()
	defer s.desk.Close(id)
	x := &exchange{s: s, ask: askOf(r.Header, req.Service), w: w, r: r, id: id, req: req, body: b, came: s.desk.Now()}
	ctx := r.Context()
	if req.Key != "" {
		ctx = context.WithoutCancel(ctx)
	}
	s.desk.Step(core.Arrived{ID: id, Origin: origin, Request: req})
	x.run(ctx, decisions)
}

// badRequest refuses what can't be understood. It has not run.
func (s *Server) badRequest(w http.ResponseWriter, err error) {
	h := w.Header()
	h.Set(HeaderOutcome, OutcomeNotRun)
	h.Set(HeaderReason, string(core.ReasonBadRequest))
	h.Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusBadRequest)
	json.NewEncoder(w).Encode(refusal{Outcome: OutcomeNotRun, Reason: err.Error()})
}

// lookupAnswer is the answer of a look-up.
type lookupAnswer struct {
	Service   string           `json:"service"`
	Place     string           `json:"place"`
	Until     time.Time        `json:"until"`
	Instances []lookupInstance `json:"instances"`
	Keys      []string         `json:"keys,omitempty"`
}

type lookupInstance struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Place   string `json:"place"`
}

func (s *Server) lookup(w http.ResponseWriter, r *http.Request) {
	id, err := settings.ParseServiceID(chi.URLParam(r, "team") + "/" + chi.URLParam(r, "service"))
	if err != nil {
		s.badRequest(w, err)
		return
	}
	keys, err := strconv.Atoi(or(r.URL.Query().Get("keys"), "0"))
	if err != nil || keys < 0 {
		s.badRequest(w, &BadRequestError{Fault: "keys is not a count"})
		return
	}
	l, err := s.desk.Lookup(id, remote(r.RemoteAddr), keys)
	if err != nil {
		s.noLookup(w, err)
		return
	}
	s.logLookup(l, remote(r.RemoteAddr))
	s.writeLookup(w, l)
}

func (s *Server) writeLookup(w http.ResponseWriter, l core.Lookup) {
	a := lookupAnswer{Service: l.Service.String(), Place: l.Place, Until: l.Until, Keys: l.Keys}
	for _, p := range l.Instances {
		a.Instances = append(a.Instances, lookupInstance{ID: p.ID, Address: s.callersAddress(p), Place: p.Place})
	}
	seconds := int64(l.Until.Sub(s.desk.Now()) / time.Second)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "max-age="+itoa(seconds))
	json.NewEncoder(w).Encode(a)
}

func (s *Server) callersAddress(p core.Peer) string {
	if p.ID == s.cfg.Instance {
		return s.cfg.Callers
	}
	return p.Callers
}

// noLookup refuses a look-up.
func (s *Server) noLookup(w http.ResponseWriter, err error) {
	reason, status := core.ReasonNoService, http.StatusNotFound
	var stopping *core.StoppingError
	if errors.As(err, &stopping) {
		reason, status = core.ReasonStopping, http.StatusServiceUnavailable
	}
	w.Header().Set(HeaderOutcome, OutcomeNotRun)
	w.Header().Set(HeaderReason, string(reason))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(refusal{Outcome: OutcomeNotRun, Reason: err.Error()})
}

func (s *Server) logLookup(l core.Lookup, caller netip.Addr) {
	if s.cfg.Log == nil {
		return
	}
	s.cfg.Log.Debug("lookup", "service", l.Service, "caller", caller, "place", l.Place, "instances", len(l.Instances))
}

func itoa(n int64) string { return strconv.FormatInt(n, 10) }

func or(a, b string) string {
	if a != "" {
		return a
	}
	return b
}
