// Package callers serves look-ups and requests of callers. Peers hand requests off over the same
// protocol.
package callers

import (
	"errors"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-chi/chi/v5"

	"github.com/firlever/firlever/internal/boottime"
	"github.com/firlever/firlever/internal/core"
	"github.com/firlever/firlever/internal/dispatch"
	"github.com/firlever/firlever/internal/invariant"
	"github.com/firlever/firlever/internal/logs"
	"github.com/firlever/firlever/internal/metrics"
	"github.com/firlever/firlever/internal/overload"
	"github.com/firlever/firlever/internal/targets"
	"github.com/firlever/firlever/pkg/settings"
)

// Config configures a Server.
type Config struct {
	Instance       string
	CallersAddress string // this instance's own address for callers
	Checks         *invariant.Counter
	Log            *log.Logger     // nil logs nothing
	Metrics        *metrics.Set    // nil counts nothing
	Overload       *overload.Meter // of this process; with nil, nothing is refused on overload
}

// Server serves callers and peers. It is safe for concurrent use.
type Server struct {
	cfg        Config
	dispatcher *dispatch.Dispatcher
	client     *targets.Client
	pacer      *linkPacer
	refusalLog *logs.Limiter // of log lines about refusals on overload
}

// New returns a server.
func New(cfg Config, dispatcher *dispatch.Dispatcher, client *targets.Client) *Server {
	return &Server{cfg: cfg, dispatcher: dispatcher, client: client, pacer: &linkPacer{now: dispatcher.Now}, refusalLog: logs.NewLimiter(refusalLinesPerSecond)}
}

// Callers returns the handler for the callers' address.
func (s *Server) Callers() http.Handler {
	r := chi.NewRouter()
	r.NotFound(s.notFound)
	r.MethodNotAllowed(s.notFound)
	r.Get(PrefixLookup+"{team}/{service}", s.limitHeaders(s.lookup))
	r.HandleFunc(PrefixCall+"*", s.limitHeaders(s.handler(PrefixCall, core.FromCaller)))
	return r
}

// Peers adds the paths for peers to the handler of the peers' address.
func (s *Server) Peers(r chi.Router) {
	r.HandleFunc(PrefixHand+"*", s.limitHeaders(s.handler(PrefixHand, core.FromPeer)))
	r.HandleFunc(PrefixForward+"*", s.limitHeaders(s.handler(PrefixForward, core.FromForward)))
	r.Post(PrefixGrant+"{team}/{service}", s.limitHeaders(s.grant))
	r.Post(PathCrashes, s.limitHeaders(s.receiveCrashes))
}

func (s *Server) notFound(w http.ResponseWriter, _ *http.Request) {
	s.badRequest(w, http.StatusNotFound, &BadRequestError{Fault: "path and method are not served"})
}

// limitHeaders refuses requests with too large headers, with an answer that they have not run.
func (s *Server) limitHeaders(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if headerSize(r) > maxHeader {
			s.badRequest(w, http.StatusRequestHeaderFieldsTooLarge, &BadRequestError{Fault: "headers are too large"})
			return
		}
		next(w, r)
	}
}

// handler serves requests under one prefix. origin is the kind of sender that uses it.
func (s *Server) handler(prefix string, origin core.Origin) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		retryAt := s.overloadedUntil()
		if !retryAt.IsZero() && r.Header.Get(HeaderKey) == "" {
			s.refuseOverloaded(w, r, retryAt)
			return
		}
		x, err := s.readRequest(w, r, prefix)
		if err != nil {
			s.badRequest(w, http.StatusBadRequest, err)
			return
		}
		x.req.OverloadedUntil = retryAt
		if origin != core.FromCaller {
			x.req.Home = r.Header.Get(HeaderHome)
		}
		if origin == core.FromPeer {
			x.req.From = r.Header.Get(HeaderFrom)
			x.ask = readAsk(r.Header, x.req.Service)
		}
		s.serve(x, origin)
	}
}

// readRequest reads a request and up to maxReplay bytes of its body. It returns a *BadRequestError.
func (s *Server) readRequest(w http.ResponseWriter, r *http.Request, prefix string) (*exchange, error) {
	x := &exchange{s: s, w: w, r: r, arrived: s.dispatcher.Now()}
	c := http.NewResponseController(w)
	if r.ContentLength != 0 {
		c.SetReadDeadline(boottime.ToRuntime(x.arrived.Add(bodyTimeout)))
		// Otherwise the server reads the rest of the body before it sends any answer: a refusal
		// would be delayed, and the target would miss the rest.
		c.EnableFullDuplex()
	}
	var err error
	if x.route, err = newRoute(r.URL, prefix); err != nil {
		return nil, err
	}
	if x.req, err = parse(r, x.route, x.arrived); err != nil {
		return nil, err
	}
	if x.body, err = readBody(r); err != nil {
		return nil, err
	}
	if x.body.remaining == nil && r.ContentLength != 0 {
		c.SetReadDeadline(time.Time{})
	}
	x.req.Fingerprint = fingerprint(r, x.route, x.body)
	x.req.CrashFingerprint = crashFingerprint(r, x.route, x.body)
	return x, nil
}

func (s *Server) serve(x *exchange, origin core.Origin) {
	id, box := s.dispatcher.Open()
	defer s.dispatcher.Close(id)
	x.id = id
	s.dispatcher.Step(core.Arrived{ID: id, Origin: origin, Request: x.req})
	x.run(box)
}

// lookupAnswer is the answer to a look-up.
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
		s.badRequest(w, http.StatusBadRequest, err)
		return
	}
	keys, err := strconv.Atoi(or(r.URL.Query().Get("keys"), "0"))
	if err != nil || keys < 0 {
		s.badRequest(w, http.StatusBadRequest, &BadRequestError{Fault: "keys must be a non-negative integer"})
		return
	}
	l, err := s.dispatcher.Lookup(id, remoteAddr(r.RemoteAddr), keys)
	if err != nil {
		s.refuseLookup(w, err)
		return
	}
	s.logLookup(l, remoteAddr(r.RemoteAddr))
	s.writeLookup(w, l)
}

func (s *Server) writeLookup(w http.ResponseWriter, l core.Lookup) {
	a := lookupAnswer{Service: l.Service.String(), Place: l.Place, Until: l.Until, Keys: l.Keys}
	for _, p := range l.Instances {
		a.Instances = append(a.Instances, lookupInstance{ID: p.ID, Address: s.callersAddress(p), Place: p.Place})
	}
	seconds := int64(l.Until.Sub(s.dispatcher.Now()) / time.Second)
	// An answer is for one caller: it depends on the caller's address, and each key is for one
	// request.
	w.Header().Set("Cache-Control", "private, max-age="+itoa(seconds))
	s.writeJSON(w, http.StatusOK, a)
}

func (s *Server) callersAddress(p core.Peer) string {
	if p.ID == s.cfg.Instance {
		return s.cfg.CallersAddress
	}
	return p.CallersAddress
}

// refuseLookup answers a look-up that failed.
func (s *Server) refuseLookup(w http.ResponseWriter, err error) {
	reason, status := core.ReasonNoService, http.StatusNotFound
	var stopping *core.StoppingError
	var noSettings *core.NoSettingsError
	var oldSettings *core.OldSettingsError
	switch {
	case errors.As(err, &oldSettings):
		reason, status = core.ReasonOldSettings, http.StatusServiceUnavailable
		setRetry(w.Header(), s.dispatcher.Now(), oldSettings.RetryAt)
	case errors.As(err, &stopping):
		reason, status = core.ReasonStopping, http.StatusServiceUnavailable
	case errors.As(err, &noSettings):
		reason, status = core.ReasonNoSettings, http.StatusServiceUnavailable
	}
	s.refuseEarly(w, status, reason, err)
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
