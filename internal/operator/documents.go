package operator

import (
	"net/http"
	"strings"

	"github.com/go-chi/chi/v5"

	"github.com/firlever/firlever/internal/docstore"
	"github.com/firlever/firlever/pkg/settings"
)

// DocumentList is the response to a request for a list of documents.
type DocumentList struct {
	Documents []Version `json:"documents"`
}

// authorize authenticates a request and returns its document path, provided that the
// token has the role for it.
func (s *Server) authorize(r *http.Request, role string) (access, settings.Path, error) {
	a, err := s.authenticate(r)
	if err != nil {
		return a, settings.Path{}, err
	}
	p, err := parseDocumentPath(chi.URLParam(r, "*"))
	if err != nil {
		return a, p, err
	}
	return a, p, a.authorizePath(p, role)
}

func (s *Server) getDocument(w http.ResponseWriter, r *http.Request) error {
	_, p, err := s.authorize(r, settings.RoleRead)
	if err != nil {
		return err
	}
	doc, err := s.read(r, p)
	if err != nil {
		return err
	}
	if doc.Deleted {
		return &Problem{Code: CodeNotFound, Reason: "the document was deleted", Path: doc.Path, Version: doc.Version, Deleted: true}
	}
	w.Header().Set("ETag", FormatVersion(doc.Version))
	w.Header().Set("Content-Type", "application/yaml")
	_, _ = w.Write(doc.Body) // the client detects a truncated body
	return nil
}

func (s *Server) read(r *http.Request, p settings.Path) (settings.Document, error) {
	inForce, err := parseSource(r.URL.Query())
	if err != nil {
		return settings.Document{}, err
	}
	if inForce {
		return s.inForce(p.String())
	}
	entry, err := s.cfg.Store.Get(r.Context(), p.String())
	if err != nil {
		return settings.Document{}, err
	}
	return docstore.DecodeDocument(entry)
}

func (s *Server) inForce(path string) (settings.Document, error) {
	for _, doc := range s.cfg.Documents() {
		if doc.Path == path {
			return doc, nil
		}
	}
	return settings.Document{}, &docstore.NotFoundError{Path: path}
}

// listDocuments lists the documents that the token may read.
func (s *Server) listDocuments(w http.ResponseWriter, r *http.Request) error {
	a, err := s.authenticate(r)
	if err != nil {
		return err
	}
	prefix, err := parsePrefix(r.URL.Query())
	if err != nil {
		return err
	}
	docs, err := s.list(r, prefix)
	if err != nil {
		return err
	}
	docs = filter(docs, func(doc settings.Document) bool {
		p, err := settings.ParsePath(doc.Path)
		return err == nil && a.authorizePath(p, settings.RoleRead) == nil
	})
	sendJSON(w, http.StatusOK, DocumentList{Documents: Versions(docs)})
	return nil
}

func (s *Server) list(r *http.Request, prefix string) ([]settings.Document, error) {
	inForce, err := parseSource(r.URL.Query())
	if err != nil {
		return nil, err
	}
	if inForce {
		return filter(s.cfg.Documents(), func(doc settings.Document) bool {
			return strings.HasPrefix(doc.Path, prefix)
		}), nil
	}
	entries, _, err := s.cfg.Store.List(r.Context(), prefix)
	var docs []settings.Document
	for _, e := range entries {
		if doc, decodeErr := docstore.DecodeDocument(e); decodeErr == nil {
			docs = append(docs, doc)
		}
	}
	return docs, err
}
