package instance

import (
	"net/http"

	"github.com/go-chi/chi/v5"
)

// operatorHandler serves the operators' address.
func (in *Instance) operatorHandler() http.Handler {
	r := chi.NewRouter()
	r.Get("/health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.Get("/ready", in.ready)
	return r
}

// ready tells whether this instance can serve: it has a configuration.
func (in *Instance) ready(w http.ResponseWriter, _ *http.Request) {
	if in.docs.Snapshot() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
