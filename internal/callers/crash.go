package callers

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/firlever/firlever/internal/core"
	"github.com/firlever/firlever/internal/metrics"
	"github.com/firlever/firlever/internal/peerhttp"
)

const (
	// crashUpdateTimeout limits a call that reports crashed targets to a peer.
	crashUpdateTimeout = 500 * time.Millisecond
	// maxCrashUpdate limits the bytes read of such a call. It is enough for everything that an
	// instance keeps.
	maxCrashUpdate = 1 << 20
)

// SendCrashes carries out a decision to report crashed targets: it sends the update to all of its
// peers in parallel.
func (s *Server) SendCrashes(ctx context.Context, d core.SendCrashes) {
	body, err := json.Marshal(d.Update)
	if err != nil {
		s.recordCrashUpdate(d, err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, crashUpdateTimeout)
	defer cancel()
	results := make(chan error, len(d.Peers))
	for _, p := range d.Peers {
		go func() { results <- s.sendCrashUpdate(ctx, p, body) }()
	}
	var failed error
	for range d.Peers {
		if err := <-results; err != nil {
			failed = err
		}
	}
	s.recordCrashUpdate(d, failed)
}

// sendCrashUpdate sends an update to one peer. It returns a *peerhttp.Error.
func (s *Server) sendCrashUpdate(ctx context.Context, p core.Peer, body []byte) error {
	out, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.Address+PathCrashes, bytes.NewReader(body))
	if err != nil {
		return &peerhttp.Error{Address: p.Address, Err: err}
	}
	out.Header["User-Agent"] = nil
	resp, err := s.client.Send(ctx, out, nil)
	if err != nil {
		return &peerhttp.Error{Address: p.Address, Err: err}
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		return &peerhttp.Error{Address: p.Address, Status: resp.StatusCode}
	}
	return nil
}

// recordCrashUpdate counts a sent update and logs its reports.
func (s *Server) recordCrashUpdate(d core.SendCrashes, err error) {
	s.cfg.Metrics.CountDecision(metrics.Decision{Kind: "tell-crashes"})
	if s.cfg.Log == nil {
		return
	}
	for _, r := range d.Update.Reports {
		s.cfg.Log.Warn("target ended", "target", r.Target, "prints", r.Fingerprints, "peers", len(d.Peers), "err", err)
	}
	if len(d.Update.Answered) > 0 {
		s.cfg.Log.Info("request answered", "prints", d.Update.Answered, "peers", len(d.Peers), "err", err)
	}
}

// receiveCrashes handles an update about crashed targets from a peer.
func (s *Server) receiveCrashes(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(io.LimitReader(r.Body, maxCrashUpdate))
	var update core.CrashUpdate
	if err == nil {
		err = json.Unmarshal(b, &update)
	}
	if err != nil {
		s.badRequest(w, http.StatusBadRequest, err)
		return
	}
	s.dispatcher.Step(core.CrashesReceived{Update: update})
	s.setWriteDeadline(w, s.dispatcher.Now().Add(replyTimeout))
	w.WriteHeader(http.StatusNoContent)
}
