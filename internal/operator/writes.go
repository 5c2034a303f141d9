package operator

import (
	"context"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/firlever/firlever/internal/docstore"
	"github.com/firlever/firlever/pkg/settings"
)

// changeTimeout bounds a change from its body's last byte on, whether or not
// the operator still waits for it.
const changeTimeout = 15 * time.Second

// Change is the answer to a change whose outcome is accepted or unknown. One
// that was refused is answered with a Problem.
type Change struct {
	Path    string `json:"path"`
	Write   string `json:"write"`
	Outcome string `json:"outcome"`
	Version uint64 `json:"version,omitempty"` // made by the change, if accepted
	Reason  string `json:"reason,omitempty"`  // why it isn't known
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
	case s.changes <- struct{}{}:
		defer func() { <-s.changes }()
	default:
		return &Problem{Code: CodeBusy, Reason: "too many changes at one time", Write: c.write}
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), changeTimeout)
	defer cancel()
	result, err := s.change(ctx, c)
	s.logChange(a, c, result, err)
	return answerChange(w, c, result, err)
}

// change makes a change and puts it in force here.
func (s *Server) change(ctx context.Context, c change) (docstore.PutResult, error) {
	result, err := s.attempt(ctx, c)
	if result.Outcome == docstore.Unknown {
		// Answers to writes are lost; those to reads may not be.
		result, err = s.resolve(ctx, c)
	}
	if c.repeat && result.Outcome == docstore.Refused {
		// This try was refused; the earlier one may have landed.
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

// attempt checks a change against the settings in force here, and writes it.
// Before all settings have arrived there is nothing to check it against.
func (s *Server) attempt(ctx context.Context, c change) (docstore.PutResult, error) {
	if err := s.cfg.Complete(); err != nil {
		return docstore.PutResult{Outcome: docstore.Refused}, &Problem{Code: CodeUnavailable, Reason: err.Error()}
	}
	if err := s.cfg.Snapshot().Check(c.document()); err != nil {
		return docstore.PutResult{Outcome: docstore.Refused}, err
	}
	if c.deleted {
		return docstore.DeleteDocument(ctx, s.cfg.Store, c.path.String(), c.version, c.write)
	}
	return docstore.PutDocument(ctx, s.cfg.Store, c.path.String(), c.version, c.body, c.write)
}

func (s *Server) resolve(ctx context.Context, c change) (docstore.PutResult, error) {
	return docstore.ResolveWrite(ctx, s.cfg.Store, c.path.String(), c.version, c.write)
}

func answerChange(w http.ResponseWriter, c change, result docstore.PutResult, err error) error {
	answer := Change{Path: c.path.String(), Write: c.write, Outcome: result.Outcome.String(), Version: result.Version}
	switch result.Outcome {
	case docstore.Accepted:
		w.Header().Set("ETag", FormatVersion(result.Version))
		sendJSON(w, http.StatusOK, answer)
		return nil
	case docstore.Refused:
		p := *newProblem(err)
		p.Outcome, p.Write, p.Path = answer.Outcome, c.write, answer.Path
		return &p
	}
	if err != nil {
		answer.Reason = err.Error()
	}
	sendJSON(w, http.StatusAccepted, answer)
	return nil
}

// getWrite says what became of an earlier change.
func (s *Server) getWrite(w http.ResponseWriter, r *http.Request) error {
	a, err := s.access(r)
	if err != nil {
		return err
	}
	c := change{write: chi.URLParam(r, "write")}
	if err := parseWrite(c.write); err != nil {
		return err
	}
	query := r.URL.Query()
	if c.path, err = settings.ParsePath(query.Get("path")); err != nil {
		return invalid("%v", err)
	}
	if c.version, err = ParseVersion([]string{`"` + query.Get("version") + `"`}); err != nil {
		return invalid("version must be the number that the change gave in If-Match")
	}
	if err := a.may(c.path, settings.RoleRead); err != nil {
		return err
	}
	result, err := s.resolve(r.Context(), c)
	return answerChange(w, c, result, err)
}

func (s *Server) logChange(a access, c change, result docstore.PutResult, err error) {
	fields := []any{
		"who", a.name, "path", c.path.String(), "deleted", c.deleted,
		"read", c.version, "version", result.Version, "write", c.write, "outcome", result.Outcome.String(),
	}
	if err != nil {
		s.cfg.Log.Warn("change", append(fields, "reason", err.Error())...)
		return
	}
	s.cfg.Log.Info("change", fields...)
}
