package operator

import (
	"context"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/firlever/firlever/internal/docstore"
	"github.com/firlever/firlever/pkg/settings"
)

// changeTimeout limits a change once its body has been read, even if the operator's
// client has disconnected.
const changeTimeout = 15 * time.Second

// Change is the response to a change whose outcome is accepted or unknown. The response
// to a refused change is a Problem.
type Change struct {
	Path    string `json:"path"`
	WriteID string `json:"write"`
	Outcome string `json:"outcome"`
	Version uint64 `json:"version,omitempty"` // created by the change, if accepted
	Reason  string `json:"reason,omitempty"`  // why the outcome is unknown
}

func (s *Server) changeDocument(w http.ResponseWriter, r *http.Request) error {
	a, p, err := s.authorize(r, settings.RoleWrite)
	if err != nil {
		return err
	}
	c, err := readChange(w, r, p)
	if err != nil {
		return err
	}
	select {
	case s.changeSlots <- struct{}{}:
		defer func() { <-s.changeSlots }()
	default:
		return &Problem{Code: CodeBusy, Reason: "too many concurrent changes", WriteID: c.writeID}
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), changeTimeout)
	defer cancel()
	result, err := s.applyChange(ctx, c)
	s.logChange(a, c, result, err)
	return sendOutcome(w, c, result, err)
}

// applyChange writes a change and, if accepted, puts it in force at this instance.
func (s *Server) applyChange(ctx context.Context, c change) (docstore.PutResult, error) {
	result, err := s.checkAndWrite(ctx, c)
	if result.Outcome == docstore.Unknown {
		// The answers to the writes were lost, but reads may still succeed.
		result, err = s.resolve(ctx, c)
	}
	if c.maybeRepeat && result.Outcome == docstore.Refused {
		// This attempt was refused, but an earlier one may have been applied.
		var reason error
		if result, reason = s.resolve(ctx, c); result.Outcome != docstore.Unknown {
			err = reason
		}
	}
	if result.Outcome == docstore.Accepted {
		doc := c.document()
		doc.Version = result.Version
		s.cfg.Apply([]settings.Document{doc})
	}
	return result, err
}

// checkAndWrite checks a change against the settings in force at this instance, and writes
// it. The change is refused until the instance has received all settings, as the check would
// be incomplete.
func (s *Server) checkAndWrite(ctx context.Context, c change) (docstore.PutResult, error) {
	if err := s.cfg.SettingsComplete(); err != nil {
		return docstore.PutResult{Outcome: docstore.Refused}, &Problem{Code: CodeUnavailable, Reason: err.Error()}
	}
	if err := s.cfg.Snapshot().Check(c.document()); err != nil {
		return docstore.PutResult{Outcome: docstore.Refused}, err
	}
	if c.deleted {
		return docstore.DeleteDocument(ctx, s.cfg.Store, c.path.String(), c.version, c.writeID)
	}
	return docstore.PutDocument(ctx, s.cfg.Store, c.path.String(), c.version, c.body, c.writeID)
}

func (s *Server) resolve(ctx context.Context, c change) (docstore.PutResult, error) {
	return docstore.ResolveWrite(ctx, s.cfg.Store, c.path.String(), c.version, c.writeID)
}

func sendOutcome(w http.ResponseWriter, c change, result docstore.PutResult, err error) error {
	response := Change{Path: c.path.String(), WriteID: c.writeID, Outcome: result.Outcome.String(), Version: result.Version}
	switch result.Outcome {
	case docstore.Accepted:
		w.Header().Set("ETag", FormatVersion(result.Version))
		sendJSON(w, http.StatusOK, response)
		return nil
	case docstore.Refused:
		p := *newProblem(err)
		p.Outcome, p.WriteID, p.Path = response.Outcome, c.writeID, response.Path
		return &p
	}
	if err != nil {
		response.Reason = err.Error()
	}
	sendJSON(w, http.StatusAccepted, response)
	return nil
}

// getWrite sends the outcome of an earlier change.
func (s *Server) getWrite(w http.ResponseWriter, r *http.Request) error {
	a, err := s.authenticate(r)
	if err != nil {
		return err
	}
	c := change{writeID: chi.URLParam(r, "write")}
	if err := checkWriteID(c.writeID); err != nil {
		return err
	}
	query := r.URL.Query()
	if c.path, err = settings.ParsePath(query.Get("path")); err != nil {
		return invalid("%v", err)
	}
	if c.version, err = ParseVersion([]string{`"` + query.Get("version") + `"`}); err != nil {
		return invalid("version must be the If-Match version of the change")
	}
	if err := a.authorizePath(c.path, settings.RoleRead); err != nil {
		return err
	}
	result, err := s.resolve(r.Context(), c)
	return sendOutcome(w, c, result, err)
}

func (s *Server) logChange(a access, c change, result docstore.PutResult, err error) {
	fields := []any{
		"who", a.tokenName, "path", c.path.String(), "deleted", c.deleted,
		"read", c.version, "version", result.Version, "write", c.writeID, "outcome", result.Outcome.String(),
	}
	if err != nil {
		s.cfg.Log.Warn("change", append(fields, "reason", err.Error())...)
		return
	}
	s.cfg.Log.Info("change", fields...)
}
