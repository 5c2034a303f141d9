package kv

import (
	"encoding/json"
	"errors"
	"net/http"

	"github.com/firlever/firlever/internal/platform"
)

func (s *Server) get(r *http.Request, q *query) (platform.Entry, error) {
	path := q.text(platform.ParamPath)
	if q.err != nil {
		return platform.Entry{}, q.err
	}
	return s.store.Get(r.Context(), path)
}

func (s *Server) swap(r *http.Request, q *query) (platform.WriteAnswer, error) {
	path, version := q.text(platform.ParamPath), q.number(platform.ParamVersion)
	if q.err != nil {
		return platform.WriteAnswer{}, q.err
	}
	value, err := body(r, platform.MaxValue)
	if err != nil {
		return platform.WriteAnswer{}, err
	}
	e, err := s.store.Swap(r.Context(), path, version, value)
	return platform.WriteAnswer{Version: e.Version, Revision: e.Revision}, err
}

func (s *Server) remove(r *http.Request, q *query) (platform.WriteAnswer, error) {
	path, version := q.text(platform.ParamPath), q.number(platform.ParamVersion)
	if q.err != nil {
		return platform.WriteAnswer{}, q.err
	}
	e, err := s.store.Delete(r.Context(), path, version)
	return platform.WriteAnswer{Version: e.Version, Revision: e.Revision}, err
}

func (s *Server) list(r *http.Request, q *query) (platform.EntriesAnswer, error) {
	entries, revision, err := s.store.List(r.Context(), q.values.Get(platform.ParamPrefix))
	return platform.EntriesAnswer{Entries: entries, Revision: revision}, err
}

func (s *Server) watch(r *http.Request, q *query) (platform.EntriesAnswer, error) {
	after, wait := q.number(platform.ParamAfter), q.wait(platform.ParamWait)
	if q.err != nil {
		return platform.EntriesAnswer{}, q.err
	}
	entries, revision, err := s.store.Watch(r.Context(), q.values.Get(platform.ParamPrefix), after, wait)
	return platform.EntriesAnswer{Entries: entries, Revision: revision}, err
}

func (s *Server) acquire(r *http.Request, q *query) (platform.LeaseAnswer, error) {
	path, holder := q.text(platform.ParamPath), q.text(platform.ParamHolder)
	ttl := q.wait(platform.ParamTTL)
	if q.err != nil {
		return platform.LeaseAnswer{}, q.err
	}
	l, err := s.store.Acquire(r.Context(), path, holder, ttl)
	return platform.LeaseAnswer{Epoch: l.Epoch}, err
}

func (s *Server) release(r *http.Request, q *query) (platform.LeaseAnswer, error) {
	l := platform.Lease{
		Path:   q.text(platform.ParamPath),
		Holder: q.text(platform.ParamHolder),
		Epoch:  q.number(platform.ParamEpoch),
	}
	if q.err != nil {
		return platform.LeaseAnswer{}, q.err
	}
	return platform.LeaseAnswer{Epoch: l.Epoch}, s.store.Release(r.Context(), l)
}

func (s *Server) register(r *http.Request, _ *query) (platform.LeaseAnswer, error) {
	b, err := body(r, maxLine)
	if err != nil {
		return platform.LeaseAnswer{}, err
	}
	var in platform.Instance
	if err := json.Unmarshal(b, &in); err != nil {
		return platform.LeaseAnswer{}, &platform.InvalidError{Call: "Register", Reason: err.Error()}
	}
	return platform.LeaseAnswer{}, s.store.Register(r.Context(), in)
}

func (s *Server) instances(r *http.Request, _ *query) (platform.InstancesAnswer, error) {
	list, err := s.store.Instances(r.Context())
	return platform.InstancesAnswer{Instances: list}, err
}

// refuse returns the answer to a call that changed nothing.
func refuse(err error) (int, platform.Refusal) {
	var (
		missing  *platform.NotFoundError
		conflict *platform.ConflictError
		held     *platform.HeldError
		busy     *platform.BusyError
		large    *platform.TooLargeError
		invalid  *platform.InvalidError
	)
	switch {
	case errors.As(err, &missing):
		return http.StatusNotFound, platform.Refusal{Code: platform.CodeNotFound}
	case errors.As(err, &conflict):
		return http.StatusConflict, platform.Refusal{Code: platform.CodeConflict, Entry: &conflict.Now}
	case errors.As(err, &held):
		return http.StatusConflict, platform.Refusal{Code: platform.CodeHeld, Holder: held.Holder}
	case errors.As(err, &busy):
		return http.StatusTooManyRequests, platform.Refusal{Code: platform.CodeBusy}
	case errors.As(err, &large):
		return http.StatusRequestEntityTooLarge, platform.Refusal{Code: platform.CodeTooLarge, Size: large.Size}
	case errors.As(err, &invalid):
		return http.StatusBadRequest, platform.Refusal{Code: platform.CodeInvalid, Reason: invalid.Reason}
	}
	return http.StatusServiceUnavailable, platform.Refusal{Code: platform.CodeUnavailable, Reason: err.Error()}
}
