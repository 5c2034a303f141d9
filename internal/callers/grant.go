package callers

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/firlever/firlever/internal/core"
	"github.com/firlever/firlever/pkg/settings"
)

// grantTimeout limits a call that asks a peer for grants.
const grantTimeout = 500 * time.Millisecond

// readAsk reads from the headers what a peer asks for.
func readAsk(h http.Header, service settings.ServiceID) core.Ask {
	return core.Ask{
		Peer: h.Get(HeaderFrom), Service: service, Home: h.Get(HeaderHome),
		Want: headerCount(h, HeaderWant), Release: headerCount(h, HeaderRelease),
	}
}

// setOffer writes this instance's offer to a peer into the headers.
func setOffer(h http.Header, now time.Time, o core.Offer) {
	h.Set(HeaderFree, itoa(int64(o.Free)))
	if o.Grant > 0 {
		setCount(h, HeaderGrant, o.Grant)
		setCount(h, HeaderUntil, int(o.Until.Sub(now).Milliseconds()))
	}
}

func setCount(h http.Header, name string, n int) {
	if n > 0 {
		h.Set(name, itoa(int64(n)))
	}
}

// grantReceived reads a peer's offer. began is a time before the peer was asked, so that a grant
// expires at this instance first, however long the answer took.
func grantReceived(h http.Header, began time.Time, p core.Peer) core.GrantReceived {
	until := began.Add(time.Duration(headerCount(h, HeaderUntil)) * time.Millisecond)
	return core.GrantReceived{
		Peer: p.ID, Incarnation: p.Incarnation, Until: until,
		Free: headerCount(h, HeaderFree), Grant: headerCount(h, HeaderGrant),
	}
}

// grant answers a peer that asks for grants without handing a request off.
func (s *Server) grant(w http.ResponseWriter, r *http.Request) {
	id, err := settings.ParseServiceID(chi.URLParam(r, "team") + "/" + chi.URLParam(r, "service"))
	if err != nil {
		s.badRequest(w, http.StatusBadRequest, err)
		return
	}
	setOffer(w.Header(), s.dispatcher.Now(), s.dispatcher.Offer(readAsk(r.Header, id)))
	s.setWriteDeadline(w, s.dispatcher.Now().Add(replyTimeout))
	w.WriteHeader(http.StatusNoContent)
}

// AskGrant carries out a decision to ask a peer for grants. A failed call isn't retried here: the
// node asks again if it still needs to.
func (s *Server) AskGrant(ctx context.Context, d core.AskGrant) {
	ctx, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	began := s.dispatcher.Now()
	resp, err := s.client.Send(ctx, s.grantRequest(d), nil)
	s.recordAsk(d, err)
	if err != nil {
		return
	}
	resp.Body.Close()
	ev := grantReceived(resp.Header, began, d.Peer)
	ev.Service, ev.Home = d.Service, d.Home
	s.dispatcher.Step(ev)
}

func (s *Server) grantRequest(d core.AskGrant) *http.Request {
	out := &http.Request{
		Method: http.MethodPost,
		URL:    &url.URL{Scheme: "http", Host: d.Peer.Address, Path: PrefixGrant + d.Service.String()},
		Header: make(http.Header),
		Body:   http.NoBody,
	}
	out.Header.Set(HeaderFrom, s.cfg.Instance)
	out.Header.Set(HeaderHome, d.Home)
	out.Header["User-Agent"] = nil
	setCount(out.Header, HeaderWant, d.Want)
	setCount(out.Header, HeaderRelease, d.Release)
	return out
}
