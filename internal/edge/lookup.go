package edge

import (
	"net"
	"net/http"

	"github.com/go-chi/chi/v5"

	"github.com/firlever/firlever/internal/metrics"
	"github.com/firlever/firlever/platform"
)

// lookupHandler serves callers that look up the addresses to connect to.
func (n *Node) lookupHandler() http.Handler {
	r := chi.NewRouter()
	r.Get(platform.LookupPath, n.lookup)
	return r
}

// lookup answers with the addresses of instances near the caller.
func (n *Node) lookup(w http.ResponseWriter, r *http.Request) {
	q := platform.ReadLookup(r.URL.Query())
	addresses := n.instances.near(q.Region, q.Domain, host(r.RemoteAddr), platform.MaxAddresses)
	if len(addresses) == 0 {
		n.cfg.Metrics.CountDecision(metrics.Decision{Kind: "look-up", Reason: "no-instance"})
		http.Error(w, "no instance is known yet", http.StatusServiceUnavailable)
		return
	}
	n.cfg.Metrics.CountDecision(metrics.Decision{Kind: "look-up", Reason: "answered"})
	if err := platform.WriteLookup(w, addresses, n.lookupTTL()); err != nil {
		n.cfg.Log.Debug("look-up answer not written", "err", err)
	}
}

// host returns an address without its port.
func host(address string) string {
	name, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return name
}

// readinessHandler serves the platform's readiness check.
func (n *Node) readinessHandler() http.Handler {
	r := chi.NewRouter()
	r.Get(platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !n.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return r
}
